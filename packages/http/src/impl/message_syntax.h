#pragma once

#include "tamarackspan/http/message.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tamarackspan::http::impl {

/// Checks the lines of an HTTP/1.1 message against the grammar of RFC 9112, in which every reader finds the same lines, fields and chunks. The parser itself
/// also accepts bare line feeds, folded lines, spaces before a colon and the like, which other readers take differently.
class MessageSyntax
{
public:
    /// Positioned before a message. The first line is checked too: the spaces and version of a request's, the version and status of a response's.
    explicit MessageSyntax(bool isRequest) noexcept;

    /// Checks the next bytes of the message. `isChunked` has to be right once the empty line after the header fields is among them. Returns false at the first
    /// violation.
    [[nodiscard]] auto check(std::string_view bytes, bool isChunked) noexcept -> bool;

    /// Returns how many bytes of lines have been checked since the start of the message or the last chunk's data.
    [[nodiscard]] auto lineBytes() const noexcept -> std::size_t;

private:
    enum class Place {
        /// Before the first line, where empty lines are skipped.
        Start,
        StartLineFeed,
        FirstLine,
        /// The first byte of a line of header or trailer fields.
        LineBegin,
        Name,
        Value,
        LineFeed,
        /// The line feed of the empty line after the fields.
        FieldsEnd,
        ChunkBegin,
        ChunkSize,
        ChunkExtension,
        ChunkSizeLineFeed,
        ChunkData,
        ChunkEnd,
        ChunkEndLineFeed,
        /// A body that isn't chunked, or the end of the message.
        Body,
    };

    [[nodiscard]] auto step(char byte, bool isChunked) noexcept -> bool;
    [[nodiscard]] auto stepInFirstLine(char byte) noexcept -> bool;
    [[nodiscard]] auto stepInStatus(char byte) noexcept -> bool;
    [[nodiscard]] auto stepInChunkSize(char byte) noexcept -> bool;
    /// Goes on at `next` if `isExpected`. Returns `isExpected`.
    [[nodiscard]] auto advance(bool isExpected, Place next) noexcept -> bool;

    bool isRequest;
    Place place = Place::Start;
    std::uint32_t spaces = 0;
    std::size_t versionBytes = 0;
    std::uint32_t statusDigits = 0;
    std::uint32_t sizeDigits = 0;
    std::uint64_t chunkLeft = 0;
    std::size_t lineByteCount = 0;
    bool inTrailer = false;
};

/// Returns whether the header fields leave no doubt where the body ends: at most one Content-Length, of digits only, or a Transfer-Encoding that is exactly
/// "chunked", in a version that has it.
[[nodiscard]] auto hasClearFraming(const Headers &headers, std::uint32_t minorVersion) -> bool;

} // namespace tamarackspan::http::impl
