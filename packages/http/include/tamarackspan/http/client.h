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

/// Names one request of a client; 0 names none.
using RequestId = std::uint64_t;

/// How a client uses connections.
struct ClientOptions
{
    /// The longest that a new connection may take to come about.
    absl::Duration connectTimeout = absl::Milliseconds(500);
    /// An idle connection is closed after this.
    absl::Duration idleLimit = absl::Seconds(30);
    /// A request that is not to be repeated uses a warm connection only if a response came over it within this time.
    absl::Duration atMostOnceIdleLimit = absl::Seconds(1);
    /// A connection that waits longer than this for the acknowledgement of what was sent is failed by the system.
    absl::Duration unacknowledgedLimit = absl::Seconds(5);
    /// The longest that a closed connection counts as open while the server hasn't closed its own side.
    absl::Duration closeConfirmLimit = absl::Seconds(1);
    /// Stops a request of Reuse::AtMostOnce from being sent again; false only in the test that shows what happens without.
    bool guardAtMostOnce = true;

    friend auto operator==(const ClientOptions &, const ClientOptions &) -> bool = default;
};

/// The connections of one pool as the client counts them.
struct PoolCounts
{
    /// Open connections: in use, idle, and closed here but not yet by the server.
    std::uint32_t open = 0;
    std::uint32_t idle = 0;
    /// Requests that wait for a connection.
    std::uint32_t queued = 0;

    friend auto operator==(const PoolCounts &, const PoolCounts &) -> bool = default;
};

/// Sends HTTP requests from one event loop. To be used, made and destroyed on the loop's thread only, or before the loop runs and after it ended.
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

    /// Sends a request as soon as its pool has a connection for it, in the order of the calls. The callback is called once, from the loop, never from within
    /// this call; it may send and cancel.
    auto send(Request request, Callback callback) -> RequestId;

    /// Ends a request; its callback gets Outcome::Cancelled soon. Closes the connection if the request was sent. Does nothing if the request has ended.
    auto cancel(RequestId id) -> void;

    /// Sets the most connections of a pool, as Request::maxConnections does, and closes idle ones above it at once. Busy ones above it are closed when
    /// limitPool is called again after they became idle. Does nothing for an unknown pool.
    auto limitPool(std::string_view pool, std::uint32_t maxConnections) -> void;

    /// Returns the connections of a pool; zeros for an unknown one.
    [[nodiscard]] auto poolCounts(std::string_view pool) const -> PoolCounts;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
