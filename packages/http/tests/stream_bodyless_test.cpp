#include "raw_socket.h"
#include "stream_server_loop.h"

#include "tamarackspan/http/stream_client.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <future>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace tamarackspan::http;
using Kind = MessageReader::Kind;
using State = MessageReader::State;

// A response to HEAD states the length of a body that doesn't follow; the reader waited for it until its timeout.
TEST(Bodyless, AResponseToHeadIsCompleteAfterItsFields)
{
    for (const auto *const framing : {"Content-Length: 500\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        auto reader = MessageReader(Kind::Response, {});
        reader.expectNoBody(true);
        reader.read(std::string("HTTP/1.1 200 OK\r\n") + framing + "Server: a\r\n\r\n");
        ASSERT_EQ(reader.state(), State::Complete) << framing;
        const auto message = reader.take();
        EXPECT_TRUE(message.keepAlive) << framing;
        EXPECT_EQ(message.omittedLength.has_value(), std::string(framing).starts_with("Content")) << framing;
        reader.expectNoBody(false);
        reader.read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        ASSERT_EQ(reader.state(), State::Complete);
        EXPECT_EQ(reader.take().body, "ok");
    }
}

TEST(Bodyless, AResponseOfAStatusWithoutBodyIsCompleteAfterItsFields)
{
    // A 304 states the length of what it stands for; a 204 stands for nothing, and InvalidStatus tests that one with a length is refused.
    for (const auto &[fields, length] : std::vector<std::pair<std::string, std::optional<std::uint64_t>>>{
             {"204 No Content\r\n", std::nullopt}, {"204 No Content\r\nContent-Length: 0\r\n", 0}, {"304 Not Modified\r\nContent-Length: 500\r\n", 500}}) {
        auto reader = MessageReader(Kind::Response, {});
        const auto head = "HTTP/1.1 " + fields + "\r\n";
        EXPECT_EQ(reader.read(head + "HTTP/1.1 200 OK\r\n"), head.size()) << fields;
        ASSERT_EQ(reader.state(), State::Complete) << fields;
        EXPECT_EQ(reader.take().omittedLength, length) << fields;
    }
}

/// Sends two requests ahead and returns all that comes back before the connection closes.
auto exchangeTwo(const std::string &first, const StreamAnswer &answer) -> std::string
{
    auto server = test::StreamServerLoop({}, [&answer](StreamServer &serving, ExchangeId id, const StreamMessage &message) {
        serving.answer(id, message.target == "/first" ? answer : StreamAnswer{.body = "second"});
    });
    const auto fd = test::connectTo(server.port);
    test::sendAll(fd, first + "GET /second HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    auto text = test::readToEnd(fd);
    ::close(fd);
    return text;
}

TEST(Bodyless, AServerSendsNoBodyToHead)
{
    const auto head = std::string("HEAD /first HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(exchangeTwo(head, {.body = "first"}).starts_with("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\n"));
    EXPECT_TRUE(exchangeTwo(head, {.headers = {{"Server", "a"}}, .omittedLength = 500})
                    .starts_with("HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 500\r\n\r\nHTTP/1.1 200 OK\r\n"));
}

TEST(Bodyless, AServerSendsNoBodyWithAStatusThatHasNone)
{
    const auto get = std::string("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(exchangeTwo(get, {.status = 204, .body = "first", .omittedLength = 5}).starts_with("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n"));
    EXPECT_TRUE(
        exchangeTwo(get, {.status = 304, .omittedLength = 500}).starts_with("HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\n\r\nHTTP/1.1 200 OK\r\n"));
}

} // namespace
