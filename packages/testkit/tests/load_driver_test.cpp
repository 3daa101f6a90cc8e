#include "tamarackspan/testkit/http_server.h"
#include "tamarackspan/testkit/load_driver.h"
#include "tamarackspan/testkit/loop_thread.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

#include <map>

namespace tamarackspan::testkit {
namespace {

using Json = nlohmann::json;

/// Simulates a daemon's caller API that answers queries and drops the reply to the first execute of each ticket.
class LoadDriverTest : public testing::Test
{
protected:
    auto handle(Exchange &exchange) -> void
    {
        const auto &request = exchange.request();
        const auto run = HttpHeader{.name = "Tamarackspan-Run", .value = "run"};
        if (absl::EndsWith(request.path, "/tickets")) {
            exchange.reply({.status = 200, .headers = {}, .body = Json{{"ticket", absl::StrCat("t", ++this->tickets)}}.dump()});
        } else if (absl::EndsWith(request.path, "/execute")) {
            const auto first = ++this->executes[request.header("tamarackspan-ticket")] == 1;
            first ? exchange.close() : exchange.reply({.status = 200, .headers = {run}, .body = request.body});
        } else if (absl::StrContains(request.path, "/refused/")) {
            exchange.reply({.status = 429, .headers = {{.name = "Tamarackspan-Run", .value = "not-run"}}, .body = R"({"error":{"reason":"rate-limit"}})"});
        } else {
            const auto label = R"({"coverage":{"shards":20,"covered":19,"missing":[3]},"cost":{"leaf_requests":21},"rows":[]})";
            exchange.reply({.status = 200, .headers = {run}, .body = label});
        }
    }

    auto drive(const Json &settings) -> std::vector<CallRecord>
    {
        auto options = LoadOptions();
        options.addresses = {absl::StrCat("127.0.0.1:", this->server.port())};
        options.count = 40;
        options.duration = absl::Seconds(60);
        EXPECT_TRUE(applyLoadOptions(options, settings).ok());
        auto calls = std::vector<CallRecord>();
        driveLoad(options,
                  {.onCall =
                       [&calls](const CallRecord &call) {
                           calls.push_back(call);
                       },
                   .onProgress = [](const LoadProgress &) {}});
        return calls;
    }

    std::map<std::string, int> executes;
    int tickets = 0;
    LoopThread thread;
    HttpServer server = HttpServer(this->thread.loop(), {}, [this](const std::shared_ptr<Exchange> &exchange) {
        this->handle(*exchange);
    });
};

TEST_F(LoadDriverTest, CountsAnswersAndRefusals)
{
    auto summary = LoadSummary();
    for (const auto &call : this->drive({{"rate", 2000}, {"in_flight", 40}, {"mix", {parseMix("a/lookup:3"), parseMix("refused/lookup:1")}}})) {
        addCall(summary, call);
    }
    EXPECT_EQ(summary.calls, 40);
    EXPECT_GT(summary.answers, 0);
    EXPECT_EQ(summary.refusals["rate-limit (not-run)"], 40 - summary.answers);
    EXPECT_EQ(summary.covered, 19 * summary.answers);
    EXPECT_EQ(summary.leafRequests, 21 * summary.answers);
    EXPECT_TRUE(absl::StrContains(summaryTable({summary}), "95.000      5.00\n")) << summaryTable({summary});
}

TEST_F(LoadDriverTest, ResendsWithTheSameTicketOnlyIfConfigured)
{
    const auto lost = this->drive({{"count", 1}, {"mix", {parseMix("a/book:1:execute")}}});
    ASSERT_EQ(lost.size(), 1);
    EXPECT_EQ(lost[0].run, "may-have-run");
    const auto calls = this->drive({{"count", 1}, {"execute_attempts", 2}, {"mix", {parseMix("a/book:1:execute")}}});
    ASSERT_EQ(calls.size(), 2);
    EXPECT_EQ(calls[0].ticket, calls[1].ticket);
    EXPECT_EQ(calls[1].answer["marker"], calls[1].marker);
    EXPECT_EQ(this->executes, (std::map<std::string, int>{{"t1", 1}, {"t2", 2}}));
}

TEST_F(LoadDriverTest, ReportsNotRunIfNoHostWasReached)
{
    const auto calls = this->drive({{"count", 1}, {"addresses", {"127.0.0.1:1"}}, {"mix", {parseMix("a/lookup")}}});
    ASSERT_EQ(calls.size(), 1);
    EXPECT_EQ(calls[0].run, "not-run");
    EXPECT_EQ(calls[0].status, 0);
}

TEST(LoadReportTest, QuantileUsesTheNearestRank)
{
    auto latencies = std::vector<absl::Duration>();
    for (auto i = 1000; i > 0; --i) {
        latencies.push_back(absl::Milliseconds(i));
    }
    EXPECT_EQ(quantile(latencies, 0.5), absl::Milliseconds(500));
    EXPECT_EQ(quantile(latencies, 0.999), absl::Milliseconds(999));
    EXPECT_EQ(quantile({}, 0.5), absl::ZeroDuration());
}

} // namespace
} // namespace tamarackspan::testkit
