#include "impl/message_syntax.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

#include <algorithm>

namespace tamarackspan::http::impl {

namespace {

/// Maximum number of digits of a chunk's size; more overflow 64 bits.
constexpr auto maxSizeDigits = std::uint32_t{16};
/// The versions, without their last digit. The parser takes some other letters for these.
constexpr auto versionText = std::string_view("HTTP/1.");
/// The spaces in a request's first line.
constexpr auto requestLineSpaces = std::uint32_t{2};
/// A status has exactly this many digits, the first of which is its class. The parser itself takes any number up to 999.
constexpr auto statusLength = std::uint32_t{3};
constexpr auto firstStatusClass = '1';
constexpr auto lastStatusClass = '5';

auto isToken(char byte) noexcept -> bool
{
    constexpr auto marks = std::string_view("!#$%&'*+-.^_`|~");
    return absl::ascii_isalnum(static_cast<unsigned char>(byte)) || marks.find(byte) != std::string_view::npos;
}

/// Returns whether a byte may occur in a field's value: all but control characters other than a tab.
auto isText(char byte) noexcept -> bool
{
    return byte == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(byte));
}

auto hexValue(char byte) noexcept -> std::uint64_t
{
    return absl::ascii_isdigit(static_cast<unsigned char>(byte)) ? static_cast<std::uint64_t>(byte - '0')
                                                                 : static_cast<std::uint64_t>(absl::ascii_tolower(static_cast<unsigned char>(byte)) - 'a') + 10;
}

} // namespace

MessageSyntax::MessageSyntax(bool isRequest) noexcept
    : isRequest(isRequest)
{
}

auto MessageSyntax::check(std::string_view bytes, bool isChunked) noexcept -> bool
{
    while (!bytes.empty() && this->place != Place::Body) {
        if (this->place == Place::ChunkData) {
            const auto skipped = std::min<std::uint64_t>(this->chunkLeft, bytes.size());
            this->chunkLeft -= skipped;
            this->lineByteCount = 0;
            bytes.remove_prefix(static_cast<std::size_t>(skipped));
            this->place = this->chunkLeft == 0 ? Place::ChunkEnd : Place::ChunkData;
            continue;
        }
        if (!this->step(bytes.front(), isChunked)) {
            return false;
        }
        bytes.remove_prefix(1);
        ++this->lineByteCount;
    }
    return true;
}

auto MessageSyntax::lineBytes() const noexcept -> std::size_t
{
    return this->lineByteCount;
}

auto MessageSyntax::advance(bool isExpected, Place next) noexcept -> bool
{
    this->place = next;
    return isExpected;
}

auto MessageSyntax::step(char byte, bool isChunked) noexcept -> bool
{
    switch (this->place) {
    case Place::Start:
        return byte == '\r' ? this->advance(true, Place::StartLineFeed) : this->stepInFirstLine(byte);
    case Place::StartLineFeed:
        return this->advance(byte == '\n', Place::Start);
    case Place::FirstLine:
        return this->stepInFirstLine(byte);
    case Place::LineBegin:
        return byte == '\r' ? this->advance(true, Place::FieldsEnd) : this->advance(isToken(byte), Place::Name);
    case Place::Name:
        return byte == ':' ? this->advance(true, Place::Value) : isToken(byte);
    case Place::Value:
        return byte == '\r' ? this->advance(true, Place::LineFeed) : isText(byte);
    case Place::LineFeed:
        return this->advance(byte == '\n', Place::LineBegin);
    case Place::FieldsEnd:
        return this->advance(byte == '\n', isChunked && !this->inTrailer ? Place::ChunkBegin : Place::Body);
    case Place::ChunkBegin:
        this->chunkLeft = 0;
        this->sizeDigits = 0;
        this->place = Place::ChunkSize;
        return absl::ascii_isxdigit(static_cast<unsigned char>(byte)) && this->stepInChunkSize(byte);
    case Place::ChunkSize:
        return this->stepInChunkSize(byte);
    case Place::ChunkExtension:
        return byte == '\r' ? this->advance(true, Place::ChunkSizeLineFeed) : isText(byte);
    case Place::ChunkSizeLineFeed:
        this->inTrailer = this->chunkLeft == 0;
        return this->advance(byte == '\n', this->inTrailer ? Place::LineBegin : Place::ChunkData);
    case Place::ChunkEnd:
        return this->advance(byte == '\r', Place::ChunkEndLineFeed);
    case Place::ChunkEndLineFeed:
        return this->advance(byte == '\n', Place::ChunkBegin);
    case Place::ChunkData:
    case Place::Body:
        break;
    }
    return true;
}

auto MessageSyntax::stepInFirstLine(char byte) noexcept -> bool
{
    this->place = Place::FirstLine;
    if (byte == '\r') {
        return this->advance(this->versionBytes == versionText.size() + 1 && (this->isRequest || this->statusDigits == statusLength), Place::LineFeed);
    }
    const auto isInVersion = this->isRequest ? this->spaces == requestLineSpaces : this->spaces == 0;
    if (isInVersion && byte != ' ') {
        const auto at = this->versionBytes++;
        return at < versionText.size() ? byte == versionText[at] : at == versionText.size() && (byte == '0' || byte == '1');
    }
    if (!this->isRequest && this->spaces == 1) {
        return this->stepInStatus(byte);
    }
    this->spaces += byte == ' ' ? 1 : 0;
    return isText(byte) && (!this->isRequest || (byte != '\t' && this->spaces <= requestLineSpaces));
}

auto MessageSyntax::stepInStatus(char byte) noexcept -> bool
{
    if (byte == ' ') {
        ++this->spaces;
        return this->statusDigits == statusLength;
    }
    const auto isClass = byte >= firstStatusClass && byte <= lastStatusClass;
    return ++this->statusDigits <= statusLength && (this->statusDigits == 1 ? isClass : absl::ascii_isdigit(static_cast<unsigned char>(byte)));
}

auto MessageSyntax::stepInChunkSize(char byte) noexcept -> bool
{
    if (byte == '\r' || byte == ';') {
        return this->advance(true, byte == ';' ? Place::ChunkExtension : Place::ChunkSizeLineFeed);
    }
    if (!absl::ascii_isxdigit(static_cast<unsigned char>(byte)) || ++this->sizeDigits > maxSizeDigits) {
        return false;
    }
    constexpr auto base = std::uint64_t{16};
    this->chunkLeft = this->chunkLeft * base + hexValue(byte);
    return true;
}

auto hasClearFraming(const Headers &headers, std::uint32_t minorVersion) -> bool
{
    auto lengths = 0;
    auto codings = 0;
    for (const auto &header : headers) {
        if (absl::EqualsIgnoreCase(header.name, "Content-Length")) {
            ++lengths;
            if (header.value.empty() || !std::ranges::all_of(header.value, [](char digit) {
                    return absl::ascii_isdigit(static_cast<unsigned char>(digit));
                })) {
                return false;
            }
        } else if (absl::EqualsIgnoreCase(header.name, "Transfer-Encoding")) {
            ++codings;
            if (minorVersion == 0 || !absl::EqualsIgnoreCase(header.value, "chunked")) {
                return false;
            }
        }
    }
    return lengths + codings <= 1;
}

} // namespace tamarackspan::http::impl
