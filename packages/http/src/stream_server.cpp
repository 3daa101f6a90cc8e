#include "tamarackspan/http/stream_server.h"

#include "impl/output_buffer.h"
#include "impl/status_line.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/transport/socket.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace tamarackspan::http {

namespace {

/// How often the timeouts of connections are checked; finer than the shortest of them needs.
constexpr auto sweepInterval = absl::Milliseconds(500);
/// The size of one read; large enough for nearly every complete request.
constexpr auto readSize = std::size_t{16} * 1024;
/// The maximum size of pipelined requests that are read ahead; the system's buffers hold the rest back.
constexpr auto maxReadAhead = std::size_t{16} * 1024;
/// How long the caller may take to close its side after the last response of a connection.
constexpr auto lingerTimeout = absl::Seconds(1);
/// Sent data that stays unacknowledged for this long fails the connection, since the caller is unreachable.
constexpr auto unacknowledgedLimit = absl::Seconds(5);

/// Interim statuses: "send the body", and "the request is being processed".
constexpr auto continueStatus = std::uint32_t{100};
constexpr auto processingStatus = std::uint32_t{102};
constexpr auto noMemoryStatus = std::uint32_t{503};
/// How long a caller may read nothing of an answer that is above the limit of its connection; a caller that reads it makes progress sooner.
constexpr auto unreadGrace = absl::Seconds(1);

/// Returns the round-trip time that the system measured on a connection; zero if it has measured none.
auto roundTripOf(int fd) -> absl::Duration
{
    struct tcp_info info = {};
    auto size = socklen_t{sizeof(info)};
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return absl::ZeroDuration();
    }
    return absl::Microseconds(info.tcpi_rtt);
}

auto hasUnreadBytes(int fd) -> bool
{
    auto bytes = 0;
    return ::ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

} // namespace

struct StreamServer::Core
{
    struct Connection
    {
        int fd = -1;
        MessageReader reader;
        impl::OutputBuffer output{};
        /// Bytes of further requests that were read while one is in progress.
        std::string readAhead{};
        /// The request in progress; 0 if there is none.
        ExchangeId exchange = 0;
        bool keepAlive = true;
        /// Whether the request in progress is a HEAD request.
        bool isHead = false;
        /// Whether "100 Continue" was sent for the current request.
        bool continueSent = false;
        RequestOrigin origin{.firstOnConnection = true};
        bool closing = false;
        /// When the last response had been sent.
        absl::Time lastSentAt = absl::InfiniteFuture();
        /// Bytes of the request that is being read.
        std::size_t buffered = 0;
        /// What the output holds, as counted in the sum of all connections; since when it holds anything, and when the system last took some of it.
        std::size_t unread = 0;
        absl::Time unreadSince = absl::InfiniteFuture();
        absl::Time lastWritten = absl::InfinitePast();
        /// The timeouts that were in force when the request that is being read began.
        absl::Duration headerTimeout = absl::InfiniteDuration();
        absl::Duration idleTimeout = absl::InfiniteDuration();
        absl::Time since;
        absl::Time lastByte;
        std::uint32_t watched = EPOLLIN | EPOLLRDHUP;

        Connection(int fd, MessageLimits limits, absl::Time now)
            : fd(fd),
              reader(MessageReader::Kind::Request, limits),
              since(now),
              lastByte(now)
        {
        }
    };
    using Shared = std::shared_ptr<Connection>;

    transport::EventLoop &loop;
    StreamServerLimits limits;
    Handlers handlers;
    std::vector<int> listeners;
    absl::flat_hash_map<int, Shared> connections;
    absl::flat_hash_map<ExchangeId, Shared> exchanges;
    ExchangeId lastExchange = 0;
    transport::TimerId sweepTimer = 0;
    bool draining = false;
    /// Sums of `buffered` and `unread` over all connections.
    std::size_t buffered = 0;
    std::size_t unread = 0;
    UnreadAnswerLimits unreadLimits{};

    Core(transport::EventLoop &loop, StreamServerLimits limits, Handlers handlers)
        : loop(loop),
          limits(limits),
          handlers(std::move(handlers))
    {
    }

    auto scheduleSweep() -> void
    {
        this->sweepTimer = this->loop.runAt(base::monotonicNow() + sweepInterval, [this] {
            this->sweep();
            this->scheduleSweep();
        });
    }

    auto acceptAll(int listener) -> void
    {
        while (true) {
            const auto fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            if (this->connections.size() >= this->limits.connections) {
                ::close(fd);
                continue;
            }
            transport::tuneConnection(fd, unacknowledgedLimit);
            const auto connection = std::make_shared<Connection>(fd, this->limits.message, base::monotonicNow());
            connection->origin.roundTrip = roundTripOf(fd);
            this->connections.emplace(fd, connection);
            this->loop.watch(fd, connection->watched, [this, connection](std::uint32_t events) {
                this->onEvents(connection, events);
            });
        }
    }

    auto onEvents(const Shared &connection, std::uint32_t events) -> void
    {
        if ((events & EPOLLOUT) != 0 && !this->flush(connection)) {
            return;
        }
        if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
            this->readSome(connection);
        }
    }

    auto readSome(const Shared &connection) -> void
    {
        auto buffer = std::array<char, readSize>();
        const auto got = ::recv(connection->fd, buffer.data(), buffer.size(), 0);
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (got <= 0) {
            this->closeConnection(connection);
            return;
        }
        if (connection->closing) {
            return;
        }
        connection->lastByte = base::monotonicNow();
        const auto bytes = std::string_view(buffer.data(), static_cast<std::size_t>(got));
        if (connection->exchange == 0 && connection->readAhead.empty()) {
            this->consume(connection, bytes);
            return;
        }
        // They are consumed once the requests before them have been answered.
        connection->readAhead.append(bytes);
        this->updateWatch(connection);
    }

    auto consumeReadAhead(const Shared &connection) -> void
    {
        const auto bytes = std::exchange(connection->readAhead, {});
        this->consume(connection, bytes);
        this->updateWatch(connection);
    }

    auto consume(const Shared &connection, std::string_view bytes) -> void
    {
        if (connection->reader.state() == MessageReader::State::Idle) {
            connection->since = connection->lastByte;
            connection->reader.setLimits(this->limits.message);
            connection->headerTimeout = this->limits.headerTimeout;
            connection->idleTimeout = this->limits.idleTimeout;
        }
        const auto used = connection->reader.read(bytes);
        connection->readAhead.append(bytes.substr(used));
        switch (connection->reader.state()) {
        case MessageReader::State::Idle:
            return;
        case MessageReader::State::Reading:
            this->setBuffered(*connection, connection->reader.bufferedBytes());
            if (connection->reader.expectsContinue() && !std::exchange(connection->continueSent, true)) {
                this->writeInterim(connection, continueStatus);
            }
            this->limitBuffered();
            return;
        case MessageReader::State::Complete:
            connection->continueSent = false;
            this->dispatch(connection);
            return;
        case MessageReader::State::Malformed:
            this->reject(connection, 400);
            return;
        case MessageReader::State::HeadersTooLarge:
            this->reject(connection, 431);
            return;
        case MessageReader::State::BodyTooLarge:
            this->reject(connection, 413);
            return;
        }
    }

    auto setBuffered(Connection &connection, std::size_t bytes) -> void
    {
        this->buffered = this->buffered - connection.buffered + bytes;
        connection.buffered = bytes;
    }

    /// Rejects the largest requests until all that are being read are within the limit.
    auto limitBuffered() -> void
    {
        while (this->buffered > this->limits.totalRequestBytes) {
            const auto largest = std::ranges::max_element(this->connections, {}, [](const auto &entry) {
                return entry.second->buffered;
            });
            this->reject(Shared(largest->second), noMemoryStatus);
        }
    }

    auto dispatch(const Shared &connection) -> void
    {
        this->setBuffered(*connection, 0);
        auto message = connection->reader.take();
        connection->keepAlive = message.keepAlive;
        connection->isHead = message.method == "HEAD";
        connection->exchange = ++this->lastExchange;
        this->exchanges.emplace(connection->exchange, connection);
        const auto origin = connection->origin;
        connection->origin.firstOnConnection = false;
        this->handlers.onRequest(connection->exchange, std::move(message), origin);
    }

    auto reject(const Shared &connection, std::uint32_t status) -> void
    {
        connection->keepAlive = false;
        connection->isHead = false;
        connection->reader = MessageReader(MessageReader::Kind::Request, this->limits.message);
        this->setBuffered(*connection, 0);
        this->write(connection, StreamAnswer{.status = status, .close = true});
    }

    auto writeInterim(const Shared &connection, std::uint32_t status) -> void
    {
        connection->output.append(impl::statusLine(status) + "\r\n");
        this->flush(connection);
    }

    auto write(const Shared &connection, const StreamAnswer &answer) -> void
    {
        // Requests that were sent ahead and have been read get their responses too.
        const auto keep = connection->keepAlive && !answer.close && !(this->draining && connection->readAhead.empty());
        auto head = impl::statusLine(answer.status);
        for (const auto &header : answer.headers) {
            absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
        }
        const auto bodyless = connection->isHead || answer.status == 204 || answer.status == 304;
        if (bodyless && answer.status != 204 && answer.omittedLength.has_value()) {
            absl::StrAppend(&head, "Content-Length: ", *answer.omittedLength, "\r\n");
        } else if (!bodyless || (connection->isHead && !answer.body.empty())) {
            absl::StrAppend(&head, "Content-Length: ", answer.body.size(), "\r\n");
        }
        if (!keep) {
            head += "Connection: close\r\n";
            connection->closing = true;
        }
        head += "\r\n";
        connection->output.append(std::move(head));
        if (!bodyless) {
            connection->output.append(answer.body);
        }
        this->flush(connection);
        this->limitUnread();
    }

    /// Writes pending output. Returns false if the connection has failed and was closed.
    auto flush(const Shared &connection) -> bool
    {
        const auto pending = connection->output.pending();
        const auto progress = connection->output.writeTo(connection->fd);
        this->countUnread(*connection, connection->output.pending() < pending);
        switch (progress) {
        case impl::OutputBuffer::Progress::Failed:
            this->closeConnection(connection);
            return false;
        case impl::OutputBuffer::Progress::Blocked:
            this->updateWatch(connection);
            return true;
        case impl::OutputBuffer::Progress::Done:
            break;
        }
        this->updateWatch(connection);
        if (connection->closing && connection->exchange == 0) {
            // The caller closes its side after the response; otherwise sweep() closes the connection. Closing it here could reset it before the caller has read
            // everything.
            ::shutdown(connection->fd, SHUT_WR);
            connection->lastSentAt = std::min(connection->lastSentAt, base::monotonicNow());
        }
        this->resumeReading(connection);
        return true;
    }

    auto countUnread(Connection &connection, bool hasWritten) -> void
    {
        const auto held = connection.output.held();
        this->unread = this->unread - connection.unread + held;
        if (held == 0) {
            connection.unreadSince = absl::InfiniteFuture();
        } else if (connection.unread == 0) {
            connection.unreadSince = base::monotonicNow();
        }
        if (hasWritten || connection.unread == 0) {
            connection.lastWritten = base::monotonicNow();
        }
        connection.unread = held;
    }

    /// Closes connections whose callers don't read their answers until all that is held is within the limit.
    auto limitUnread() -> void
    {
        while (this->unread > this->unreadLimits.totalBytes) {
            const auto now = base::monotonicNow();
            const auto worst = std::ranges::max_element(this->connections, {}, [now](const auto &entry) {
                const auto bytes = entry.second->unread;
                const auto seconds = bytes == 0 ? 0.0 : absl::ToDoubleSeconds(now - entry.second->unreadSince);
                return std::pair(static_cast<double>(bytes) * seconds, bytes);
            });
            this->closeUnread(Shared(worst->second), now);
        }
    }

    auto closeUnread(const Shared &connection, absl::Time now) -> void
    {
        if (this->handlers.onUnreadAnswer) {
            this->handlers.onUnreadAnswer({.bytes = connection->unread, .heldFor = now - connection->unreadSince, .totalBytes = this->unread});
        }
        this->closeConnection(connection);
    }

    /// Goes on with the next request if none is in progress and all responses have been sent.
    auto resumeReading(const Shared &connection) -> void
    {
        if (connection->exchange != 0 || connection->readAhead.empty()) {
            return;
        }
        // Posted to the loop instead of called directly, so that many pipelined requests can't grow the stack.
        this->loop.post([this, connection] {
            const auto ready = connection->fd >= 0 && connection->exchange == 0 && !connection->closing && connection->output.empty();
            if (ready && !connection->readAhead.empty()) {
                this->consumeReadAhead(connection);
            }
        });
    }

    /// Watches a connection for what its state needs. Must be called after each change of the read-ahead, the output or the request in progress.
    auto updateWatch(const Shared &connection) -> void
    {
        if (connection->fd < 0) {
            return;
        }
        // A caller that doesn't read its responses can't make further ones pile up.
        const auto readsOn = connection->readAhead.size() <= maxReadAhead && (connection->exchange != 0 || connection->output.empty());
        const auto events = EPOLLRDHUP | (readsOn ? std::uint32_t{EPOLLIN} : 0U) | (connection->output.empty() ? 0U : std::uint32_t{EPOLLOUT});
        if (connection->watched != events) {
            connection->watched = events;
            this->loop.change(connection->fd, events);
        }
    }

    auto closeConnection(const Shared &connection) -> void
    {
        if (connection->fd < 0) {
            return;
        }
        this->loop.unwatch(connection->fd);
        ::close(connection->fd);
        this->connections.erase(connection->fd);
        this->setBuffered(*connection, 0);
        connection->output = {};
        this->countUnread(*connection, false);
        connection->fd = -1;
        if (const auto exchange = std::exchange(connection->exchange, 0); exchange != 0) {
            this->exchanges.erase(exchange);
            this->handlers.onCallerDisconnected(exchange);
        }
    }

    auto sweep() -> void
    {
        const auto now = base::monotonicNow();
        auto expired = std::vector<Shared>();
        auto unreadTooLong = std::vector<Shared>();
        for (const auto &[fd, connection] : this->connections) {
            if (connection->unread > this->unreadLimits.connectionBytes && now - connection->lastWritten > unreadGrace) {
                unreadTooLong.push_back(connection);
                continue;
            }
            if (connection->exchange != 0) {
                continue;
            }
            const auto reading = connection->reader.state() == MessageReader::State::Reading;
            const auto slowHeaders = reading && !connection->reader.headersComplete() && now - connection->since > connection->headerTimeout;
            const auto stalled = now - connection->lastByte > (reading ? connection->idleTimeout : this->limits.idleTimeout);
            const auto lingering = now - connection->lastSentAt > lingerTimeout;
            if (slowHeaders || stalled || lingering) {
                expired.push_back(connection);
            }
        }
        for (const auto &connection : unreadTooLong) {
            this->closeUnread(connection, now);
        }
        for (const auto &connection : expired) {
            if (!connection->closing && connection->output.empty() && connection->reader.state() == MessageReader::State::Reading) {
                connection->lastByte = now;
                this->reject(connection, 408);
            } else {
                this->closeConnection(connection);
            }
        }
    }
};

StreamServer::StreamServer(transport::EventLoop &loop, StreamServerLimits limits, Handlers handlers)
    : core(std::make_unique<Core>(loop, limits, std::move(handlers)))
{
    this->core->scheduleSweep();
}

StreamServer::~StreamServer()
{
    this->core->loop.cancelTimer(this->core->sweepTimer);
    for (const auto listener : this->core->listeners) {
        this->core->loop.unwatch(listener);
        ::close(listener);
    }
    for (const auto &[fd, connection] : this->core->connections) {
        this->core->loop.unwatch(fd);
        ::close(fd);
        connection->fd = -1;
    }
}

auto StreamServer::listen(const transport::Endpoint &endpoint) -> absl::StatusOr<std::uint16_t>
{
    const auto fd = transport::listenOn(endpoint);
    if (!fd.ok()) {
        return fd.status();
    }
    this->core->listeners.push_back(*fd);
    this->core->loop.watch(*fd, EPOLLIN, [core = this->core.get(), fd = *fd](std::uint32_t) {
        core->acceptAll(fd);
    });
    return transport::boundPort(*fd);
}

auto StreamServer::stopListening() -> void
{
    for (const auto listener : std::exchange(this->core->listeners, {})) {
        this->core->acceptAll(listener);
        this->core->loop.unwatch(listener);
        ::close(listener);
    }
}

auto StreamServer::answer(ExchangeId exchange, const StreamAnswer &answer) -> void
{
    const auto found = this->core->exchanges.find(exchange);
    if (found == this->core->exchanges.end()) {
        return;
    }
    const auto connection = found->second;
    this->core->exchanges.erase(found);
    connection->exchange = 0;
    connection->lastByte = base::monotonicNow();
    this->core->write(connection, answer);
}

auto StreamServer::acknowledge(ExchangeId exchange) -> void
{
    const auto found = this->core->exchanges.find(exchange);
    if (found != this->core->exchanges.end()) {
        this->core->writeInterim(Core::Shared(found->second), processingStatus);
    }
}

auto StreamServer::setLimits(StreamServerLimits limits) -> void
{
    this->core->limits = limits;
}

auto StreamServer::setUnreadAnswerLimits(UnreadAnswerLimits limits) -> void
{
    this->core->unreadLimits = limits;
}

auto StreamServer::unreadBytes() const noexcept -> std::size_t
{
    return this->core->unread;
}

auto StreamServer::setDraining(bool draining) -> void
{
    this->core->draining = draining;
}

auto StreamServer::closeIdle() -> void
{
    auto idle = std::vector<Core::Shared>();
    for (const auto &[fd, connection] : this->core->connections) {
        const auto idleNow = connection->exchange == 0 && connection->readAhead.empty() && connection->output.empty()
            && connection->reader.state() == MessageReader::State::Idle;
        // Closing a connection with unread bytes resets it, which can destroy the last response on its way to the caller.
        if (idleNow && !connection->closing && !hasUnreadBytes(fd)) {
            idle.push_back(connection);
        }
    }
    for (const auto &connection : idle) {
        this->core->closeConnection(connection);
    }
}

auto StreamServer::openConnections() const noexcept -> std::size_t
{
    return this->core->connections.size();
}

auto StreamServer::unfinished() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(this->core->connections, [](const auto &entry) {
        return entry.second->exchange != 0 || !entry.second->output.empty();
    }));
}

auto StreamServer::unanswered() const noexcept -> std::size_t
{
    return this->core->exchanges.size();
}

} // namespace tamarackspan::http
