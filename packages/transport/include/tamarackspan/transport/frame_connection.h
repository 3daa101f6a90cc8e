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

/// One TCP connection that carries frames, on one loop's thread. Closed by either end, by an error of the stream, or by close(); onClosed is then called once,
/// unless close() was called by the user.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    struct Handlers
    {
        std::function<void(wire::MessageT)> onMessage;
        std::function<void(std::string_view reason)> onClosed;
    };

    /// A socket and the bytes read from it that no message was made of yet.
    struct Detached
    {
        int fd = -1;
        std::string rest;
    };

    /// Bytes waiting to be sent beyond which send() refuses.
    static constexpr auto maxUnsentBytes = std::size_t{64} << 20U;

    /// Takes over a socket, connected or still connecting. Nothing is read before start().
    FrameConnection(EventLoop &loop, int fd, std::string firstBytes);
    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    auto operator=(const FrameConnection &) -> FrameConnection & = delete;

    /// Starts reading; the messages among the first bytes come at once.
    auto start(Handlers handlers) -> void;

    /// Sends a frame, or keeps it until the socket takes it. Returns false, keeping nothing, if the connection is closed or too much is waiting.
    auto send(std::string_view frame) -> bool;

    /// Returns when bytes last came in; the time of construction before the first.
    [[nodiscard]] auto lastHeard() const noexcept -> absl::Time;

    /// Returns whether the connection is still open.
    [[nodiscard]] auto isOpen() const noexcept -> bool;

    /// Closes the connection without calling onClosed.
    auto close() -> void;

    /// Gives the socket away, leaving this object closed without calling onClosed. Call it from onMessage only with nothing waiting to be sent.
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
    std::size_t sentOfUnsent = 0;
    bool waitingToWrite = true;
    absl::Time heard;
    Handlers handlers;
};

} // namespace tamarackspan::transport
