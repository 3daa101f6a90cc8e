#include "tamarackspan/membership/overlay.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace {

using namespace tamarackspan;

auto listOf(std::size_t size, std::uint32_t salt) -> contracts::HostList
{
    auto list = contracts::HostList();
    for (auto i = std::size_t{0}; i < size; ++i) {
        list.hosts.push_back({base::HostId("10.0.0." + std::to_string(i * 7919 + salt) + ":7000"), false});
    }
    std::sort(list.hosts.begin(), list.hosts.end());
    return list;
}

struct Reach
{
    std::size_t hosts = 1;
    std::size_t hops = 0;
};

// Follows the overlay breadth-first from the first host of the list.
auto reachOf(const contracts::HostList &list) -> Reach
{
    auto seen = std::set<base::HostId>{list.hosts.front().id};
    auto open = std::vector<base::HostId>{list.hosts.front().id};
    auto reach = Reach();
    while (!open.empty()) {
        auto next = std::vector<base::HostId>();
        for (const auto &host : open) {
            for (const auto &peer : membership::overlayPeers(list, host)) {
                if (seen.insert(peer).second) {
                    next.push_back(peer);
                }
            }
        }
        reach.hops += next.empty() ? 0 : 1;
        open = std::move(next);
    }
    reach.hosts = seen.size();
    return reach;
}

TEST(Overlay, IsConnectedWithFewPeersAtAnySize)
{
    EXPECT_TRUE(rc::check([] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 200);
        const auto list = listOf(size, *rc::gen::inRange<std::uint32_t>(0, 1000));
        RC_ASSERT(reachOf(list).hosts == size);
        for (const auto &host : list.hosts) {
            const auto peers = membership::overlayPeers(list, host.id);
            RC_ASSERT(peers.size() <= 4U);
            for (const auto &peer : peers) {
                const auto back = membership::overlayPeers(list, peer);
                RC_ASSERT(std::find(back.begin(), back.end(), host.id) != back.end());
            }
        }
    }));
}

TEST(Overlay, ReachesAllOf525HostsInFewHops)
{
    const auto reach = reachOf(listOf(525, 3));
    EXPECT_EQ(reach.hosts, 525U);
    EXPECT_LE(reach.hops, 8U);
}

TEST(Overlay, RemovingOneHostChangesAtMostOneWitness)
{
    EXPECT_TRUE(rc::check([](std::uint32_t salt) {
        auto list = listOf(*rc::gen::inRange<std::size_t>(2, 60), salt % 1000);
        const auto before = membership::witnesses(list);
        list.hosts.erase(list.hosts.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(list.hosts.size())));
        const auto after = membership::witnesses(list);
        const auto kept = std::count_if(before.begin(), before.end(), [&after](const auto &host) {
            return std::find(after.begin(), after.end(), host) != after.end();
        });
        RC_ASSERT(kept + 1 >= static_cast<std::ptrdiff_t>(before.size()));
    }));
}

TEST(Overlay, LeavingHostsWatchThePlatformLast)
{
    auto list = listOf(4, 1);
    const auto first = membership::platformWatchers(list);
    ASSERT_EQ(first.size(), 2U);
    for (auto &host : list.hosts) {
        host.leaving = std::find(first.begin(), first.end(), host.id) != first.end();
    }
    for (const auto &host : membership::platformWatchers(list)) {
        EXPECT_EQ(std::find(first.begin(), first.end(), host), first.end());
    }
    EXPECT_TRUE(membership::overlayPeers(list, base::HostId("elsewhere")).empty());
}

} // namespace
