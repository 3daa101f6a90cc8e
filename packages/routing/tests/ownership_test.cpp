#include "tamarackspan/routing/ownership.h"

#include "tamarackspan/base/random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <string>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::routing;

constexpr auto window = absl::Seconds(15);

auto makeHosts(std::uint32_t count, std::uint32_t from = 0) -> std::vector<base::HostId>
{
    auto hosts = std::vector<base::HostId>{};
    for (auto i = std::uint32_t{0}; i < count; ++i) {
        hosts.emplace_back("10.0.0." + std::to_string(from + i) + ":7000");
    }
    return hosts;
}

auto makeService(std::uint32_t leafs, std::uint32_t slots, std::uint32_t connections) -> contracts::Service
{
    auto service = contracts::Service{};
    service.name = base::ServiceName{"tubers"};
    service.ownershipGroupSize = 3;
    for (auto i = std::uint32_t{0}; i < leafs; ++i) {
        const auto id = base::LeafId{"leaf-" + std::to_string(i)};
        service.leafs.emplace(id, contracts::Leaf{id, "127.0.0.1", 1, slots, connections, false});
    }
    return service;
}

TEST(Ownership, PartsAddUpToTheCapsAndNoneIsEmpty)
{
    EXPECT_TRUE(rc::check([]() {
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 6);
        const auto connections = *rc::gen::inRange<std::uint32_t>(1, 30);
        const auto hosts = makeHosts(*rc::gen::inRange<std::uint32_t>(1, 9));
        const auto service = makeService(7, slots, connections);
        const auto all = ownershipOf(service, hosts);
        for (const auto &[leaf, owners] : all) {
            auto sum = LeafShare{};
            for (const auto &owner : owners) {
                RC_ASSERT(owner.slots > 0 && owner.connections > 0);
                sum = {sum.slots + owner.slots, sum.connections + owner.connections};
            }
            RC_ASSERT(sum == (LeafShare{slots, connections}));
            RC_ASSERT(owners == ownersOf(service, leaf, hosts));
        }
    }));
}

TEST(Ownership, NeighboursShareOwnersWhateverTheOrderOfHosts)
{
    const auto service = makeService(6, 2, 25);
    auto hosts = makeHosts(8);
    const auto first = ownersOf(service, base::LeafId{"leaf-0"}, hosts);
    std::ranges::reverse(hosts);
    EXPECT_EQ(first, ownersOf(service, base::LeafId{"leaf-0"}, hosts));
    EXPECT_EQ(first[0].host, ownersOf(service, base::LeafId{"leaf-2"}, hosts)[0].host);
    EXPECT_TRUE(ownersOf(service, base::LeafId{"unknown"}, hosts).empty());
    EXPECT_TRUE(ownersOf(service, base::LeafId{"leaf-0"}, {}).empty());
}

TEST(Ownership, OwnerIsChosenInProportionToItsSlots)
{
    const auto owners = std::vector<OwnerShare>{{base::HostId{"a"}, 2, 50}, {base::HostId{"b"}, 1, 50}};
    auto random = base::Random{3};
    auto first = 0;
    for (auto i = 0; i < 3000; ++i) {
        first += chooseOwner(owners, random.next()) == &owners[0] ? 1 : 0;
    }
    EXPECT_NEAR(first, 2000, 120);
    EXPECT_EQ(chooseOwner({}, 1), nullptr);
    EXPECT_EQ(chooseOwner(owners, std::array{4U, 1U}, 1), &owners[1]);
    EXPECT_EQ(chooseOwner(owners, std::array{2U, 2U}, ~std::uint64_t{0}), &owners[0]);
}

/// Applies a sequence of lists to all hosts, each up to `lag` late, and returns the most slots of one leaf that they ever held together.
auto mostSlotsHeld(std::uint64_t seed, absl::Duration waitWindow, absl::Duration lag) -> std::uint32_t
{
    auto random = base::Random{seed};
    const auto service = makeService(1, 2, 25);
    const auto leaf = base::LeafId{"leaf-0"};
    const auto everyone = makeHosts(8);
    auto views = std::vector<std::vector<HostView>>(everyone.size());
    auto due = std::vector<absl::Time>(everyone.size());
    auto hosts = everyone;
    auto now = absl::UnixEpoch();
    for (auto &view : views) {
        updateHosts(view, everyone, now - absl::Hours(1), waitWindow);
    }
    auto most = std::uint32_t{0};
    for (auto change = 0; change < 20; ++change) {
        hosts = everyone;
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(random.below(hosts.size())));
        for (auto &at : due) {
            at = now + lag * random.unit();
        }
        for (auto step = 0; step < 40; ++step) {
            now += lag / 20;
            auto held = std::uint32_t{0};
            for (auto i = std::size_t{0}; i < everyone.size(); ++i) {
                if (due[i] <= now) {
                    updateHosts(views[i], hosts, now, waitWindow);
                }
                held += currentShare(service, leaf, everyone[i], views[i], now, waitWindow).slots;
            }
            most = std::max(most, held);
        }
    }
    return most;
}

TEST(Ownership, ViewsThatDifferWithinTheWindowNeverBreakTheCap)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        RC_ASSERT(mostSlotsHeld(seed, window, window - absl::Seconds(1)) == 2U);
    }));
}

TEST(Ownership, ViewsThatDifferBreakTheCapWithoutTheWindow)
{
    auto broken = 0;
    for (auto seed = std::uint64_t{0}; seed < 20; ++seed) {
        broken += mostSlotsHeld(seed, absl::ZeroDuration(), window) > 2 ? 1 : 0;
    }
    EXPECT_GT(broken, 0);
}

TEST(Ownership, NewOwnerAndNewProcessWaitOutTheWindow)
{
    const auto service = makeService(1, 2, 25);
    const auto leaf = base::LeafId{"leaf-0"};
    const auto host = makeHosts(1);
    const auto begin = absl::UnixEpoch();
    auto views = std::vector<HostView>{};
    updateHosts(views, makeHosts(1, 50), begin - absl::Hours(1), window);
    updateHosts(views, host, begin, window);
    EXPECT_EQ(currentShare(service, leaf, host[0], views, begin + window - absl::Seconds(1), window), LeafShare{});
    EXPECT_EQ(currentShare(service, leaf, host[0], views, begin + window, window), (LeafShare{2, 25}));
    auto young = std::vector<HostView>{};
    updateHosts(young, host, begin, window);
    EXPECT_EQ(currentShare(service, leaf, host[0], young, begin + absl::Seconds(1), window), LeafShare{});
}

} // namespace
