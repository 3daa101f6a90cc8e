#include "raw_socket.h"
#include "stream_server_loop.h"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <string>
#include <unistd.h>

namespace {

using namespace tamarackspan::http;

/// A server that answers each request, and one connection to it that stays open while the limits change.
struct StreamLimitsTest : ::testing::Test
{
    static constexpr auto lowBytes = std::size_t{100};
    static constexpr auto highBytes = std::size_t{100'000};

    test::StreamServerLoop loop{limitsOf(lowBytes), [](StreamServer &server, ExchangeId id, const StreamMessage &message) {
                                    server.answer(id, {.body = message.target});
                                }};
    int fd = test::connectTo(loop.port);

    ~StreamLimitsTest() override
    {
        ::close(this->fd);
    }

    static auto limitsOf(std::size_t bytes, absl::Duration headerTimeout = absl::Seconds(5), absl::Duration idleTimeout = absl::Seconds(5))
        -> StreamServerLimits
    {
        return {.message = {.headerBytes = bytes, .bodyBytes = bytes}, .headerTimeout = headerTimeout, .idleTimeout = idleTimeout};
    }

    static auto post(std::size_t bytes) -> std::string
    {
        return "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
    }

    /// Sends bytes and returns the status line of the next response.
    [[nodiscard]] auto exchange(const std::string &bytes) const -> std::string
    {
        test::sendAll(this->fd, bytes);
        return test::readMessage(this->fd).substr(0, 12);
    }
};

// An open connection refused what only the configuration of its beginning refuses (review/4).
TEST_F(StreamLimitsTest, RaisedSizesBoundTheNextRequestOfAnOpenConnection)
{
    EXPECT_EQ(this->exchange(post(10)), "HTTP/1.1 200");
    this->loop.setLimits(limitsOf(highBytes));
    EXPECT_EQ(this->exchange(post(5'000)), "HTTP/1.1 200");
    EXPECT_EQ(this->exchange("GET /g HTTP/1.1\r\nHost: h\r\nX: " + std::string(90'000, 'x') + "\r\n\r\n"), "HTTP/1.1 200");
}

TEST_F(StreamLimitsTest, LoweredSizesBoundTheNextRequestAndNotTheOneThatHasBegun)
{
    this->loop.setLimits(limitsOf(highBytes));
    const auto request = post(5'000);
    test::sendAll(this->fd, request.substr(0, 1'000));
    absl::SleepFor(absl::Milliseconds(50));
    this->loop.setLimits(limitsOf(lowBytes));
    EXPECT_EQ(this->exchange(request.substr(1'000)), "HTTP/1.1 200");
    EXPECT_EQ(this->exchange(post(5'000)), "HTTP/1.1 413");
}

TEST_F(StreamLimitsTest, RaisedTimeoutsHoldForAnOpenConnection)
{
    this->loop.setLimits(limitsOf(lowBytes, absl::Milliseconds(100), absl::Milliseconds(300)));
    EXPECT_EQ(this->exchange(post(10)), "HTTP/1.1 200");
    this->loop.setLimits(limitsOf(lowBytes));
    absl::SleepFor(absl::Milliseconds(1'500));
    test::sendAll(this->fd, "GET /g HTTP/1.1\r\nHo");
    absl::SleepFor(absl::Milliseconds(1'500));
    EXPECT_EQ(this->exchange("st: h\r\n\r\n"), "HTTP/1.1 200");
}

TEST_F(StreamLimitsTest, LoweredTimeoutsDoNotEndARequestThatHasBegun)
{
    const auto brief = absl::Milliseconds(100);
    test::sendAll(this->fd, "POST /g HTTP/1.1\r\nHo");
    absl::SleepFor(absl::Milliseconds(50));
    this->loop.setLimits(limitsOf(lowBytes, brief, brief));
    absl::SleepFor(absl::Milliseconds(1'500));
    test::sendAll(this->fd, "st: h\r\nContent-Length: 3\r\n\r\na");
    absl::SleepFor(absl::Milliseconds(1'500));
    EXPECT_EQ(this->exchange("bc"), "HTTP/1.1 200");
    // The next one is bound by the new timeout.
    EXPECT_EQ(this->exchange("GET /g HTTP/1.1\r\nHo"), "HTTP/1.1 408");
}

} // namespace
