#include "tamarackspan/testkit/http_client.h"
#include "tamarackspan/testkit/platform_stand_in.h"
#include "tamarackspan/testkit/relay.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

#include <future>

namespace tamarackspan::testkit {
namespace {

class RelayTest : public testing::Test
{
protected:
    auto list(const std::string &arguments = "", absl::Duration timeout = absl::Seconds(20)) -> absl::StatusOr<HttpResult>
    {
        return httpSend("GET", absl::StrCat("http://127.0.0.1:", this->relay.port(), "/v1/list?prefix=", arguments), {}, "", timeout);
    }

    /// Starts a call that blocks at the server and returns once the server has received it.
    auto startWaitingCall(absl::Duration timeout) -> std::future<absl::StatusOr<HttpResult>>
    {
        auto call = std::async(std::launch::async, [this, timeout] {
            return this->list("&after=0&wait_ms=60000", timeout);
        });
        while (httpGet(absl::StrCat("http://127.0.0.1:", this->server.controlPort(), "/stats"))->body.find("\"waiting\":1") == std::string::npos) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        return call;
    }

    PlatformStandIn server = PlatformStandIn(0, 0);
    Relay relay = Relay(0, this->server.port(), 0);
};

TEST_F(RelayTest, PassesAndDelays)
{
    EXPECT_EQ(this->list()->status, 200);
    ASSERT_TRUE(this->relay.change({{"delay_ms", 30}}).ok());
    EXPECT_EQ(this->list()->status, 200);
    EXPECT_EQ(this->relay.statistics()["accepted"], 2);
}

TEST_F(RelayTest, CutsOpenConnections)
{
    auto call = this->startWaitingCall(absl::Seconds(20));
    ASSERT_TRUE(this->relay.change({{"cut", true}}).ok());
    EXPECT_FALSE(call.get().ok());
    EXPECT_EQ(this->list()->status, 200);
}

TEST_F(RelayTest, RefusesConnectionsWhileConfiguredTo)
{
    ASSERT_TRUE(this->relay.change({{"refuse", true}}).ok());
    EXPECT_FALSE(this->list().ok());
    ASSERT_TRUE(this->relay.change({{"refuse", false}}).ok());
    EXPECT_EQ(this->list()->status, 200);
}

TEST_F(RelayTest, MutesOpenConnectionsWhileNewOnesWork)
{
    auto call = this->startWaitingCall(absl::Milliseconds(300));
    ASSERT_TRUE(this->relay.change({{"silent", "open"}}).ok());
    EXPECT_EQ(httpPost(absl::StrCat("http://127.0.0.1:", this->server.controlPort(), "/control"), R"({"publish":{"key":"a","value":"b"}})")->status, 200);
    EXPECT_EQ(this->list()->status, 200);
    EXPECT_FALSE(call.get().ok());
    EXPECT_EQ(this->relay.statistics()["open"], 1) << "a muted connection must not forward a close";
}

TEST_F(RelayTest, PassesOneWayOnly)
{
    ASSERT_TRUE(this->relay.change({{"one_way", "to_server"}}).ok());
    EXPECT_FALSE(this->list("", absl::Milliseconds(100)).ok());
    EXPECT_NE(httpGet(absl::StrCat("http://127.0.0.1:", this->server.controlPort(), "/stats"))->body.find("\"lists\":1"), std::string::npos);
    ASSERT_TRUE(this->relay.change({{"one_way", "both"}}).ok());
    EXPECT_EQ(this->list()->status, 200);
    EXPECT_FALSE(this->relay.change({{"one_way", "up"}}).ok());
}

} // namespace
} // namespace tamarackspan::testkit
