#pragma once

#include "tamarackspan/transport/event_loop.h"
#include "tamarackspan/wire/codec.h"
#include "tamarackspan/wire/frame.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tamarackspan::transport {

/// A TCP connection that carries frames, on one loop's thread. It is closed by either end, by a stream error, or by close(). onClosed is then called once,
/// except after close().
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    struct Handlers
    {
        std::function<void(wire::MessageT)> onMessage;
        std::function<void(std::string_view reason)> onClosed;
    };

    /// A socket and the bytes read from it that don't form a complete message yet.
    struct Detached
    {
        int fd = -1;
        std::string rest;
    };

    /// The maximum number of bytes waiting to be sent; send() refuses frames beyond it.
    static constexpr auto maxUnsentBytes = std::size_t{64} << 20U;

    /// Takes ownership of a socket, connected or still connecting. Nothing is read before start().
    FrameConnection(EventLoop &loop, int fd, std::string firstBytes);
    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    auto operator=(const FrameConnection &) -> FrameConnection & = delete;

    /// Starts reading; the messages contained in the first bytes are delivered at once.
    auto start(Handlers handlers) -> void;

    /// Sends a frame, or buffers it until the socket accepts it. Returns false, without buffering the frame, if the connection is closed or the buffer is full;
    /// also returns false if the connection fails during the call.
    auto send(std::string_view frame) -> bool;

    /// Returns when data was last received; the time of construction if there was none yet.
    [[nodiscard]] auto lastReceivedAt() const noexcept -> absl::Time;

    /// Returns whether the connection is still open.
    [[nodiscard]] auto isOpen() const noexcept -> bool;

    /// Closes the connection without calling onClosed.
    auto close() -> void;

    /// Releases the socket to the caller and leaves this object closed without calling onClosed. Call it from onMessage, and only if nothing is waiting to be
    /// sent.
    [[nodiscard]] auto detach() -> Detached;

private:
    auto onReady(std::uint32_t events) -> void;
    auto readSome() -> void;
    auto deliver() -> void;
    auto flush() -> void;
    auto fail(std::string_view reason) -> void;

    EventLoop &loop;
    int fd;
    wire::FrameReader reader;
    std::string unsent;
    std::size_t unsentOffset = 0;
    bool waitingToWrite = true;
    absl::Time lastReceived;
    Handlers handlers;
};

} // namespace tamarackspan::transport
