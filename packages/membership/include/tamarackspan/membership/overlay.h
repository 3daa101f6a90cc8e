#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/host_list.h"

#include <cstddef>
#include <vector>

namespace tamarackspan::membership {

/// The hosts of a data centre that watch the platform; the others ask their peers.
inline constexpr std::size_t watchersPerDataCentre = 2;
/// The hosts whose majority can confirm a list while the platform can't be reached.
inline constexpr std::size_t maxWitnesses = 7;

/// Returns the hosts that `self` exchanges control messages with, in ascending order: its neighbours on two rings, one in the order of the list and one in
/// hashed order. Their number doesn't grow with the list, the graph of all hosts is connected, its diameter grows as the logarithm of the list, and each is a
/// peer of its peers. Empty if `self` isn't listed.
[[nodiscard]] auto overlayPeers(const contracts::HostList &list, const base::HostId &self) -> std::vector<base::HostId>;

/// Returns the hosts that watch the platform for this data centre, best first. Leaving hosts are taken only if there are no others.
[[nodiscard]] auto platformWatchers(const contracts::HostList &list) -> std::vector<base::HostId>;

/// Returns the witnesses of a list: all hosts of a small list, else the maxWitnesses that rank first. A change of one host changes at most one of them.
[[nodiscard]] auto witnesses(const contracts::HostList &list) -> std::vector<base::HostId>;

} // namespace tamarackspan::membership
