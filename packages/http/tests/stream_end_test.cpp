#include "loop_thread.h"
#include "narrow_listener.h"
#include "raw_socket.h"
#include "stream_server_loop.h"
#include "test_loop.h"

#include "impl/stream_error.h"

#include "tamarackspan/http/stream_client.h"

#include "absl/time/clock.h"

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace tamarackspan::http;
using test::NarrowListener;

/// More than the systems at both ends take at once from a sender whose peer reads nothing.
constexpr auto longBody = std::size_t{2} * 1024 * 1024;
constexpr auto shortTimeout = absl::Milliseconds(300);

/// What ends the stream of a response.
enum class Ending {
    /// ECONNRESET, with bytes of the request still to be sent, and with none.
    ResetWhileSending,
    ResetAfterSending,
    /// ETIMEDOUT: the server reads nothing, and the system gives up what it doesn't acknowledge.
    TimeOutWhileSending,
    /// The server closes its side, with bytes of the request still to be sent, and with none.
    EndWhileSending,
    EndAfterSending,
    /// EPIPE: a reset follows the end of the server's side before the client has seen either.
    ResetAfterEnd,
};

/// What has arrived of the response by then.
enum class Arrived {
    WithoutLength,
    PartOfLength,
    PartOfChunks,
    PartOfHead,
    InterimOnly,
    WholeLength,
    WholeChunks,
    WholeOfHead,
    WholeWithoutContent,
    WholeNotModified,
};

struct Row
{
    Ending ending;
    Arrived arrived;
    CallOutcome outcome;
};

auto bytesOf(Arrived arrived) -> std::string
{
    auto head = std::string("HTTP/1.1 200 OK\r\nId: a\r\n");
    switch (arrived) {
    case Arrived::WithoutLength:
        return head + "\r\nhalf";
    case Arrived::PartOfLength:
        return head + "Content-Length: 8\r\n\r\nhalf";
    case Arrived::PartOfChunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    case Arrived::PartOfHead:
        return head;
    case Arrived::InterimOnly:
        return "HTTP/1.1 102 Processing\r\n\r\n";
    case Arrived::WholeLength:
        return head + "Content-Length: 4\r\n\r\nfull";
    case Arrived::WholeChunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n";
    case Arrived::WholeOfHead:
        return head + "Content-Length: 4\r\n\r\n";
    case Arrived::WholeWithoutContent:
        return "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n";
    case Arrived::WholeNotModified:
        return "HTTP/1.1 304 Not Modified\r\nId: a\r\n\r\n";
    }
    return {};
}

/// Returns which error a row's connection ends with; 0 for an orderly end.
auto errorOf(Ending ending) -> int
{
    switch (ending) {
    case Ending::ResetWhileSending:
    case Ending::ResetAfterSending:
        return ECONNRESET;
    case Ending::TimeOutWhileSending:
        return ETIMEDOUT;
    case Ending::EndWhileSending:
    case Ending::EndAfterSending:
    case Ending::ResetAfterEnd:
        return 0;
    }
    return 0;
}

auto isSending(Ending ending) -> bool
{
    return ending != Ending::ResetAfterSending && ending != Ending::EndAfterSending;
}

/// A client with one call, whose server side is played by the test.
struct StreamEndTest : ::testing::Test
{
    NarrowListener listener;
    test::LoopThread thread;
    std::unique_ptr<StreamClient> client;

    auto SetUp() -> void override
    {
        this->client = std::make_unique<StreamClient>(this->thread.loop, StreamClientOptions{});
        this->thread.start();
    }

    auto TearDown() -> void override
    {
        this->thread.stop();
        this->client.reset();
    }

    auto call(std::size_t bodyBytes, bool isHead, std::function<void()> onSent = {}) -> std::future<CallResult>
    {
        auto promise = std::make_shared<std::promise<CallResult>>();
        this->thread.run([&, this] {
            std::ignore = this->client->call({.pool = "leaf",
                                              .endpoint = {.ip = "127.0.0.1", .port = this->listener.port()},
                                              .bytes = std::string(isHead ? "HEAD" : "POST") + " / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                                                  + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b'),
                                              .isHead = isHead,
                                              .timeout = absl::Seconds(10),
                                              .matchesResponse =
                                                  [](const StreamMessage &response) {
                                                      const auto *const id = findHeader(response.headers, "Id");
                                                      return id == nullptr || *id == "a";
                                                  },
                                              .onSent = std::move(onSent),
                                              .onResult =
                                                  [promise](CallResult result) {
                                                      promise->set_value(std::move(result));
                                                  }});
        });
        return promise->get_future();
    }

    /// Waits until a request has begun to arrive; the client closes a connection that carries anything before.
    static auto awaitRequest(int fd) -> void
    {
        auto byte = char{0};
        EXPECT_EQ(::recv(fd, &byte, 1, MSG_PEEK), 1);
    }

    /// Ends the server's side of a connection.
    static auto end(int fd, Ending ending) -> void
    {
        switch (ending) {
        case Ending::ResetWhileSending:
        case Ending::ResetAfterSending:
            test::resetConnection(fd);
            break;
        case Ending::TimeOutWhileSending:
            break;
        case Ending::EndWhileSending:
        case Ending::EndAfterSending:
            ::shutdown(fd, SHUT_WR);
            break;
        case Ending::ResetAfterEnd:
            ::shutdown(fd, SHUT_WR);
            test::resetConnection(fd);
            break;
        }
    }
};

struct StreamEndTable : StreamEndTest, ::testing::WithParamInterface<Row>
{
};

// Guards against part of an answer that is taken for all of it after its connection failed.
TEST_P(StreamEndTable, IsJudgedByWhatEndedIt)
{
    const auto &row = GetParam();
    const auto sending = isSending(row.ending);
    if (row.ending == Ending::TimeOutWhileSending) {
        this->thread.run([this] {
            this->client = std::make_unique<StreamClient>(this->thread.loop, StreamClientOptions{.unacknowledgedTimeout = shortTimeout});
        });
    }
    auto result = this->call(sending ? longBody : 4, row.arrived == Arrived::WholeOfHead);
    const auto fd = this->listener.accept();
    ASSERT_GE(fd, 0);
    if (sending) {
        StreamEndTest::awaitRequest(fd);
    } else {
        std::ignore = test::readMessage(fd);
    }
    if (row.ending == Ending::ResetAfterEnd) {
        this->thread.run([&] {
            test::sendAll(fd, bytesOf(row.arrived));
            StreamEndTest::end(fd, row.ending);
        });
    } else {
        test::sendAll(fd, bytesOf(row.arrived));
        absl::SleepFor(absl::Milliseconds(20));
        StreamEndTest::end(fd, row.ending);
    }
    const auto got = result.get();
    EXPECT_EQ(got.outcome, row.outcome) << got.reason;
    if (row.outcome == CallOutcome::Broken) {
        ASSERT_TRUE(got.connectionEnd.has_value()) << got.reason;
        EXPECT_EQ(got.connectionEnd->systemError, errorOf(row.ending));
        EXPECT_EQ(isCutOff(*got.connectionEnd), row.arrived != Arrived::InterimOnly) << got.connectionEnd->receivedBytes;
        EXPECT_EQ(got.connectionEnd->unsentBytes > 0, sending);
        EXPECT_TRUE(got.connectionFailed);
    } else {
        EXPECT_TRUE(got.response.body.empty() || got.response.body == "full" || got.response.body == "half") << got.response.body;
    }
    if (row.ending != Ending::ResetWhileSending && row.ending != Ending::ResetAfterSending && row.ending != Ending::ResetAfterEnd) {
        ::close(fd);
    }
}

constexpr auto broken = CallOutcome::Broken;
constexpr auto answered = CallOutcome::Answered;

constexpr auto rows = std::array{
    Row{Ending::ResetWhileSending, Arrived::WithoutLength, broken},
    Row{Ending::ResetWhileSending, Arrived::PartOfLength, broken},
    Row{Ending::ResetWhileSending, Arrived::PartOfChunks, broken},
    Row{Ending::ResetWhileSending, Arrived::PartOfHead, broken},
    Row{Ending::ResetWhileSending, Arrived::InterimOnly, broken},
    Row{Ending::ResetWhileSending, Arrived::WholeLength, answered},
    Row{Ending::ResetWhileSending, Arrived::WholeChunks, answered},
    Row{Ending::ResetWhileSending, Arrived::WholeOfHead, answered},
    Row{Ending::ResetWhileSending, Arrived::WholeWithoutContent, answered},
    Row{Ending::ResetWhileSending, Arrived::WholeNotModified, answered},
    Row{Ending::ResetAfterSending, Arrived::WithoutLength, broken},
    Row{Ending::ResetAfterSending, Arrived::PartOfLength, broken},
    Row{Ending::ResetAfterSending, Arrived::PartOfChunks, broken},
    Row{Ending::ResetAfterSending, Arrived::WholeLength, answered},
    Row{Ending::TimeOutWhileSending, Arrived::WithoutLength, broken},
    Row{Ending::TimeOutWhileSending, Arrived::PartOfLength, broken},
    Row{Ending::TimeOutWhileSending, Arrived::PartOfChunks, broken},
    Row{Ending::TimeOutWhileSending, Arrived::WholeLength, answered},
    Row{Ending::EndWhileSending, Arrived::WithoutLength, answered},
    Row{Ending::EndWhileSending, Arrived::PartOfLength, broken},
    Row{Ending::EndWhileSending, Arrived::PartOfChunks, broken},
    Row{Ending::EndWhileSending, Arrived::PartOfHead, broken},
    Row{Ending::EndWhileSending, Arrived::InterimOnly, broken},
    Row{Ending::EndWhileSending, Arrived::WholeLength, answered},
    Row{Ending::EndAfterSending, Arrived::WithoutLength, answered},
    Row{Ending::EndAfterSending, Arrived::PartOfLength, broken},
    Row{Ending::EndAfterSending, Arrived::PartOfChunks, broken},
    Row{Ending::EndAfterSending, Arrived::WholeLength, answered},
    Row{Ending::ResetAfterEnd, Arrived::WithoutLength, answered},
    Row{Ending::ResetAfterEnd, Arrived::PartOfLength, broken},
    Row{Ending::ResetAfterEnd, Arrived::PartOfChunks, broken},
    Row{Ending::ResetAfterEnd, Arrived::WholeLength, answered},
};

auto nameOf(const testing::TestParamInfo<Row> &info) -> std::string
{
    static constexpr auto endings =
        std::array{"ResetWhileSending", "ResetAfterSending", "TimeOutWhileSending", "EndWhileSending", "EndAfterSending", "ResetAfterEnd"};
    static constexpr auto arrivals = std::array{"WithoutLength", "PartOfLength", "PartOfChunks", "PartOfHead",          "InterimOnly",
                                                "WholeLength",   "WholeChunks",  "WholeOfHead",  "WholeWithoutContent", "WholeNotModified"};
    return std::string(endings.at(static_cast<std::size_t>(info.param.ending))) + arrivals.at(static_cast<std::size_t>(info.param.arrived));
}

INSTANTIATE_TEST_SUITE_P(Rows, StreamEndTable, testing::ValuesIn(rows), nameOf);

// Guards against a failed write that clears the connection's error, so that the reset looks like an orderly end to the read after it.
TEST_F(StreamEndTest, AFailedWriteEndsTheResponseWhateverTheReadAfterItReturns)
{
    for (const auto ending : {Ending::ResetAfterSending, Ending::ResetAfterEnd}) {
        auto first = this->call(4, false);
        const auto fd = this->listener.accept();
        std::ignore = test::readMessage(fd);
        test::sendAll(fd, bytesOf(Arrived::WholeLength));
        ASSERT_EQ(first.get().outcome, CallOutcome::Answered);
        // The client has found the idle connection quiet when the server fails on it.
        auto second = this->call(4, false, [fd, ending] {
            test::sendAll(fd, bytesOf(Arrived::WithoutLength));
            StreamEndTest::end(fd, ending);
        });
        const auto got = second.get();
        EXPECT_EQ(got.outcome, CallOutcome::NotSent) << got.response.body;
        ASSERT_TRUE(got.connectionEnd.has_value());
        EXPECT_EQ(got.connectionEnd->systemError, ending == Ending::ResetAfterEnd ? EPIPE : ECONNRESET);
        EXPECT_EQ(failureText(got), ending == Ending::ResetAfterEnd ? "connection failed: Broken pipe" : "connection failed: Connection reset by peer");
    }
}

// Guards against an error that only one of the calls reports, or that a later one replaces.
TEST(StreamError, IsTheFirstThatWasReported)
{
    for (const auto error : {ECONNRESET, ETIMEDOUT, EPIPE, EHOSTUNREACH}) {
        EXPECT_EQ(impl::streamError(-1, error, 0), error);
        EXPECT_EQ(impl::streamError(0, 0, error), error);
        EXPECT_EQ(impl::streamError(-1, ECONNRESET, error), error);
    }
    EXPECT_EQ(impl::streamError(0, ECONNRESET, 0), 0) << "errno is meaningless after an orderly end";
}

// Guards against the rest of a request that reaches a server as its next one, after an answer that came early.
TEST_F(StreamEndTest, AConnectionWithAnUnsentRequestIsNotKept)
{
    auto first = this->call(longBody, false);
    const auto early = this->listener.accept();
    StreamEndTest::awaitRequest(early);
    test::sendAll(early, bytesOf(Arrived::WholeLength));
    EXPECT_EQ(first.get().outcome, CallOutcome::Answered);
    auto second = this->call(4, false);
    const auto next = this->listener.accept();
    ASSERT_GE(next, 0);
    EXPECT_TRUE(test::readMessage(next).ends_with("\r\n\r\nbbbb"));
    test::sendAll(next, bytesOf(Arrived::WholeLength));
    EXPECT_EQ(second.get().outcome, CallOutcome::Answered);
    ::close(early);
    ::close(next);
}

// Guards against a part of a request that runs as a whole one after its connection failed, also where the server's own write is the first to see it.
TEST(ServerStreamEnd, ARequestThatIsCutOffIsNotRun)
{
    for (const auto *const part : {"Content-Length: 8\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                                   "Expect: 100-continue\r\nContent-Length: 8\r\n\r\nhalf", "Content-Length: 8\r\n"}) {
        auto targets = std::vector<std::string>();
        auto server = test::StreamServerLoop({}, [&targets](StreamServer &serving, ExchangeId id, const StreamMessage &message) {
            targets.push_back(message.target);
            serving.answer(id, {.body = std::string(longBody, 'a')});
        });
        const auto fd = test::connectTo(server.port, 4096);
        // The answer to the first request, which the caller doesn't read, is still being written when the connection ends.
        test::sendAll(fd, std::string("GET /whole HTTP/1.1\r\nHost: h\r\n\r\nPOST /part HTTP/1.1\r\nHost: h\r\n") + part);
        absl::SleepFor(absl::Milliseconds(50));
        test::resetConnection(fd);
        auto open = std::size_t{1};
        const auto limit = absl::Now() + absl::Seconds(5);
        while (open > 0 && absl::Now() < limit) {
            server.thread.run([&] {
                open = server.server->openConnections();
            });
        }
        EXPECT_EQ(open, 0);
        EXPECT_EQ(targets, std::vector<std::string>{"/whole"}) << part;
    }
}

// Guards against the same fault in the client on libcurl.
TEST(ClientStreamEnd, OnlyAnOrderlyEndCompletesAResponseWithoutALength)
{
    for (const auto bodyBytes : {std::size_t{4}, longBody}) {
        for (const auto resets : {false, true}) {
            const auto listener = NarrowListener();
            auto loop = test::TestLoop();
            auto result = loop.send(test::requestTo(listener.port(), "POST", "/", std::string(bodyBytes, 'b')));
            const auto fd = listener.accept();
            ASSERT_GE(fd, 0);
            StreamEndTest::awaitRequest(fd);
            if (bodyBytes != longBody) {
                std::ignore = test::readMessage(fd);
            }
            test::sendAll(fd, bytesOf(Arrived::WithoutLength));
            absl::SleepFor(absl::Milliseconds(20));
            if (resets) {
                test::resetConnection(fd);
            } else {
                ::shutdown(fd, SHUT_WR);
                std::ignore = test::readToEnd(fd);
                ::close(fd);
            }
            const auto response = result.get();
            EXPECT_EQ(response.outcome, resets ? Outcome::Closed : Outcome::Ok) << bodyBytes << " " << response.error;
            EXPECT_EQ(response.body, resets ? "" : "half");
        }
    }
}

} // namespace
