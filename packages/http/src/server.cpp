#include "tamarackspan/http/server.h"

#include "listener.h"
#include "server_connection.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/require.h"

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <linux/tcp.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace tamarackspan::http {

namespace {

constexpr auto statusTooLarge = 413U;
constexpr auto statusStopping = 503U;
constexpr auto timeoutCheckInterval = absl::Milliseconds(50);
constexpr auto drainPollInterval = absl::Milliseconds(2);
/// How long handshakes in progress may take to complete once new ones are ignored.
constexpr auto acceptGrace = absl::Milliseconds(50);
/// How long the last responses may take to be sent once every request has one.
constexpr auto responseGrace = absl::Seconds(1);
/// libmicrohttpd's own timeout only covers callers that don't read their response; all other timeouts are enforced by the server itself.
constexpr auto backstopTimeout = absl::Seconds(30);
/// A body without a length that is too long is read and discarded up to this many times the limit, then the connection is closed.
constexpr auto discardFactor = std::size_t{4};
/// TCP connection states by the system's numbers; the header that names them conflicts with the one that defines the longer tcp_info.
constexpr auto tcpStateClose = 7;
constexpr auto tcpStateCloseWait = 8;
/// The system counts this many acknowledged bytes for the handshake alone, before any data was sent.
constexpr auto bytesOfHandshake = 1U;
constexpr auto eventsPerWait = 64;

/// A request that is being received.
struct Incoming
{
    std::shared_ptr<ServerRequest> request;
    std::shared_ptr<impl::Exchange> exchange;
    std::size_t discarded = 0;
    bool tooLarge = false;
    bool dispatched = false;
};

auto contextOf(MHD_Connection *connection) -> impl::ServerConnection *
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<impl::ServerConnection *>(info->socket_context);
}

auto socketOf(MHD_Connection *connection) -> int
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

auto addHeader(void *user, MHD_ValueKind /*kind*/, const char *name, const char *value) -> MHD_Result
{
    static_cast<Headers *>(user)->push_back({.name = name, .value = value == nullptr ? "" : value});
    return MHD_YES;
}

auto addArgument(void *user, MHD_ValueKind /*kind*/, const char *name, const char *value) -> MHD_Result
{
    static_cast<std::vector<Argument> *>(user)->push_back({.name = name, .value = value == nullptr ? "" : value});
    return MHD_YES;
}

auto makeRequest(MHD_Connection *connection, const char *path, const char *method) -> std::shared_ptr<ServerRequest>
{
    auto request = std::make_shared<ServerRequest>();
    request->method = method;
    request->path = path;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &request->headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addArgument, &request->arguments);
    return request;
}

auto announcedLength(const ServerRequest &request) -> std::uint64_t
{
    const auto *value = findHeader(request.headers, MHD_HTTP_HEADER_CONTENT_LENGTH);
    auto length = std::uint64_t{0};
    return value != nullptr && absl::SimpleAtoi(*value, &length) ? length : 0;
}

auto deleteText(void *text) -> void
{
    delete static_cast<std::string *>(text);
}

auto makeResponse(ServerResponse response, bool close) -> MHD_Response *
{
    auto *body = new std::string(std::move(response.body));
    auto *made = MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(), deleteText, body);
    base::require(made != nullptr, "out of memory");
    for (const auto &header : response.headers) {
        MHD_add_response_header(made, header.name.c_str(), header.value.c_str());
    }
    if (close) {
        MHD_add_response_header(made, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    return made;
}

auto queue(MHD_Connection *connection, ServerResponse response, bool close) -> MHD_Result
{
    const auto status = response.status;
    auto *made = makeResponse(std::move(response), close);
    const auto queued = MHD_queue_response(connection, status, made);
    MHD_destroy_response(made);
    return queued;
}

auto hasUnreadInput(int fd) -> bool
{
    auto wanted = pollfd{.fd = fd, .events = POLLIN, .revents = 0};
    return poll(&wanted, 1, 0) > 0 && (wanted.revents & POLLIN) != 0;
}

auto hasReceivedBytes(int fd) -> bool
{
    auto info = tcp_info{};
    auto size = socklen_t{sizeof(info)};
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_bytes_received > 0;
}

auto closedByCaller(int fd) -> bool
{
    auto info = tcp_info{};
    auto size = socklen_t{sizeof(info)};
    const auto known = getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    // The connection is fully closed: reset by the caller during its request, unless libmicrohttpd itself had sent a response before.
    const auto reset = info.tcpi_state == tcpStateClose && info.tcpi_bytes_acked <= bytesOfHandshake;
    return !known || info.tcpi_state == tcpStateCloseWait || reset;
}

auto setSocketOptions(int fd) -> void
{
    const auto one = 1;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

struct AtomicCounters
{
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> responses = 0;
    std::atomic<std::uint64_t> tooLarge = 0;
    std::atomic<std::uint64_t> malformed = 0;
    std::atomic<std::uint64_t> tooSlow = 0;
    std::atomic<std::uint64_t> callersDisconnected = 0;
    std::atomic<std::uint64_t> unanswered = 0;
};

} // namespace

struct Server::Core
{
    Core(ServerOptions options, Handler handler);
    ~Core();
    Core(const Core &) = delete;
    auto operator=(const Core &) -> Core & = delete;

    auto stopAccepting() -> void;
    auto stop() -> void;

    ServerOptions options;
    Handler handler;
    impl::Listener listener;
    std::atomic<bool> draining = false;
    AtomicCounters counters;

private:
    auto startDaemon() -> void;
    auto receive(MHD_Connection *connection, Incoming &incoming, const char *data, std::size_t &size) -> MHD_Result;
    auto dispatch(MHD_Connection *connection, Incoming &incoming) -> MHD_Result;
    auto respond(MHD_Connection *connection, Incoming &incoming) -> MHD_Result;
    auto refuse(MHD_Connection *connection, std::uint32_t status, std::string text) -> MHD_Result;
    auto isDrained(absl::Time now) -> bool;
    auto answerRemaining() -> void;
    auto watchConnections() -> void;
    auto checkTimeouts(absl::Time now) -> void;
    auto checkTimeout(impl::ServerConnection &connection, absl::Time now) -> void;

    static auto onRequestLine(void *user, const char *uri, MHD_Connection *connection) -> void *;
    static auto onAccess(void *user, MHD_Connection *connection, const char *url, const char *method, const char *version, const char *data, std::size_t *size,
                         void **requestUser) -> MHD_Result;
    static auto onCompleted(void *user, MHD_Connection *connection, void **requestUser, MHD_RequestTerminationCode code) -> void;
    static auto onConnection(void *user, MHD_Connection *connection, void **socketUser, MHD_ConnectionNotificationCode code) -> void;

    MHD_Daemon *daemon = nullptr;
    impl::ConnectionTable table;
    std::atomic<bool> stopping = false;
    bool accepting = true;
    int watchFd = -1;
    int wakeFd = -1;
    std::thread watcher;
};

Server::Core::Core(ServerOptions options, Handler handler)
    : options(std::move(options)),
      handler(std::move(handler)),
      listener(impl::listenOn(this->options.ip, this->options.port))
{
    if (this->listener.fd < 0) {
        return;
    }
    this->watchFd = epoll_create1(EPOLL_CLOEXEC);
    this->wakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    auto event = epoll_event{};
    event.events = EPOLLIN;
    const auto added = epoll_ctl(this->watchFd, EPOLL_CTL_ADD, this->wakeFd, &event);
    base::require(added == 0, "a server watches its own wake-up");
    this->startDaemon();
    this->watcher = std::thread([this] {
        this->watchConnections();
    });
}

auto Server::Core::startDaemon() -> void
{
    auto more = std::vector<MHD_OptionItem>();
    if (this->options.threads > 1) {
        more.push_back({MHD_OPTION_THREAD_POOL_SIZE, static_cast<intptr_t>(this->options.threads), nullptr});
    }
    more.push_back({MHD_OPTION_END, 0, nullptr});
    const auto backstop = static_cast<unsigned>(absl::ToInt64Seconds(this->options.idleTimeout + backstopTimeout));
    this->daemon =
        MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, nullptr, nullptr, onAccess, this, MHD_OPTION_LISTEN_SOCKET,
                         this->listener.fd, MHD_OPTION_NOTIFY_COMPLETED, onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, onConnection, this,
                         MHD_OPTION_URI_LOG_CALLBACK, onRequestLine, this, MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(this->options.maxConnections),
                         MHD_OPTION_CONNECTION_TIMEOUT, backstop, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_ARRAY, more.data(), MHD_OPTION_END);
    if (this->daemon == nullptr) {
        this->listener.error = "can't start the HTTP server on " + this->options.ip + ":" + std::to_string(this->listener.port);
    }
}

Server::Core::~Core()
{
    this->stop();
}

auto Server::Core::onRequestLine(void * /*user*/, const char * /*uri*/, MHD_Connection *connection) -> void *
{
    auto *context = contextOf(connection);
    context->used = true;
    context->enter(impl::ConnectionPhase::Receiving, base::monotonicNow());
    return nullptr;
}

auto Server::Core::onAccess(void *user, MHD_Connection *connection, const char *url, const char *method, const char * /*version*/, const char *data,
                            std::size_t *size, void **requestUser) -> MHD_Result
{
    auto &core = *static_cast<Core *>(user);
    if (*requestUser == nullptr) {
        auto incoming = std::make_unique<Incoming>();
        incoming->request = makeRequest(connection, url, method);
        const auto length = announcedLength(*incoming->request);
        *requestUser = incoming.release();
        if (length > core.options.maxBodyBytes) {
            ++core.counters.tooLarge;
            return core.refuse(connection, statusTooLarge, "the body is longer than " + std::to_string(core.options.maxBodyBytes) + " bytes\n");
        }
        return MHD_YES;
    }
    auto &incoming = *static_cast<Incoming *>(*requestUser);
    if (*size != 0) {
        return core.receive(connection, incoming, data, *size);
    }
    return incoming.dispatched ? core.respond(connection, incoming) : core.dispatch(connection, incoming);
}

auto Server::Core::receive(MHD_Connection * /*connection*/, Incoming &incoming, const char *data, std::size_t &size) -> MHD_Result
{
    const auto length = std::exchange(size, 0);
    if (incoming.request->body.size() + length > this->options.maxBodyBytes) {
        incoming.tooLarge = true;
        incoming.discarded += length;
        return incoming.discarded > this->options.maxBodyBytes * discardFactor ? MHD_NO : MHD_YES;
    }
    incoming.request->body.append(data, length);
    return MHD_YES;
}

auto Server::Core::refuse(MHD_Connection *connection, std::uint32_t status, std::string text) -> MHD_Result
{
    contextOf(connection)->enter(impl::ConnectionPhase::Replying, base::monotonicNow());
    return queue(connection, ServerResponse{.status = status, .headers = {}, .body = std::move(text)}, true);
}

auto Server::Core::dispatch(MHD_Connection *connection, Incoming &incoming) -> MHD_Result
{
    incoming.dispatched = true;
    if (incoming.tooLarge) {
        ++this->counters.tooLarge;
        return this->refuse(connection, statusTooLarge, "the body is longer than " + std::to_string(this->options.maxBodyBytes) + " bytes\n");
    }
    ++this->counters.requests;
    if (this->stopping) {
        return this->refuse(connection, statusStopping, "stopping\n");
    }
    auto &context = *contextOf(connection);
    incoming.exchange = std::make_shared<impl::Exchange>(connection);
    context.enter(impl::ConnectionPhase::Waiting, base::monotonicNow());
    auto left = false;
    {
        const auto lock = std::lock_guard(context.mutex);
        context.exchange = incoming.exchange;
        left = context.callerDisconnected;
    }
    this->handler(std::move(incoming.request), Responder(incoming.exchange));
    if (left && incoming.exchange->noteCallerDisconnected()) {
        ++this->counters.callersDisconnected;
    }
    return incoming.exchange->awaitResponse() == impl::Exchange::Next::Wait ? MHD_YES : this->respond(connection, incoming);
}

auto Server::Core::respond(MHD_Connection *connection, Incoming &incoming) -> MHD_Result
{
    auto &context = *contextOf(connection);
    {
        const auto lock = std::lock_guard(context.mutex);
        context.exchange.reset();
    }
    context.enter(impl::ConnectionPhase::Replying, base::monotonicNow());
    ++this->counters.responses;
    if (incoming.exchange->wasDropped()) {
        ++this->counters.unanswered;
    }
    return queue(connection, incoming.exchange->takeResponse(), this->draining);
}

auto Server::Core::onCompleted(void * /*user*/, MHD_Connection *connection, void **requestUser, MHD_RequestTerminationCode /*code*/) -> void
{
    delete static_cast<Incoming *>(*requestUser);
    *requestUser = nullptr;
    auto *context = contextOf(connection);
    if (context != nullptr && context->phase != impl::ConnectionPhase::Receiving) {
        context->enter(impl::ConnectionPhase::Idle, base::monotonicNow());
    }
}

auto Server::Core::onConnection(void *user, MHD_Connection *connection, void **socketUser, MHD_ConnectionNotificationCode code) -> void
{
    auto &core = *static_cast<Core *>(user);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        ++core.counters.connections;
        const auto fd = socketOf(connection);
        setSocketOptions(fd);
        auto *context = core.table.add(fd, base::monotonicNow());
        *socketUser = context;
        // Edge-triggered: reported once, when the caller closes its side, whatever input is still unread.
        auto event = epoll_event{};
        event.events = std::uint32_t{EPOLLRDHUP} | std::uint32_t{EPOLLET};
        event.data.u64 = context->id;
        epoll_ctl(core.watchFd, EPOLL_CTL_ADD, fd, &event);
        return;
    }
    auto *context = static_cast<impl::ServerConnection *>(*socketUser);
    // libmicrohttpd responds to malformed requests itself without a callback. Such a request is recognised because its connection ends during the request
    // although the caller hasn't closed it.
    if (context->phase == impl::ConnectionPhase::Receiving && !closedByCaller(context->fd)) {
        ++core.counters.malformed;
    }
    core.table.remove(context);
}

auto Server::Core::watchConnections() -> void
{
    auto events = std::array<epoll_event, eventsPerWait>{};
    auto nextCheck = base::monotonicNow() + timeoutCheckInterval;
    for (;;) {
        const auto wait = static_cast<int>(absl::ToInt64Milliseconds(timeoutCheckInterval));
        const auto ready = epoll_wait(this->watchFd, events.data(), eventsPerWait, wait);
        for (auto i = 0; i < ready; ++i) {
            const auto id = events[static_cast<std::size_t>(i)].data.u64;
            if (id == 0) {
                return;
            }
            const auto exchange = this->table.noteCallerDisconnected(id);
            if (exchange != nullptr && exchange->noteCallerDisconnected()) {
                ++this->counters.callersDisconnected;
            }
        }
        const auto now = base::monotonicNow();
        if (now >= nextCheck) {
            this->checkTimeouts(now);
            nextCheck = now + timeoutCheckInterval;
        }
    }
}

auto Server::Core::checkTimeouts(absl::Time now) -> void
{
    this->table.forEach([this, now](impl::ServerConnection &connection) {
        this->checkTimeout(connection, now);
    });
}

auto Server::Core::checkTimeout(impl::ServerConnection &connection, absl::Time now) -> void
{
    const auto phase = connection.phase.load();
    const auto age = now - connection.since();
    const auto receiving = phase == impl::ConnectionPhase::Receiving || (phase == impl::ConnectionPhase::Idle && !connection.used);
    if (receiving && age > this->options.receiveTimeout && hasReceivedBytes(connection.fd)) {
        ++this->counters.tooSlow;
        connection.enter(impl::ConnectionPhase::Replying, now);
        ::shutdown(connection.fd, SHUT_RDWR);
    } else if (phase == impl::ConnectionPhase::Idle && age > this->options.idleTimeout) {
        ::shutdown(connection.fd, SHUT_RDWR);
    }
}

auto Server::Core::stopAccepting() -> void
{
    this->draining = true;
    if (this->daemon == nullptr || !std::exchange(this->accepting, false)) {
        return;
    }
    // MHD_quiesce_daemon isn't used: the thread that calls it and those of the pool may both remove the socket from their epoll sets, which aborts the process.
    // Instead, new connection attempts are ignored, and refused once the socket is closed; libmicrohttpd accepts those that the system had already accepted.
    impl::ignoreNewConnections(this->listener.fd);
    absl::SleepFor(acceptGrace);
}

auto Server::Core::isDrained(absl::Time now) -> bool
{
    auto drained = true;
    this->table.forEach([this, now, &drained](impl::ServerConnection &connection) {
        const auto idle = connection.phase == impl::ConnectionPhase::Idle && now - connection.since() >= this->options.drainIdleTime;
        drained = drained && idle && !hasUnreadInput(connection.fd);
    });
    return drained;
}

auto Server::Core::answerRemaining() -> void
{
    this->stopping = true;
    for (const auto &exchange : this->table.waitingExchanges()) {
        exchange->answer(ServerResponse{.status = statusStopping, .headers = {}, .body = "stopping\n"});
    }
    const auto limit = base::monotonicNow() + responseGrace;
    auto busy = true;
    while (busy && base::monotonicNow() < limit) {
        busy = false;
        this->table.forEach([&busy](impl::ServerConnection &connection) {
            busy = busy || connection.phase == impl::ConnectionPhase::Waiting || connection.phase == impl::ConnectionPhase::Replying;
        });
        absl::SleepFor(busy ? drainPollInterval : absl::ZeroDuration());
    }
}

auto Server::Core::stop() -> void
{
    if (this->listener.fd < 0) {
        return;
    }
    if (this->daemon != nullptr) {
        this->stopAccepting();
        const auto limit = base::monotonicNow() + this->options.drainTimeout;
        while (base::monotonicNow() < limit && !this->isDrained(base::monotonicNow())) {
            absl::SleepFor(drainPollInterval);
        }
        this->answerRemaining();
        // Also closes the listening socket.
        MHD_stop_daemon(std::exchange(this->daemon, nullptr));
    } else {
        close(this->listener.fd);
    }
    const auto one = std::uint64_t{1};
    std::ignore = write(this->wakeFd, &one, sizeof(one));
    this->watcher.join();
    close(this->watchFd);
    close(this->wakeFd);
    this->listener.fd = -1;
}

Server::Server(ServerOptions options, Handler handler)
    : core(std::make_unique<Core>(std::move(options), std::move(handler)))
{
}

Server::~Server() = default;

auto Server::error() const -> const std::string &
{
    return this->core->listener.error;
}

auto Server::port() const noexcept -> std::uint16_t
{
    return this->core->listener.error.empty() ? this->core->listener.port : std::uint16_t{0};
}

auto Server::startDraining() -> void
{
    this->core->draining = true;
}

auto Server::stopAccepting() -> void
{
    this->core->stopAccepting();
}

auto Server::stop() -> void
{
    this->core->stop();
}

auto Server::counters() const -> ServerCounters
{
    const auto &counters = this->core->counters;
    return {
        .connections = counters.connections,
        .requests = counters.requests,
        .responses = counters.responses,
        .tooLarge = counters.tooLarge,
        .malformed = counters.malformed,
        .tooSlow = counters.tooSlow,
        .callersDisconnected = counters.callersDisconnected,
        .unanswered = counters.unanswered,
    };
}

} // namespace tamarackspan::http
