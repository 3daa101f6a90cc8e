#include "deployment.h"

#include "tamarackspan/testkit/http_client.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <map>

namespace tamarackspan::answers {
namespace {

/// Compares what the leafs measured for the requests of one customer, cancelled ones included, with the costs that the answers report.
TEST(CostsTest, TheCostOfAnswersIsWhatTheLeafsMeasured)
{
    auto deployment = Deployment(2);
    // Without hedges, every reply is received before its answer is sent.
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
    deployment.addRecord({{"type", "charge"}, {"customer", "desk"}, {"micros", micros}});
    deployment.check({"cost-conservation", "true-coverage"});
    const auto history = deployment.fleet.leafHistory();
    EXPECT_EQ(requests, static_cast<std::int64_t>(std::count_if(history.begin(), history.end(), [](const Json &record) {
                  return record["type"] == "leaf";
              })));
}

/// Sums the costs charged by all incarnations, as reported by any host. Several hosts may report the same incarnation; the report with the highest sum is the
/// newest.
auto chargedMicros(const Deployment &deployment, const std::vector<std::size_t> &hosts) -> std::int64_t
{
    auto byIncarnation = std::map<std::string, std::int64_t>();
    for (const auto host : hosts) {
        const auto result = testkit::httpGet(absl::StrCat("http://", deployment.fleet.addresses(host).admin, "/costs"));
        EXPECT_TRUE(result.ok()) << result.status();
        const auto body = Json::parse(result.ok() ? result->body : "", nullptr, false);
        if (!body.is_object() || !body.contains("reports")) {
            ADD_FAILURE() << "no cost reports: " << (result.ok() ? result->body : "");
            continue;
        }
        for (const auto &report : body["reports"]) {
            auto sum = std::int64_t{0};
            for (const auto &row : report["rows"]) {
                sum += row["leaf_micros"].get<std::int64_t>();
            }
            auto &known = byIncarnation[report["incarnation"].get<std::string>()];
            known = std::max(known, sum);
        }
    }
    auto total = std::int64_t{0};
    for (const auto &[incarnation, micros] : byIncarnation) {
        total += micros;
    }
    return total;
}

/// Covers requests that are cancelled: hedges, and requests of callers that disconnect early.
TEST(CostsTest, CustomersAreChargedWhatTheLeafsMeasuredForCancelledRequestsToo)
{
    auto deployment = Deployment(2, {{"straggler_share", 0.05}, {"straggler_factor", 20}, {"slots", 16}});
    auto service = PublishedService();
    service.slots = 16;
    deployment.publishService(service);
    deployment.start();
    deployment.drive(deployment.load("strict", {0, 1}, 4116));
    auto disconnecting = deployment.load("labelled", {0, 1}, 4117);
    disconnecting.timeout = absl::Milliseconds(30);
    deployment.drive(disconnecting);
    absl::SleepFor(absl::Seconds(3));
    deployment.addRecord({{"type", "charge"}, {"customer", "desk"}, {"micros", chargedMicros(deployment, {0, 1})}});
    deployment.check({"cost-conservation", "true-coverage"});
}

} // namespace
} // namespace tamarackspan::answers
