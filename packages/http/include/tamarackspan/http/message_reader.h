#pragma once

#include "tamarackspan/http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackspan::http {

/// One HTTP/1.1 message as received on a connection.
struct StreamMessage
{
    /// For a request: the method's name, and the target as sent, still percent-encoded; an absolute target is converted to its origin form, and the host that
    /// it names replaces the Host field.
    std::string method{};
    std::string target{};
    /// For a response.
    std::uint32_t status = 0;
    Headers headers{};
    /// With the transfer coding already decoded.
    std::string body{};
    /// The length that a response without a body states for the body that it leaves out: one to a HEAD request, or with status 304.
    std::optional<std::uint64_t> omittedLength{};
    /// Whether the connection may carry another message after this one.
    bool keepAlive = false;

    friend auto operator==(const StreamMessage &, const StreamMessage &) -> bool = default;
};

/// The maximum sizes of a message; reading stops with an error state when one is exceeded.
struct MessageLimits
{
    std::size_t headerBytes = std::size_t{64} * 1024;
    std::size_t bodyBytes = std::size_t{16} * 1024 * 1024;

    friend auto operator==(const MessageLimits &, const MessageLimits &) -> bool = default;
};

/// Parses HTTP/1.1 messages of one direction from the bytes of a connection. Does no input or output itself. A message whose lines, fields or framing two
/// readers could take differently is malformed (RFC 9112).
class MessageReader
{
public:
    enum class Kind {
        Request,
        Response,
    };
    enum class State {
        /// No byte of the message has been read.
        Idle,
        /// More bytes are needed.
        Reading,
        Complete,
        /// The bytes aren't a valid message; nothing further on the connection can be trusted.
        Malformed,
        HeadersTooLarge,
        BodyTooLarge,
    };

    /// Positioned before the first message.
    MessageReader(Kind kind, MessageLimits limits);
    ~MessageReader();
    MessageReader(MessageReader &&) noexcept;
    auto operator=(MessageReader &&) noexcept -> MessageReader &;
    MessageReader(const MessageReader &) = delete;
    auto operator=(const MessageReader &) -> MessageReader & = delete;

    /// Sets the limits of the messages that begin from now on; one that has begun keeps its own.
    auto setLimits(MessageLimits limits) noexcept -> void;

    /// Parses bytes and returns how many of them belong to the message: all of them while the state is Reading, possibly fewer once it has changed.
    auto read(std::string_view bytes) -> std::size_t;

    /// Sets whether the next response has no body whatever its header fields say, as the response to a HEAD request.
    auto expectNoBody(bool expect) noexcept -> void;

    /// Signals that the sender has closed its side in an orderly way; this completes a response without a length.
    auto endOfStream() -> void;

    [[nodiscard]] auto state() const noexcept -> State;

    /// Returns whether all header fields have been read.
    [[nodiscard]] auto headersComplete() const noexcept -> bool;

    /// Returns how many bytes of the current message are held.
    [[nodiscard]] auto bufferedBytes() const noexcept -> std::size_t;

    /// Returns whether an interim response (100 to 199) has been received since the last call. Interim responses are never returned as
    /// messages; too many in a row are malformed.
    [[nodiscard]] auto takeInterim() noexcept -> bool;

    /// Returns whether the header fields of the current request are complete and ask for "100 Continue" before the body is sent.
    [[nodiscard]] auto expectsContinue() const noexcept -> bool;

    /// Moves the complete message out and resets the reader for the next one.
    [[nodiscard]] auto take() -> StreamMessage;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
