#pragma once

#include "tamarackspan/http/message_reader.h"
#include "tamarackspan/transport/endpoint.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tamarackspan::http {

/// Names one call of a stream client; 0 names none.
using CallId = std::uint64_t;

/// How a stream client uses connections.
struct StreamClientOptions
{
    /// The longest that a new connection may take to come about.
    absl::Duration connectTimeout = absl::Milliseconds(500);
    /// An idle connection is closed after this, or sooner if the server says so in Keep-Alive.
    absl::Duration idleLimit = absl::Seconds(50);
    /// A connection that waits longer than this for the acknowledgement of what was sent is failed by the system.
    absl::Duration unacknowledgedLimit = absl::Seconds(2);
    MessageLimits response{};

    friend auto operator==(const StreamClientOptions &, const StreamClientOptions &) -> bool = default;
};

/// How a call ended.
enum class CallOutcome {
    /// A whole response is there.
    Answered,
    /// No byte of the request was given to a connection: the server hasn't run it.
    NotSent,
    /// The connection ended, or carried something that is no response, after the request may have been read.
    Broken,
};

/// What came of a call.
struct CallResult
{
    CallOutcome outcome = CallOutcome::NotSent;
    StreamMessage response{};
    /// What went wrong, for logs; empty for an answer.
    std::string_view reason{};
    /// Whether the connection had carried a response before: one that ends without ever having done so says that the server has no room or is down.
    bool connectionProven = false;
};

/// One request to a server, already in its form on the connection.
struct Call
{
    /// Connections are shared by the calls that name the same pool.
    std::string pool{};
    transport::Endpoint endpoint{};
    /// Request line, header fields and body.
    std::string bytes{};
    /// Calls of a lower rank take a free connection first; among equals the older one.
    std::uint32_t rank = 0;
    /// The most connections of the pool that may be open.
    std::uint32_t maxConnections = 1;
    /// The longest from call() to the whole response, checked each tenth of a second.
    absl::Duration timeout = absl::InfiniteDuration();
    /// The connection is closed when it has been idle for this long after the call, or sooner if the client or the server says so.
    absl::Duration idleLimit = absl::InfiniteDuration();
    /// Whether a response belongs to this call. One that doesn't is dropped, and its connection isn't used again.
    std::function<bool(const StreamMessage &)> belongs{};
    /// Called once, when the first bytes are given to a connection; may be empty.
    std::function<void()> onSent{};
    /// Called for interim responses, by which a server says that it has read the request; may be empty.
    std::function<void()> onInterim{};
    /// Called once from the loop, never from within call(), unless the call is dropped.
    std::function<void(CallResult)> onResult{};
};

/// Sends HTTP/1.1 requests on one event loop's thread, each exactly once, one at a time on a connection. Connections are kept open for reuse; one that carried
/// anything out of place is closed.
class StreamClient
{
public:
    /// The loop must outlive the client.
    StreamClient(transport::EventLoop &loop, StreamClientOptions options);
    /// Closes all connections; results aren't called any more.
    ~StreamClient();
    StreamClient(const StreamClient &) = delete;
    auto operator=(const StreamClient &) -> StreamClient & = delete;

    /// Sends a call on a free connection, or queues it until one is free.
    [[nodiscard]] auto call(Call call) -> CallId;

    /// Gives up a call without calling its result. The connection of a call that was sent is closed, so that the server stops work on it.
    auto drop(CallId call) -> void;

    /// Ends a pool: its idle connections close, its waiting calls end as NotSent, calls under way may finish.
    auto closePool(const std::string &pool) -> void;

    /// Returns how many calls of a pool wait for a connection.
    [[nodiscard]] auto waiting(const std::string &pool) const -> std::size_t;

    /// Returns how many connections have been opened since the start, whether they came about or not.
    [[nodiscard]] auto connectionsOpened() const noexcept -> std::uint64_t;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
