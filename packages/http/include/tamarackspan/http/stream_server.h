#pragma once

#include "tamarackspan/http/message_reader.h"
#include "tamarackspan/transport/endpoint.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tamarackspan::http {

/// Identifies one request of a stream server; never reused.
using ExchangeId = std::uint64_t;

/// What is known of the connection on which a request arrived.
struct RequestOrigin
{
    /// The round-trip time to the caller, as the system measured it when the connection was accepted; zero if it is unknown.
    absl::Duration roundTrip = absl::ZeroDuration();
    /// Whether the caller opened the connection for this request.
    bool firstOnConnection = false;

    friend auto operator==(const RequestOrigin &, const RequestOrigin &) -> bool = default;
};

/// A response of a stream server. Content-Length and Connection are added by the server. The response to a HEAD request is sent without its body.
struct StreamAnswer
{
    std::uint32_t status = 200;
    Headers headers{};
    std::string body{};
    /// The length stated in place of the body's, for a response that is sent without one; see StreamMessage::omittedLength.
    std::optional<std::uint64_t> omittedLength{};
    /// Closes the connection after this response.
    bool close = false;

    friend auto operator==(const StreamAnswer &, const StreamAnswer &) -> bool = default;
};

/// Size limits and timeouts for requests and connections.
struct StreamServerLimits
{
    MessageLimits message{};
    /// From the first byte of a request to the end of its header fields.
    absl::Duration headerTimeout = absl::Seconds(10);
    /// A connection on which no bytes arrive for this long, idle or within a request body, is closed.
    absl::Duration idleTimeout = absl::Seconds(60);
    /// Held by all requests that are being read; above it, the largest is rejected with status 503.
    std::size_t totalRequestBytes = std::size_t{64} * 1024 * 1024;
    /// Connections above this number are closed as soon as they are accepted.
    std::size_t connections = 3000;

    friend auto operator==(const StreamServerLimits &, const StreamServerLimits &) -> bool = default;
};

/// Bounds on the answers that callers haven't read yet and that the system's buffers don't take.
struct UnreadAnswerLimits
{
    /// A connection that holds more than this, and from which the caller reads nothing for a second, is closed.
    std::size_t connectionBytes = SIZE_MAX;
    /// Above this sum the connection with the greatest product of bytes held and time held is closed, until the sum is within it.
    std::size_t totalBytes = SIZE_MAX;

    friend auto operator==(const UnreadAnswerLimits &, const UnreadAnswerLimits &) -> bool = default;
};

/// A connection that was closed since its caller didn't read its answer.
struct UnreadAnswer
{
    std::size_t bytes = 0;
    absl::Duration heldFor = absl::ZeroDuration();
    /// The bytes that all connections of the server held before it was closed.
    std::size_t totalBytes = 0;

    friend auto operator==(const UnreadAnswer &, const UnreadAnswer &) -> bool = default;
};

/// Serves HTTP/1.1 on one event loop's thread, one request at a time on each connection. Detects callers that disconnect while their request is in progress.
class StreamServer
{
public:
    struct Handlers
    {
        /// A complete request has been received; answer() may be called at once or later.
        std::function<void(ExchangeId, StreamMessage, RequestOrigin)> onRequest;
        /// The caller closed its connection before the response; answer() has no effect from now on.
        std::function<void(ExchangeId)> onCallerDisconnected;
        /// A connection is closed since it holds too much of an answer; may be empty.
        std::function<void(const UnreadAnswer &)> onUnreadAnswer{};
    };

    /// The loop must outlive the server.
    StreamServer(transport::EventLoop &loop, StreamServerLimits limits, Handlers handlers);
    /// Closes all connections.
    ~StreamServer();
    StreamServer(const StreamServer &) = delete;
    auto operator=(const StreamServer &) -> StreamServer & = delete;

    /// Listens on a further endpoint. Returns the bound port, or why listening failed.
    [[nodiscard]] auto listen(const transport::Endpoint &endpoint) -> absl::StatusOr<std::uint16_t>;

    /// Accepts the connections that the system has established and closes all listening sockets.
    auto stopListening() -> void;

    /// Sends the response to a request. Does nothing if a response was sent before or the caller has disconnected.
    auto answer(ExchangeId exchange, const StreamAnswer &answer) -> void;

    /// Tells the sender of a request, with an interim response (102), that the request has been read and is being processed. Does nothing if a response was
    /// sent before or the sender has disconnected.
    auto acknowledge(ExchangeId exchange) -> void;

    /// Sets the limits of the requests that begin from now on, on open connections too. A request that has begun keeps the limits and timeouts that were in
    /// force then; a connection without a request is bound by the new idle timeout.
    auto setLimits(StreamServerLimits limits) -> void;

    /// Sets the limits on answers that callers don't read; by default there are none.
    auto setUnreadAnswerLimits(UnreadAnswerLimits limits) -> void;

    /// Sets whether each response from now on closes its connection, unless the caller has sent further requests ahead. Idle connections stay open, since a
    /// caller may be sending on them.
    auto setDraining(bool draining) -> void;

    /// Closes the connections that have no request in progress and on which no byte of a next request has arrived. Connections on which the last response was
    /// sent stay until the caller closes its side.
    auto closeIdle() -> void;

    /// Return how many connections are open, and how many requests have no response yet.
    [[nodiscard]] auto openConnections() const noexcept -> std::size_t;
    [[nodiscard]] auto unanswered() const noexcept -> std::size_t;

    /// Returns how many bytes of answers are held for callers that haven't read them yet.
    [[nodiscard]] auto unreadBytes() const noexcept -> std::size_t;

    /// Returns how many connections have a request without a response, or a response that isn't fully sent.
    [[nodiscard]] auto unfinished() const -> std::size_t;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
