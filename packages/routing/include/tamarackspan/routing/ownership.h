#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/service.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace tamarackspan::routing {

/// The maximum number of hosts that own one leaf at the same time.
inline constexpr auto maxOwnersPerLeaf = std::uint32_t{2};

/// What one host may use of one leaf.
struct LeafShare
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const LeafShare &, const LeafShare &) -> bool = default;
};

/// One owner of a leaf and its share of the leaf's limits.
struct OwnerShare
{
    base::HostId host;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    friend auto operator==(const OwnerShare &, const OwnerShare &) -> bool = default;
};

/// The owners of each leaf of one service.
using OwnershipMap = absl::flat_hash_map<base::LeafId, std::vector<OwnerShare>>;

/// Returns the number of the leaf's ownership group, which it shares with its neighbours in the order of leaf ids. A leaf that is not in the service belongs to
/// the group at the position that its id would have.
[[nodiscard]] auto ownershipGroup(const contracts::Service &service, const base::LeafId &leaf) -> std::uint32_t;

/// Returns the owners of a leaf by rendezvous hashing of its group over the hosts, highest weight first. There are at most maxOwnersPerLeaf of them, and few
/// enough that each has at least one whole slot and one whole connection. Their shares add up to the leaf's limits. Empty if there are no hosts, if the leaf is
/// not in the service, or if it has no slots or no connections. The order of `hosts` does not matter.
[[nodiscard]] auto ownersOf(const contracts::Service &service, const base::LeafId &leaf, std::span<const base::HostId> hosts,
                            std::uint32_t ownersPerLeaf = maxOwnersPerLeaf) -> std::vector<OwnerShare>;

/// Returns the owners of all leafs of a service: the same as ownersOf for each leaf, but in one pass.
[[nodiscard]] auto ownershipOf(const contracts::Service &service, std::span<const base::HostId> hosts, std::uint32_t ownersPerLeaf = maxOwnersPerLeaf)
    -> OwnershipMap;

/// Returns one of the owners, each with a probability in proportion to its slots; null if there are none. Leafs of one group looked up with the same draw
/// mostly get the same owner, so a query uses one draw for all its leafs.
[[nodiscard]] auto chooseOwner(std::span<const OwnerShare> owners, std::uint64_t draw) noexcept -> const OwnerShare *;

/// Returns the owner with the fewest of this entry's requests in flight per slot; the draw breaks ties. `inFlight` is in the order of the owners.
[[nodiscard]] auto chooseOwner(std::span<const OwnerShare> owners, std::span<const std::uint32_t> inFlight, std::uint64_t draw) noexcept -> const OwnerShare *;

/// One list of hosts and the period during which this process used it.
struct HostView
{
    std::vector<base::HostId> hosts;
    absl::Time since;
    /// When the next list replaced it; the infinite future for the list in force.
    absl::Time until = absl::InfiniteFuture();

    friend auto operator==(const HostView &, const HostView &) -> bool = default;
};

/// Returns what `host` may use of the leaf: the minimum over all lists in force during the last `window`. Empty as long as the views, oldest first, do not
/// reach back over the whole window. If each host applies each list within the window after the first host that did, the shares of all hosts never add up to
/// more than the leaf's limits.
[[nodiscard]] auto currentShare(const contracts::Service &service, const base::LeafId &leaf, const base::HostId &host, std::span<const HostView> views,
                                absl::Time now, absl::Duration window) -> LeafShare;

/// Puts `hosts` in force from `now` and drops the views that ended more than `window` ago. A list equal to the one in force changes nothing.
auto updateHosts(std::vector<HostView> &views, std::vector<base::HostId> hosts, absl::Time now, absl::Duration window) -> void;

} // namespace tamarackspan::routing
