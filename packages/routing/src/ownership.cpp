#include "tamarackspan/routing/ownership.h"

#include "tamarackspan/base/random.h"
#include "tamarackspan/base/unit_split.h"

#include <algorithm>
#include <array>

namespace tamarackspan::routing {

namespace {

auto hashText(const std::string &text) noexcept -> std::uint64_t
{
    return base::stableHash(text.data(), text.size());
}

auto groupKey(const contracts::Service &service, std::uint32_t group) noexcept -> std::uint64_t
{
    const auto serviceHash = hashText(service.name.get()) ^ base::mixBits(hashText(service.dataCentre.get()));
    return base::mixBits(serviceHash + group);
}

auto groupAt(const contracts::Service &service, std::size_t position) noexcept -> std::uint32_t
{
    return static_cast<std::uint32_t>(position / std::max(service.ownershipGroupSize, 1U));
}

/// The hosts with the highest weights for one group, highest first.
struct Winners
{
    std::array<const base::HostId *, maxOwnersPerLeaf> hosts{};
    std::uint32_t count = 0;
};

/// One host with its weight for a group.
struct Candidate
{
    std::uint64_t weight = 0;
    const base::HostId *host = nullptr;
};

auto outranks(const Candidate &a, const Candidate &b) -> bool
{
    if (a.host == nullptr || b.host == nullptr) {
        return b.host == nullptr && a.host != nullptr;
    }
    return a.weight != b.weight ? a.weight > b.weight : *a.host < *b.host;
}

auto winnersOf(std::uint64_t key, std::span<const base::HostId> hosts, std::span<const std::uint64_t> hostHashes) -> Winners
{
    auto best = std::array<Candidate, maxOwnersPerLeaf>{};
    for (auto i = std::size_t{0}; i < hosts.size(); ++i) {
        auto candidate = Candidate{base::mixBits(hostHashes[i] ^ key), &hosts[i]};
        for (auto &place : best) {
            if (outranks(candidate, place)) {
                std::swap(candidate, place);
            }
        }
    }
    auto winners = Winners{};
    for (const auto &place : best) {
        if (place.host != nullptr) {
            winners.hosts.at(winners.count++) = place.host;
        }
    }
    return winners;
}

auto hashHosts(std::span<const base::HostId> hosts) -> std::vector<std::uint64_t>
{
    auto hashes = std::vector<std::uint64_t>{};
    hashes.reserve(hosts.size());
    for (const auto &host : hosts) {
        hashes.push_back(hashText(host.get()));
    }
    return hashes;
}

auto divide(const contracts::Leaf &leaf, const Winners &winners, std::uint32_t ownersPerLeaf) -> std::vector<OwnerShare>
{
    const auto count = std::min({winners.count, ownersPerLeaf, leaf.slots, leaf.connections});
    const auto first = static_cast<std::uint32_t>(hashText(leaf.id.get()) % maxOwnersPerLeaf);
    auto owners = std::vector<OwnerShare>{};
    owners.reserve(count);
    for (auto i = std::uint32_t{0}; i < count; ++i) {
        owners.push_back({*winners.hosts.at(i), base::unitShare(leaf.slots, count, i, first), base::unitShare(leaf.connections, count, i, first)});
    }
    return owners;
}

} // namespace

auto ownershipGroup(const contracts::Service &service, const base::LeafId &leaf) -> std::uint32_t
{
    return groupAt(service, static_cast<std::size_t>(std::distance(service.leafs.begin(), service.leafs.lower_bound(leaf))));
}

auto ownersOf(const contracts::Service &service, const base::LeafId &leaf, std::span<const base::HostId> hosts, std::uint32_t ownersPerLeaf)
    -> std::vector<OwnerShare>
{
    const auto found = service.leafs.find(leaf);
    if (found == service.leafs.end()) {
        return {};
    }
    return divide(found->second, winnersOf(groupKey(service, ownershipGroup(service, leaf)), hosts, hashHosts(hosts)), ownersPerLeaf);
}

auto ownershipOf(const contracts::Service &service, std::span<const base::HostId> hosts, std::uint32_t ownersPerLeaf) -> OwnershipMap
{
    const auto hashes = hashHosts(hosts);
    auto owners = OwnershipMap{};
    owners.reserve(service.leafs.size());
    auto winners = Winners{};
    auto position = std::size_t{0};
    for (const auto &[id, leaf] : service.leafs) {
        if (position % std::max(service.ownershipGroupSize, 1U) == 0) {
            winners = winnersOf(groupKey(service, groupAt(service, position)), hosts, hashes);
        }
        owners.emplace(id, divide(leaf, winners, ownersPerLeaf));
        ++position;
    }
    return owners;
}

auto chooseOwner(std::span<const OwnerShare> owners, std::uint64_t draw) noexcept -> const OwnerShare *
{
    auto slots = std::uint64_t{0};
    for (const auto &owner : owners) {
        slots += owner.slots;
    }
    if (slots == 0) {
        return nullptr;
    }
    // The draw is scaled rather than reduced modulo the slots, so that leafs with different shares still agree for most draws.
    auto left = ((draw >> 32U) * slots) >> 32U;
    for (const auto &owner : owners) {
        if (left < owner.slots) {
            return &owner;
        }
        left -= owner.slots;
    }
    return nullptr;
}

auto chooseOwner(std::span<const OwnerShare> owners, std::span<const std::uint32_t> inFlight, std::uint64_t draw) noexcept -> const OwnerShare *
{
    const auto *best = chooseOwner(owners, draw);
    if (best == nullptr || inFlight.size() != owners.size()) {
        return best;
    }
    auto bestLoad = std::uint64_t{inFlight[static_cast<std::size_t>(best - owners.data())]};
    for (auto i = std::size_t{0}; i < owners.size(); ++i) {
        // Compares the load per slot without a division.
        if (owners[i].slots > 0 && std::uint64_t{inFlight[i]} * best->slots < bestLoad * owners[i].slots) {
            best = &owners[i];
            bestLoad = inFlight[i];
        }
    }
    return best;
}

auto currentShare(const contracts::Service &service, const base::LeafId &leaf, const base::HostId &host, std::span<const HostView> views, absl::Time now,
                  absl::Duration window) -> LeafShare
{
    const auto from = now - window;
    if (views.empty() || views.front().since > from) {
        return {};
    }
    auto least = LeafShare{UINT32_MAX, UINT32_MAX};
    for (const auto &view : views) {
        if (view.until <= from) {
            continue;
        }
        auto share = LeafShare{};
        for (const auto &owner : ownersOf(service, leaf, view.hosts)) {
            if (owner.host == host) {
                share = {owner.slots, owner.connections};
            }
        }
        least = {std::min(least.slots, share.slots), std::min(least.connections, share.connections)};
    }
    return least.slots == UINT32_MAX || least.slots == 0 || least.connections == 0 ? LeafShare{} : least;
}

auto updateHosts(std::vector<HostView> &views, std::vector<base::HostId> hosts, absl::Time now, absl::Duration window) -> void
{
    if (!views.empty()) {
        if (views.back().hosts == hosts) {
            return;
        }
        views.back().until = now;
    }
    views.push_back({std::move(hosts), now, absl::InfiniteFuture()});
    // The list in force at the start of the window stays, because it shows that the views reach back over the whole window.
    const auto from = now - window;
    while (views.size() > 1 && views[1].since <= from) {
        views.erase(views.begin());
    }
}

} // namespace tamarackspan::routing
