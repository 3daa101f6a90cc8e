#include "deployment.h"

#include "absl/time/clock.h"

#include <algorithm>

namespace tamarackspan::answers {
namespace {

auto countOf(const std::vector<Json> &answers, const std::function<bool(const Json &)> &predicate) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), predicate));
}

auto isPartial(const Json &answer) -> bool
{
    return !answer["coverage"]["missing"].empty() && answer["coverage"]["covered"] > 0;
}

const auto checkedRules = std::vector<std::string>{"one-snapshot", "true-coverage", "whole-answer", "own-answer", "no-duplicates"};

TEST(CoverageTest, PartialAndFailedRepliesAreNamedMissing)
{
    auto deployment = Deployment(2, {{"partial_share", 0.4}, {"fail_share", 0.2}, {"shed_share", 0.1}});
    deployment.start();
    const auto options = deployment.load("labelled", {0, 1}, 4201);
    deployment.drive(options);
    deployment.check(checkedRules);
    EXPECT_GT(countOf(deployment.answersOf(options.caller), isPartial), 0);
}

/// An error reply without any header of the protocol must end the request and free its slot for the next one at once.
TEST(CoverageTest, BareErrorsOfLeafsDontUseUpTheirSlots)
{
    auto deployment = Deployment(2, {{"fail_share", 0.5}});
    deployment.start();
    const auto options = deployment.load("labelled", {0, 1}, 4206);
    deployment.drive(options);
    deployment.check(checkedRules);
    const auto calls = deployment.callsOf(options.caller).size();
    const auto history = deployment.fleet.leafHistory();
    // Each call asks for four shards.
    EXPECT_GE(countOf(history,
                      [](const Json &record) {
                          return record["type"] == "leaf";
                      }),
              calls * 4);
}

TEST(CoverageTest, SlowLeafsWithShortDeadlinesAreNamedMissing)
{
    auto deployment = Deployment(2, {{"exponential", true}, {"mean_us", 20000}, {"slots", 32}});
    auto service = PublishedService();
    service.slots = 32;
    deployment.publishService(service);
    deployment.start();
    auto options = deployment.load("labelled", {0, 1}, 4202);
    options.deadline = absl::Milliseconds(40);
    deployment.drive(options);
    deployment.check(checkedRules);
    EXPECT_GT(countOf(deployment.answersOf(options.caller), isPartial), 0);
}

TEST(CoverageTest, ShardsOfLostLeafsAreNamedMissing)
{
    auto deployment = Deployment(2);
    deployment.start();
    auto options = deployment.load("labelled", {0, 1}, 4203);
    options.deadline = absl::Milliseconds(300);
    deployment.drive(options, [&] {
        absl::SleepFor(absl::Seconds(1));
        // Shard 1 has no replica left; each other shard has one.
        for (const auto *leaf : {"l1", "l2"}) {
            EXPECT_TRUE(deployment.fleet.controlLeaf(leaf, {{"silent_share", 1.0}}).ok());
        }
    });
    deployment.check(checkedRules);
    EXPECT_GT(countOf(deployment.answersOf(options.caller),
                      [](const Json &answer) {
                          return answer["coverage"]["missing"] == Json{1};
                      }),
              0);
}

TEST(CoverageTest, HedgedShardsAreMergedOnce)
{
    auto deployment = Deployment(2, {{"straggler_share", 0.1}, {"straggler_factor", 30}, {"slots", 16}});
    auto service = PublishedService();
    service.slots = 16;
    deployment.publishService(service);
    deployment.publishContract({.deadlineMs = 2000, .extraLoadPermille = 500});
    deployment.start();
    const auto options = deployment.load("strict", {0, 1}, 4204);
    deployment.drive(options);
    deployment.check(checkedRules);
    EXPECT_GT(countOf(deployment.answersOf(options.caller),
                      [](const Json &answer) {
                          return answer["cost"]["leaf_requests"] > 4;
                      }),
              0)
        << "no request was hedged";
}

} // namespace
} // namespace tamarackspan::answers
