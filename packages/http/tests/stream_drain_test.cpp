#include "loop_thread.h"
#include "raw_socket.h"

#include "tamarackspan/http/stream_server.h"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <unistd.h>

namespace {

using namespace tamarackspan::http;
using test::LoopThread;

/// Larger than one read, smaller than the system's buffers of one connection.
constexpr auto largeBody = std::size_t{150'000};

/// A draining server that closes idle connections all the time, as a stopping host does.
struct DrainingServerTest : ::testing::Test
{
    LoopThread thread;
    std::unique_ptr<StreamServer> server;
    std::uint16_t port = 0;

    auto SetUp() -> void override
    {
        this->server =
            std::make_unique<StreamServer>(this->thread.loop, StreamServerLimits{},
                                           StreamServer::Handlers{.onRequest =
                                                                      [this](ExchangeId id, const StreamMessage &message, RequestOrigin) {
                                                                          this->server->answer(id, {.body = message.target + std::string(largeBody, 'x')});
                                                                      },
                                                                  .onCallerDisconnected = [](ExchangeId) {}});
        this->port = *this->server->listen({.ip = "127.0.0.1", .port = 0});
        this->thread.start();
    }

    auto TearDown() -> void override
    {
        this->thread.stop();
        this->server.reset();
    }

    auto drain() -> void
    {
        this->thread.run([this] {
            this->server->setDraining(true);
        });
    }

    auto closeIdle() -> void
    {
        this->thread.run([this] {
            this->server->closeIdle();
        });
    }
};

// A stopping host closed the connection right after the answer: bytes that the caller sent meanwhile reset it, and the answer was lost on its way.
TEST_F(DrainingServerTest, AnAnswerOnItsWayIsNotResetByACallerThatGoesOnSending)
{
    this->drain();
    for (auto round = 0; round < 20; ++round) {
        // The smallest buffer, so that most of the response waits at the server.
        const auto fd = test::connectTo(this->port, 1);
        test::sendAll(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        absl::SleepFor(absl::Milliseconds(20));
        test::sendAll(fd, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        this->closeIdle();
        test::sendAll(fd, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
        absl::SleepFor(absl::Milliseconds(10));
        EXPECT_GE(test::readMessage(fd).size(), largeBody);
        ::close(fd);
    }
}

TEST_F(DrainingServerTest, RequestsThatWereSentAheadAreAnsweredBeforeTheConnectionCloses)
{
    this->drain();
    const auto fd = test::connectTo(this->port);
    test::sendAll(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto all = test::readToEnd(fd);
    EXPECT_GE(all.size(), largeBody * 3);
    EXPECT_LT(all.find("/1x"), all.find("/2x"));
    EXPECT_LT(all.find("/2x"), all.find("/3x"));
    EXPECT_NE(all.find("/3x"), std::string::npos);
    EXPECT_GT(all.find("Connection: close"), all.find("/2x"));
    ::close(fd);
}

TEST_F(DrainingServerTest, ACallerThatIsStillSendingItsRequestIsAnswered)
{
    this->drain();
    const auto fd = test::connectTo(this->port);
    test::sendAll(fd, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
    absl::SleepFor(absl::Milliseconds(20));
    this->closeIdle();
    test::sendAll(fd, "67890");
    EXPECT_GE(test::readMessage(fd).size(), largeBody);
    ::close(fd);
}

TEST_F(DrainingServerTest, ClosesIdleConnectionsAndThoseThatWaitInTheSystemsQueue)
{
    const auto idle = test::connectTo(this->port);
    test::sendAll(idle, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_GE(test::readMessage(idle).size(), largeBody);
    this->drain();
    this->closeIdle();
    EXPECT_EQ(test::readToEnd(idle), "");
    ::close(idle);
    auto waiting = -1;
    this->thread.run([this, &waiting] {
        waiting = test::connectTo(this->port);
        test::sendAll(waiting, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        this->server->stopListening();
    });
    EXPECT_GE(test::readMessage(waiting).size(), largeBody);
    ::close(waiting);
    EXPECT_EQ(test::connectTo(this->port), -1);
}

} // namespace
