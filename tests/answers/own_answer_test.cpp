#include "deployment.h"

#include "tamarackspan/testkit/relay.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <csignal>
#include <memory>

namespace tamarackspan::answers {
namespace {

const auto checkedRules = std::vector<std::string>{"one-snapshot", "true-coverage", "whole-answer", "own-answer", "no-duplicates"};

TEST(OwnAnswerTest, LateAndCrossedRepliesOfLeafsReachNoOtherCaller)
{
    auto deployment = Deployment(2, {{"crossed_share", 0.02}, {"late_share", 0.01}, {"late_ms", 20}, {"lost_share", 0.005}});
    deployment.start();
    auto options = deployment.load("labelled", {0, 1}, 4301);
    options.deadline = absl::Milliseconds(300);
    deployment.drive(options);
    deployment.check(checkedRules);
    EXPECT_FALSE(deployment.answersOf(options.caller).empty());
}

TEST(OwnAnswerTest, RepliesForDisconnectedCallersReachNoOtherCaller)
{
    auto deployment = Deployment(2, {{"exponential", true}, {"mean_us", 10000}});
    deployment.start();
    auto disconnecting = deployment.load("labelled", {0, 1}, 4302);
    disconnecting.timeout = absl::Milliseconds(25);
    deployment.drive(disconnecting);
    auto staying = deployment.load("strict", {0, 1}, 4303);
    staying.duration = absl::Seconds(2);
    deployment.drive(staying);
    deployment.check(checkedRules);
    const auto disconnected = deployment.callsOf(disconnecting.caller);
    EXPECT_TRUE(std::any_of(disconnected.begin(), disconnected.end(), [](const Json &call) {
        return call["status"] == 0;
    }));
    // Requests of disconnected callers must not take slots from the others.
    EXPECT_EQ(deployment.answersOf(staying.caller).size(), deployment.callsOf(staying.caller).size());
}

/// The connections to the leafs are delayed, become unresponsive and are cut.
TEST(OwnAnswerTest, SlowAndBrokenConnectionsToLeafsMixUpNoReplies)
{
    auto deployment = Deployment(2);
    auto options = deployment.load("labelled", {0, 1}, 4304);
    options.deadline = absl::Milliseconds(250);
    auto relays = std::vector<std::unique_ptr<testkit::Relay>>();
    auto service = PublishedService();
    for (auto leaf = std::size_t{0}; leaf < deployment.leafPorts.size(); ++leaf) {
        relays.push_back(std::make_unique<testkit::Relay>(0, deployment.leafPorts[leaf], 0));
        service.otherPorts[leaf] = relays[leaf]->port();
    }
    deployment.publishService(service);
    deployment.start();
    deployment.drive(options, [&] {
        const auto change = [&relays](const Json &what) {
            for (const auto &relay : relays) {
                EXPECT_TRUE(relay->change(what).ok());
            }
            absl::SleepFor(absl::Milliseconds(500));
        };
        change({{"delay_ms", 40}});
        change({{"delay_ms", 200}});
        change({{"delay_ms", 0}, {"silent", "open"}});
        change({{"cut", true}});
        change({{"one_way", "to_server"}});
        change({{"one_way", "both"}});
    });
    deployment.check(checkedRules);
    EXPECT_FALSE(deployment.answersOf(options.caller).empty());
}

/// One host receives the requests. The two others, which own two thirds of the leafs, are paused repeatedly for longer than the callers' deadlines, so that
/// their replies arrive late.
TEST(OwnAnswerTest, LateRepliesBetweenHostsReachNoOtherCaller)
{
    auto deployment = Deployment(3, Json::object());
    deployment.start();
    auto options = deployment.load("labelled", {0}, 4305);
    options.deadline = absl::Milliseconds(100);
    deployment.drive(options, [&] {
        for (auto round = std::size_t{0}; round < 8; ++round) {
            auto &owner = deployment.fleet.process(1 + round % 2);
            owner.signal(SIGSTOP);
            absl::SleepFor(absl::Milliseconds(200));
            owner.signal(SIGCONT);
            absl::SleepFor(absl::Milliseconds(200));
        }
    });
    deployment.check(checkedRules);
    EXPECT_FALSE(deployment.answersOf(options.caller).empty());
}

} // namespace
} // namespace tamarackspan::answers
