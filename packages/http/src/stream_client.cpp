#include "tamarackspan/http/stream_client.h"

#include "impl/output_buffer.h"
#include "impl/stream_error.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/transport/socket.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <optional>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace tamarackspan::http {

namespace {

/// How often the timeouts of connections and calls are checked.
constexpr auto sweepInterval = absl::Milliseconds(100);
/// The size of one read; large enough for nearly every complete response.
constexpr auto readSize = std::size_t{16} * 1024;
/// A connection isn't reused during the last part of the time that the server promises to keep it open, so that the server's close can't cross with a new
/// request.
constexpr auto keepAliveMargin = absl::Milliseconds(700);

/// Returns whether an idle connection is still open and has no unread bytes, which could only belong to no request.
auto isQuiet(int fd) -> bool
{
    auto byte = char{0};
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/// Returns the timeout of a Keep-Alive field such as "timeout=5, max=100".
auto keepAliveTimeout(const StreamMessage &response) -> std::optional<absl::Duration>
{
    const auto *const field = findHeader(response.headers, "Keep-Alive");
    if (field == nullptr) {
        return std::nullopt;
    }
    for (auto part : absl::StrSplit(*field, ',')) {
        part = absl::StripAsciiWhitespace(part);
        auto seconds = std::int64_t{0};
        if (absl::ConsumePrefix(&part, "timeout=") && absl::SimpleAtoi(part, &seconds) && seconds >= 0) {
            return absl::Seconds(seconds);
        }
    }
    return std::nullopt;
}

} // namespace

struct StreamClient::Core
{
    struct Connection;
    using SharedConnection = std::shared_ptr<Connection>;

    struct Pending
    {
        CallId id = 0;
        Call call;
        bool ended = false;
        absl::Time expiresAt = absl::InfiniteFuture();
        SharedConnection connection{};
    };
    using SharedCall = std::shared_ptr<Pending>;

    struct Pool
    {
        std::vector<SharedConnection> connections;
        std::vector<SharedConnection> idle;
        std::map<std::pair<std::uint32_t, CallId>, SharedCall> waiting;
        std::uint32_t limit = 1;
        std::uint32_t connecting = 0;
        bool closed = false;
    };
    using SharedPool = std::shared_ptr<Pool>;

    struct Connection
    {
        int fd = -1;
        SharedPool pool;
        MessageReader reader;
        impl::OutputBuffer output{};
        SharedCall call{};
        bool connected = false;
        /// Size of the response that is being read.
        std::size_t buffered = 0;
        /// Whether it has carried a response.
        bool hadResponse = false;
        /// Whether it carried unexpected data; it is then closed after the current call.
        bool closeAfterCall = false;
        absl::Time since;
        absl::Duration idleTimeout;
        std::uint32_t watched = EPOLLOUT;

        Connection(int fd, SharedPool pool, MessageLimits limits, absl::Time now, absl::Duration idleLimit)
            : fd(fd),
              pool(std::move(pool)),
              reader(MessageReader::Kind::Response, limits),
              since(now),
              idleTimeout(idleLimit)
        {
        }
    };

    transport::EventLoop &loop;
    StreamClientOptions options;
    absl::flat_hash_map<std::string, SharedPool> pools;
    absl::flat_hash_map<CallId, SharedCall> calls;
    absl::flat_hash_map<int, SharedConnection> connections;
    std::vector<SharedCall> dropped;
    CallId lastCall = 0;
    std::uint64_t opened = 0;
    /// Sum of `buffered` over all connections.
    std::size_t buffered = 0;
    transport::TimerId sweepTimer = 0;
    /// Set to false when the client is destroyed, so that tasks already posted to the loop do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Core(transport::EventLoop &loop, StreamClientOptions options)
        : loop(loop),
          options(options)
    {
    }

    auto scheduleSweep() -> void
    {
        this->sweepTimer = this->loop.runAt(base::monotonicNow() + sweepInterval, [this] {
            this->sweep();
            this->scheduleSweep();
        });
    }

    auto postIfAlive(std::function<void()> task) -> void
    {
        this->loop.post([alive = this->alive, task = std::move(task)] {
            if (*alive) {
                task();
            }
        });
    }

    auto finish(const SharedCall &call, CallResult result) -> void
    {
        call->connection = nullptr;
        this->calls.erase(call->id);
        if (!call->ended && call->call.onResult) {
            auto handler = std::move(call->call.onResult);
            call->ended = true;
            handler(std::move(result));
        }
    }

    auto dispatchWaiting(const SharedPool &pool, const transport::Endpoint &endpoint) -> void
    {
        while (!pool->waiting.empty() && !pool->idle.empty()) {
            const auto connection = pool->idle.back();
            pool->idle.pop_back();
            if (!isQuiet(connection->fd)) {
                this->close(connection, "closed, or unexpected data without a request");
                continue;
            }
            const auto call = pool->waiting.begin()->second;
            pool->waiting.erase(pool->waiting.begin());
            this->send(connection, call);
        }
        while (pool->waiting.size() > pool->connecting && pool->connections.size() < pool->limit) {
            if (!this->connect(pool, endpoint)) {
                this->failWaiting(pool, "no socket");
                return;
            }
        }
    }

    /// Closes the idle connections of a pool, longest idle first, that its limit no longer allows.
    auto closeSurplus(const Pool &pool) -> void
    {
        while (pool.connections.size() > pool.limit && !pool.idle.empty()) {
            this->close(SharedConnection(pool.idle.front()), "above the pool's limit");
        }
    }

    auto connect(const SharedPool &pool, const transport::Endpoint &endpoint) -> bool
    {
        ++this->opened;
        const auto fd = transport::startConnect(endpoint);
        if (!fd.ok()) {
            return false;
        }
        transport::tuneConnection(*fd, this->options.unacknowledgedTimeout);
        const auto connection = std::make_shared<Connection>(*fd, pool, this->options.response, base::monotonicNow(), this->options.idleTimeout);
        pool->connections.push_back(connection);
        ++pool->connecting;
        this->connections.emplace(*fd, connection);
        this->loop.watch(*fd, EPOLLOUT, [this, connection, endpoint](std::uint32_t events) {
            this->onEvents(connection, endpoint, events);
        });
        return true;
    }

    auto failWaiting(const SharedPool &pool, std::string_view reason, bool connectionFailed = false) -> void
    {
        for (const auto &entry : std::exchange(pool->waiting, {})) {
            this->postIfAlive([this, call = entry.second, reason, connectionFailed] {
                this->finish(call, {.outcome = CallOutcome::NotSent, .reason = reason, .connectionFailed = connectionFailed});
            });
        }
    }

    auto send(const SharedConnection &connection, const SharedCall &call) -> void
    {
        connection->call = call;
        call->connection = connection;
        connection->since = base::monotonicNow();
        if (call->call.onSent) {
            call->call.onSent();
        }
        connection->reader.expectNoBody(call->call.isHead);
        connection->output = {};
        connection->output.append(call->call.bytes);
        call->call.bytes.clear();
        this->flush(connection);
    }

    auto flush(const SharedConnection &connection) -> void
    {
        auto events = std::uint32_t{EPOLLIN | EPOLLRDHUP};
        switch (connection->output.writeTo(connection->fd)) {
        case impl::OutputBuffer::Progress::Failed:
            // A response may already have arrived; the next read gets it, or the end of the stream, which the error of the write explains.
            break;
        case impl::OutputBuffer::Progress::Blocked:
            events |= EPOLLOUT;
            break;
        case impl::OutputBuffer::Progress::Done:
            break;
        }
        if (connection->watched != events) {
            connection->watched = events;
            this->loop.change(connection->fd, events);
        }
    }

    auto onEvents(const SharedConnection &connection, const transport::Endpoint &endpoint, std::uint32_t events) -> void
    {
        if (connection->fd < 0) {
            return;
        }
        if (!connection->connected) {
            auto error = 0;
            auto size = socklen_t{sizeof(error)};
            getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0) {
                this->close(connection, "connection refused");
                return;
            }
            if ((events & EPOLLOUT) == 0) {
                return;
            }
            connection->connected = true;
            --connection->pool->connecting;
            connection->watched = EPOLLIN | EPOLLRDHUP;
            this->loop.change(connection->fd, connection->watched);
            this->becomeFree(connection, endpoint);
            return;
        }
        // Reads first: after a failed write an orderly end that came before it can't be told from a reset.
        this->readSome(connection, endpoint);
        if ((events & EPOLLOUT) != 0 && connection->fd >= 0) {
            this->flush(connection);
        }
    }

    auto readSome(const SharedConnection &connection, const transport::Endpoint &endpoint) -> void
    {
        auto buffer = std::array<char, readSize>();
        while (connection->fd >= 0) {
            const auto got = ::recv(connection->fd, buffer.data(), buffer.size(), 0);
            if (got < 0 && errno == EINTR) {
                continue;
            }
            if (got < 0 && errno == EAGAIN) {
                return;
            }
            if (got <= 0) {
                this->endStream(connection, endpoint, impl::streamError(got, errno, connection->output.error()));
                return;
            }
            this->consume(connection, endpoint, std::string_view(buffer.data(), static_cast<std::size_t>(got)));
            if (static_cast<std::size_t>(got) < buffer.size() && connection->output.empty()) {
                return;
            }
        }
    }

    /// Ends the response that is being read, after which nothing more arrives. `error`: see impl::streamError().
    auto endStream(const SharedConnection &connection, const transport::Endpoint &endpoint, int error) -> void
    {
        if (error == 0) {
            connection->reader.endOfStream();
        }
        connection->closeAfterCall = true;
        if (connection->reader.state() != MessageReader::State::Complete || !this->deliver(connection, endpoint)) {
            this->close(connection, error == 0 ? "connection closed" : "connection failed",
                        ConnectionEnd{.systemError = error, .receivedBytes = connection->reader.bufferedBytes(), .unsentBytes = connection->output.pending()});
        }
    }

    auto consume(const SharedConnection &connection, const transport::Endpoint &endpoint, std::string_view bytes) -> void
    {
        while (!bytes.empty() && connection->fd >= 0) {
            if (connection->call == nullptr) {
                this->close(connection, "unexpected data without a request");
                return;
            }
            bytes.remove_prefix(connection->reader.read(bytes));
            if (connection->reader.takeInterim() && connection->call->call.onInterim && !connection->call->ended) {
                connection->call->call.onInterim();
            }
            const auto state = connection->reader.state();
            this->setBuffered(*connection, connection->reader.bufferedBytes());
            if (state == MessageReader::State::Complete) {
                connection->closeAfterCall = connection->closeAfterCall || !bytes.empty();
                this->deliver(connection, endpoint, !bytes.empty());
            } else if (state != MessageReader::State::Reading) {
                this->close(connection, "malformed or oversized response");
                return;
            }
        }
        this->limitBuffered();
    }

    auto setBuffered(Connection &connection, std::size_t bytes) -> void
    {
        this->buffered = this->buffered - connection.buffered + bytes;
        connection.buffered = bytes;
    }

    /// Closes the connections with the largest responses until all that are being read are within the limit.
    auto limitBuffered() -> void
    {
        while (this->buffered > this->options.totalResponseBytes) {
            const auto largest = std::ranges::max_element(this->connections, {}, [](const auto &entry) {
                return entry.second->buffered;
            });
            this->close(SharedConnection(largest->second), "responses take too much memory");
        }
    }

    /// Delivers a complete response to its call. Returns false, and leaves the call waiting, if the response isn't for that call.
    /// `isFollowed`: further bytes arrived after it, which a status without a body excludes; the call then ends as broken.
    auto deliver(const SharedConnection &connection, const transport::Endpoint &endpoint, bool isFollowed = false) -> bool
    {
        auto response = connection->reader.take();
        this->setBuffered(*connection, 0);
        if (isFollowed && (response.status == 204 || response.status == 304)) {
            this->close(connection, "a body after a status that has none");
            return true;
        }
        const auto call = connection->call;
        if (call == nullptr || (call->call.matchesResponse && !call->call.matchesResponse(response))) {
            connection->closeAfterCall = true;
            return false;
        }
        connection->call = nullptr;
        connection->hadResponse = true;
        connection->idleTimeout = std::min(connection->idleTimeout, call->call.idleTimeout);
        if (const auto promised = keepAliveTimeout(response)) {
            connection->idleTimeout = std::min({this->options.idleTimeout, call->call.idleTimeout, *promised - keepAliveMargin});
        }
        // If the response came before the request was fully sent, the server may still read the unsent rest, so the connection can't be reused.
        const auto reusable = response.keepAlive && !connection->closeAfterCall && connection->output.empty();
        if (!reusable) {
            this->close(connection, "done");
        }
        if (reusable) {
            this->becomeFree(connection, endpoint);
        }
        this->finish(call, {.outcome = CallOutcome::Answered, .response = std::move(response)});
        return true;
    }

    auto becomeFree(const SharedConnection &connection, const transport::Endpoint &endpoint) -> void
    {
        connection->since = base::monotonicNow();
        if (connection->pool->closed) {
            this->close(connection, "pool closed");
            return;
        }
        if (connection->idleTimeout <= absl::ZeroDuration()) {
            this->close(connection, "not kept");
            return;
        }
        connection->pool->idle.push_back(connection);
        this->dispatchWaiting(connection->pool, endpoint);
    }

    auto close(const SharedConnection &connection, std::string_view reason, const std::optional<ConnectionEnd> &end = std::nullopt) -> void
    {
        if (connection->fd < 0) {
            return;
        }
        this->loop.unwatch(connection->fd);
        ::close(connection->fd);
        this->connections.erase(connection->fd);
        connection->fd = -1;
        this->setBuffered(*connection, 0);
        const auto pool = connection->pool;
        std::erase(pool->connections, connection);
        std::erase(pool->idle, connection);
        if (!connection->connected) {
            --pool->connecting;
        }
        if (const auto call = std::exchange(connection->call, nullptr)) {
            const auto sent = connection->output.begun();
            this->finish(call,
                         {.outcome = sent ? CallOutcome::Broken : CallOutcome::NotSent,
                          .reason = reason,
                          .connectionHadResponse = connection->hadResponse,
                          .connectionFailed = true,
                          .connectionEnd = end});
        } else if (!connection->connected && !pool->waiting.empty()) {
            if (pool->connections.empty()) {
                this->failWaiting(pool, reason, true);
            } else {
                const auto first = pool->waiting.begin()->second;
                pool->waiting.erase(pool->waiting.begin());
                this->finish(first, {.outcome = CallOutcome::NotSent, .reason = reason, .connectionFailed = true});
            }
        }
        if (!pool->waiting.empty()) {
            const auto endpoint = pool->waiting.begin()->second->call.endpoint;
            this->postIfAlive([this, pool, endpoint] {
                this->dispatchWaiting(pool, endpoint);
            });
        }
    }

    auto expire(const SharedCall &call) -> void
    {
        if (call->connection != nullptr) {
            this->close(call->connection, "timed out");
            return;
        }
        const auto pool = this->pools.find(call->call.pool);
        if (pool != this->pools.end()) {
            pool->second->waiting.erase(std::pair(call->call.rank, call->id));
        }
        this->finish(call, {.outcome = CallOutcome::NotSent, .reason = "no free connection within the timeout"});
    }

    auto sweep() -> void
    {
        const auto now = base::monotonicNow();
        auto expired = std::vector<std::pair<SharedConnection, std::string_view>>();
        for (const auto &[fd, connection] : this->connections) {
            if (!connection->connected && now - connection->since > this->options.connectTimeout) {
                expired.emplace_back(connection, "connection not established in time");
            } else if (connection->connected && connection->call == nullptr && now - connection->since > connection->idleTimeout) {
                expired.emplace_back(connection, "idle");
            }
        }
        auto overdue = std::vector<SharedCall>();
        for (const auto &[id, call] : this->calls) {
            if (now >= call->expiresAt) {
                overdue.push_back(call);
            }
        }
        for (const auto &[connection, reason] : expired) {
            this->close(connection, reason);
        }
        for (const auto &call : overdue) {
            this->expire(call);
        }
    }
};

auto failureText(const CallResult &result) -> std::string
{
    const auto failed = result.connectionEnd.has_value() && result.connectionEnd->systemError != 0;
    return absl::StrCat(std::string(result.reason), failed ? ": " + errorText(*result.connectionEnd) : std::string());
}

StreamClient::StreamClient(transport::EventLoop &loop, StreamClientOptions options)
    : core(std::make_unique<Core>(loop, options))
{
    this->core->scheduleSweep();
}

StreamClient::~StreamClient()
{
    *this->core->alive = false;
    this->core->loop.cancelTimer(this->core->sweepTimer);
    for (const auto &[fd, connection] : this->core->connections) {
        this->core->loop.unwatch(fd);
        ::close(fd);
        connection->call = nullptr;
        connection->pool->connections.clear();
        connection->pool->idle.clear();
    }
}

auto StreamClient::call(Call call) -> CallId
{
    const auto id = ++this->core->lastCall;
    auto &pool = this->core->pools[call.pool];
    if (pool == nullptr) {
        pool = std::make_shared<Core::Pool>();
    }
    pool->limit = std::max<std::uint32_t>(call.maxConnections, 1);
    this->core->closeSurplus(*pool);
    const auto endpoint = call.endpoint;
    auto pending = std::make_shared<Core::Pending>();
    pending->id = id;
    pending->expiresAt = base::monotonicNow() + call.timeout;
    pending->call = std::move(call);
    this->core->calls.emplace(id, pending);
    pool->waiting.emplace(std::pair(pending->call.rank, id), pending);
    this->core->dispatchWaiting(Core::SharedPool(pool), endpoint);
    return id;
}

auto StreamClient::cancel(CallId id) -> void
{
    const auto found = this->core->calls.find(id);
    if (found == this->core->calls.end()) {
        return;
    }
    const auto call = found->second;
    call->ended = true;
    this->core->calls.erase(found);
    if (call->connection != nullptr) {
        this->core->close(call->connection, "call cancelled");
        return;
    }
    const auto pool = this->core->pools.find(call->call.pool);
    if (pool != this->core->pools.end()) {
        pool->second->waiting.erase(std::pair(call->call.rank, id));
    }
}

auto StreamClient::closePool(const std::string &name) -> void
{
    const auto found = this->core->pools.find(name);
    if (found == this->core->pools.end()) {
        return;
    }
    const auto pool = found->second;
    this->core->pools.erase(found);
    pool->closed = true;
    for (const auto &connection : std::vector(pool->idle)) {
        this->core->close(connection, "pool closed");
    }
    this->core->failWaiting(pool, "pool closed");
}

auto StreamClient::rejectQueued(const std::string &name) -> void
{
    if (const auto found = this->core->pools.find(name); found != this->core->pools.end()) {
        this->core->failWaiting(found->second, "queued calls rejected");
    }
}

auto StreamClient::waiting(const std::string &name) const -> std::size_t
{
    const auto found = this->core->pools.find(name);
    return found == this->core->pools.end() ? 0 : found->second->waiting.size();
}

auto StreamClient::connectionsOpened() const noexcept -> std::uint64_t
{
    return this->core->opened;
}

} // namespace tamarackspan::http
