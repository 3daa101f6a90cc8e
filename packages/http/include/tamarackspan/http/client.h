#pragma once

#include "tamarackspan/http/request.h"
#include "tamarackspan/http/response.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace tamarackspan::http {

/// Identifies one request of a client; 0 is never used for one.
using RequestId = std::uint64_t;

/// How a client uses connections.
struct ClientOptions
{
    /// The timeout for establishing a new connection.
    absl::Duration connectTimeout = absl::Milliseconds(500);
    /// A connection that has been idle for longer than this is closed.
    absl::Duration idleTimeout = absl::Seconds(30);
    /// An AtMostOnce request reuses a connection only if a response came over it within this time; otherwise it opens a new one.
    absl::Duration atMostOnceMaxIdle = absl::Seconds(1);
    /// The system fails a connection on which sent data stays unacknowledged for longer than this (TCP_USER_TIMEOUT).
    absl::Duration unacknowledgedTimeout = absl::Seconds(5);
    /// How long a connection closed by this client still counts as open while the server hasn't closed its side.
    absl::Duration peerCloseTimeout = absl::Seconds(1);
    /// Prevents libcurl from resending a request with ResendPolicy::AtMostOnce. False only in the test that shows what happens without it.
    bool preventAtMostOnceResend = true;

    friend auto operator==(const ClientOptions &, const ClientOptions &) -> bool = default;
};

/// The connections of one pool as the client counts them.
struct PoolCounts
{
    /// Open connections: in use, idle, and closed by the client but not yet by the server.
    std::uint32_t open = 0;
    std::uint32_t idle = 0;
    /// Requests waiting for a connection.
    std::uint32_t queued = 0;

    friend auto operator==(const PoolCounts &, const PoolCounts &) -> bool = default;
};

/// Sends HTTP requests from one event loop. Construct, use and destroy it on the loop's thread only, or before the loop runs and after it has ended.
class Client
{
public:
    using Callback = std::function<void(Response)>;

    /// The loop must outlive the client.
    Client(transport::EventLoop &loop, ClientOptions options);
    /// Ends all requests with Outcome::Cancelled before it returns.
    ~Client();
    Client(const Client &) = delete;
    auto operator=(const Client &) -> Client & = delete;

    /// Sends a request as soon as its pool has a connection for it, in the order of the calls. The callback is called exactly once, from the loop, never from
    /// within this call; it may call send() and cancel().
    auto send(Request request, Callback callback) -> RequestId;

    /// Cancels a request; its callback soon gets Outcome::Cancelled. If the request was sent, its connection is closed. Does nothing if the request has ended.
    auto cancel(RequestId id) -> void;

    /// Sets the maximum number of connections of a pool, as Request::maxConnections does, and closes idle connections above it at once. Connections above it
    /// that are in use are closed only by a further call of limitPool after they became idle. Does nothing for an unknown pool.
    auto limitPool(std::string_view pool, std::uint32_t maxConnections) -> void;

    /// Returns the connection counts of a pool; zeros for an unknown one.
    [[nodiscard]] auto poolCounts(std::string_view pool) const -> PoolCounts;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
