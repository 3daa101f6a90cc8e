#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/host_list.h"

#include <cstddef>
#include <vector>

namespace tamarackspan::membership {

/// Hosts of a data centre that watch the platform for the host list; the others get it from their peers.
inline constexpr std::size_t watchersPerDataCentre = 2;
/// The most hosts whose majority can confirm a list while the platform is unreachable.
inline constexpr std::size_t maxWitnesses = 7;

/// Returns the hosts that `self` exchanges control messages with, in ascending order: its neighbours on two rings, one in list order and one in hashed order.
/// The number of peers doesn't grow with the list, the graph of all hosts is connected with a diameter that grows with the logarithm of the list's size, and
/// the relation is symmetric. Empty if `self` isn't listed.
[[nodiscard]] auto overlayPeers(const contracts::HostList &list, const base::HostId &self) -> std::vector<base::HostId>;

/// Returns the hosts that watch the platform for this data centre, highest rank first. Leaving hosts are chosen only if there aren't enough others.
[[nodiscard]] auto platformWatchers(const contracts::HostList &list) -> std::vector<base::HostId>;

/// Returns the witnesses of a list: all hosts of a small list, otherwise the maxWitnesses hosts of highest rank. Adding or removing one host changes at most
/// one witness.
[[nodiscard]] auto witnesses(const contracts::HostList &list) -> std::vector<base::HostId>;

} // namespace tamarackspan::membership
