#include "raw_socket.h"
#include "stream_server_loop.h"

#include "tamarackspan/base/clock.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::http;

/// The size of what a server reads ahead, around which sizes and splits are chosen.
constexpr auto readAheadBound = std::size_t{16} * 1024;

/// One request of a sequence that is sent without waiting for answers.
struct SentAhead
{
    std::size_t bodyBytes = 0;
    bool isChunked = false;
};

auto bytesOf(const SentAhead &request, std::size_t number) -> std::string
{
    const auto body = std::string(request.bodyBytes, static_cast<char>('a' + number % 26));
    if (!request.isChunked) {
        return absl::StrCat("POST /", number, " HTTP/1.1\r\nHost: h\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    }
    return absl::StrCat("POST /", number, " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
                        body.empty() ? "" : absl::StrCat(absl::Hex(body.size()), "\r\n", body, "\r\n"), "0\r\n\r\n");
}

/// What the server says of a request: enough to tell a lost, repeated or mixed body.
auto describe(const StreamMessage &message) -> std::string
{
    const auto isUniform = std::ranges::all_of(message.body, [&message](char byte) {
        return byte == message.body.front();
    });
    return absl::StrCat(message.target, " ", message.body.size(), " ", isUniform ? message.body.substr(0, 1) : "mixed", "\n");
}

/// Returns the descriptions that a reader gives that gets all bytes in one piece.
auto descriptionsInOnePiece(std::string_view bytes) -> std::string
{
    auto text = std::string();
    auto reader = MessageReader(MessageReader::Kind::Request, {});
    while (!bytes.empty()) {
        bytes.remove_prefix(reader.read(bytes));
        if (reader.state() != MessageReader::State::Complete) {
            break;
        }
        text += describe(reader.take());
    }
    return text;
}

/// Reads responses until their bodies have that size in total, the connection ends, or nothing comes for three seconds. Returns the bodies.
auto readBodies(int fd, std::size_t size) -> std::string
{
    const auto limit = timeval{.tv_sec = 3, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    auto reader = MessageReader(MessageReader::Kind::Response, {});
    auto bodies = std::string();
    auto buffer = std::array<char, 4096>();
    while (bodies.size() < size) {
        const auto got = ::recv(fd, buffer.data(), buffer.size(), 0);
        if (got <= 0) {
            break;
        }
        for (auto bytes = std::string_view(buffer.data(), static_cast<std::size_t>(got)); !bytes.empty();) {
            bytes.remove_prefix(reader.read(bytes));
            if (reader.state() == MessageReader::State::Complete) {
                bodies += reader.take().body;
            }
        }
    }
    return bodies;
}

/// Sends the requests on one connection in pieces of these sizes, in turn, and returns what the server's responses say. It answers each after a while, so that
/// the next ones are read ahead.
auto sendInPieces(const std::string &bytes, const std::vector<std::size_t> &pieces, absl::Duration workTime, std::size_t expected) -> std::string
{
    auto *loop = static_cast<transport::EventLoop *>(nullptr);
    auto server = test::StreamServerLoop({}, [&loop, workTime](StreamServer &serving, ExchangeId id, const StreamMessage &message) {
        loop->runAt(base::monotonicNow() + workTime, [&serving, id, text = describe(message)] {
            serving.answer(id, {.body = text});
        });
    });
    server.thread.run([&] {
        loop = &server.thread.loop;
    });
    const auto fd = test::connectTo(server.port);
    for (auto [at, piece] = std::pair(std::size_t{0}, std::size_t{0}); at < bytes.size(); ++piece) {
        const auto size = std::max<std::size_t>(pieces[piece % pieces.size()], 1);
        test::sendAll(fd, std::string_view(bytes).substr(at, size));
        at += size;
    }
    auto bodies = readBodies(fd, expected);
    ::close(fd);
    return bodies;
}

// The rest of a large request that was sent ahead was never read: the connection stood still until its timeout.
TEST(StreamAhead, ALargeRequestBehindAnotherIsRead)
{
    const auto bytes = bytesOf({.bodyBytes = 3}, 1) + bytesOf({.bodyBytes = 100'000}, 2) + bytesOf({.bodyBytes = 4}, 3);
    const auto expected = descriptionsInOnePiece(bytes);
    EXPECT_EQ(sendInPieces(bytes, {bytes.size()}, absl::Milliseconds(50), expected.size()), expected);
}

TEST(StreamAhead, AllSplitsAndSizesAroundTheBoundAreReadAsInOnePiece)
{
    EXPECT_TRUE(rc::check([] {
        // Ranges are drawn from whole only at the nominal size.
        const auto inRange = [](std::size_t from, std::size_t to) {
            return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
        };
        const auto aroundBound = rc::gen::oneOf(inRange(0, 64), inRange(readAheadBound - 200, readAheadBound + 200), inRange(0, 4 * readAheadBound));
        const auto request = rc::gen::build<SentAhead>(rc::gen::set(&SentAhead::bodyBytes, aroundBound), rc::gen::set(&SentAhead::isChunked));
        const auto requests = *rc::gen::container<std::vector<SentAhead>>(*inRange(1, 5), request);
        const auto pieces = *rc::gen::container<std::vector<std::size_t>>(*inRange(1, 4), inRange(500, 3 * readAheadBound));
        auto bytes = std::string();
        for (auto at = std::size_t{0}; at < requests.size(); ++at) {
            bytes += bytesOf(requests[at], at);
        }
        const auto expected = descriptionsInOnePiece(bytes);
        RC_ASSERT(sendInPieces(bytes, pieces, absl::Milliseconds(2), expected.size()) == expected);
    }));
}

} // namespace
