#include "deployment.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/testkit/history.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <csignal>

namespace tamarackspan::answers {
namespace {

auto leavingNow(const std::string &leaf) -> Json
{
    return {{"type", "leaving"}, {"leaf", leaf}, {"at", testkit::historyTime(base::monotonicNow())}};
}

/// Records that a leaf begins to leave, and returns once it has received a request after that: before hosts can learn of the change from a publication, so that
/// the checker always has a request to judge. The time that this takes counts towards the bound within which hosts must stop.
auto beginLeaving(Deployment &deployment, const std::string &leaf) -> void
{
    constexpr auto checkInterval = absl::Milliseconds(2);
    constexpr auto timeout = absl::Seconds(1);
    const auto record = leavingNow(leaf);
    deployment.addRecord(record);
    const auto giveUpAt = base::monotonicNow() + timeout;
    while (base::monotonicNow() < giveUpAt) {
        const auto history = deployment.fleet.leafHistory();
        const auto received = std::any_of(history.begin(), history.end(), [&](const Json &request) {
            return request["type"] == "leaf" && request["leaf"] == leaf && request["arrived"] > record["at"];
        });
        if (received) {
            return;
        }
        absl::SleepFor(checkInterval);
    }
    ADD_FAILURE() << leaf << " received no request within " << timeout;
}

TEST(LeavingTest, APublishedLeafGetsNoNewWorkAfterThreeSeconds)
{
    auto deployment = Deployment(2);
    deployment.start();
    auto options = deployment.load("strict", {0, 1}, 4601);
    options.duration = absl::Seconds(6);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        auto service = PublishedService();
        service.leaving = {1};
        beginLeaving(deployment, "l1");
        deployment.publishService(service);
    });
    deployment.check({"leaving-leaf", "one-snapshot", "true-coverage"});
    // A planned removal of a leaf must not cost any caller its answer.
    EXPECT_EQ(deployment.answersOf(options.caller).size(), deployment.callsOf(options.caller).size());
}

/// One host is paused before the change is published and resumes after the bound has passed, with its callers' requests still queued.
TEST(LeavingTest, AHostThatWokeSendsNoNewWorkToAPublishedLeaf)
{
    auto deployment = Deployment(2);
    deployment.start();
    auto first = deployment.load("labelled", {0, 1}, 4602);
    first.inFlight = 24;
    first.duration = absl::Seconds(7);
    first.timeout = absl::Seconds(6);
    deployment.drive(first, [&] {
        absl::SleepFor(absl::Seconds(1));
        // Before the pause: afterwards the leaf may be the paused host's, and get nothing until the other host takes over.
        beginLeaving(deployment, "l1");
        deployment.fleet.process(1).signal(SIGSTOP);
        auto service = PublishedService();
        service.leaving = {1};
        deployment.publishService(service);
        absl::SleepFor(absl::Milliseconds(3500));
        deployment.fleet.process(1).signal(SIGCONT);
    });
    auto after = deployment.load("labelled", {0, 1}, 4603);
    after.duration = absl::Seconds(2);
    deployment.drive(after);
    deployment.check({"leaving-leaf", "one-snapshot", "true-coverage"});
    EXPECT_FALSE(deployment.answersOf(after.caller).empty());
}

/// Counts the requests that the leaf received after its first refusal as draining. Each must have been sent before its owner had read that refusal.
auto requestsAfterFirstRefusal(const std::vector<Json> &history, const std::string &leaf) -> std::size_t
{
    auto firstEnded = INT64_MAX;
    for (const auto &record : history) {
        if (record["type"] == "leaf" && record["leaf"] == leaf && record["outcome"] == "draining") {
            firstEnded = std::min(firstEnded, record["ended"].get<std::int64_t>());
        }
    }
    return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), [&](const Json &record) {
        return record["type"] == "leaf" && record["leaf"] == leaf && record["arrived"] > firstEnded;
    }));
}

/// One leaf begins to drain under load, whose last answers may tell the hosts before they send it anything further. Another one begins to drain while nothing
/// is under way, so that only a request after that can tell them: it always has something to judge.
TEST(LeavingTest, ALeafThatSaysItDrainsGetsNoMoreThanWasOnItsWay)
{
    constexpr auto slots = 4;
    auto deployment = Deployment(2);
    // No hedges and no budget for retries: what the leaf declines must still be sent to another leaf.
    deployment.publishContract({.deadlineMs = 2000, .extraLoadPermille = 0});
    deployment.start();
    auto first = deployment.load("strict", {0, 1}, 4604);
    first.duration = absl::Seconds(4);
    deployment.drive(first, [&] {
        absl::SleepFor(absl::Seconds(1));
        EXPECT_TRUE(deployment.fleet.controlLeaf("l1", {{"draining", true}}).ok());
    });
    EXPECT_TRUE(deployment.fleet.controlLeaf("l3", {{"draining", true}}).ok());
    auto second = deployment.load("strict", {0, 1}, 4607);
    second.duration = absl::Seconds(4);
    deployment.drive(second);
    deployment.check({"leaving-leaf", "one-snapshot", "true-coverage"});
    // Each owner may have filled its share of the slots before it read its first refusal.
    for (const auto *const leaf : {"l1", "l3"}) {
        EXPECT_LE(requestsAfterFirstRefusal(deployment.fleet.leafHistory(), leaf), slots) << leaf;
    }
    for (const auto &options : {first, second}) {
        EXPECT_EQ(deployment.answersOf(options.caller).size(), deployment.callsOf(options.caller).size());
    }
}

TEST(LeavingTest, AHostThatWokeSendsOnlyWhatItHadReadyToALeafThatSaidItDrains)
{
    constexpr auto slots = 4;
    auto deployment = Deployment(2);
    deployment.start();
    auto options = deployment.load("labelled", {0, 1}, 4605);
    options.inFlight = 24;
    options.duration = absl::Seconds(6);
    options.timeout = absl::Seconds(5);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.fleet.process(1).signal(SIGSTOP);
        EXPECT_TRUE(deployment.fleet.controlLeaf("l1", {{"draining", true}}).ok());
        absl::SleepFor(absl::Seconds(2));
        deployment.fleet.process(1).signal(SIGCONT);
    });
    EXPECT_LE(requestsAfterFirstRefusal(deployment.fleet.leafHistory(), "l1"), slots);
    deployment.check({"one-snapshot", "true-coverage"});
}

/// As above, but the host wakes after the bound has passed: whatever it sends to the leaf is late.
TEST(LeavingTest, AHostThatWokeAfterTheBoundSendsNothingToALeafThatSaidItDrains)
{
    auto deployment = Deployment(2);
    deployment.start();
    auto options = deployment.load("labelled", {0, 1}, 4606);
    options.inFlight = 24;
    options.duration = absl::Seconds(8);
    options.timeout = absl::Seconds(6);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        deployment.fleet.process(1).signal(SIGSTOP);
        // What the leaf had to answer is answered before it drains, so that no answer that waits for the host tells it.
        absl::SleepFor(absl::Milliseconds(500));
        EXPECT_TRUE(deployment.fleet.controlLeaf("l1", {{"draining", true}}).ok());
        absl::SleepFor(absl::Milliseconds(3500));
        deployment.fleet.process(1).signal(SIGCONT);
    });
    deployment.check({"one-snapshot", "true-coverage"});
}

} // namespace
} // namespace tamarackspan::answers
