#pragma once

#include "tamarackspan/transport/event_loop.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>

namespace tamarackspan::http::impl {

/// The state of a socket. In every state but PeerClosed it counts as open at the server.
enum class SocketState {
    /// Connecting, or carrying a request.
    Busy,
    /// Open and without a request; libcurl may reuse it.
    Idle,
    /// Shut down by the client while libcurl still holds it; the server hasn't closed its side yet.
    Retiring,
    /// As Retiring, but the server has closed its side.
    PeerClosed,
    /// Released by libcurl; waiting for the server to close its side.
    Closing,
};

/// The socket counts of one pool.
struct SocketCounts
{
    std::uint32_t open = 0;
    std::uint32_t idle = 0;
};

/// Owns the sockets that libcurl opens, from socket() to close(), and counts them by pool as the server sees them: a closed socket still counts until the
/// server has closed its own side as well, or until Limits::peerClose has passed and the socket was reset.
class Connections
{
public:
    using PoolNumber = std::uint32_t;
    /// Identifies the request that uses a socket.
    using UserId = std::uint64_t;
    /// Called with the ready events (EPOLLIN and so on) of a socket that libcurl waits for.
    using IoHandler = std::function<void(int fd, std::uint32_t events)>;
    /// Called when a pool may open one more connection than before.
    using CapacityHandler = std::function<void(PoolNumber pool)>;

    struct Limits
    {
        absl::Duration idle;
        absl::Duration peerClose;
        absl::Duration unacknowledged;
    };

    Connections(transport::EventLoop &loop, Limits limits, IoHandler onIo, CapacityHandler onRoom);
    /// Closes the sockets that still wait for the server to close its side; libcurl must have released all others.
    ~Connections();
    Connections(const Connections &) = delete;
    auto operator=(const Connections &) -> Connections & = delete;

    /// Opens a socket for libcurl, first used by the given request; returns -1 if the system can't open one.
    auto open(PoolNumber pool, UserId user, int family, int type, int protocol) -> int;

    /// Takes a socket over from libcurl: shuts it down, and closes it once the server has closed its side.
    auto releaseSocket(int fd) -> void;

    /// Sets the events that libcurl waits for; 0 if it waits for none.
    auto setWantedEvents(int fd, std::uint32_t events) -> void;

    /// Records that a socket now carries this request.
    auto markBusy(int fd, UserId user) -> void;

    /// Records that a socket is connected; from now on libcurl releases it through its close callback.
    auto markEstablished(int fd) -> void;

    /// Duplicates the descriptor of a request's socket that isn't connected yet. Call it before libcurl drops the socket: libcurl 7.88 closes such a socket
    /// itself, while the server may already count the connection. Returns -1 if the socket is connected, isn't the request's, or no descriptor is available.
    [[nodiscard]] auto duplicateConnecting(int fd, UserId user) -> int;

    /// Completes `duplicateConnecting` once libcurl has dropped the socket: closes the duplicate as `releaseSocket` does, unless libcurl released the socket
    /// through its close callback.
    auto closeDuplicate(int fd, UserId user, int held) -> void;

    /// Records that a request has completed successfully and that libcurl keeps the socket. The socket stays busy if libcurl has assigned it to another request
    /// in the meantime, or if it was never connected.
    auto markIdle(int fd, UserId user, absl::Time now) -> void;

    /// Shuts down the pool's longest idle socket to make room for a new one. Returns false if none is idle, or if one is already being closed.
    auto retireOldestIdle(PoolNumber pool) -> bool;

    /// Shuts down idle sockets of the pool until at most `limit` sockets are open that aren't already being closed, or no idle one is left.
    auto retireIdleAbove(PoolNumber pool, std::uint32_t limit) -> void;

    /// Returns whether the pool has an idle socket that was used at or after the given time.
    [[nodiscard]] auto hasIdleSince(PoolNumber pool, absl::Time time) const -> bool;

    /// Returns when the last successful request on a socket ended; the infinite past if there was none.
    [[nodiscard]] auto lastUsed(int fd) const -> absl::Time;

    /// Shuts down all sockets that have been idle for longer than Limits::idle.
    auto retireOverdue(absl::Time now) -> void;

    [[nodiscard]] auto counts(PoolNumber pool) const -> SocketCounts;

private:
    struct Socket
    {
        PoolNumber pool = 0;
        SocketState state = SocketState::Busy;
        UserId user = 0;
        bool established = false;
        /// The events that the loop watches for; 0 if the socket isn't watched.
        std::uint32_t watched = 0;
        /// The events that libcurl waits for.
        std::uint32_t wanted = 0;
        absl::Time lastUsed = absl::InfinitePast();
        transport::TimerId closeTimer = 0;
        /// Whether it is shut down in both directions rather than for sending only.
        bool shutBoth = false;
    };

    /// Returns whether a socket belongs to the request and isn't connected yet.
    [[nodiscard]] auto isConnecting(int fd, UserId user) const -> bool;
    auto shutDown(int fd, Socket &socket) -> void;
    auto onEvents(int fd, std::uint32_t events) -> void;
    auto onServerClosed(int fd) -> void;
    auto onPeerCloseTimeout(int fd) -> void;
    auto closeNow(int fd) -> void;
    auto setState(Socket &socket, SocketState state) -> void;

    transport::EventLoop &loop;
    Limits limits;
    IoHandler onIo;
    CapacityHandler onCapacity;
    absl::flat_hash_map<int, Socket> sockets;
    absl::flat_hash_map<PoolNumber, SocketCounts> pools;
};

} // namespace tamarackspan::http::impl
