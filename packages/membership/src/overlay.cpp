#include "tamarackspan/membership/overlay.h"

#include "host_rank.h"

#include <algorithm>
#include <set>

namespace tamarackspan::membership {

namespace {

constexpr auto overlayKey = std::uint64_t{0x6f7665726c617973};
constexpr auto watcherKey = std::uint64_t{0x7761746368657273};
constexpr auto witnessKey = std::uint64_t{0x7769746e65737365};

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
    const auto shuffled = impl::firstRanked(list, overlayKey, size, false);
    const auto position = static_cast<std::size_t>(std::find(shuffled.begin(), shuffled.end(), self) - shuffled.begin());
    auto peers = std::set<base::HostId>{list.hosts[(index + 1) % size].id, list.hosts[(index + size - 1) % size].id, shuffled[(position + 1) % size],
                                        shuffled[(position + size - 1) % size]};
    peers.erase(self);
    return {peers.begin(), peers.end()};
}

auto platformWatchers(const contracts::HostList &list) -> std::vector<base::HostId>
{
    return impl::firstRanked(list, watcherKey, watchersPerDataCentre, true);
}

auto witnesses(const contracts::HostList &list) -> std::vector<base::HostId>
{
    return impl::firstRanked(list, witnessKey, maxWitnesses, false);
}

} // namespace tamarackspan::membership
