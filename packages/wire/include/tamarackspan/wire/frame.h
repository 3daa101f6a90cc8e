#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace tamarackspan::wire {

/// The version of the inner protocol that this build speaks. Peers of another version are refused at once.
constexpr auto protocolVersion = std::uint8_t{1};
/// The bytes ahead of each message: its size (4, little endian), two bytes that mark the protocol, the version, one byte that is 0.
constexpr auto frameHeaderBytes = std::size_t{8};
/// The largest message in bytes.
constexpr auto maxMessageBytes = std::size_t{16} << 20U;

/// Why a stream of frames can't be read on.
enum class FrameError {
    /// The marking bytes are wrong: the other end speaks something else.
    NotOurProtocol,
    /// The other end speaks another version.
    WrongVersion,
    /// The size is 0 or above maxMessageBytes.
    BadSize,
};

/// Returns the error's name for logs and counters.
[[nodiscard]] auto toString(FrameError error) noexcept -> std::string_view;

/// Returns the header of a message of this size, which must be in 1..maxMessageBytes.
[[nodiscard]] auto frameHeader(std::size_t messageBytes) -> std::string;

/// Cuts a stream of bytes into messages. After an error nothing more comes out.
class FrameReader
{
public:
    /// Takes the next bytes of the stream.
    auto append(std::span<const char> bytes) -> void;

    /// Returns the next whole message, or nothing if more bytes are needed or an error was met. The view lasts until the next call of append().
    [[nodiscard]] auto next() -> std::optional<std::span<const std::uint8_t>>;

    /// Returns the error that ended the stream, if any.
    [[nodiscard]] auto error() const noexcept -> std::optional<FrameError>;

    /// Returns the bytes not yet given out and forgets them, to hand the stream to another reader.
    [[nodiscard]] auto takeRest() -> std::string;

private:
    std::string buffer;
    std::size_t consumed = 0;
    std::optional<FrameError> failure;
};

} // namespace tamarackspan::wire
