#include "tamarackspan/gateway/decisions/connection_share.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace {

using namespace tamarackspan::gateway;

TEST(ConnectionShare, DividesALeafsConnections)
{
    EXPECT_EQ(shareConnections(120, {.count = 4}), (ConnectionShare{.connections = 27}));
    EXPECT_EQ(shareConnections(120, {.count = 0}), (ConnectionShare{.connections = 108}));
    EXPECT_EQ(shareConnections(120, {.count = 108}), (ConnectionShare{.connections = 1}));
}

// 195 hosts and 120 connections: each asks a leaf 200 ms after another for a while. Kept for the usual 50 seconds, their connections would exceed the cap.
TEST(ConnectionShare, HostsThatOutnumberTheConnectionsDontKeepThem)
{
    constexpr auto hosts = 195;
    constexpr auto cap = 120;
    const auto share = shareConnections(cap, {.count = hosts});
    auto open = 0;
    auto peak = 0;
    for (auto host = 0; host < hosts; ++host) {
        open += 1;
        peak = std::max(peak, open);
        if (share.idleTimeout < absl::Milliseconds(200)) {
            open -= 1;
        }
    }
    EXPECT_LE(peak, cap);
}

/// One of many hosts that ask the same leaf, as a connection pool behaves that keeps to its share.
struct AskingHost
{
    absl::Time startedAt = absl::InfinitePast();
    /// When each open connection becomes or became idle.
    std::vector<absl::Time> connections;
};

/// A day of one leaf with 195 hosts, of which a sixth start again every ten seconds: each asks the leaf about three times a second, for 20 ms on average, and
/// five times as often for two seconds after each minute's fifteenth. Returns how many connections the leaf resets because it has no more. With `keepIdle`
/// connections are kept whatever the share says.
auto countResets(bool keepIdle) -> int
{
    constexpr auto cap = std::uint32_t{120};
    constexpr auto tick = absl::Milliseconds(5);
    constexpr auto settleTime = absl::Seconds(4);
    auto random = std::mt19937(20261205);
    auto draw = std::uniform_real_distribution<double>();
    auto hosts = std::vector<AskingHost>(195);
    auto resets = 0;
    const auto begin = absl::UnixEpoch();
    for (auto now = begin; now < begin + absl::Seconds(60); now += tick) {
        const auto second = absl::ToInt64Seconds(now - begin);
        const auto rate = second >= 15 && second < 17 ? 15.0 : 3.0;
        auto open = std::size_t{0};
        for (const auto &host : hosts) {
            open += host.connections.size();
        }
        for (auto at = std::size_t{0}; at < hosts.size(); ++at) {
            auto &host = hosts[at];
            if (second > 0 && second % 10 == 0 && now - begin == absl::Seconds(second) && at % 6 == static_cast<std::size_t>(second / 10)) {
                open -= host.connections.size();
                host = {.startedAt = now, .connections = {}};
            }
            const auto settled = now - host.startedAt > settleTime;
            const auto share = shareConnections(cap, {.count = settled ? hosts.size() : 64, .assumed = !settled});
            const auto before = host.connections.size();
            std::erase_if(host.connections, [&](absl::Time idleFrom) {
                return !keepIdle && idleFrom <= now && now - idleFrom >= share.idleTimeout;
            });
            open -= before - host.connections.size();
            if (draw(random) >= rate * absl::ToDoubleSeconds(tick)) {
                continue;
            }
            const auto until = now + absl::Seconds(-0.02 * std::log(1.0 - draw(random)));
            const auto idle = std::ranges::find_if(host.connections, [now](absl::Time idleFrom) {
                return idleFrom <= now;
            });
            if (idle != host.connections.end()) {
                *idle = until;
            } else if (host.connections.size() < share.connections && open >= cap) {
                ++resets;
            } else if (host.connections.size() < share.connections) {
                host.connections.push_back(until);
                ++open;
            }
        }
    }
    return resets;
}

TEST(ConnectionShare, ALeafOf195HostsThatComeAndGoResetsAtMost50Connections)
{
    EXPECT_LE(countResets(false), 50);
    EXPECT_GT(countResets(true), 50);
}

// A host of a small deployment that has just started assumes 64 hosts, which the 25 connections of a leaf aren't enough for.
TEST(ConnectionShare, AnAssumedNumberOfHostsClosesNothing)
{
    EXPECT_EQ(shareConnections(25, {.count = 64, .assumed = true}), ConnectionShare());
    EXPECT_EQ(shareConnections(25, {.count = 64}).idleTimeout, absl::ZeroDuration());
}

} // namespace
