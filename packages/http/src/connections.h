#pragma once

#include "tamarackspan/transport/event_loop.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>

namespace tamarackspan::http::impl {

/// What a socket is doing. Every socket but a gone one counts as open at the server.
enum class SocketState {
    /// Connecting, or carrying a request.
    Busy,
    /// Open and without a request; libcurl may use it again.
    Idle,
    /// Shut down here while libcurl still has it; the server hasn't closed its side yet.
    Retiring,
    /// As Retiring, and the server has closed its side.
    Gone,
    /// Given back by libcurl; waits for the server to close its side.
    Closing,
};

/// Counts of one pool's sockets.
struct SocketCounts
{
    std::uint32_t open = 0;
    std::uint32_t idle = 0;
};

/// Owns the sockets that libcurl opens, from socket() to close(), and counts them by pool as the server sees them: a closed socket counts until the server has
/// closed its own side as well, or until a limit has passed and the socket was reset.
class Connections
{
public:
    using PoolNumber = std::uint32_t;
    /// Names the request that uses a socket.
    using UserId = std::uint64_t;
    /// Called with what is ready (EPOLLIN and so on) on a socket that libcurl waits for.
    using IoHandler = std::function<void(int fd, std::uint32_t events)>;
    /// Called when a pool has room for one more connection than before.
    using RoomHandler = std::function<void(PoolNumber pool)>;

    struct Limits
    {
        absl::Duration idle;
        absl::Duration closeConfirm;
        absl::Duration unacknowledged;
    };

    Connections(transport::EventLoop &loop, Limits limits, IoHandler onIo, RoomHandler onRoom);
    /// Closes the sockets that still wait for their server; libcurl must have given back all others.
    ~Connections();
    Connections(const Connections &) = delete;
    auto operator=(const Connections &) -> Connections & = delete;

    /// Makes a socket for libcurl, to be used by the given request first; -1 if the system has none left.
    auto open(PoolNumber pool, UserId user, int family, int type, int protocol) -> int;

    /// Takes back a socket from libcurl: shuts it down, and closes it once the server has closed its side.
    auto giveBack(int fd) -> void;

    /// Sets the events that libcurl waits for; 0 once it waits for none.
    auto want(int fd, std::uint32_t events) -> void;

    /// Notes that a socket carries this request now.
    auto markBusy(int fd, UserId user) -> void;

    /// Notes that a socket is connected: from now on libcurl gives it back before it is closed.
    auto markEstablished(int fd) -> void;

    /// Duplicates the descriptor of a request's socket that is not connected yet, to be called before libcurl drops it: libcurl 7.88 closes such a socket
    /// itself, while the server may count the connection already. Returns -1 if the socket is connected, isn't the request's, or no descriptor is left.
    [[nodiscard]] auto hold(int fd, UserId user) -> int;

    /// Ends what `hold` began once libcurl has dropped the socket: closes it under the held descriptor as `giveBack` does, unless libcurl gave it back.
    auto takeOver(int fd, UserId user, int held) -> void;

    /// Notes that the exchange of a request has ended well and that libcurl keeps the socket; it stays busy if libcurl has given it to another request by now,
    /// or if it was never connected.
    auto markIdle(int fd, UserId user, absl::Time now) -> void;

    /// Shuts down the pool's longest idle socket to make room. Returns false if there is none, or if one is being closed already.
    auto retireOldestIdle(PoolNumber pool) -> bool;

    /// Shuts down idle sockets of the pool until no more than `limit` are open that aren't being closed already, or none is idle.
    auto retireIdleAbove(PoolNumber pool, std::uint32_t limit) -> void;

    /// Tells whether the pool has an idle socket that was used at or after the given time.
    [[nodiscard]] auto hasIdleSince(PoolNumber pool, absl::Time time) const -> bool;

    /// Returns when the last good exchange over a socket ended; the infinite past if there was none.
    [[nodiscard]] auto lastUsed(int fd) const -> absl::Time;

    /// Shuts down all sockets that have been idle for longer than the limit.
    auto retireOverdue(absl::Time now) -> void;

    [[nodiscard]] auto counts(PoolNumber pool) const -> SocketCounts;

private:
    struct Socket
    {
        PoolNumber pool = 0;
        SocketState state = SocketState::Busy;
        UserId user = 0;
        bool established = false;
        /// The events watched for in the loop; 0 if not watched.
        std::uint32_t watched = 0;
        /// The events that libcurl waits for.
        std::uint32_t wanted = 0;
        absl::Time lastUsed = absl::InfinitePast();
        transport::TimerId closeTimer = 0;
        /// Shut down for both directions rather than for sending only.
        bool shutBoth = false;
    };

    /// Tells whether a socket is the request's and not connected yet.
    [[nodiscard]] auto isConnecting(int fd, UserId user) const -> bool;
    auto shutDown(int fd, Socket &socket) -> void;
    auto onEvents(int fd, std::uint32_t events) -> void;
    auto onServerClosed(int fd) -> void;
    auto onConfirmOverdue(int fd) -> void;
    auto closeNow(int fd) -> void;
    auto setState(Socket &socket, SocketState state) -> void;

    transport::EventLoop &loop;
    Limits limits;
    IoHandler onIo;
    RoomHandler onRoom;
    absl::flat_hash_map<int, Socket> sockets;
    absl::flat_hash_map<PoolNumber, SocketCounts> pools;
};

} // namespace tamarackspan::http::impl
