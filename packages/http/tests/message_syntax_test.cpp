#include "tamarackspan/http/message_reader.h"

#include "tamarackspan/base/random.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::http;
using Kind = MessageReader::Kind;
using State = MessageReader::State;

auto stateAfter(Kind kind, const std::string &text) -> State
{
    auto reader = MessageReader(kind, {});
    reader.read(text);
    return reader.state();
}

// Each is taken differently by some reader, which could serve its rest as another request.
TEST(MessageSyntax, RequestsThatTwoReadersCanTakeDifferentlyAreMalformed)
{
    const auto chunked = std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto fields = [](const std::string &lines, const std::string &body = "abcd") {
        return "POST / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n" + body;
    };
    for (const auto &text : std::vector<std::string>{
             fields("Content-Length : 4\r\n"),
             fields("X\t: 1\r\nContent-Length: 4\r\n"),
             fields("X Y: 1\r\nContent-Length: 4\r\n"),
             fields(": 1\r\nContent-Length: 4\r\n"),
             fields("X\x01: 1\r\nContent-Length: 4\r\n"),
             fields("X: a\r\n b\r\nContent-Length: 4\r\n"),
             fields("X: a\r\n\tb\r\nContent-Length: 4\r\n"),
             fields(" X: a\r\nContent-Length: 4\r\n"),
             fields("X: a\nContent-Length: 4\r\n"),
             fields("X: a\rContent-Length: 4\r\n"),
             fields("X: a\r\r\nContent-Length: 4\r\n"),
             fields(std::string("X: a\0b\r\nContent-Length: 4\r\n", 27)),
             fields("X: a\x0b\r\nContent-Length: 4\r\n"),
             fields("X: a\x7f\r\nContent-Length: 4\r\n"),
             fields("Content-Length: 4\r\nContent-Length: 4\r\n"),
             fields("Content-Length: 4\r\nContent-Length: 5\r\n"),
             fields("Content-Length: 4, 4\r\n"),
             fields("Content-Length: +4\r\n"),
             fields("Content-Length: -4\r\n"),
             fields("Content-Length: 0x4\r\n"),
             fields("Content-Length: 4.0\r\n"),
             fields("Content-Length: 4 4\r\n"),
             fields("Content-Length:\r\n"),
             fields("Content-Length: 18446744073709551620\r\n"),
             fields("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
             fields("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n"),
             fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
             fields("Transfer-Encoding: identity\r\n"),
             fields("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
             fields("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"),
             fields("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
             fields("Transfer-Encoding:\x0bchunked\r\n", "0\r\n\r\n"),
             fields("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"),
             std::string("POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
             std::string("GET / HTTP/1.1\nHost: h\n\n"),
             std::string("GET / HTTP/1.1\r\nHost: h\r\n\n"),
             std::string("\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"),
             std::string("GET  / HTTP/1.1\r\nHost: h\r\n\r\n"),
             std::string("GET /  HTTP/1.1\r\nHost: h\r\n\r\n"),
             std::string("GET\t/ HTTP/1.1\r\nHost: h\r\n\r\n"),
             std::string("GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n"),
             std::string("GET /a\fb HTTP/1.1\r\nHost: h\r\n\r\n"),
             std::string("GET /\r\n\r\n"),
             std::string("GET / HTRP/1.1\r\nHost: h\r\n\r\n"),
             std::string("GET / HTTP/1.1 \r\nHost: h\r\n\r\n"),
             std::string("GET / HTTP/01.1\r\nHost: h\r\n\r\n"),
             std::string("GET / HTTP/1.01\r\nHost: h\r\n\r\n"),
             std::string("GET / HTTP/0.9\r\nHost: h\r\n\r\n"),
             std::string("GET / HTTP/1.2\r\nHost: h\r\n\r\n"),
             std::string("GET / HTTP/2.0\r\nHost: h\r\n\r\n"),
             chunked + "4 \r\nabcd\r\n0\r\n\r\n",
             chunked + " 4\r\nabcd\r\n0\r\n\r\n",
             chunked + "+4\r\nabcd\r\n0\r\n\r\n",
             chunked + "0x4\r\nabcd\r\n0\r\n\r\n",
             chunked + "4\nabcd\r\n0\r\n\r\n",
             chunked + "4;a\nb\r\nabcd\r\n0\r\n\r\n",
             chunked + "4\r\nabcd0\r\n\r\n",
             chunked + "4\r\nabcdXX0\r\n\r\n",
             chunked + "4\r\nabcd\n0\r\n\r\n",
             chunked + "10000000000000004\r\nabcd\r\n0\r\n\r\n",
             chunked + "\r\n4\r\nabcd\r\n0\r\n\r\n",
             chunked + "0\r\n X: 1\r\n\r\n",
             chunked + "0\r\nX : 1\r\n\r\n",
             chunked + "0\r\nX: 1\n\r\n",
             chunked + "0\r\nX: 1\r\n\n",
         }) {
        EXPECT_EQ(stateAfter(Kind::Request, text), State::Malformed) << text;
    }
}

TEST(MessageSyntax, UnusualButClearRequestsAreComplete)
{
    for (const auto *const text :
         {"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a?b=c#d HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nX:\r\nY:  \t a\tb \t\r\n\r\n",
          "POST / HTTP/1.1\r\ncontent-length:  04 \r\n\r\nabcd", "POST / HTTP/1.1\r\nTRANSFER-encoding:Chunked \r\n\r\n4;a=\"b\"\r\nabcd\r\n00\r\nX: y\r\n\r\n",
          "GET /\xc3\xa9 HTTP/1.1\r\nX: \xe9\r\n\r\n"}) {
        EXPECT_EQ(stateAfter(Kind::Request, text), State::Complete) << text;
    }
}

TEST(MessageSyntax, ResponsesThatTwoReadersCanTakeDifferentlyAreMalformed)
{
    for (const auto *const text :
         {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n"}) {
        EXPECT_EQ(stateAfter(Kind::Response, text), State::Malformed) << text;
    }
    EXPECT_EQ(stateAfter(Kind::Response, "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok"), State::Complete);
}

TEST(MessageSyntax, AnAbsoluteTargetIsServedAsItsOriginForm)
{
    const auto read = [](const std::string &target) {
        auto reader = MessageReader(Kind::Request, {});
        reader.read("GET " + target + " HTTP/1.1\r\nhost: other\r\n\r\n");
        return reader.state() == State::Complete ? std::optional(reader.take()) : std::nullopt;
    };
    for (const auto &[target, origin] : std::vector<std::pair<std::string, std::string>>{
             {"http://h.example:80/a?b", "/a?b"}, {"HTTPS://h.example:80/a", "/a"}, {"http://h.example:80", "/"}, {"http://h.example:80?b", "/?b"}}) {
        const auto message = read(target);
        ASSERT_TRUE(message.has_value()) << target;
        EXPECT_EQ(message->target, origin);
        EXPECT_EQ(message->headers, (Headers{{"host", "h.example:80"}}));
    }
    EXPECT_EQ(read("/a")->headers, (Headers{{"host", "other"}}));
    for (const auto *const target : {"http:///a", "http://", "http://user@h/a"}) {
        EXPECT_FALSE(read(target).has_value()) << target;
    }
    EXPECT_EQ(stateAfter(Kind::Request, "GET http://h/ HTTP/1.1\r\n\r\n"), State::Malformed);
    EXPECT_EQ(stateAfter(Kind::Request, "GET http://h/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"), State::Malformed);
}

/// Reads requests by the letter of RFC 9112, from the whole text at once, without the parser of the product.
struct PlainReader
{
    std::string_view rest;

    /// Returns the text up to the next CRLF; nothing if there is none, or if it holds a control character other than a tab.
    auto line() -> std::optional<std::string>
    {
        const auto end = this->rest.find("\r\n");
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const auto text = std::string(this->rest.substr(0, end));
        this->rest.remove_prefix(end + 2);
        const auto isClean = std::ranges::none_of(text, [](char letter) {
            return letter != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(letter));
        });
        return isClean ? std::optional(text) : std::nullopt;
    }

    /// Returns the fields up to the empty line; nothing if one is malformed.
    auto fields() -> std::optional<Headers>
    {
        auto headers = Headers();
        for (auto next = this->line(); next.has_value(); next = this->line()) {
            if (next->empty()) {
                return headers;
            }
            const auto colon = next->find(':');
            const auto name = next->substr(0, colon);
            const auto isToken = !name.empty() && std::ranges::all_of(name, [](char letter) {
                return absl::ascii_isalnum(static_cast<unsigned char>(letter)) || std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
            });
            if (colon == std::string::npos || !isToken) {
                return std::nullopt;
            }
            headers.push_back({name, std::string(absl::StripAsciiWhitespace(next->substr(colon + 1)))});
        }
        return std::nullopt;
    }

    auto chunkedBody() -> std::optional<std::string>
    {
        auto body = std::string();
        for (auto next = this->line(); next.has_value(); next = this->line()) {
            const auto digits = next->substr(0, next->find(';'));
            auto size = std::uint64_t{0};
            const auto isSize = !digits.empty() && digits.size() <= 16 && std::ranges::all_of(digits, [](char digit) {
                return absl::ascii_isxdigit(static_cast<unsigned char>(digit));
            });
            if (!isSize || !absl::SimpleHexAtoi(digits, &size)) {
                return std::nullopt;
            }
            if (size == 0) {
                return this->fields().has_value() ? std::optional(body) : std::nullopt;
            }
            if (this->rest.size() < size || !this->rest.substr(static_cast<std::size_t>(size)).starts_with("\r\n")) {
                return std::nullopt;
            }
            body += this->rest.substr(0, static_cast<std::size_t>(size));
            this->rest.remove_prefix(static_cast<std::size_t>(size) + 2);
        }
        return std::nullopt;
    }

    /// Returns the next request as text; nothing if it is malformed or incomplete.
    auto request() -> std::optional<std::string>
    {
        while (this->rest.starts_with("\r\n")) {
            this->rest.remove_prefix(2);
        }
        const auto first = this->line();
        const auto words = std::vector<std::string>(absl::StrSplit(first.value_or(""), ' '));
        if (words.size() != 3 || words[1].empty() || (words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0") || words[1].find('\t') != std::string::npos) {
            return std::nullopt;
        }
        const auto headers = this->fields();
        if (!headers.has_value()) {
            return std::nullopt;
        }
        auto lengths = std::vector<std::string>();
        auto codings = std::vector<std::string>();
        for (const auto &[name, value] : *headers) {
            if (absl::EqualsIgnoreCase(name, "Content-Length")) {
                lengths.push_back(value);
            } else if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
                codings.push_back(value);
            }
        }
        auto body = std::optional<std::string>(std::string());
        if (codings.size() + lengths.size() > 1) {
            return std::nullopt;
        }
        if (!codings.empty()) {
            body = words[2] == "HTTP/1.1" && absl::EqualsIgnoreCase(codings[0], "chunked") ? this->chunkedBody() : std::nullopt;
        } else if (!lengths.empty()) {
            auto size = std::uint64_t{0};
            const auto isNumber = !lengths[0].empty() && std::ranges::all_of(lengths[0], [](char digit) {
                return absl::ascii_isdigit(static_cast<unsigned char>(digit));
            });
            if (!isNumber || !absl::SimpleAtoi(lengths[0], &size) || this->rest.size() < size) {
                return std::nullopt;
            }
            body = std::string(this->rest.substr(0, static_cast<std::size_t>(size)));
            this->rest.remove_prefix(static_cast<std::size_t>(size));
        }
        return body.has_value() ? std::optional(absl::StrCat(words[0], " ", words[1], " ", *body)) : std::nullopt;
    }
};

auto mutated(base::Random &random, std::string text) -> std::string
{
    static const auto inserts = std::vector<std::string>{"\r",
                                                         "\n",
                                                         "\r\n",
                                                         " ",
                                                         "\t",
                                                         ":",
                                                         ",",
                                                         ";",
                                                         "0",
                                                         "4",
                                                         "f",
                                                         "+",
                                                         "-",
                                                         std::string(1, '\0'),
                                                         "\x0b",
                                                         "\x7f",
                                                         "\x80",
                                                         "Content-Length: 4\r\n",
                                                         "Transfer-Encoding: chunked\r\n",
                                                         "\r\n\r\n",
                                                         "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n",
                                                         "0\r\n\r\n"};
    for (auto count = random.below(3) + 1; count > 0; --count) {
        const auto at = random.below(text.size());
        const auto &insert = inserts[random.below(inserts.size())];
        switch (random.below(3)) {
        case 0:
            text.insert(at, insert);
            break;
        case 1:
            text.erase(at, random.below(3) + 1);
            break;
        default:
            text.replace(at, std::min(insert.size(), text.size() - at), insert);
            break;
        }
    }
    return text;
}

// No request that this reader completes is another one, or another number of them, to a reader that follows the RFC by the letter.
TEST(MessageSyntax, RandomMutationsAreTakenAsByAPlainReader)
{
    const auto valid = std::vector<std::string>{
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 48\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\nAnother-Id: x\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\n26\r\nGET /hidden HTTP/1.1\r\nHost: hhhhhh\r\n\r\n\r\n0\r\nT: "
        "1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\nContent-Length: 0\r\n\r\nGET /b HTTP/1.0\r\n\r\n"};
    auto random = base::Random(20261205);
    auto complete = 0;
    auto different = 0;
    for (auto round = 0; round < 200'000; ++round) {
        const auto text = mutated(random, valid[static_cast<std::size_t>(round) % valid.size()]);
        auto reader = MessageReader(Kind::Request, {});
        auto plain = PlainReader{text};
        for (auto at = std::size_t{0}; at < text.size();) {
            const auto size = std::min<std::size_t>(random.below(40) + 1, text.size() - at);
            at += reader.read(std::string_view(text).substr(at, size));
            if (reader.state() == State::Complete) {
                const auto message = reader.take();
                ++complete;
                const auto expected = plain.request();
                if (expected != absl::StrCat(message.method, " ", message.target, " ", message.body)) {
                    ADD_FAILURE() << "taken differently: " << text << "\nby the plain reader as " << expected.value_or("malformed") << "\nas " << message.method
                                  << " " << message.target << " " << message.body;
                    ++different;
                }
            } else if (reader.state() != State::Reading && reader.state() != State::Idle) {
                break;
            }
        }
        if (different > 5) {
            break;
        }
    }
    EXPECT_GT(complete, 50'000);
}

} // namespace
