#include "raw_server.h"
#include "test_loop.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::http;
using test::RawServer;
using test::requestTo;
using test::TestLoop;

/// Responds to the first request of each connection; executes the second and closes the connection without a response.
auto closeReused(const test::SeenRequest &request) -> test::Action
{
    const auto reused = request.numberOnConnection > 0;
    return {.reply = reused ? "" : test::okReply("ran"), .delay = absl::ZeroDuration(), .close = reused};
}

auto runsOf(RawServer &server, const std::string &path) -> long
{
    const auto seen = server.seen();
    return std::count_if(seen.begin(), seen.end(), [&path](const auto &request) {
        return request.text.find(path) != std::string::npos;
    });
}

auto booking(std::uint16_t port, std::string body) -> Request
{
    auto request = requestTo(port, "POST", "/book", std::move(body));
    request.resendPolicy = ResendPolicy::AtMostOnce;
    return request;
}

class Resend : public testing::TestWithParam<std::string>
{
};

TEST_P(Resend, HappensOnAReusedConnectionIfNotPrevented)
{
    auto server = RawServer(closeReused);
    auto loop = TestLoop({.preventAtMostOnceResend = false});
    ASSERT_EQ(loop.exchange(requestTo(server.port(), "GET", "/warm")).outcome, Outcome::Ok);
    const auto response = loop.exchange(booking(server.port(), GetParam()));
    EXPECT_EQ(response.outcome, Outcome::Ok);
    EXPECT_EQ(runsOf(server, "/book"), 2);
}

TEST_P(Resend, IsPreventedByDefault)
{
    auto server = RawServer(closeReused);
    auto loop = TestLoop();
    ASSERT_EQ(loop.exchange(requestTo(server.port(), "GET", "/warm")).outcome, Outcome::Ok);
    const auto response = loop.exchange(booking(server.port(), GetParam()));
    EXPECT_EQ(response.outcome, Outcome::Closed);
    EXPECT_TRUE(response.bytesMayHaveBeenSent);
    EXPECT_EQ(runsOf(server, "/book"), 1);
    EXPECT_EQ(server.accepted(), 1) << "the warm connection was meant to be used";
}

TEST_P(Resend, IsPreventedWhenOtherIdleConnectionsExist)
{
    auto server = RawServer([](const test::SeenRequest &request) {
        const auto books = request.text.find("/book") != std::string::npos;
        return test::Action{.reply = books ? "" : test::okReply("ok"), .delay = absl::Milliseconds(books ? 0 : 20), .close = books};
    });
    auto loop = TestLoop();
    auto warm = std::vector<std::future<Response>>();
    for (auto i = 0; i < 4; ++i) {
        warm.push_back(loop.send(requestTo(server.port(), "GET", "/warm")));
    }
    for (auto &response : warm) {
        ASSERT_EQ(response.get().outcome, Outcome::Ok);
    }
    EXPECT_EQ(loop.exchange(booking(server.port(), GetParam())).outcome, Outcome::Closed);
    EXPECT_EQ(runsOf(server, "/book"), 1);
    EXPECT_EQ(server.accepted(), 4);
}

INSTANTIATE_TEST_SUITE_P(Bodies, Resend, testing::Values(std::string(), std::string("tray 7"), std::string(200'000, 'x')), [](const auto &body) {
    return std::to_string(body.param.size()) + "Bytes";
});

TEST(AtMostOnce, UsesANewConnectionWhenTheOthersWereIdleForTooLong)
{
    auto server = RawServer([](const test::SeenRequest &) {
        return test::Action{.reply = test::okReply("ok")};
    });
    auto loop = TestLoop({.atMostOnceMaxIdle = absl::ZeroDuration()});
    ASSERT_EQ(loop.exchange(requestTo(server.port(), "GET", "/warm")).outcome, Outcome::Ok);
    EXPECT_EQ(loop.exchange(booking(server.port(), "tray 7")).outcome, Outcome::Ok);
    EXPECT_EQ(server.accepted(), 2);
}

TEST(AtMostOnce, MakesRoomForANewConnectionWithinTheCap)
{
    auto server = RawServer([](const test::SeenRequest &) {
        return test::Action{.reply = test::okReply("ok")};
    });
    auto loop = TestLoop({.atMostOnceMaxIdle = absl::ZeroDuration()});
    auto warm = requestTo(server.port(), "GET", "/warm");
    warm.maxConnections = 1;
    ASSERT_EQ(loop.exchange(warm).outcome, Outcome::Ok);
    auto book = booking(server.port(), "tray 7");
    book.maxConnections = 1;
    EXPECT_EQ(loop.exchange(book).outcome, Outcome::Ok);
    EXPECT_EQ(server.accepted(), 2);
    EXPECT_EQ(server.maxOpen(), 1);
}

} // namespace
