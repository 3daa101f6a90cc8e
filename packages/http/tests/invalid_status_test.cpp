#include "loop_thread.h"
#include "raw_server.h"
#include "test_loop.h"

#include "tamarackspan/http/message_reader.h"
#include "tamarackspan/http/stream_client.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::http;
using State = MessageReader::State;

/// An answer that a server must not give.
struct InvalidAnswer
{
    std::string bytes;
    /// Only the end of the connection shows that it is invalid.
    bool closes = false;
};

/// Answers that a reader finds invalid whatever follows them.
auto invalidAnswers() -> std::vector<InvalidAnswer>
{
    const auto rest = std::string("\r\nContent-Length: 2\r\n\r\nok");
    const auto chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n");
    const auto whole = "HTTP/1.1 200 OK" + rest;
    auto answers = std::vector<InvalidAnswer>();
    for (const auto *const status : {"000", "001", "099", "600", "999", "2", "20", "2000", "0200", "+20", "-20", "20x", "x00", "2 0", ""}) {
        answers.push_back({absl::StrCat("HTTP/1.1 ", status, " Odd", rest)});
        answers.push_back({absl::StrCat("HTTP/1.0 ", status, rest)});
    }
    for (const auto *const line : {"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK",
                                   "HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/2 200", "HTTP/3 200 OK", "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1", "ok"}) {
        answers.push_back({line + rest, true});
    }
    answers.push_back({"<html>HTTP/0.9 has no status</html>\r\n", true});
    answers.push_back({"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"});
    answers.push_back({"HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole});
    answers.push_back({"HTTP/1.1 100 Continue\r\n\r\n", true});
    answers.push_back({"HTTP/1.1 103 Early Hints\r\nServer: a\r\n\r\n", true});
    answers.push_back({"HTTP/1.1 199 Odd" + rest});
    answers.push_back({absl::StrCat("HTTP/1.1 102 Processing\r\nContent-Length: ", whole.size(), "\r\n\r\n", whole)});
    answers.push_back({"HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n" + whole});
    answers.push_back({"HTTP/1.1 204 No Content" + rest});
    answers.push_back({"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"});
    answers.push_back({chunked + "Status: 500\r\n\r\n"});
    answers.push_back({chunked + "X: a\r\nstatus: 500 Failed\r\n\r\n"});
    answers.push_back({chunked + ":status: 500\r\n\r\n"});
    answers.push_back({chunked + "HTTP/1.1 500 Failed\r\n\r\n"});
    return answers;
}

/// Answers whose fields are valid, followed by a body that their status doesn't have.
auto answersWithUnstatedBody() -> std::vector<InvalidAnswer>
{
    return {{"HTTP/1.1 204 No Content\r\n\r\nok"}, {"HTTP/1.1 304 Not Modified\r\n\r\nok"}, {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nok"}};
}

/// Unusual answers that are valid, with their status.
auto validAnswers() -> std::vector<std::pair<std::string, std::uint32_t>>
{
    const auto rest = std::string("\r\nContent-Length: 2\r\n\r\nok");
    return {{"HTTP/1.1 200" + rest, 200},
            {"HTTP/1.1 200 " + rest, 200},
            {"HTTP/1.0 299 Odd" + rest, 299},
            {"HTTP/1.1 599 Odd\twith 1 tab" + rest, 599},
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK" + rest, 200},
            {"HTTP/1.1 204 No Content\r\n\r\n", 204},
            {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204},
            {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", 304},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Status: a\r\nStatus-Text: b\r\n\r\n", 200}};
}

// Guards against a status line that other readers refuse, or that states no result, being taken for a whole answer.
TEST(InvalidStatus, AReaderFindsTheAnswerMalformed)
{
    for (const auto &[bytes, closes] : invalidAnswers()) {
        // Whole and byte by byte, since a line may be split anywhere.
        for (const auto step : {bytes.size(), std::size_t{1}}) {
            auto reader = MessageReader(MessageReader::Kind::Response, {});
            for (auto at = std::size_t{0}; at < bytes.size() && reader.state() <= State::Reading; at += step) {
                reader.read(std::string_view(bytes).substr(at, step));
            }
            if (closes) {
                reader.endOfStream();
            }
            EXPECT_EQ(reader.state(), State::Malformed) << bytes << " step " << step << " status " << reader.take().status;
        }
    }
    for (const auto &[bytes, status] : validAnswers()) {
        auto reader = MessageReader(MessageReader::Kind::Response, {});
        EXPECT_EQ(reader.read(bytes), bytes.size()) << bytes;
        EXPECT_EQ(reader.state(), State::Complete) << bytes;
        EXPECT_EQ(reader.take().status, status) << bytes;
    }
}

auto concat(std::vector<InvalidAnswer> first, const std::vector<InvalidAnswer> &second) -> std::vector<InvalidAnswer>
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

// Guards against an invalid answer that is delivered, or whose connection carries another request.
TEST(InvalidStatus, AStreamClientEndsTheCallAsBrokenAndTheConnection)
{
    for (const auto &[bytes, closes] : concat(invalidAnswers(), answersWithUnstatedBody())) {
        auto server = test::RawServer([&bytes = bytes, closes = closes](const test::SeenRequest &seen) {
            return seen.connection == 0 ? test::Action{.reply = bytes, .close = closes} : test::Action{.reply = test::okReply("next")};
        });
        auto thread = test::LoopThread();
        auto client = std::make_unique<StreamClient>(thread.loop, StreamClientOptions{});
        thread.start();
        const auto exchange = [&] {
            auto promise = std::make_shared<std::promise<CallResult>>();
            thread.run([&] {
                std::ignore = client->call({.pool = "p",
                                            .endpoint = {.ip = "127.0.0.1", .port = server.port()},
                                            .bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                                            .timeout = absl::Seconds(2),
                                            .onResult = [promise](CallResult result) {
                                                promise->set_value(std::move(result));
                                            }});
            });
            return promise->get_future().get();
        };
        const auto result = exchange();
        EXPECT_EQ(result.outcome, CallOutcome::Broken) << bytes << " status " << result.response.status;
        EXPECT_NE(result.reason, "timed out") << bytes;
        EXPECT_EQ(exchange().response.body, "next") << bytes;
        EXPECT_EQ(server.accepted(), 2) << bytes;
        thread.stop();
        client.reset();
    }
}

// The client over libcurl, which tamarackspand uses for leafs and the store: guards against the same, for the part of the answers that libcurl itself accepts.
TEST(InvalidStatus, AClientEndsTheRequestAsClosedAndTheConnection)
{
    for (const auto &[bytes, closes] : invalidAnswers()) {
        auto server = test::RawServer([&bytes = bytes, closes = closes](const test::SeenRequest &seen) {
            return seen.connection == 0 ? test::Action{.reply = bytes, .close = closes} : test::Action{.reply = test::okReply("next")};
        });
        auto loop = test::TestLoop();
        auto request = test::requestTo(server.port(), "POST", "/", "a");
        request.timeout = absl::Seconds(2);
        request.resendPolicy = ResendPolicy::AtMostOnce;
        const auto response = loop.exchange(request);
        EXPECT_EQ(response.outcome, Outcome::Closed) << bytes << " status " << response.status;
        EXPECT_TRUE(response.bytesMayHaveBeenSent) << bytes;
        EXPECT_EQ(response.status, 0) << bytes;
        EXPECT_EQ(response.body, "") << bytes;
        EXPECT_EQ(loop.exchange(request).body, "next") << bytes;
        EXPECT_EQ(server.accepted(), 2) << bytes;
    }
    for (const auto &[bytes, status] : validAnswers()) {
        auto server = test::RawServer([&bytes = bytes](const test::SeenRequest &) {
            return test::Action{.reply = bytes};
        });
        auto loop = test::TestLoop();
        const auto response = loop.exchange(test::requestTo(server.port(), "GET", "/"));
        EXPECT_EQ(response.outcome, Outcome::Ok) << bytes << response.error;
        EXPECT_EQ(response.status, status) << bytes;
    }
}

} // namespace
