#include "execution_fleet.h"

#include "absl/time/clock.h"
#include "gtest/gtest.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>

namespace tamarackspan::execution_test {
namespace {

using Json = nlohmann::json;

/// The rule "not-run" must have been evaluated at least this often, and nothing that was answered as not run may have run.
auto expectNotRunHolds(const ExecutionFleet &fleet, std::uint64_t atLeast)
{
    const auto report = fleet.checkRules();
    std::cout << fleet.summary() << testkit::toString(report);
    EXPECT_TRUE(report.violations.empty());
    EXPECT_GE(judged(report, "not-run"), atLeast);
    EXPECT_TRUE(fleet.missingRuns().empty());
}

TEST(NotRunTest, RefusalsOverTheLimitsAndOfAnUnknownServiceRanNowhere)
{
    auto fleet = ExecutionFleet({.requestsPerSecond = 40, .concurrency = 12, .leafMicros = 60'000});
    ASSERT_TRUE(fleet.start().ok());
    auto load = mixedLoad(fleet.callerAddresses(), 401);
    load.mix.push_back({.customer = "desk", .operation = "orphan", .execute = true, .weight = 0.3});
    fleet.drive(load);
    EXPECT_GT(fleet.count("not-run", "rate-limit"), 0);
    EXPECT_GT(fleet.count("not-run", "concurrency-limit"), 0);
    EXPECT_GT(fleet.count("not-run", "service-unknown"), 0);
    expectNotRunHolds(fleet, 1);
}

TEST(NotRunTest, RefusalsOfLeafsThatShedAndDrainRanNowhere)
{
    auto fleet = ExecutionFleet({});
    ASSERT_TRUE(fleet.start().ok());
    ASSERT_TRUE(fleet.controlLeafs(Json{{"shed_share", 0.6}}).ok());
    fleet.drive(mixedLoad(fleet.callerAddresses(), 402));
    EXPECT_GT(fleet.count("not-run", "leaf-unavailable"), 0);
    ASSERT_TRUE(fleet.controlLeafs(Json{{"shed_share", 0.0}, {"draining", true}}).ok());
    auto load = mixedLoad(fleet.callerAddresses(), 403);
    load.caller = "later";
    load.duration = absl::Seconds(2);
    fleet.drive(load);
    expectNotRunHolds(fleet, 1);
}

TEST(NotRunTest, DeadlinesThatPassInTheQueueRanNowhere)
{
    auto fleet = ExecutionFleet({.slots = 2, .leafMicros = 80'000});
    ASSERT_TRUE(fleet.start().ok());
    auto load = mixedLoad(fleet.callerAddresses(), 404);
    load.deadline = absl::Milliseconds(200);
    fleet.drive(load);
    expectNotRunHolds(fleet, 1);
}

TEST(NotRunTest, RefusalsWhileAnOwnerIsKilledRanNowhere)
{
    // About eighteen requests are in flight at any moment, two thirds of them at the owners that are killed.
    auto fleet = ExecutionFleet({.leafMicros = 300'000, .ownershipGroupSize = 1});
    ASSERT_TRUE(fleet.start().ok());
    // Host 0 owns some leafs itself; its requests to the other leafs are in flight at the hosts that are killed.
    auto caller = std::thread([&fleet] {
        auto load = executeLoad({fleet.callerAddresses()[0]}, 405);
        load.rate = 60;
        load.executeAttempts = 1;
        fleet.drive(load);
    });
    absl::SleepFor(absl::Seconds(1));
    fleet.hosts().process(1).kill();
    fleet.hosts().process(2).kill();
    caller.join();
    EXPECT_GT(fleet.count("may-have-run", "outcome-unknown"), 0) << "no request was in flight at the owner";
    expectNotRunHolds(fleet, 0);
    EXPECT_GT(judged(fleet.checkRules(), "at-most-once"), 0);
}

TEST(NotRunTest, RefusalsOfAStoppingHostRanNowhere)
{
    auto fleet = ExecutionFleet({.hosts = 2, .leafMicros = 20'000});
    ASSERT_TRUE(fleet.start().ok());
    auto caller = std::thread([&fleet] {
        auto load = mixedLoad({fleet.callerAddresses()[0]}, 406);
        load.duration = absl::Seconds(4);
        fleet.drive(load);
    });
    absl::SleepFor(absl::Seconds(1));
    fleet.hosts().process(0).signal(SIGTERM);
    caller.join();
    const auto calls = fleet.history();
    EXPECT_TRUE(std::any_of(calls.begin(), calls.end(), [](const nlohmann::json &call) {
        return call.value("run", "") == "not-run";
    })) << "the stopping host refused no request";
    expectNotRunHolds(fleet, 1);
}

} // namespace
} // namespace tamarackspan::execution_test
