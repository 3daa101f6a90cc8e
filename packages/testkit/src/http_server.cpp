#include "tamarackspan/testkit/http_server.h"

#include "tamarackspan/base/require.h"

#include "absl/strings/ascii.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>

#include <algorithm>
#include <future>
#include <mutex>
#include <set>
#include <utility>

namespace tamarackspan::testkit {

namespace {

constexpr unsigned listenBacklog = 1024;

auto peerClosed(int fd) -> bool
{
    auto entry = pollfd{.fd = fd, .events = POLLRDHUP, .revents = 0};
    return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

struct Connection
{
    int fd = -1;
    std::uint64_t requests = 0;
};

auto collectHeader(void *target, MHD_ValueKind, const char *key, const char *value) -> MHD_Result
{
    auto &headers = *static_cast<std::map<std::string, std::string> *>(target);
    headers[absl::AsciiStrToLower(key)] = value != nullptr ? value : "";
    return MHD_YES;
}

auto collectArgument(void *target, MHD_ValueKind, const char *key, const char *value) -> MHD_Result
{
    auto &arguments = *static_cast<std::map<std::string, std::string> *>(target);
    arguments[key] = value != nullptr ? value : "";
    return MHD_YES;
}

/// An exchange on a suspended libmicrohttpd connection.
class SuspendedExchange : public Exchange, public std::enable_shared_from_this<SuspendedExchange>
{
public:
    SuspendedExchange(transport::EventLoop &loop, MHD_Connection *connection, const Connection &peer)
        : loop(loop),
          connection(connection),
          fd(peer.fd),
          first(peer.requests == 1)
    {
    }

    auto request() const noexcept -> const HttpRequest & override
    {
        return this->received;
    }

    auto firstOnConnection() const noexcept -> bool override
    {
        return this->first;
    }

    auto reply(HttpReply reply) -> void override
    {
        if (!this->over) {
            this->answer = std::move(reply);
            this->answered = true;
            this->finish();
        }
    }

    auto close() -> void override
    {
        if (!this->over) {
            this->finish();
        }
    }

    auto setDisconnectCallback(std::function<void()> callback) -> void override
    {
        this->disconnectCallback = std::move(callback);
    }

    auto checkDisconnected() -> void override
    {
        if (!this->over && peerClosed(this->fd)) {
            const auto self = this->shared_from_this();
            const auto callback = std::move(this->disconnectCallback);
            this->finish();
            if (callback) {
                callback();
            }
        }
    }

    /// Starts to watch for the client's close; called on the loop's thread. Returns false if the exchange has ended.
    auto begin() -> bool
    {
        if (this->over) {
            return false;
        }
        this->watching = true;
        this->loop.watch(this->fd, EPOLLRDHUP, [self = this->weak_from_this()](std::uint32_t) {
            if (const auto exchange = self.lock()) {
                exchange->checkDisconnected();
            }
        });
        return true;
    }

    /// Queues the reply; called on libmicrohttpd's thread.
    auto send() -> MHD_Result
    {
        if (!this->answered) {
            return MHD_NO;
        }
        const auto &body = this->answer.body;
        auto *response = MHD_create_response_from_buffer(body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY);
        for (const auto &header : this->answer.headers) {
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        }
        const auto queued = MHD_queue_response(this->connection, this->answer.status, response);
        MHD_destroy_response(response);
        return queued;
    }

    HttpRequest received;

private:
    auto finish() -> void
    {
        this->over = true;
        this->disconnectCallback = nullptr;
        if (this->watching) {
            this->loop.unwatch(this->fd);
        }
        MHD_resume_connection(this->connection);
    }

    transport::EventLoop &loop;
    MHD_Connection *connection;
    int fd;
    bool first;
    bool over = false;
    bool watching = false;
    bool answered = false;
    HttpReply answer;
    std::function<void()> disconnectCallback;
};

/// Per-request context of libmicrohttpd.
struct RequestContext
{
    HttpRequest request;
    std::shared_ptr<SuspendedExchange> exchange;
};

} // namespace

auto HttpRequest::header(const std::string &name) const -> std::string
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

auto HttpRequest::argument(const std::string &name) const -> std::string
{
    const auto found = this->arguments.find(name);
    return found == this->arguments.end() ? std::string() : found->second;
}

struct HttpServer::State
{
    State(transport::EventLoop &loop, HttpServerOptions options, Handler handler)
        : loop(loop),
          options(options),
          handler(std::move(handler))
    {
    }

    transport::EventLoop &loop;
    const HttpServerOptions options;
    const Handler handler;
    MHD_Daemon *daemon = nullptr;
    std::uint16_t port = 0;
    mutable std::mutex mutex;
    bool stopping = false;
    std::set<std::shared_ptr<SuspendedExchange>> exchanges;
    std::set<int> connections;
    ConnectionCounts counts;

    [[nodiscard]] auto countOpen() const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(this->connections.begin(), this->connections.end(), [](int fd) {
            return !peerClosed(fd);
        }));
    }

    static auto onAccept(void *self, const sockaddr *, socklen_t) -> MHD_Result
    {
        auto &state = *static_cast<State *>(self);
        const auto lock = std::scoped_lock(state.mutex);
        const auto open = state.countOpen() + 1;
        state.counts.peak = std::max(state.counts.peak, open);
        if (state.options.connectionCap != 0 && open > state.options.connectionCap) {
            ++state.counts.refused;
            return MHD_NO;
        }
        return MHD_YES;
    }

    static auto onConnection(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code) -> void
    {
        auto &state = *static_cast<State *>(self);
        const auto lock = std::scoped_lock(state.mutex);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
            auto *peer = new Connection{.fd = info->connect_fd, .requests = 0};
            state.connections.insert(peer->fd);
            *context = peer;
        } else if (*context != nullptr) {
            auto *peer = static_cast<Connection *>(*context);
            state.connections.erase(peer->fd);
            delete peer;
            *context = nullptr;
        }
    }

    static auto onRequest(void *self, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data, size_t *size,
                          void **slot) -> MHD_Result
    {
        auto &state = *static_cast<State *>(self);
        if (*slot == nullptr) {
            auto *fresh = new RequestContext();
            fresh->request.method = method;
            fresh->request.path = url;
            *slot = fresh;
            return MHD_YES;
        }
        auto &context = *static_cast<RequestContext *>(*slot);
        if (*size != 0) {
            context.request.body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (context.exchange != nullptr) {
            return context.exchange->send();
        }
        return state.suspend(connection, context);
    }

    auto suspend(MHD_Connection *connection, RequestContext &context) -> MHD_Result
    {
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &context.request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectArgument, &context.request.arguments);
        auto &peer = *static_cast<Connection *>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
        ++peer.requests;
        {
            const auto lock = std::scoped_lock(this->mutex);
            if (this->stopping) {
                return MHD_NO;
            }
            context.exchange = std::make_shared<SuspendedExchange>(this->loop, connection, peer);
            context.exchange->received = std::move(context.request);
            this->exchanges.insert(context.exchange);
            MHD_suspend_connection(connection);
        }
        this->loop.post([this, exchange = context.exchange] {
            if (exchange->begin()) {
                this->handler(exchange);
            }
        });
        return MHD_YES;
    }

    static auto onCompleted(void *self, MHD_Connection *, void **slot, MHD_RequestTerminationCode) -> void
    {
        auto &state = *static_cast<State *>(self);
        auto *context = static_cast<RequestContext *>(*slot);
        if (context != nullptr) {
            const auto lock = std::scoped_lock(state.mutex);
            state.exchanges.erase(context->exchange);
        }
        delete context;
        *slot = nullptr;
    }

    auto closeAll() -> void
    {
        auto open = std::set<std::shared_ptr<SuspendedExchange>>();
        {
            const auto lock = std::scoped_lock(this->mutex);
            open = this->exchanges;
        }
        for (const auto &exchange : open) {
            exchange->close();
        }
    }
};

HttpServer::HttpServer(transport::EventLoop &loop, HttpServerOptions options, Handler handler)
    : state(std::make_unique<State>(loop, options, std::move(handler)))
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->state->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options.port, &State::onAccept, this->state.get(),
                                           &State::onRequest, this->state.get(), MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
                                           &State::onCompleted, this->state.get(), MHD_OPTION_NOTIFY_CONNECTION, &State::onConnection, this->state.get(),
                                           MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    base::require(this->state->daemon != nullptr, "can't listen on the port of a stand-in");
    this->state->port = MHD_get_daemon_info(this->state->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

HttpServer::~HttpServer()
{
    {
        const auto lock = std::scoped_lock(this->state->mutex);
        this->state->stopping = true;
    }
    auto closed = std::promise<void>();
    this->state->loop.post([this, &closed] {
        this->state->closeAll();
        closed.set_value();
    });
    closed.get_future().wait();
    MHD_stop_daemon(this->state->daemon);
}

auto HttpServer::port() const noexcept -> std::uint16_t
{
    return this->state->port;
}

auto HttpServer::connections() const -> ConnectionCounts
{
    const auto lock = std::scoped_lock(this->state->mutex);
    auto counts = this->state->counts;
    counts.open = this->state->countOpen();
    return counts;
}

} // namespace tamarackspan::testkit
