#include "tamarackspan/membership/overlay.h"

#include "host_hash.h"

#include <algorithm>
#include <set>

namespace tamarackspan::membership {

namespace {

constexpr auto overlayKey = std::uint64_t{0x6f7665726c617973};
constexpr auto watcherKey = std::uint64_t{0x7761746368657273};
constexpr auto witnessKey = std::uint64_t{0x7769746e65737365};

struct RankedHost
{
    bool leaving = false;
    std::uint64_t weight = 0;
    base::HostId id;
};

auto ranksBefore(const RankedHost &a, const RankedHost &b) -> bool
{
    if (a.leaving != b.leaving) {
        return b.leaving;
    }
    return a.weight != b.weight ? a.weight > b.weight : a.id < b.id;
}

// The hosts that rank first for a key; leaving hosts last if asked for.
auto firstRanked(const contracts::HostList &list, std::uint64_t key, std::size_t count, bool leavingLast) -> std::vector<base::HostId>
{
    auto ranked = std::vector<RankedHost>();
    ranked.reserve(list.hosts.size());
    for (const auto &host : list.hosts) {
        ranked.push_back({leavingLast && host.leaving, impl::rankWeight(key, impl::hostHash(host.id)), host.id});
    }
    const auto taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken), ranked.end(), ranksBefore);
    auto first = std::vector<base::HostId>();
    for (auto i = std::size_t{0}; i < taken; ++i) {
        first.push_back(ranked[i].id);
    }
    return first;
}

} // namespace

auto overlayPeers(const contracts::HostList &list, const base::HostId &self) -> std::vector<base::HostId>
{
    const auto found = std::find_if(list.hosts.begin(), list.hosts.end(), [&self](const auto &host) {
        return host.id == self;
    });
    if (found == list.hosts.end()) {
        return {};
    }
    const auto size = list.hosts.size();
    const auto index = static_cast<std::size_t>(found - list.hosts.begin());
    const auto shuffled = firstRanked(list, overlayKey, size, false);
    const auto position = static_cast<std::size_t>(std::find(shuffled.begin(), shuffled.end(), self) - shuffled.begin());
    auto peers = std::set<base::HostId>{list.hosts[(index + 1) % size].id, list.hosts[(index + size - 1) % size].id, shuffled[(position + 1) % size],
                                        shuffled[(position + size - 1) % size]};
    peers.erase(self);
    return {peers.begin(), peers.end()};
}

auto platformWatchers(const contracts::HostList &list) -> std::vector<base::HostId>
{
    return firstRanked(list, watcherKey, watchersPerDataCentre, true);
}

auto witnesses(const contracts::HostList &list) -> std::vector<base::HostId>
{
    return firstRanked(list, witnessKey, maxWitnesses, false);
}

} // namespace tamarackspan::membership
