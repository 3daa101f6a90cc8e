#include "tamarackspan/testkit/http_client.h"
#include "tamarackspan/testkit/leaf_stand_in.h"
#include "tamarackspan/testkit/platform_stand_in.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

#include <future>

namespace tamarackspan::testkit {
namespace {

using Json = nlohmann::json;

/// A leaf stand-in with one leaf, which serves shard 3 and versions 42 and 41.
class LeafStandInTest : public testing::Test
{
protected:
    auto url(const std::string &path) -> std::string
    {
        return absl::StrCat("http://127.0.0.1:", this->leafPort, path);
    }

    auto control(const Json &change) -> void
    {
        const auto reply = httpPost(absl::StrCat("http://127.0.0.1:", this->standIn.controlPort(), "/control/a"), change.dump());
        ASSERT_TRUE(reply.ok() && reply->status == 200);
    }

    auto query(const std::string &request, const std::string &version = "42", const std::string &deadline = "5000") -> absl::StatusOr<HttpResult>
    {
        return httpSend("POST", this->url("/v1/shards/3/query"),
                        {{.name = "Tamarackspan-Request", .value = request},
                         {.name = "Tamarackspan-Index-Version", .value = version},
                         {.name = "Tamarackspan-Deadline-Ms", .value = deadline}},
                        Json{{"marker", request}}.dump());
    }

    auto history() -> std::vector<Json>
    {
        return parseHistory(httpGet(absl::StrCat("http://127.0.0.1:", this->standIn.controlPort(), "/history/a"))->body);
    }

    /// Waits until the history has this many records.
    auto waitForHistory(std::size_t count) -> std::vector<Json>
    {
        auto records = this->history();
        while (records.size() < count) {
            absl::SleepFor(absl::Milliseconds(2));
            records = this->history();
        }
        return records;
    }

    LeafStandIn standIn = LeafStandIn(0, HistoryStore::Memory);
    std::uint16_t leafPort = this->standIn.add(parseKeyValues("id=a,slots=1,connections=2,shards=3,index_versions=42+41,mean_us=0")).value();
};

TEST_F(LeafStandInTest, AnswersWithRowsThatNameShardVersionAndMarker)
{
    const auto reply = this->query("1-1");
    ASSERT_TRUE(reply.ok()) << reply.status();
    EXPECT_EQ(reply->status, 200);
    EXPECT_EQ(reply->headers.at("tamarackspan-outcome"), "complete");
    EXPECT_EQ(reply->headers.at("tamarackspan-request"), "1-1");
    const auto row = Json::parse(reply->body).at(0);
    EXPECT_EQ(row["key"], "s3-v42-0");
    EXPECT_EQ(row["marker"], "1-1");
    EXPECT_EQ(this->query("1-2", "40")->headers.at("tamarackspan-outcome"), "not-held");
}

TEST_F(LeafStandInTest, RunsThenLosesTheReply)
{
    this->control({{"lost_share", 1}});
    EXPECT_FALSE(this->query("1-1").ok());
    const auto records = this->history();
    ASSERT_EQ(records.size(), 1);
    EXPECT_TRUE(records[0]["ran"].get<bool>());
    EXPECT_EQ(records[0]["reply"], "lost");
}

TEST_F(LeafStandInTest, SendsTheReplyToAnEarlierRequest)
{
    ASSERT_TRUE(this->query("1-1").ok());
    this->control({{"crossed_share", 1}});
    EXPECT_EQ(this->query("1-2")->headers.at("tamarackspan-request"), "1-1");
}

TEST_F(LeafStandInTest, EndsAtTheDeadlineOrWhenCancelled)
{
    this->control({{"mean_us", 60000000}});
    EXPECT_EQ(this->query("1-1", "42", "5")->headers.at("tamarackspan-outcome"), "deadline");
    auto second = std::async(std::launch::async, [this] {
        return this->query("1-2");
    });
    while (second.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) {
        ASSERT_EQ(httpSend("DELETE", this->url("/v1/requests/1-2"))->status, 204);
    }
    EXPECT_EQ(second.get()->headers.at("tamarackspan-outcome"), "cancelled");
}

TEST_F(LeafStandInTest, CountsWorkAboveTheSlotsAndCancelsOnAClosedConnection)
{
    this->control({{"mean_us", 60000000}});
    auto first = std::async(std::launch::async, [this] {
        return httpSend("POST", this->url("/v1/shards/3/query"), {{.name = "Tamarackspan-Index-Version", .value = "42"}}, "", absl::Seconds(1));
    });
    while (Json::parse(httpGet(this->url("/v1/status"))->body)["active"] != 1) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    EXPECT_EQ(this->query("1-2")->headers.at("tamarackspan-outcome"), "shed");
    EXPECT_FALSE(first.get().ok());
    const auto records = this->waitForHistory(2);
    EXPECT_EQ(records[0]["violation"], "slots");
    EXPECT_EQ(records[1]["outcome"], "cancelled");
    EXPECT_EQ(records[1]["reply"], "lost");
}

TEST_F(LeafStandInTest, RejectsAnUnknownBehaviourKey)
{
    const auto reply = httpPost(absl::StrCat("http://127.0.0.1:", this->standIn.controlPort(), "/control/a"), R"({"lost_shares": 1})");
    EXPECT_EQ(reply->status, 400);
    EXPECT_EQ(reply->body, "lost_shares: unknown key\n");
}

TEST(PlatformStandInTest, ListsValuesAndWakesTheWaitingCall)
{
    auto standIn = PlatformStandIn(0, 0);
    const auto url = absl::StrCat("http://127.0.0.1:", standIn.port());
    const auto control = absl::StrCat("http://127.0.0.1:", standIn.controlPort());
    const auto publish = [&control](const char *value) {
        ASSERT_EQ(httpPost(control + "/control", Json{{"publish", {{"key", "contracts/a"}, {"value", value}}}}.dump())->status, 200);
    };
    publish("x = 1");
    EXPECT_EQ(httpGet(url + "/v1/list?prefix=contracts/")->body, R"({"keys":{"contracts/a":1},"revision":1})");
    auto watch = std::async(std::launch::async, [&url] {
        return httpGet(url + "/v1/list?prefix=contracts/&after=1&wait_ms=9000");
    });
    while (Json::parse(httpGet(control + "/stats")->body)["waiting"] != 1) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    publish("x = 2");
    EXPECT_EQ(watch.get()->body, R"({"keys":{"contracts/a":2},"revision":2})");
    ASSERT_EQ(httpPost(control + "/control", R"({"stale": 1})")->status, 200);
    const auto value = httpGet(url + "/v1/values/contracts/a");
    EXPECT_EQ(value->body, "x = 1");
    EXPECT_EQ(value->headers.at("platform-revision"), "1");
    EXPECT_EQ(Json::parse(httpGet(control + "/stats")->body)["reads"], 3);
    ASSERT_EQ(httpPost(control + "/control", R"({"down": true})")->status, 200);
    EXPECT_FALSE(httpGet(url + "/v1/values/contracts/a").ok());
}

} // namespace
} // namespace tamarackspan::testkit
