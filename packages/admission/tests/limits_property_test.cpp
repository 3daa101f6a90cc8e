#include "fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::admission;
using namespace tamarackspan::admission::testing;

template<typename T, std::size_t size>
auto oneOf(base::Random &random, const std::array<T, size> &values) -> T
{
    return values[random.below(size)];
}

// All kinds of faults. In each run every kind is frequent, rare or absent: if all were frequent, no host would ever hold a share.
auto faultyFleet(std::uint64_t seed) -> FleetOptions
{
    constexpr auto chances = std::array<std::uint32_t, 4>{0, 5, 15, 60};
    auto random = base::Random(seed);
    auto options = FleetOptions();
    options.seed = seed;
    options.hosts = 2 + random.below(7);
    options.shared.rate = static_cast<std::uint32_t>(1 + random.below(80));
    options.shared.burst = static_cast<std::uint32_t>(1 + random.below(20));
    options.shared.concurrency = static_cast<std::uint32_t>(1 + random.below(30));
    options.maxRequestDuration = oneOf(random, std::array{absl::Milliseconds(100), absl::Milliseconds(400), absl::Seconds(2)});
    options.lossPermille = oneOf(random, std::array<std::uint32_t, 3>{0, 20, 200});
    options.maxDelay = oneOf(random, std::array{absl::Milliseconds(2), absl::Milliseconds(100), absl::Milliseconds(600), absl::Seconds(3)});
    options.pausePermille = oneOf(random, chances);
    options.replacePermille = oneOf(random, chances);
    options.restartPermille = oneOf(random, chances);
    options.cutPermille = oneOf(random, chances);
    options.splitPermille = oneOf(random, chances);
    // The load moves from host to host, then all hosts have load.
    const auto period = 1 + static_cast<double>(random.below(10));
    options.load = [period](std::size_t index, absl::Duration since) {
        const auto phase = static_cast<std::size_t>(absl::ToDoubleSeconds(since) / period) % 4;
        return phase == 3 || index == phase ? 100.0 : 1.0;
    };
    return options;
}

// No faults but slow messages, and load that moves to another host while the units it used before are still lent.
auto calmFleet(std::uint64_t seed) -> FleetOptions
{
    auto random = base::Random(seed);
    auto options = FleetOptions();
    options.seed = seed;
    options.hosts = 2 + random.below(3);
    options.shared = {60, 6, 60};
    options.maxRequestDuration = absl::Milliseconds(50);
    options.maxDelay = absl::Milliseconds(400);
    const auto period = 2 + static_cast<double>(random.below(6));
    options.load = [period](std::size_t index, absl::Duration since) {
        const auto phase = static_cast<std::size_t>(absl::ToDoubleSeconds(since) / period) % 4;
        return phase == 3 || index == phase ? 100.0 : 0.0;
    };
    return options;
}

// A host is cut off from the platform and from its peers, and replaced, while callers still reach it.
auto isolatedHost(std::uint64_t seed) -> FleetOptions
{
    auto options = calmFleet(seed);
    options.hosts = 3;
    options.load = [](std::size_t, absl::Duration) {
        return 100.0;
    };
    options.script = [done = false](Fleet &fleet, absl::Duration since) mutable {
        if (!done && since >= absl::Seconds(40)) {
            done = true;
            fleet.processes[0].cutFromPlatform = true;
            fleet.processes[0].side = 1;
            fleet.replace(0, false);
            fleet.processes.back().cutFromPlatform = false;
        }
    };
    return options;
}

auto overshoots(const FleetOutcome &outcome) -> bool
{
    return outcome.rateOvershoot > 0 || outcome.concurrencyOvershoot > 0;
}

// Returns the first of 300 seeds whose run exceeds the limits with a mechanism switched off; 0 if there is none.
auto firstSeedOverLimits(const std::function<FleetOptions(std::uint64_t)> &fleet, const std::function<void(FleetOptions &)> &switchOff) -> std::uint64_t
{
    for (auto seed = std::uint64_t{1}; seed <= 300; ++seed) {
        auto options = fleet(seed);
        switchOff(options);
        if (overshoots(Fleet(options).run())) {
            return seed;
        }
    }
    return 0;
}

TEST(Limits, NoFaultTakesTheSumOverAllHostsPastTheLimits)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        const auto outcome = Fleet(faultyFleet(seed)).run();
        RC_ASSERT(outcome.rateOvershoot == 0);
        RC_ASSERT(outcome.concurrencyOvershoot == 0U);
    }));
}

TEST(Limits, AnIsolatedHostThatWasReplacedStops)
{
    const auto outcome = Fleet(isolatedHost(1)).run();
    EXPECT_EQ(outcome.rateOvershoot, 0);
    EXPECT_EQ(outcome.concurrencyOvershoot, 0U);
}

TEST(Limits, EachMechanismIsNeeded)
{
    EXPECT_NE(firstSeedOverLimits(isolatedHost,
                                  [](FleetOptions &options) {
                                      options.roster.checkLease = false;
                                  }),
              0U);
    EXPECT_NE(firstSeedOverLimits(faultyFleet,
                                  [](FleetOptions &options) {
                                      options.roster.waitToGrow = false;
                                  }),
              0U);
    EXPECT_NE(firstSeedOverLimits(faultyFleet,
                                  [](FleetOptions &options) {
                                      options.roster.askWitnesses = false;
                                  }),
              0U);
    EXPECT_NE(firstSeedOverLimits(faultyFleet,
                                  [](FleetOptions &options) {
                                      options.lending.lowerBeforeLending = false;
                                  }),
              0U);
    EXPECT_NE(firstSeedOverLimits(calmFleet,
                                  [](FleetOptions &options) {
                                      options.lending.countFromRequest = false;
                                  }),
              0U);
}

} // namespace
