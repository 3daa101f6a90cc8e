#pragma once

#include "tamarackspan/http/connection_end.h"
#include "tamarackspan/http/message_reader.h"
#include "tamarackspan/transport/endpoint.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackspan::http {

/// Identifies one call of a stream client; 0 is never used for one.
using CallId = std::uint64_t;

/// How a stream client uses connections.
struct StreamClientOptions
{
    /// The timeout for establishing a new connection.
    absl::Duration connectTimeout = absl::Milliseconds(500);
    /// A connection that has been idle for longer than this is closed, or sooner if the server's Keep-Alive field asks for it.
    absl::Duration idleTimeout = absl::Seconds(50);
    /// The system fails a connection on which sent data stays unacknowledged for longer than this (TCP_USER_TIMEOUT).
    absl::Duration unacknowledgedTimeout = absl::Seconds(2);
    MessageLimits response{};
    /// Maximum size of all responses that are being read, together. Beyond it the connection with the largest one is closed, so that servers that send without
    /// end can't use up the process's memory.
    std::size_t totalResponseBytes = std::size_t{32} * 1024 * 1024;

    friend auto operator==(const StreamClientOptions &, const StreamClientOptions &) -> bool = default;
};

/// How a call ended.
enum class CallOutcome {
    /// A complete response was received.
    Answered,
    /// No byte of the request was written to a connection, so the server hasn't executed it.
    NotSent,
    /// The connection ended or carried an invalid response after the server may have read the request. A response without a length is complete only if the
    /// server ends the connection in an orderly way; one whose connection fails, at either end, is not.
    Broken,
};

/// The result of a call.
struct CallResult
{
    CallOutcome outcome = CallOutcome::NotSent;
    StreamMessage response{};
    /// Describes the failure, for logs; empty if there is a response.
    std::string_view reason{};
    /// Whether the connection had carried a response before. If a connection ends without ever having done so, the server is down or at its connection limit.
    bool connectionHadResponse = false;
    /// Whether the call failed because a connection to the server couldn't be opened or ended.
    bool connectionFailed = false;
    /// How the connection ended, if the server or the system ended it while the call was waiting for its response.
    std::optional<ConnectionEnd> connectionEnd{};
};

/// Describes why a call has no response: its reason, with the system's error if there is one.
[[nodiscard]] auto failureText(const CallResult &result) -> std::string;

/// One request to a server, already serialised.
struct Call
{
    /// Calls with the same pool name share connections.
    std::string pool{};
    transport::Endpoint endpoint{};
    /// Request line, header fields and body.
    std::string bytes{};
    /// Whether it is a HEAD request, whose response has no body.
    bool isHead = false;
    /// Calls with a lower rank get a free connection first; within a rank, the older call does.
    std::uint32_t rank = 0;
    /// The maximum number of open connections of the pool.
    std::uint32_t maxConnections = 1;
    /// The time limit from call() to the complete response; checked every 100 ms.
    absl::Duration timeout = absl::InfiniteDuration();
    /// After this call the connection is closed once it has been idle for this long, or sooner if the client's options or the server ask for it.
    absl::Duration idleTimeout = absl::InfiniteDuration();
    /// Returns whether a response is the response to this call. Any other response is discarded and its connection isn't reused.
    std::function<bool(const StreamMessage &)> matchesResponse{};
    /// Called once, just before the first bytes are written to a connection; may be empty.
    std::function<void()> onSent{};
    /// Called for each interim response, by which a server confirms that it has read the request; may be empty.
    std::function<void()> onInterim{};
    /// Called exactly once from the loop, never from within call(); not called if the call is cancelled.
    std::function<void(CallResult)> onResult{};
};

/// Sends HTTP/1.1 requests on one event loop's thread. Each request is sent at most once, and a connection carries one at a time. Connections are kept open for
/// reuse; a connection that carried unexpected data is closed, at the latest when it would carry the next request.
class StreamClient
{
public:
    /// The loop must outlive the client.
    StreamClient(transport::EventLoop &loop, StreamClientOptions options);
    /// Closes all connections; no more results are delivered.
    ~StreamClient();
    StreamClient(const StreamClient &) = delete;
    auto operator=(const StreamClient &) -> StreamClient & = delete;

    /// Sends a request on a free connection, or queues it until a connection is free.
    [[nodiscard]] auto call(Call call) -> CallId;

    /// Cancels a call; its onResult isn't called. If the request was sent, its connection is closed, so that the server can stop working on it.
    auto cancel(CallId call) -> void;

    /// Closes a pool: its idle connections are closed, its queued calls end as NotSent, and its calls in flight may finish.
    auto closePool(const std::string &pool) -> void;

    /// Ends a pool's queued calls as NotSent; its connections and calls in flight stay.
    auto rejectQueued(const std::string &pool) -> void;

    /// Returns how many calls of a pool are queued for a connection.
    [[nodiscard]] auto waiting(const std::string &pool) const -> std::size_t;

    /// Returns how many connections have been attempted since the start, successful or not.
    [[nodiscard]] auto connectionsOpened() const noexcept -> std::uint64_t;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
