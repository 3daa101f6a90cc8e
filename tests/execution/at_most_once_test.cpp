#include "execution_fleet.h"

#include "tamarackspan/testkit/relay.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gtest/gtest.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>

namespace tamarackspan::execution_test {
namespace {

using Json = nlohmann::json;

/// No ticket may have run twice, and every ticket that was answered as run must be in the leafs' history.
auto expectOneRunEach(const ExecutionFleet &fleet)
{
    const auto report = fleet.checkRules();
    std::cout << fleet.summary() << testkit::toString(report);
    EXPECT_TRUE(report.violations.empty());
    EXPECT_GT(judged(report, "at-most-once"), 100);
    EXPECT_EQ(fleet.missingRuns(), std::vector<std::string>());
}

/// Drives the load on a separate thread while `faults` injects the faults.
auto driveWhile(ExecutionFleet &fleet, const testkit::LoadOptions &load, const std::function<void()> &faults) -> void
{
    auto caller = std::thread([&fleet, &load] {
        fleet.drive(load);
    });
    faults();
    caller.join();
}

/// Slows the leafs until callers have requests in flight at every host, injects the fault, and restores the leafs' service time.
auto injectWhileInFlight(ExecutionFleet &fleet, int leafMicros, const std::function<void()> &fault) -> void
{
    constexpr auto slowMicros = 400'000;
    // Shorter than the slow leafs' service time, so that what arrived during it is still in flight; at 27 requests a second for each host these are about
    // eight.
    constexpr auto gatherTime = absl::Milliseconds(300);
    EXPECT_TRUE(fleet.controlLeafs(Json{{"mean_us", slowMicros}}).ok());
    absl::SleepFor(gatherTime);
    fault();
    EXPECT_TRUE(fleet.controlLeafs(Json{{"mean_us", leafMicros}}).ok());
}

auto portOf(const std::string &address) -> std::uint16_t
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
}

TEST(AtMostOnceProcessTest, RepliesLostAfterTheRunOnReusedConnectionsToLeafs)
{
    auto fleet = ExecutionFleet({});
    ASSERT_TRUE(fleet.start().ok());
    ASSERT_TRUE(fleet.controlLeafs(Json{{"lost_share", 0.2}}).ok());
    fleet.drive(executeLoad(fleet.callerAddresses(), 501));
    EXPECT_GT(fleet.count("may-have-run", "outcome-unknown"), 0);
    expectOneRunEach(fleet);
}

TEST(AtMostOnceProcessTest, ConnectionsOfCallersCutBeforeTheReplyAndRetriedElsewhere)
{
    auto fleet = ExecutionFleet({.leafMicros = 20'000});
    ASSERT_TRUE(fleet.start().ok());
    auto relays = std::vector<std::unique_ptr<testkit::Relay>>();
    auto addresses = std::vector<std::string>();
    for (const auto &address : fleet.callerAddresses()) {
        relays.push_back(std::make_unique<testkit::Relay>(0, portOf(address), 0));
        addresses.push_back(absl::StrCat("127.0.0.1:", relays.back()->port()));
    }
    driveWhile(fleet, executeLoad(addresses, 502), [&relays] {
        for (auto i = 0; i < 40; ++i) {
            absl::SleepFor(absl::Milliseconds(60));
            EXPECT_TRUE(relays[static_cast<std::size_t>(i) % relays.size()]->change(Json{{"cut", true}}).ok());
        }
    });
    const auto calls = fleet.history();
    EXPECT_TRUE(std::any_of(calls.begin(), calls.end(), [](const Json &call) {
        return call.at("status") == 0 && call.at("run") == "may-have-run";
    })) << "no reply was lost";
    expectOneRunEach(fleet);
}

TEST(AtMostOnceProcessTest, AHostPausedPastAllDeadlinesThatWakesAgain)
{
    constexpr auto leafMicros = 20'000;
    auto fleet = ExecutionFleet({.leafMicros = leafMicros});
    ASSERT_TRUE(fleet.start().ok());
    auto load = executeLoad(fleet.callerAddresses(), 503);
    load.duration = absl::Seconds(7);
    load.rate = 80;
    load.timeout = absl::Milliseconds(1500);
    driveWhile(fleet, load, [&fleet] {
        for (const auto host : {1, 0}) {
            absl::SleepFor(absl::Milliseconds(500));
            injectWhileInFlight(fleet, leafMicros, [&fleet, host] {
                fleet.hosts().process(static_cast<std::size_t>(host)).signal(SIGSTOP);
            });
            absl::SleepFor(absl::Milliseconds(2200));
            fleet.hosts().process(static_cast<std::size_t>(host)).signal(SIGCONT);
        }
    });
    const auto calls = fleet.history();
    EXPECT_TRUE(std::any_of(calls.begin(), calls.end(), [](const Json &call) {
        return call.value("run", "") == "may-have-run";
    })) << "no request was in flight at a paused host";
    expectOneRunEach(fleet);
}

TEST(AtMostOnceProcessTest, AHostKilledAndReplacedAtItsAddress)
{
    constexpr auto leafMicros = 40'000;
    auto fleet = ExecutionFleet({.leafMicros = leafMicros});
    ASSERT_TRUE(fleet.start().ok());
    auto load = executeLoad(fleet.callerAddresses(), 504);
    load.duration = absl::Seconds(6);
    load.rate = 80;
    driveWhile(fleet, load, [&fleet] {
        for (const auto host : {std::size_t{1}, std::size_t{2}}) {
            absl::SleepFor(absl::Milliseconds(700));
            injectWhileInFlight(fleet, leafMicros, [&fleet, host] {
                fleet.hosts().process(host).kill();
            });
            absl::SleepFor(absl::Milliseconds(300));
            fleet.hosts().startHost(host);
            EXPECT_TRUE(fleet.hosts().waitReady(host, absl::Seconds(20)).ok());
        }
    });
    EXPECT_GT(fleet.count("may-have-run", "outcome-unknown"), 0);
    expectOneRunEach(fleet);
}

TEST(AtMostOnceProcessTest, HostListsThatChangeUnderTheLoad)
{
    auto fleet = ExecutionFleet({.leafMicros = 20'000});
    ASSERT_TRUE(fleet.start().ok());
    ASSERT_TRUE(fleet.controlLeafs(Json{{"lost_share", 0.05}}).ok());
    auto load = executeLoad(fleet.callerAddresses(), 505);
    load.duration = absl::Seconds(5);
    load.rate = 80;
    driveWhile(fleet, load, [&fleet] {
        for (auto i = 0; i < 10; ++i) {
            // A pending watch receives the change at once, while the other hosts' views lag: for a while the hosts hold different lists.
            EXPECT_TRUE(fleet.publishHosts(i % 2 == 0 ? std::vector<std::size_t>{0, 1} : std::vector<std::size_t>{0, 1, 2}).ok());
            absl::SleepFor(absl::Milliseconds(450));
        }
    });
    expectOneRunEach(fleet);
}

} // namespace
} // namespace tamarackspan::execution_test
