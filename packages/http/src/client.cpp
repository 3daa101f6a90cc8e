#include "tamarackspan/http/client.h"

#include "connections.h"
#include "transfer.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/require.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <curl/curl.h>
#include <deque>
#include <mutex>
#include <string>
#include <sys/epoll.h>
#include <utility>
#include <vector>

namespace tamarackspan::http {

namespace {

constexpr auto sweepInterval = absl::Milliseconds(500);
constexpr auto spareHandles = std::size_t{256};
constexpr auto cachedConnections = 1'000'000L;

auto initialiseLibrary() -> void
{
    static auto once = std::once_flag();
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
}

/// Returns whether libcurl is about to send an AtMostOnce request a second time.
auto isResend(const impl::Transfer &transfer) -> bool
{
    return transfer.request.resendPolicy == ResendPolicy::AtMostOnce && transfer.preventResend && transfer.response.bytesMayHaveBeenSent;
}

/// The requests of one pool.
struct Pool
{
    std::uint32_t maxConnections = 1;
    std::deque<RequestId> queue{};
    /// Requests that were handed to libcurl and have no socket yet.
    std::uint32_t unassigned = 0;
};

} // namespace

struct Client::Core
{
    Core(transport::EventLoop &loop, ClientOptions options);
    ~Core();
    Core(const Core &) = delete;
    auto operator=(const Core &) -> Core & = delete;

    auto send(Request request, Callback callback) -> RequestId;
    auto cancel(RequestId id) -> void;
    auto limitPool(std::string_view name, std::uint32_t maxConnections) -> void;
    [[nodiscard]] auto counts(std::string_view name) const -> PoolCounts;

private:
    auto poolOf(const Request &request) -> std::uint32_t;
    auto startQueued(std::uint32_t number) -> void;
    auto mayStart(std::uint32_t number, const impl::Transfer &transfer, bool fresh) -> bool;
    [[nodiscard]] auto needsFresh(const impl::Transfer &transfer) const -> bool;
    auto start(impl::Transfer &transfer, bool fresh) -> void;
    auto detachFromLibcurl(impl::Transfer &transfer) -> void;
    auto assignSocket(impl::Transfer &transfer, int fd) -> void;
    auto finish(impl::Transfer &transfer) -> void;
    auto endEarly(RequestId id, Outcome outcome) -> void;
    auto removeFromQueue(const impl::Transfer &transfer) -> void;
    auto requeue(impl::Transfer &transfer) -> void;
    auto runSocketAction(int fd, int events) -> void;
    auto onDone(CURL *easy, CURLcode result) -> void;
    auto sweep() -> void;
    auto makeHandle() -> impl::EasyHandle;

    static auto onWatchSocket(CURL *easy, curl_socket_t fd, int what, void *user, void *socketUser) -> int;
    static auto onSetTimer(CURLM *multi, long millis, void *user) -> int;
    static auto onOpenSocket(void *user, curlsocktype purpose, curl_sockaddr *address) -> curl_socket_t;
    static auto onCloseSocket(void *user, curl_socket_t fd) -> int;
    static auto onBeforeRequest(void *user, char *remoteIp, char *localIp, int remotePort, int localPort) -> int;

    transport::EventLoop &loop;
    ClientOptions options;
    CURLM *multi;
    impl::Connections connections;
    std::vector<Pool> pools;
    /// Keyed by the address and port of the URL, and by the pool name of the requests.
    absl::flat_hash_map<std::string, std::uint32_t> poolNumbers;
    absl::flat_hash_map<std::string, std::uint32_t> poolNames;
    absl::flat_hash_map<RequestId, std::unique_ptr<impl::Transfer>> transfers;
    std::vector<impl::EasyHandle> spare;
    RequestId lastId = 0;
    transport::TimerId multiTimer = 0;
    transport::TimerId sweepTimer = 0;
};

Client::Core::Core(transport::EventLoop &loop, ClientOptions options)
    : loop(loop),
      options(options),
      multi((initialiseLibrary(), curl_multi_init())),
      connections(
          loop, {.idle = options.idleTimeout, .peerClose = options.peerCloseTimeout, .unacknowledged = options.unacknowledgedTimeout},
          [this](int fd, std::uint32_t events) {
              const auto in = (events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
              const auto out = (events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
              const auto failed = (events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
              this->runSocketAction(fd, in | out | failed);
          },
          [this](std::uint32_t pool) {
              this->startQueued(pool);
          })
{
    base::require(this->multi != nullptr, "out of memory");
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, onWatchSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, onSetTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    // Connections are counted and closed by this client; the large limit keeps libcurl from closing idle ones to make room.
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, cachedConnections);
    this->sweep();
}

Client::Core::~Core()
{
    this->loop.cancelTimer(this->sweepTimer);
    auto left = std::vector<std::unique_ptr<impl::Transfer>>();
    for (auto &[id, transfer] : this->transfers) {
        this->loop.cancelTimer(transfer->timer);
        if (transfer->easy != nullptr) {
            this->detachFromLibcurl(*transfer);
        }
        left.push_back(std::move(transfer));
    }
    this->transfers.clear();
    for (auto &pool : this->pools) {
        pool.queue.clear();
    }
    curl_multi_cleanup(this->multi);
    this->loop.cancelTimer(this->multiTimer);
    for (auto &transfer : left) {
        transfer->callback(Response{.outcome = Outcome::Cancelled, .bytesMayHaveBeenSent = transfer->response.bytesMayHaveBeenSent});
    }
}

auto Client::Core::poolOf(const Request &request) -> std::uint32_t
{
    // libcurl shares connections between all requests to one server, so a pool is identified by the server's address.
    const auto [found, added] = this->poolNumbers.try_emplace(impl::authorityOf(request.url), static_cast<std::uint32_t>(this->pools.size()));
    if (added) {
        this->pools.emplace_back();
    }
    const auto number = found->second;
    this->poolNames[request.pool] = number;
    this->pools[number].maxConnections = request.maxConnections;
    return number;
}

auto Client::Core::limitPool(std::string_view name, std::uint32_t maxConnections) -> void
{
    const auto known = this->poolNames.find(std::string(name));
    if (known != this->poolNames.end()) {
        this->pools[known->second].maxConnections = maxConnections;
        this->connections.retireIdleAbove(known->second, maxConnections);
    }
}

auto Client::Core::send(Request request, Callback callback) -> RequestId
{
    const auto id = ++this->lastId;
    auto transfer = std::make_unique<impl::Transfer>();
    transfer->id = id;
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    transfer->preventResend = this->options.preventAtMostOnceResend;
    const auto valid = impl::isValid(transfer->request);
    const auto limit = valid ? base::monotonicNow() + transfer->request.timeout : absl::InfinitePast();
    transfer->expiresAt = limit;
    transfer->timer = this->loop.runAt(limit, [this, id, valid] {
        this->endEarly(id, valid ? Outcome::Timeout : Outcome::InvalidRequest);
    });
    transfer->pool = this->poolOf(transfer->request);
    const auto pool = transfer->pool;
    this->transfers.emplace(id, std::move(transfer));
    if (valid) {
        this->pools[pool].queue.push_back(id);
        this->startQueued(pool);
    }
    return id;
}

auto Client::Core::cancel(RequestId id) -> void
{
    const auto found = this->transfers.find(id);
    if (found == this->transfers.end()) {
        return;
    }
    auto &transfer = *found->second;
    if (transfer.easy != nullptr) {
        this->detachFromLibcurl(transfer);
    }
    this->loop.cancelTimer(transfer.timer);
    transfer.timer = this->loop.runAt(absl::InfinitePast(), [this, id] {
        this->endEarly(id, Outcome::Cancelled);
    });
    this->removeFromQueue(transfer);
}

auto Client::Core::counts(std::string_view name) const -> PoolCounts
{
    const auto found = this->poolNames.find(std::string(name));
    if (found == this->poolNames.end()) {
        return {};
    }
    const auto sockets = this->connections.counts(found->second);
    return {.open = sockets.open, .idle = sockets.idle, .queued = static_cast<std::uint32_t>(this->pools[found->second].queue.size())};
}

auto Client::Core::needsFresh(const impl::Transfer &transfer) const -> bool
{
    return transfer.request.resendPolicy == ResendPolicy::AtMostOnce && transfer.preventResend
        && !this->connections.hasIdleSince(transfer.pool, base::monotonicNow() - this->options.atMostOnceMaxIdle);
}

auto Client::Core::mayStart(std::uint32_t number, const impl::Transfer &transfer, bool fresh) -> bool
{
    const auto &pool = this->pools[number];
    const auto counts = this->connections.counts(number);
    const auto room = pool.maxConnections - std::min(pool.maxConnections, counts.open);
    if (pool.unassigned < room + (fresh ? 0 : counts.idle)) {
        return true;
    }
    if (fresh && transfer.stopReason == impl::StopReason::None && counts.idle > 0) {
        std::ignore = this->connections.retireOldestIdle(number);
    }
    return false;
}

auto Client::Core::startQueued(std::uint32_t number) -> void
{
    while (!this->pools[number].queue.empty()) {
        auto &transfer = *this->transfers.at(this->pools[number].queue.front());
        const auto fresh = this->needsFresh(transfer);
        if (!this->mayStart(number, transfer, fresh)) {
            return;
        }
        this->pools[number].queue.pop_front();
        this->start(transfer, fresh);
    }
}

auto Client::Core::makeHandle() -> impl::EasyHandle
{
    if (!this->spare.empty()) {
        auto easy = std::move(this->spare.back());
        this->spare.pop_back();
        return easy;
    }
    auto easy = impl::makeEasy();
    curl_easy_setopt(easy.get(), CURLOPT_OPENSOCKETFUNCTION, onOpenSocket);
    curl_easy_setopt(easy.get(), CURLOPT_CLOSESOCKETFUNCTION, onCloseSocket);
    curl_easy_setopt(easy.get(), CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy.get(), CURLOPT_PREREQFUNCTION, onBeforeRequest);
    return easy;
}

auto Client::Core::start(impl::Transfer &transfer, bool fresh) -> void
{
    transfer.easy = this->makeHandle();
    impl::prepare(transfer, fresh);
    transfer.owner = this;
    curl_easy_setopt(transfer.easy.get(), CURLOPT_OPENSOCKETDATA, &transfer);
    curl_easy_setopt(transfer.easy.get(), CURLOPT_PREREQDATA, &transfer);
    transfer.unassigned = true;
    ++this->pools[transfer.pool].unassigned;
    const auto added = curl_multi_add_handle(this->multi, transfer.easy.get());
    base::require(added == CURLM_OK, "libcurl takes a prepared handle");
}

/// Removes a transfer from libcurl. Closes its connection if it isn't established yet, or if the request was sent and its response isn't complete.
auto Client::Core::detachFromLibcurl(impl::Transfer &transfer) -> void
{
    this->assignSocket(transfer, transfer.fd);
    this->loop.cancelTimer(std::exchange(transfer.connectTimer, 0));
    const auto held = this->connections.duplicateConnecting(transfer.fd, transfer.id);
    curl_multi_remove_handle(this->multi, transfer.easy.get());
    this->connections.closeDuplicate(transfer.fd, transfer.id, held);
    transfer.fd = -1;
    if (this->spare.size() < spareHandles) {
        this->spare.push_back(std::move(transfer.easy));
    }
    transfer.easy.reset();
    transfer.headers.reset();
}

auto Client::Core::assignSocket(impl::Transfer &transfer, int fd) -> void
{
    transfer.fd = fd;
    if (transfer.unassigned) {
        transfer.unassigned = false;
        --this->pools[transfer.pool].unassigned;
    }
}

auto Client::Core::requeue(impl::Transfer &transfer) -> void
{
    this->detachFromLibcurl(transfer);
    this->pools[transfer.pool].queue.push_front(transfer.id);
}

auto Client::Core::removeFromQueue(const impl::Transfer &transfer) -> void
{
    auto &queue = this->pools[transfer.pool].queue;
    queue.erase(std::remove(queue.begin(), queue.end(), transfer.id), queue.end());
}

auto Client::Core::finish(impl::Transfer &transfer) -> void
{
    this->loop.cancelTimer(transfer.timer);
    auto node = this->transfers.extract(transfer.id);
    auto &owned = *node.mapped();
    owned.callback(std::move(owned.response));
}

auto Client::Core::endEarly(RequestId id, Outcome outcome) -> void
{
    auto &transfer = *this->transfers.at(id);
    const auto sent = transfer.response.bytesMayHaveBeenSent;
    const auto pool = transfer.pool;
    if (transfer.easy != nullptr) {
        this->detachFromLibcurl(transfer);
    }
    this->removeFromQueue(transfer);
    transfer.response = Response{.outcome = outcome, .bytesMayHaveBeenSent = sent, .error = std::string(toString(outcome))};
    this->finish(transfer);
    this->startQueued(pool);
}

auto Client::Core::runSocketAction(int fd, int events) -> void
{
    auto running = 0;
    curl_multi_socket_action(this->multi, fd, events, &running);
    auto left = 0;
    while (auto *message = curl_multi_info_read(this->multi, &left)) {
        if (message->msg == CURLMSG_DONE) {
            this->onDone(message->easy_handle, message->data.result);
        }
    }
}

auto Client::Core::onDone(CURL *easy, CURLcode result) -> void
{
    auto &transfer = *impl::transferOf(easy);
    const auto pool = transfer.pool;
    if (transfer.fd >= 0) {
        this->connections.markIdle(transfer.fd, transfer.id, base::monotonicNow());
    }
    if (transfer.stopReason == impl::StopReason::PoolFull || transfer.stopReason == impl::StopReason::Stale) {
        this->requeue(transfer);
        this->startQueued(pool);
        return;
    }
    impl::setOutcome(transfer, result);
    this->detachFromLibcurl(transfer);
    this->finish(transfer);
    this->startQueued(pool);
}

auto Client::Core::sweep() -> void
{
    const auto now = base::monotonicNow();
    this->connections.retireOverdue(now);
    this->sweepTimer = this->loop.runAt(now + sweepInterval, [this] {
        this->sweep();
    });
}

auto Client::Core::onWatchSocket(CURL *easy, curl_socket_t fd, int what, void *user, void * /*socketUser*/) -> int
{
    auto &core = *static_cast<Core *>(user);
    if (what == CURL_POLL_REMOVE) {
        core.connections.setWantedEvents(fd, 0);
        return 0;
    }
    const auto in = (what & CURL_POLL_IN) != 0 ? std::uint32_t{EPOLLIN} : 0;
    const auto out = (what & CURL_POLL_OUT) != 0 ? std::uint32_t{EPOLLOUT} : 0;
    core.connections.setWantedEvents(fd, in | out);
    auto *transfer = impl::transferOf(easy);
    if (transfer != nullptr && transfer->fd != fd) {
        core.assignSocket(*transfer, fd);
        core.connections.markBusy(fd, transfer->id);
    }
    return 0;
}

auto Client::Core::onSetTimer(CURLM * /*multi*/, long millis, void *user) -> int
{
    auto &core = *static_cast<Core *>(user);
    core.loop.cancelTimer(std::exchange(core.multiTimer, 0));
    if (millis >= 0) {
        const auto when = millis == 0 ? absl::InfinitePast() : base::monotonicNow() + absl::Milliseconds(millis);
        core.multiTimer = core.loop.runAt(when, [&core] {
            core.multiTimer = 0;
            core.runSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
    }
    return 0;
}

auto Client::Core::onOpenSocket(void *user, curlsocktype /*purpose*/, curl_sockaddr *address) -> curl_socket_t
{
    auto &transfer = *static_cast<impl::Transfer *>(user);
    auto &core = *static_cast<Core *>(transfer.owner);
    if (isResend(transfer)) {
        transfer.stopReason = impl::StopReason::Resend;
        return CURL_SOCKET_BAD;
    }
    if (core.connections.counts(transfer.pool).open >= core.pools[transfer.pool].maxConnections) {
        transfer.stopReason = impl::StopReason::PoolFull;
        return CURL_SOCKET_BAD;
    }
    const auto fd = core.connections.open(transfer.pool, transfer.id, address->family, address->socktype, address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    core.assignSocket(transfer, fd);
    transfer.connectTimer = core.loop.runAt(base::monotonicNow() + core.options.connectTimeout, [&core, id = transfer.id] {
        core.endEarly(id, Outcome::ConnectFailed);
    });
    return fd;
}

auto Client::Core::onCloseSocket(void *user, curl_socket_t fd) -> int
{
    static_cast<Core *>(user)->connections.releaseSocket(fd);
    return 0;
}

auto Client::Core::onBeforeRequest(void *user, char * /*remoteIp*/, char * /*localIp*/, int /*remotePort*/, int /*localPort*/) -> int
{
    auto &transfer = *static_cast<impl::Transfer *>(user);
    if (isResend(transfer)) {
        transfer.stopReason = impl::StopReason::Resend;
        return CURL_PREREQFUNC_ABORT;
    }
    if (base::monotonicNow() >= transfer.expiresAt) {
        transfer.stopReason = impl::StopReason::Expired;
        return CURL_PREREQFUNC_ABORT;
    }
    auto &core = *static_cast<Core *>(transfer.owner);
    core.connections.markEstablished(transfer.fd);
    core.loop.cancelTimer(std::exchange(transfer.connectTimer, 0));
    transfer.response.bytesMayHaveBeenSent = true;
    transfer.part = impl::ResponsePart::StatusLine;
    return CURL_PREREQFUNC_OK;
}

Client::Client(transport::EventLoop &loop, ClientOptions options)
    : core(std::make_unique<Core>(loop, options))
{
}

Client::~Client() = default;

auto Client::send(Request request, Callback callback) -> RequestId
{
    return this->core->send(std::move(request), std::move(callback));
}

auto Client::cancel(RequestId id) -> void
{
    this->core->cancel(id);
}

auto Client::limitPool(std::string_view pool, std::uint32_t maxConnections) -> void
{
    this->core->limitPool(pool, maxConnections);
}

auto Client::poolCounts(std::string_view pool) const -> PoolCounts
{
    return this->core->counts(pool);
}

} // namespace tamarackspan::http
