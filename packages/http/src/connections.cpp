#include "connections.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/require.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace tamarackspan::http::impl {

namespace {

constexpr auto keepAliveIdleSeconds = 5;
constexpr auto keepAliveIntervalSeconds = 2;
constexpr auto keepAliveProbes = 3;
constexpr auto discardBytes = std::size_t{4096};
constexpr auto closeEvents = std::uint32_t{EPOLLIN | EPOLLRDHUP} | std::uint32_t{EPOLLET};

auto countsAsOpen(SocketState state) -> bool
{
    return state != SocketState::PeerClosed;
}

auto setOption(int fd, int level, int name, int value) -> void
{
    setsockopt(fd, level, name, &value, sizeof(value));
}

/// Discards the data that the server still sends on a connection that is shut down for sending, and returns whether the server has closed its side. If the data
/// weren't read, the system would reset the connection on a late response, long before the server has closed it.
auto discardToEnd(int fd) -> bool
{
    auto buffer = std::array<char, discardBytes>{};
    auto count = recv(fd, buffer.data(), buffer.size(), 0);
    while (count > 0) {
        count = recv(fd, buffer.data(), buffer.size(), 0);
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Returns whether the server has closed its side of a connection that is shut down in both directions.
auto closedOnBothSides(int fd) -> bool
{
    auto info = tcp_info{};
    auto size = socklen_t{sizeof(info)};
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return true;
    }
    return info.tcpi_state == TCP_CLOSE || info.tcpi_state == TCP_TIME_WAIT || info.tcpi_state == TCP_LAST_ACK || info.tcpi_state == TCP_CLOSING;
}

auto closedByServer(int fd, bool shutBoth) -> bool
{
    return shutBoth ? closedOnBothSides(fd) : discardToEnd(fd);
}

/// Returns whether data, an end of stream or an error can be read.
auto hasInput(int fd) -> bool
{
    auto byte = char{0};
    return recv(fd, &byte, sizeof(byte), MSG_PEEK) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto resetOnClose(int fd) -> void
{
    const auto lingering = linger{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &lingering, sizeof(lingering));
}

} // namespace

Connections::Connections(transport::EventLoop &loop, Limits limits, IoHandler onIo, CapacityHandler onRoom)
    : loop(loop),
      limits(limits),
      onIo(std::move(onIo)),
      onCapacity(std::move(onRoom))
{
}

Connections::~Connections()
{
    for (auto &[fd, socket] : this->sockets) {
        this->loop.unwatch(fd);
        this->loop.cancelTimer(socket.closeTimer);
        close(fd);
    }
}

auto Connections::open(PoolNumber pool, UserId user, int family, int type, int protocol) -> int
{
    const auto fd = ::socket(family, type | SOCK_CLOEXEC | SOCK_NONBLOCK, protocol);
    if (fd < 0) {
        return -1;
    }
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(absl::ToInt64Milliseconds(this->limits.unacknowledged)));
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    this->sockets[fd] = Socket{.pool = pool, .user = user};
    ++this->pools[pool].open;
    return fd;
}

auto Connections::setState(Socket &socket, SocketState state) -> void
{
    auto &counts = this->pools[socket.pool];
    counts.idle -= socket.state == SocketState::Idle ? 1U : 0U;
    counts.idle += state == SocketState::Idle ? 1U : 0U;
    const auto freed = countsAsOpen(socket.state) && !countsAsOpen(state);
    counts.open -= freed ? 1U : 0U;
    socket.state = state;
}

auto Connections::releaseSocket(int fd) -> void
{
    const auto found = this->sockets.find(fd);
    base::require(found != this->sockets.end(), "libcurl gives back only sockets that it got");
    auto &socket = found->second;
    if (socket.state == SocketState::PeerClosed) {
        this->closeNow(fd);
        return;
    }
    const auto retiring = socket.state == SocketState::Retiring;
    this->setState(socket, SocketState::Closing);
    if (!retiring) {
        this->shutDown(fd, socket);
    }
}

auto Connections::shutDown(int fd, Socket &socket) -> void
{
    // An idle connection that libcurl still holds is shut down in both directions, so that libcurl finds it closed.
    socket.shutBoth = socket.state == SocketState::Retiring;
    ::shutdown(fd, socket.shutBoth ? SHUT_RDWR : SHUT_WR);
    // The watch is replaced, not changed, since an edge-triggered event may already have been reported.
    this->loop.watch(fd, closeEvents, [this, fd](std::uint32_t events) {
        this->onEvents(fd, events);
    });
    socket.watched = closeEvents;
    socket.closeTimer =
        this->loop.runAt(closedByServer(fd, socket.shutBoth) ? absl::InfinitePast() : base::monotonicNow() + this->limits.peerClose, [this, fd] {
            this->onPeerCloseTimeout(fd);
        });
}

auto Connections::onEvents(int fd, std::uint32_t events) -> void
{
    const auto found = this->sockets.find(fd);
    if (found == this->sockets.end()) {
        return;
    }
    auto &socket = found->second;
    switch (socket.state) {
    case SocketState::Busy:
        this->onIo(fd, events);
        break;
    case SocketState::Idle:
        // Either the server closed the connection or sent unsolicited data, or the event is out of date and there is nothing to read any more.
        if (hasInput(fd)) {
            this->setState(socket, SocketState::Retiring);
            this->shutDown(fd, socket);
        }
        break;
    case SocketState::Retiring:
    case SocketState::Closing:
        if (closedByServer(fd, socket.shutBoth)) {
            this->onServerClosed(fd);
        }
        break;
    case SocketState::PeerClosed:
        break;
    }
}

auto Connections::onPeerCloseTimeout(int fd) -> void
{
    const auto found = this->sockets.find(fd);
    if (found == this->sockets.end()) {
        return;
    }
    found->second.closeTimer = 0;
    if (!closedByServer(fd, found->second.shutBoth)) {
        resetOnClose(fd);
    }
    this->onServerClosed(fd);
}

auto Connections::onServerClosed(int fd) -> void
{
    auto &socket = this->sockets.at(fd);
    const auto pool = socket.pool;
    const auto closing = socket.state == SocketState::Closing;
    this->setState(socket, SocketState::PeerClosed);
    this->loop.unwatch(fd);
    this->loop.cancelTimer(std::exchange(socket.closeTimer, 0));
    socket.watched = 0;
    if (closing) {
        this->closeNow(fd);
    }
    this->onCapacity(pool);
}

auto Connections::closeNow(int fd) -> void
{
    const auto found = this->sockets.find(fd);
    this->loop.unwatch(fd);
    this->loop.cancelTimer(found->second.closeTimer);
    this->sockets.erase(found);
    close(fd);
}

auto Connections::setWantedEvents(int fd, std::uint32_t events) -> void
{
    const auto found = this->sockets.find(fd);
    if (found == this->sockets.end() || found->second.state == SocketState::PeerClosed || found->second.state == SocketState::Retiring
        || found->second.state == SocketState::Closing) {
        return;
    }
    auto &socket = found->second;
    socket.wanted = events;
    // A socket that libcurl isn't waiting for is still watched for input, since the server may close it while it is idle.
    const auto watching = events != 0 ? events : std::uint32_t{EPOLLIN};
    if (socket.watched == watching) {
        return;
    }
    if (socket.watched == 0) {
        this->loop.watch(fd, watching, [this, fd](std::uint32_t ready) {
            this->onEvents(fd, ready);
        });
    } else {
        this->loop.change(fd, watching);
    }
    socket.watched = watching;
}

auto Connections::markBusy(int fd, UserId user) -> void
{
    const auto found = this->sockets.find(fd);
    if (found == this->sockets.end()) {
        return;
    }
    found->second.user = user;
    if (found->second.state == SocketState::Idle) {
        this->setState(found->second, SocketState::Busy);
    }
}

auto Connections::markEstablished(int fd) -> void
{
    const auto found = this->sockets.find(fd);
    if (found != this->sockets.end()) {
        found->second.established = true;
    }
}

auto Connections::isConnecting(int fd, UserId user) const -> bool
{
    const auto found = this->sockets.find(fd);
    return found != this->sockets.end() && found->second.user == user && !found->second.established && found->second.state == SocketState::Busy;
}

auto Connections::duplicateConnecting(int fd, UserId user) -> int
{
    if (!this->isConnecting(fd, user)) {
        return -1;
    }
    // The duplicate keeps the socket open, so the loop's watch would remain after libcurl has closed the descriptor.
    this->loop.unwatch(fd);
    this->sockets.at(fd).watched = 0;
    return fcntl(fd, F_DUPFD_CLOEXEC, 0);
}

auto Connections::closeDuplicate(int fd, UserId user, int held) -> void
{
    if (!this->isConnecting(fd, user)) {
        if (held >= 0) {
            close(held);
        }
        return;
    }
    auto socket = this->sockets.at(fd);
    this->sockets.erase(fd);
    if (held < 0) {
        this->setState(socket, SocketState::PeerClosed);
        return;
    }
    this->setState(socket, SocketState::Closing);
    auto &kept = this->sockets[held] = socket;
    this->shutDown(held, kept);
}

auto Connections::markIdle(int fd, UserId user, absl::Time now) -> void
{
    const auto found = this->sockets.find(fd);
    if (found == this->sockets.end() || found->second.user != user || !found->second.established) {
        return;
    }
    found->second.lastUsed = now;
    if (found->second.state == SocketState::Busy) {
        this->setState(found->second, SocketState::Idle);
    }
}

auto Connections::retireOldestIdle(PoolNumber pool) -> bool
{
    auto oldest = this->sockets.end();
    for (auto it = this->sockets.begin(); it != this->sockets.end(); ++it) {
        if (it->second.pool != pool) {
            continue;
        }
        if (it->second.state == SocketState::Retiring || it->second.state == SocketState::Closing) {
            return false;
        }
        if (it->second.state == SocketState::Idle && (oldest == this->sockets.end() || it->second.lastUsed < oldest->second.lastUsed)) {
            oldest = it;
        }
    }
    if (oldest == this->sockets.end()) {
        return false;
    }
    this->setState(oldest->second, SocketState::Retiring);
    this->shutDown(oldest->first, oldest->second);
    return true;
}

auto Connections::retireIdleAbove(PoolNumber pool, std::uint32_t limit) -> void
{
    auto staying = std::uint32_t{0};
    for (const auto &[fd, socket] : this->sockets) {
        staying += socket.pool == pool && (socket.state == SocketState::Busy || socket.state == SocketState::Idle) ? 1 : 0;
    }
    for (auto &[fd, socket] : this->sockets) {
        if (staying <= limit) {
            return;
        }
        if (socket.pool == pool && socket.state == SocketState::Idle) {
            this->setState(socket, SocketState::Retiring);
            this->shutDown(fd, socket);
            --staying;
        }
    }
}

auto Connections::hasIdleSince(PoolNumber pool, absl::Time time) const -> bool
{
    return std::any_of(this->sockets.begin(), this->sockets.end(), [pool, time](const auto &entry) {
        return entry.second.pool == pool && entry.second.state == SocketState::Idle && entry.second.lastUsed >= time;
    });
}

auto Connections::lastUsed(int fd) const -> absl::Time
{
    const auto found = this->sockets.find(fd);
    return found == this->sockets.end() ? absl::InfinitePast() : found->second.lastUsed;
}

auto Connections::retireOverdue(absl::Time now) -> void
{
    for (auto &[fd, socket] : this->sockets) {
        if (socket.state == SocketState::Idle && now - socket.lastUsed > this->limits.idle) {
            this->setState(socket, SocketState::Retiring);
            this->shutDown(fd, socket);
        }
    }
}

auto Connections::counts(PoolNumber pool) const -> SocketCounts
{
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? SocketCounts{} : found->second;
}

} // namespace tamarackspan::http::impl
