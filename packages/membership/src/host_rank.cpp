#include "host_rank.h"

#include <algorithm>

namespace tamarackspan::membership::impl {

namespace {

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

} // namespace

auto firstRanked(const contracts::HostList &list, std::uint64_t key, std::size_t count, bool leavingLast) -> std::vector<base::HostId>
{
    auto ranked = std::vector<RankedHost>();
    ranked.reserve(list.hosts.size());
    for (const auto &host : list.hosts) {
        ranked.push_back({leavingLast && host.leaving, rankWeight(key, hostHash(host.id)), host.id});
    }
    const auto taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken), ranked.end(), ranksBefore);
    auto first = std::vector<base::HostId>();
    for (auto i = std::size_t{0}; i < taken; ++i) {
        first.push_back(ranked[i].id);
    }
    return first;
}

} // namespace tamarackspan::membership::impl
