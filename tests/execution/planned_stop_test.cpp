#include "execution_fleet.h"
#include "ready_callers.h"

#include "absl/time/clock.h"
#include "gtest/gtest.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace tamarackspan::execution_test {
namespace {

using Json = nlohmann::json;

constexpr auto callers = std::size_t{12};
constexpr auto stopTimeout = absl::Seconds(40);

/// Every call must have been answered with 200.
auto expectNoneFailed(const ExecutionFleet &fleet) -> void
{
    const auto report = fleet.checkRules();
    std::cout << fleet.summary() << testkit::toString(report);
    const auto calls = fleet.history();
    EXPECT_GT(calls.size(), 300);
    for (const auto &call : calls) {
        EXPECT_EQ(call.value("status", 0), 200) << call.dump();
    }
    EXPECT_TRUE(report.violations.empty());
    EXPECT_TRUE(fleet.missingRuns().empty());
}

auto stopAndWait(ExecutionFleet &fleet, std::size_t host) -> void
{
    auto &process = fleet.hosts().process(host);
    process.signal(SIGTERM);
    EXPECT_EQ(process.wait(stopTimeout), (testkit::ExitOutcome{.status = 0, .signal = std::nullopt})) << process.output();
}

TEST(PlannedStopTest, TheSameLoadWithoutAStopFailsNowhere)
{
    auto fleet = ExecutionFleet({.timing = {"ticket_life_ms = 2000"}});
    ASSERT_TRUE(fleet.start().ok());
    {
        auto load = ReadyCallers(fleet, callers, 701);
        absl::SleepFor(absl::Seconds(4));
    }
    expectNoneFailed(fleet);
}

TEST(PlannedStopTest, ARollingRestartOfAllHostsCutsNoRequest)
{
    auto fleet = ExecutionFleet({.timing = {"ticket_life_ms = 2000"}});
    ASSERT_TRUE(fleet.start().ok());
    {
        auto load = ReadyCallers(fleet, callers, 702);
        absl::SleepFor(absl::Seconds(1));
        for (auto host = std::size_t{0}; host < fleet.callerAddresses().size(); ++host) {
            stopAndWait(fleet, host);
            fleet.hosts().startHost(host);
            ASSERT_TRUE(fleet.hosts().waitReady(host, absl::Seconds(20)).ok());
            absl::SleepFor(absl::Milliseconds(500));
        }
    }
    expectNoneFailed(fleet);
}

TEST(PlannedStopTest, AnOwnerThatStopsAnswersTheRequestsOfOtherEntries)
{
    // The entry host does not own every leaf, and the leafs are slow: requests are in flight at the owner when it stops.
    auto fleet = ExecutionFleet({.deadlineMillis = 3000, .leafMicros = 300'000, .timing = {"ticket_life_ms = 2000"}});
    ASSERT_TRUE(fleet.start().ok());
    auto caller = std::thread([&fleet] {
        auto load = mixedLoad({fleet.callerAddresses()[0]}, 703);
        load.rate = 20;
        load.duration = absl::Seconds(5);
        fleet.drive(load);
    });
    absl::SleepFor(absl::Seconds(1));
    stopAndWait(fleet, 1);
    caller.join();
    const auto report = fleet.checkRules();
    std::cout << fleet.summary() << testkit::toString(report);
    const auto calls = fleet.history();
    EXPECT_GT(calls.size(), 50);
    for (const auto &call : calls) {
        EXPECT_EQ(call.value("status", 0), 200) << call.dump();
    }
    EXPECT_TRUE(report.violations.empty());
}

} // namespace
} // namespace tamarackspan::execution_test
