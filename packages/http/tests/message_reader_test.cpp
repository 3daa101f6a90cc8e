#include "tamarackspan/http/message_reader.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::http;
using Kind = MessageReader::Kind;
using State = MessageReader::State;

TEST(MessageReader, ReadsARequestByteByByte)
{
    auto reader = MessageReader(Kind::Request, {});
    const auto text = std::string("POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    for (const auto letter : text) {
        ASSERT_EQ(reader.read(std::string(1, letter)), 1);
    }
    ASSERT_EQ(reader.state(), State::Complete);
    const auto message = reader.take();
    EXPECT_EQ(message.method, "POST");
    EXPECT_EQ(message.target, "/a?b=%20");
    EXPECT_EQ(message.body, "abc");
    EXPECT_TRUE(message.keepAlive);
    EXPECT_EQ(reader.state(), State::Idle);
}

TEST(MessageReader, StopsAfterAMessageAndReadsTheNext)
{
    auto reader = MessageReader(Kind::Request, {});
    const auto first = std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto both = first + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    EXPECT_EQ(reader.read(both), first.size());
    EXPECT_EQ(reader.take().target, "/1");
    EXPECT_EQ(reader.read(both.substr(first.size())), both.size() - first.size());
    EXPECT_EQ(reader.take().target, "/2");
}

TEST(MessageReader, DecodesAChunkedBody)
{
    auto reader = MessageReader(Kind::Request, {});
    reader.read("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    ASSERT_EQ(reader.state(), State::Complete);
    EXPECT_EQ(reader.take().body, "abc");
}

TEST(MessageReader, RejectsAmbiguousFraming)
{
    for (const auto *const text : {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                                   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                                   "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost h\r\n\r\n", "nonsense\r\n\r\n"}) {
        auto reader = MessageReader(Kind::Request, {});
        reader.read(text);
        EXPECT_EQ(reader.state(), State::Malformed) << text;
    }
}

TEST(MessageReader, EnforcesItsLimits)
{
    auto headers = MessageReader(Kind::Request, {.headerBytes = 100});
    headers.read("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    EXPECT_EQ(headers.state(), State::HeadersTooLarge);
    auto body = MessageReader(Kind::Request, {.bodyBytes = 3});
    body.read("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd");
    EXPECT_EQ(body.state(), State::BodyTooLarge);
}

TEST(MessageReader, AResponseWithoutLengthEndsWithItsConnectionOnly)
{
    auto reader = MessageReader(Kind::Response, {});
    reader.read("HTTP/1.1 200 OK\r\n\r\npart");
    EXPECT_EQ(reader.state(), State::Reading);
    reader.endOfStream();
    ASSERT_EQ(reader.state(), State::Complete);
    const auto message = reader.take();
    EXPECT_EQ(message.body, "part");
    EXPECT_FALSE(message.keepAlive);
}

TEST(MessageReader, RejectsATruncatedResponse)
{
    for (const auto *const text : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
                                   "HTTP/1.1 200 OK\r\nContent-"}) {
        auto reader = MessageReader(Kind::Response, {});
        reader.read(text);
        reader.endOfStream();
        EXPECT_EQ(reader.state(), State::Malformed) << text;
    }
}

// A message that ends anywhere before its end isn't complete, whoever sent it.
TEST(MessageReader, NoMessageThatStopsEarlyIsComplete)
{
    const auto messages = std::vector<std::pair<Kind, std::string>>{
        {Kind::Response, "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 4\r\n\r\nbody"},
        {Kind::Response, "HTTP/1.1 200 OK\r\nServer: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nMore: b\r\n\r\n"},
        {Kind::Response, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: a\r\n\r\n"},
        {Kind::Response, "HTTP/1.1 204 No Content\r\nServer: a\r\n\r\n"},
        {Kind::Response, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
        {Kind::Response, "HTTP/1.1 200 OK\r\nServer: a\r\n\r\n"},
        {Kind::Request, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
        {Kind::Request, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"},
        {Kind::Request, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
    };
    for (const auto &[kind, text] : messages) {
        for (auto size = std::size_t{0}; size <= text.size(); ++size) {
            auto reader = MessageReader(kind, {});
            reader.read(std::string_view(text).substr(0, size));
            reader.endOfStream();
            EXPECT_EQ(reader.state() == State::Complete, size == text.size()) << text.substr(0, size);
        }
    }
}

TEST(MessageReader, SkipsInterimResponses)
{
    auto reader = MessageReader(Kind::Response, {});
    reader.read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    ASSERT_EQ(reader.state(), State::Complete);
    EXPECT_EQ(reader.take().status, 204);
}

TEST(MessageReader, StopsAtBytesWithoutEnd)
{
    const auto chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto field = std::string("X-More: 0123456789012345678901234567890123456789\r\n");
    const auto body = std::string(4096, 'b');
    constexpr auto limits = MessageLimits{.headerBytes = std::size_t{16} * 1024, .bodyBytes = std::size_t{64} * 1024};
    constexpr auto maxBytes = std::size_t{1024} * 1024;
    for (const auto &[begin, repeated] : std::vector<std::pair<std::string, std::string>>{{"HTTP/1.1 200 OK\r\n", field},
                                                                                          {"HTTP/1.1 200 OK\r\nX-More: ", body},
                                                                                          {"", "HTTP/1.1 102 Processing\r\n\r\n"},
                                                                                          {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", body},
                                                                                          {"HTTP/1.1 200 OK\r\n\r\n", body},
                                                                                          {chunked, "1000\r\n" + body + "\r\n"},
                                                                                          {chunked + "1;x=", body},
                                                                                          {chunked + "0\r\n", field}}) {
        auto reader = MessageReader(MessageReader::Kind::Response, limits);
        reader.read(begin);
        auto given = std::size_t{0};
        while (given < maxBytes && (reader.state() == MessageReader::State::Reading || reader.state() == MessageReader::State::Idle)) {
            reader.read(repeated);
            given += repeated.size();
            EXPECT_LE(reader.bufferedBytes(), limits.headerBytes + limits.bodyBytes + repeated.size());
        }
        EXPECT_LT(given, maxBytes) << begin.substr(0, 60) << repeated.substr(0, 30);
    }
}

TEST(EndToEndHeaders, OmitsHopByHopFields)
{
    const auto headers =
        Headers{{"Host", "h"}, {"connection", "close, X-One"}, {"X-One", "1"}, {"Keep-Alive", "timeout=5"}, {"X-Two", "2"}, {"Content-Length", "3"}};
    EXPECT_EQ(endToEndHeaders(headers), (Headers{{"Host", "h"}, {"X-Two", "2"}}));
}

} // namespace
