#include "tamarackspan/http/message_reader.h"

#include "impl/message_syntax.h"
#include "impl/request_target.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include <http_parser.h>

#include <utility>

namespace tamarackspan::http {

namespace {

/// Maximum number of interim responses before a response; a sender of more is treated as faulty, since they could go on without end.
constexpr auto maxInterimResponses = std::uint32_t{32};
/// A limit on the bytes of names and values allows this many times as many bytes of lines, and a few more: a field of one byte takes four with its separators.
constexpr auto lineBytesPerHeaderByte = std::size_t{4};
constexpr auto extraLineBytes = std::size_t{4096};
/// The parser's own limit, which holds for all messages of the process; those of the messages are checked here.
constexpr auto maxParserBytes = std::uint32_t{1} << 30U;
constexpr auto switchingStatus = std::uint32_t{101};
/// A field by which a sender takes back, after the body, the status that it sent before; the response is then neither.
constexpr auto trailerStatus = absl::string_view("Status");

} // namespace

struct MessageReader::Core
{
    Kind kind;
    /// Of the current message, and of those that begin from now on.
    MessageLimits limits;
    MessageLimits nextLimits;
    http_parser parser{};
    impl::MessageSyntax syntax;
    State state = State::Idle;
    StreamMessage message{};
    std::size_t headerBytes = 0;
    bool headersDone = false;
    bool lastWasValue = false;
    /// The name of the trailer field that is being read.
    std::string trailerName{};
    bool interim = false;
    bool interimPassed = false;
    /// The interim responses before the current message.
    std::uint32_t interimCount = 0;
    /// The body ends with the connection, since the response has no length.
    bool endsWithConnection = false;
    /// The next response has no body, since it answers a HEAD request.
    bool answersHead = false;

    Core(Kind kind, MessageLimits limits)
        : kind(kind),
          limits(limits),
          nextLimits(limits),
          syntax(kind == Kind::Request)
    {
        this->restart();
    }

    auto restart() -> void
    {
        http_parser_init(&this->parser, this->kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
        this->syntax = impl::MessageSyntax(this->kind == Kind::Request);
        this->state = State::Idle;
        this->message = {};
        this->headerBytes = 0;
        this->headersDone = false;
        this->lastWasValue = false;
        this->trailerName.clear();
        this->interim = false;
        this->endsWithConnection = false;
    }

    auto countHeader(std::size_t size) -> int
    {
        this->headerBytes += size;
        if (this->headerBytes > this->limits.headerBytes) {
            this->state = State::HeadersTooLarge;
            return 1;
        }
        return 0;
    }

    static auto self(http_parser *parser) -> Core &
    {
        return *static_cast<Core *>(parser->data);
    }

    static auto onUrl(http_parser *parser, const char *at, std::size_t size) -> int
    {
        auto &core = self(parser);
        core.message.target.append(at, size);
        return core.countHeader(size);
    }

    static auto onField(http_parser *parser, const char *at, std::size_t size) -> int
    {
        auto &core = self(parser);
        if (core.headersDone) {
            // Trailer fields are parsed and discarded.
            if (std::exchange(core.lastWasValue, false)) {
                core.trailerName.clear();
            }
            core.trailerName.append(at, size);
            return core.countHeader(size);
        }
        if (core.lastWasValue || core.message.headers.empty()) {
            core.message.headers.emplace_back();
            core.lastWasValue = false;
        }
        core.message.headers.back().name.append(at, size);
        return core.countHeader(size);
    }

    static auto onValue(http_parser *parser, const char *at, std::size_t size) -> int
    {
        auto &core = self(parser);
        core.lastWasValue = true;
        if (!core.headersDone) {
            core.message.headers.back().value.append(at, size);
        } else if (core.kind == Kind::Response && absl::EqualsIgnoreCase(core.trailerName, trailerStatus)) {
            core.state = State::Malformed;
            return 1;
        }
        return core.countHeader(size);
    }

    static auto onHeadersComplete(http_parser *parser) -> int
    {
        auto &core = self(parser);
        core.headersDone = true;
        // The first field of a trailer begins a name.
        core.lastWasValue = true;
        for (auto &header : core.message.headers) {
            absl::StripTrailingAsciiWhitespace(&header.value);
        }
        const auto isKnownVersion = parser->http_major == 1 && parser->http_minor <= 1;
        if (!isKnownVersion || !impl::hasClearFraming(core.message.headers, parser->http_minor)) {
            core.state = State::Malformed;
            return -1;
        }
        const auto bodyless = core.kind == Kind::Response && (core.answersHead || isBodyless(parser->status_code));
        if (core.kind == Kind::Response && !isAllowed(*parser)) {
            core.state = State::Malformed;
            return -1;
        }
        if (bodyless) {
            // Otherwise the parser takes a response without a length for one that ends with its connection.
            parser->flags |= F_SKIPBODY;
        }
        core.message.keepAlive = http_should_keep_alive(parser) != 0;
        if (core.kind == Kind::Request) {
            core.message.method = http_method_str(static_cast<http_method>(parser->method));
            if (parser->method == HTTP_CONNECT || !impl::toOriginForm(core.message)) {
                core.state = State::Malformed;
                return -1;
            }
            // Protocol upgrades aren't supported: the request is treated as an ordinary one.
            parser->upgrade = 0;
            return 0;
        }
        core.message.status = parser->status_code;
        core.interim = parser->status_code >= 100 && parser->status_code < 200;
        core.endsWithConnection = !bodyless && (parser->flags & F_CHUNKED) == 0 && parser->content_length == UINT64_MAX;
        parser->upgrade = 0;
        if (bodyless && parser->content_length != UINT64_MAX) {
            core.message.omittedLength = parser->content_length;
        }
        return bodyless ? 1 : 0;
    }

    /// Returns whether a response may have its status: no protocol upgrade is ever requested, and where the status excludes a body none may be stated.
    /// A 304 states the length of what it stands for.
    static auto isAllowed(const http_parser &parser) -> bool
    {
        const auto statesBody = (parser.flags & F_CHUNKED) != 0 || (parser.content_length != UINT64_MAX && parser.content_length != 0);
        return parser.status_code != switchingStatus && !(statesBody && (parser.status_code < 200 || parser.status_code == 204));
    }

    static auto isBodyless(std::uint32_t status) -> bool
    {
        return status < 200 || status == 204 || status == 304;
    }

    static auto onBody(http_parser *parser, const char *at, std::size_t size) -> int
    {
        auto &core = self(parser);
        if (core.message.body.size() + size > core.limits.bodyBytes) {
            core.state = State::BodyTooLarge;
            return 1;
        }
        core.message.body.append(at, size);
        return 0;
    }

    static auto onComplete(http_parser *parser) -> int
    {
        auto &core = self(parser);
        if (!core.interim) {
            core.state = State::Complete;
        }
        http_parser_pause(parser, 1);
        return 0;
    }

    static auto settings() -> const http_parser_settings &
    {
        static const auto value = [] {
            http_parser_set_max_header_size(maxParserBytes);
            auto made = http_parser_settings{};
            http_parser_settings_init(&made);
            made.on_url = &onUrl;
            made.on_header_field = &onField;
            made.on_header_value = &onValue;
            made.on_headers_complete = &onHeadersComplete;
            made.on_body = &onBody;
            made.on_message_complete = &onComplete;
            return made;
        }();
        return value;
    }
};

MessageReader::MessageReader(Kind kind, MessageLimits limits)
    : core(std::make_unique<Core>(kind, limits))
{
}

MessageReader::~MessageReader() = default;
MessageReader::MessageReader(MessageReader &&) noexcept = default;
auto MessageReader::operator=(MessageReader &&) noexcept -> MessageReader & = default;

auto MessageReader::setLimits(MessageLimits limits) noexcept -> void
{
    this->core->nextLimits = limits;
}

auto MessageReader::read(std::string_view bytes) -> std::size_t
{
    auto &core = *this->core;
    auto used = std::size_t{0};
    if (core.state == State::Idle && !bytes.empty()) {
        core.state = State::Reading;
        core.limits = core.nextLimits;
    }
    while (core.state == State::Reading && used < bytes.size()) {
        const auto parsed = http_parser_execute(&core.parser, &Core::settings(), bytes.data() + used, bytes.size() - used);
        const auto isClear = core.syntax.check(bytes.substr(used, parsed), (core.parser.flags & F_CHUNKED) != 0);
        used += parsed;
        if (!isClear && (core.state == State::Reading || core.state == State::Complete)) {
            core.state = State::Malformed;
        } else if (core.state == State::Reading && core.syntax.lineBytes() > lineBytesPerHeaderByte * core.limits.headerBytes + extraLineBytes) {
            core.state = State::HeadersTooLarge;
        } else if (core.interim && HTTP_PARSER_ERRNO(&core.parser) == HPE_PAUSED) {
            core.restart();
            core.interimPassed = true;
            core.state = ++core.interimCount > maxInterimResponses ? State::Malformed : State::Reading;
        } else if (core.state == State::Reading && HTTP_PARSER_ERRNO(&core.parser) != HPE_OK) {
            core.state = HTTP_PARSER_ERRNO(&core.parser) == HPE_HEADER_OVERFLOW ? State::HeadersTooLarge : State::Malformed;
        }
    }
    return used;
}

auto MessageReader::expectNoBody(bool expect) noexcept -> void
{
    this->core->answersHead = expect;
}

auto MessageReader::endOfStream() -> void
{
    auto &core = *this->core;
    if (core.state != State::Reading) {
        return;
    }
    if (core.headersDone && core.endsWithConnection) {
        core.state = State::Complete;
    } else {
        core.state = State::Malformed;
    }
}

auto MessageReader::state() const noexcept -> State
{
    return this->core->state;
}

auto MessageReader::headersComplete() const noexcept -> bool
{
    return this->core->headersDone;
}

auto MessageReader::bufferedBytes() const noexcept -> std::size_t
{
    return this->core->headerBytes + this->core->message.body.size();
}

auto MessageReader::takeInterim() noexcept -> bool
{
    return std::exchange(this->core->interimPassed, false);
}

auto MessageReader::expectsContinue() const noexcept -> bool
{
    if (!this->core->headersDone || this->core->kind != Kind::Request) {
        return false;
    }
    const auto *const expected = findHeader(this->core->message.headers, "Expect");
    return expected != nullptr && absl::EqualsIgnoreCase(*expected, "100-continue");
}

auto MessageReader::take() -> StreamMessage
{
    auto message = std::move(this->core->message);
    this->core->restart();
    this->core->interimCount = 0;
    return message;
}

} // namespace tamarackspan::http
