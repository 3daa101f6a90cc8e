#include "deployment.h"

#include <algorithm>

namespace tamarackspan::answers {
namespace {

/// What the leafs measured for the requests of one customer, cancelled ones included, against what the answers say that they cost.
TEST(CostsTest, TheCostOfAnswersIsWhatTheLeafsMeasured)
{
    auto deployment = Deployment(2);
    // Without hedges every reply is in before its answer.
    deployment.publishContract({.deadlineMs = 2000, .extraLoadPermille = 0});
    deployment.start();
    const auto options = deployment.load("strict", {0, 1}, 4110);
    deployment.drive(options);
    auto micros = std::int64_t{0};
    auto requests = std::int64_t{0};
    for (const auto &answer : deployment.answersOf(options.caller)) {
        micros += answer["cost"]["leaf_micros"].get<std::int64_t>();
        requests += answer["cost"]["leaf_requests"].get<std::int64_t>();
    }
    ASSERT_EQ(deployment.answersOf(options.caller).size(), deployment.callsOf(options.caller).size());
    deployment.note({{"type", "charge"}, {"customer", "desk"}, {"micros", micros}});
    deployment.check({"cost-conservation", "true-coverage"});
    const auto history = deployment.fleet.leafHistory();
    EXPECT_EQ(requests, static_cast<std::int64_t>(std::count_if(history.begin(), history.end(), [](const Json &record) {
                  return record["type"] == "leaf";
              })));
}

} // namespace
} // namespace tamarackspan::answers
