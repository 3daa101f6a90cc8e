#include "full_server.h"
#include "raw_server.h"
#include "test_loop.h"

#include "tamarackspan/base/random.h"

#include "absl/time/clock.h"

#include <cstdlib>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace {

using namespace tamarackspan::http;
using test::RawServer;
using test::requestTo;
using test::TestLoop;

auto always(test::Action action) -> RawServer::Script
{
    return [action = std::move(action)](const test::SeenRequest &) {
        return action;
    };
}

TEST(Client, ReusesAnIdleConnection)
{
    auto server = RawServer(always({.reply = test::okReply("ok")}));
    auto loop = TestLoop();
    for (auto i = 0; i < 5; ++i) {
        EXPECT_EQ(loop.exchange(requestTo(server.port(), "GET", "/")).body, "ok");
    }
    EXPECT_EQ(server.accepted(), 1);
    EXPECT_EQ(loop.poolCounts(std::to_string(server.port())), (PoolCounts{.open = 1, .idle = 1, .queued = 0}));
}

TEST(Client, FailsToConnectWithoutHavingSent)
{
    auto port = std::uint16_t{0};
    {
        const auto gone = RawServer(always({}));
        port = gone.port();
    }
    auto loop = TestLoop();
    const auto response = loop.exchange(requestTo(port, "GET", "/"));
    EXPECT_EQ(response.outcome, Outcome::ConnectFailed);
    EXPECT_FALSE(response.bytesMayHaveBeenSent);
    // The socket is counted until the next iteration of the loop.
    while (loop.poolCounts(std::to_string(port)) != PoolCounts{}) {
        absl::SleepFor(absl::Milliseconds(1));
    }
}

/// Expects that a connection that isn't established within the limits is no longer counted once its request has ended, and that the client doesn't close its
/// descriptor a second time.
auto expectUncountedAndClosedOnce(ClientOptions options, absl::Duration timeout, Outcome outcome)
{
    const auto server = test::FullServer();
    auto loop = std::make_unique<TestLoop>(options);
    auto request = requestTo(server.port(), "GET", "/");
    request.timeout = timeout;
    const auto response = loop->exchange(request);
    EXPECT_EQ(response.outcome, outcome);
    EXPECT_FALSE(response.bytesMayHaveBeenSent);
    auto others = std::vector<int>();
    for (auto i = 0; i < 8; ++i) {
        others.push_back(open("/dev/null", O_RDONLY | O_CLOEXEC));
    }
    const auto giveUpAt = absl::Now() + absl::Seconds(5);
    while (loop->poolCounts(std::to_string(server.port())) != PoolCounts{} && absl::Now() < giveUpAt) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    EXPECT_EQ(loop->poolCounts(std::to_string(server.port())), PoolCounts{});
    loop.reset();
    for (const auto fd : others) {
        EXPECT_EQ(close(fd), 0) << "descriptor " << fd << " was closed by the client";
    }
}

TEST(Client, DropsAnUnestablishedConnectionWhenItsRequestEnds)
{
    expectUncountedAndClosedOnce({}, absl::Milliseconds(50), Outcome::Timeout);
}

TEST(Client, DropsAConnectionThatIsNotEstablishedInTime)
{
    expectUncountedAndClosedOnce({.connectTimeout = absl::Milliseconds(50)}, absl::Seconds(5), Outcome::ConnectFailed);
}

TEST(Client, ReportsThatARequestMayHaveBeenSentWhenTheConnectionCloses)
{
    auto server = RawServer(always({.close = true}));
    auto loop = TestLoop();
    const auto response = loop.exchange(requestTo(server.port(), "GET", "/"));
    EXPECT_EQ(response.outcome, Outcome::Closed);
    EXPECT_TRUE(response.bytesMayHaveBeenSent);
}

TEST(Client, TimesOutInTheQueueWithoutHavingSent)
{
    auto server = RawServer(always({.reply = test::okReply("late"), .delay = absl::Milliseconds(300)}));
    auto loop = TestLoop();
    auto first = requestTo(server.port(), "GET", "/first");
    first.maxConnections = 1;
    auto second = first;
    second.timeout = absl::Milliseconds(50);
    auto running = loop.send(first);
    const auto response = loop.exchange(second);
    EXPECT_EQ(response.outcome, Outcome::Timeout);
    EXPECT_FALSE(response.bytesMayHaveBeenSent);
    EXPECT_EQ(running.get().outcome, Outcome::Ok);
    EXPECT_EQ(server.seen().size(), 1U);
}

TEST(Client, NeverReusesAConnectionAfterATimeout)
{
    auto server = RawServer([](const test::SeenRequest &request) {
        const auto slow = request.text.find("/slow") != std::string::npos;
        return test::Action{.reply = test::okReply(slow ? "crossed" : "own"), .delay = absl::Milliseconds(slow ? 150 : 0)};
    });
    auto loop = TestLoop();
    auto slow = requestTo(server.port(), "GET", "/slow");
    slow.timeout = absl::Milliseconds(30);
    const auto late = loop.exchange(slow);
    EXPECT_EQ(late.outcome, Outcome::Timeout);
    EXPECT_TRUE(late.bytesMayHaveBeenSent);
    for (auto i = 0; i < 20; ++i) {
        EXPECT_EQ(loop.exchange(requestTo(server.port(), "GET", "/fast")).body, "own");
    }
    EXPECT_EQ(server.accepted(), 2);
}

TEST(Client, ReplacesAnUnresponsiveConnection)
{
    auto server = RawServer([](const test::SeenRequest &request) {
        const auto silent = request.connection == 0 && request.numberOnConnection > 0;
        return test::Action{.reply = silent ? "" : test::okReply("ok")};
    });
    auto loop = TestLoop({.peerCloseTimeout = absl::Milliseconds(50)});
    auto request = requestTo(server.port(), "GET", "/");
    request.maxConnections = 1;
    request.timeout = absl::Milliseconds(200);
    EXPECT_EQ(loop.exchange(request).outcome, Outcome::Ok);
    EXPECT_EQ(loop.exchange(request).outcome, Outcome::Timeout);
    EXPECT_EQ(loop.exchange(request).outcome, Outcome::Ok);
}

TEST(Client, ReportsWhetherACancelledRequestWasSent)
{
    auto server = RawServer(always({.reply = test::okReply("late"), .delay = absl::Milliseconds(200)}));
    auto loop = TestLoop();
    auto request = requestTo(server.port(), "GET", "/");
    request.maxConnections = 1;
    auto sentId = RequestId{0};
    auto queuedId = RequestId{0};
    auto sent = loop.send(request, sentId);
    auto queued = loop.send(request, queuedId);
    while (server.seen().empty()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    loop.cancel(queuedId);
    loop.cancel(sentId);
    EXPECT_EQ(queued.get(), (Response{.outcome = Outcome::Cancelled, .bytesMayHaveBeenSent = false, .error = "cancelled"}));
    EXPECT_EQ(sent.get(), (Response{.outcome = Outcome::Cancelled, .bytesMayHaveBeenSent = true, .error = "cancelled"}));
}

TEST(Client, RefusesABodyThatIsTooLong)
{
    const auto chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n");
    for (const auto &reply : {test::okReply("helloworld"), chunked}) {
        auto server = RawServer(always({.reply = reply}));
        auto loop = TestLoop();
        auto request = requestTo(server.port(), "GET", "/");
        request.maxResponseBytes = 9;
        EXPECT_EQ(loop.exchange(request).outcome, Outcome::TooLarge);
        request.maxResponseBytes = 10;
        EXPECT_EQ(loop.exchange(request).body, "helloworld");
    }
}

TEST(Client, RefusesRequestsThatItCantSend)
{
    auto loop = TestLoop();
    for (const auto *url : {"http://localhost:1/", "https://127.0.0.1:1/", "ftp://127.0.0.1/", "127.0.0.1:1", "", "http://127.0.0.1@10.0.0.1/"}) {
        EXPECT_EQ(loop.exchange({.url = url}).outcome, Outcome::InvalidRequest) << url;
    }
    auto injected = requestTo(1, "GET", "/");
    injected.headers = {{"A", "b\r\nC: d"}};
    EXPECT_EQ(loop.exchange(injected).outcome, Outcome::InvalidRequest);
}

TEST(Client, FollowsNoRedirectAndNoProxyOfTheEnvironment)
{
    setenv("http_proxy", "http://127.0.0.1:1", 1);
    setenv("ALL_PROXY", "http://127.0.0.1:1", 1);
    auto server = RawServer(always({.reply = "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"}));
    auto loop = TestLoop();
    const auto response = loop.exchange(requestTo(server.port(), "GET", "/"));
    unsetenv("http_proxy");
    unsetenv("ALL_PROXY");
    EXPECT_EQ(response.status, 302);
    EXPECT_EQ(*findHeader(response.headers, "LOCATION"), "/elsewhere");
    EXPECT_EQ(server.seen().size(), 1U);
}

TEST(Client, ClosesConnectionsThatWereIdleForTooLong)
{
    auto server = RawServer(always({.reply = test::okReply("ok")}));
    auto loop = TestLoop({.idleTimeout = absl::Milliseconds(100)});
    EXPECT_EQ(loop.exchange(requestTo(server.port(), "GET", "/")).outcome, Outcome::Ok);
    while (loop.poolCounts(std::to_string(server.port())).open > 0) {
        absl::SleepFor(absl::Milliseconds(5));
    }
    EXPECT_EQ(loop.exchange(requestTo(server.port(), "GET", "/")).outcome, Outcome::Ok);
    EXPECT_EQ(server.accepted(), 2);
}

/// Sends a mix of requests to a server that responds, closes connections, is slow and delays closing its side.
auto mixedLoad(TestLoop &loop, std::uint16_t port, std::uint32_t cap, std::uint64_t seed) -> void
{
    auto random = tamarackspan::base::Random(seed);
    auto responses = std::vector<std::future<Response>>();
    for (auto i = 0; i < 150; ++i) {
        auto request = requestTo(port, "POST", "/" + std::to_string(random.below(1000)), "x");
        request.maxConnections = cap;
        request.resendPolicy = random.below(3) == 0 ? ResendPolicy::AtMostOnce : ResendPolicy::Idempotent;
        request.timeout = random.below(4) == 0 ? absl::Milliseconds(5) : absl::Seconds(10);
        auto id = RequestId{0};
        responses.push_back(loop.send(std::move(request), id));
        if (random.below(8) == 0) {
            loop.cancel(id);
        }
        absl::SleepFor(absl::Microseconds(random.below(1500)));
    }
    for (auto &response : responses) {
        response.wait();
    }
}

TEST(ConnectionCap, HoldsByTheServersCountWhileConnectionsOpenAndClose)
{
    for (const auto seed : {11, 12, 13}) {
        for (const auto cap : {1U, 3U}) {
            auto server = RawServer(
                [](const test::SeenRequest &request) {
                    const auto kind = std::hash<std::string>()(request.text) % 10;
                    return test::Action{.reply = kind == 0 ? "" : test::okReply("ok"), .delay = absl::Milliseconds(kind == 1 ? 10 : 0), .close = kind < 3};
                },
                absl::Milliseconds(3));
            auto loop = TestLoop({.atMostOnceMaxIdle = absl::Milliseconds(2)});
            mixedLoad(loop, server.port(), cap, seed);
            EXPECT_LE(server.maxOpen(), static_cast<int>(cap)) << "seed " << seed;
            EXPECT_GT(server.accepted(), static_cast<int>(cap));
        }
    }
}

TEST(ConnectionCap, IsSharedByAllNamesOfOneServer)
{
    auto server = RawServer(always({.reply = test::okReply("ok"), .delay = absl::Milliseconds(1)}));
    auto loop = TestLoop();
    auto responses = std::vector<std::future<Response>>();
    for (auto i = 0; i < 200; ++i) {
        auto request = requestTo(server.port(), "GET", "/");
        request.pool = "name " + std::to_string(i % 3);
        request.maxConnections = 2;
        responses.push_back(loop.send(std::move(request)));
    }
    for (auto &response : responses) {
        EXPECT_EQ(response.get().outcome, Outcome::Ok);
    }
    EXPECT_EQ(server.maxOpen(), 2);
    EXPECT_EQ(server.accepted(), 2);
}

} // namespace
