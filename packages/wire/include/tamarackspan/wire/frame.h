#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace tamarackspan::wire {

/// The version of the protocol between hosts that this build uses. Peers of another version are refused at once.
constexpr auto protocolVersion = std::uint8_t{1};
/// The size of the header before each message: the message size (4 bytes, little endian), 2 magic bytes, the version, and one byte that is 0.
constexpr auto frameHeaderBytes = std::size_t{8};
/// The largest message in bytes.
constexpr auto maxMessageBytes = std::size_t{16} << 20U;

/// Why a stream of frames can't be read any further.
enum class FrameError {
    /// The magic bytes are wrong: the peer uses another protocol.
    WrongProtocol,
    /// The peer uses another version of the protocol.
    WrongVersion,
    /// The size is 0 or above maxMessageBytes.
    BadSize,
};

/// Returns the error's name for logs and counters.
[[nodiscard]] auto toString(FrameError error) noexcept -> std::string_view;

/// Returns the frame header for a message of this size, which must be in 1..maxMessageBytes.
[[nodiscard]] auto frameHeader(std::size_t messageBytes) -> std::string;

/// Splits a stream of bytes into messages. After an error it returns no more messages.
class FrameReader
{
public:
    /// Appends the next bytes of the stream.
    auto append(std::span<const char> bytes) -> void;

    /// Returns the next complete message, or nothing if more bytes are needed or an error has occurred. The view is valid until the next call of append().
    [[nodiscard]] auto next() -> std::optional<std::span<const std::uint8_t>>;

    /// Returns the error that ended the stream, if any.
    [[nodiscard]] auto error() const noexcept -> std::optional<FrameError>;

    /// Returns and removes the bytes that next() hasn't returned yet, to hand the stream to another reader.
    [[nodiscard]] auto takeRest() -> std::string;

private:
    std::string buffer;
    std::size_t consumed = 0;
    std::optional<FrameError> failure;
};

} // namespace tamarackspan::wire
