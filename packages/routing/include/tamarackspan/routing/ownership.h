#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/service.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace tamarackspan::routing {

/// The most hosts that own one leaf at once.
inline constexpr auto maxOwnersPerLeaf = std::uint32_t{2};

/// What one host may use of one leaf.
struct LeafShare
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const LeafShare &, const LeafShare &) -> bool = default;
};

/// One owner of a leaf and its part of the leaf's caps.
struct OwnerShare
{
    base::HostId host;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const OwnerShare &, const OwnerShare &) -> bool = default;
};

/// The owners of each leaf of one service.
using OwnershipMap = absl::flat_hash_map<base::LeafId, std::vector<OwnerShare>>;

/// Returns the number of the leaf's ownership group: neighbours in the order of the leaf ids share one. A leaf that isn't in the service counts as coming
/// where its id would stand.
[[nodiscard]] auto ownershipGroup(const contracts::Service &service, const base::LeafId &leaf) -> std::uint32_t;

/// Returns the owners of a leaf by rendezvous hashing of its group over the hosts, first choice first. There are at most maxOwnersPerLeaf of them, and so few
/// that each has at least one whole slot and one whole connection. The parts add up to the leaf's caps. Empty if there are no hosts, or if the leaf isn't in
/// the service or has no slots. The order of `hosts` doesn't matter.
[[nodiscard]] auto ownersOf(const contracts::Service &service, const base::LeafId &leaf, std::span<const base::HostId> hosts,
                            std::uint32_t ownersPerLeaf = maxOwnersPerLeaf) -> std::vector<OwnerShare>;

/// Returns the owners of all leafs of a service: as ownersOf for each, but in one pass.
[[nodiscard]] auto ownershipOf(const contracts::Service &service, std::span<const base::HostId> hosts, std::uint32_t ownersPerLeaf = maxOwnersPerLeaf)
    -> OwnershipMap;

/// Returns one of the owners, each in proportion to its slots; null if there are none. Leafs of one group asked for with the same draw mostly get the same
/// owner, so a query uses one draw for all its leafs.
[[nodiscard]] auto chooseOwner(std::span<const OwnerShare> owners, std::uint64_t draw) noexcept -> const OwnerShare *;

/// Returns the owner with the fewest of this entry's requests in flight for each of its slots; the draw decides between equals. `inFlight` is in the order of
/// the owners.
[[nodiscard]] auto chooseOwner(std::span<const OwnerShare> owners, std::span<const std::uint32_t> inFlight, std::uint64_t draw) noexcept -> const OwnerShare *;

/// One list of hosts and when this process went by it.
struct HostView
{
    std::vector<base::HostId> hosts;
    absl::Time since;
    /// When the next list replaced it; the infinite future for the list in force.
    absl::Time until = absl::InfiniteFuture();

    friend auto operator==(const HostView &, const HostView &) -> bool = default;
};

/// Returns what `host` may use of the leaf: the least that any list in force during the last `window` gives it. Nothing while the views, oldest first, reach
/// back less than the window. If each host takes up each list within the window of the first host that did, the parts of all hosts never add up to more than
/// the leaf's caps.
[[nodiscard]] auto shareInForce(const contracts::Service &service, const base::LeafId &leaf, const base::HostId &host, std::span<const HostView> views,
                                absl::Time now, absl::Duration window) -> LeafShare;

/// Puts `hosts` in force from `now` and forgets the lists that ended more than `window` ago. A list equal to the one in force changes nothing.
auto takeUpHosts(std::vector<HostView> &views, std::vector<base::HostId> hosts, absl::Time now, absl::Duration window) -> void;

} // namespace tamarackspan::routing
