#include "tamarackspan/testkit/relay.h"

#include "json_check.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/require.h"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <utility>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;

constexpr auto readBytes = std::size_t{64} << 10;
/// Reading from one side pauses while this many bytes are pending for the other side.
constexpr auto maxPendingBytes = std::size_t{1} << 20;
constexpr auto backlog = 1024;

auto loopbackAddress(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto setNoDelay(int fd) -> void
{
    const auto one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/// Bytes to be written once `due` is reached.
struct Chunk
{
    absl::Time due;
    std::string bytes;
};

/// One direction of a connection.
struct Direction
{
    int from = -1;
    int to = -1;
    std::deque<Chunk> chunks;
    std::size_t pending = 0;
    bool readEnded = false;
    bool writeEnded = false;
    bool writeBlocked = false;
    transport::TimerId timer = 0;
};

struct Pair
{
    Direction toServer;
    Direction toClient;
    /// Forwards nothing any more, not even a close.
    bool muted = false;
    /// Counts the pairs of the relay.
    std::uint64_t number = 0;
};

} // namespace

struct Relay::State
{
    State(transport::EventLoop &loop, std::uint16_t targetPort)
        : loop(loop),
          targetPort(targetPort)
    {
    }

    transport::EventLoop &loop;
    const std::uint16_t targetPort;
    std::uint16_t port = 0;
    int listener = -1;
    std::set<std::shared_ptr<Pair>> pairs;
    bool allMuted = false;
    std::string oneWay = "both";
    absl::Duration delay = absl::ZeroDuration();
    std::uint64_t accepted = 0;
    std::uint64_t bytesPassed = 0;

    auto listen(std::uint16_t wanted) -> void
    {
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto one = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        auto address = loopbackAddress(wanted);
        const auto bound = bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        base::require(bound == 0 && ::listen(this->listener, backlog) == 0, "can't listen on the port of the relay");
        auto size = socklen_t{sizeof(address)};
        getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->loop.watch(this->listener, EPOLLIN, [this](std::uint32_t) {
            this->accept();
        });
    }

    auto stopListening() -> void
    {
        if (this->listener >= 0) {
            this->loop.unwatch(this->listener);
            ::close(this->listener);
            this->listener = -1;
        }
    }

    auto accept() -> void
    {
        for (auto client = 0; (client = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
            ++this->accepted;
            const auto server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = loopbackAddress(this->targetPort);
            if (connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
                ::close(server);
                ::close(client);
                continue;
            }
            this->add(client, server);
        }
    }

    auto add(int client, int server) -> void
    {
        setNoDelay(client);
        setNoDelay(server);
        auto pair = std::make_shared<Pair>();
        pair->toServer.from = pair->toClient.to = client;
        pair->toServer.to = pair->toClient.from = server;
        pair->number = this->accepted;
        this->pairs.insert(pair);
        this->update(pair);
    }

    [[nodiscard]] auto mayRead(const Pair &pair, const Direction &direction) const -> bool
    {
        const auto directionBlocked =
            (this->oneWay == "to_server" && &direction == &pair.toClient) || (this->oneWay == "to_client" && &direction == &pair.toServer);
        return !directionBlocked && !direction.readEnded && direction.pending < maxPendingBytes;
    }

    /// Updates the watched events of both sockets.
    auto update(const std::shared_ptr<Pair> &pair) -> void
    {
        this->watch(pair, pair->toServer, pair->toClient);
        this->watch(pair, pair->toClient, pair->toServer);
    }

    /// Watches the socket that `in` reads from and `out` writes to for the events that it can handle now.
    auto watch(const std::shared_ptr<Pair> &pair, Direction &in, Direction &out) -> void
    {
        auto events = std::uint32_t{0};
        if (this->mayRead(*pair, in)) {
            events |= EPOLLIN;
        }
        if (out.writeBlocked) {
            events |= EPOLLOUT;
        }
        if (events == 0 || pair->muted || this->allMuted) {
            this->loop.unwatch(in.from);
            return;
        }
        this->loop.watch(in.from, events, [this, pair, &in, &out](std::uint32_t ready) {
            if ((ready & EPOLLOUT) != 0) {
                out.writeBlocked = false;
                this->write(pair, out);
            }
            if ((ready & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0 && this->pairs.contains(pair)) {
                this->read(pair, in);
            }
        });
    }

    auto read(const std::shared_ptr<Pair> &pair, Direction &direction) -> void
    {
        if (!this->mayRead(*pair, direction)) {
            return;
        }
        auto buffer = std::array<char, readBytes>{};
        const auto count = ::read(direction.from, buffer.data(), buffer.size());
        if (count < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                this->close(pair);
            }
            return;
        }
        const auto now = base::monotonicNow();
        const auto earliest = direction.chunks.empty() ? now : direction.chunks.back().due;
        // An empty chunk marks the end of the stream.
        direction.chunks.push_back({.due = std::max(earliest, now + this->delay), .bytes = std::string(buffer.data(), static_cast<std::size_t>(count))});
        direction.pending += static_cast<std::size_t>(count);
        direction.readEnded = count == 0;
        this->write(pair, direction);
    }

    /// Writes the chunks that are due, then updates the timer and the watched events.
    auto write(const std::shared_ptr<Pair> &pair, Direction &direction) -> void
    {
        if (pair->muted || this->allMuted || !this->pairs.contains(pair)) {
            return;
        }
        const auto now = base::monotonicNow();
        while (!direction.chunks.empty() && direction.chunks.front().due <= now && !direction.writeBlocked) {
            if (!this->writeChunk(direction)) {
                this->close(pair);
                return;
            }
        }
        if (pair->toServer.writeEnded && pair->toClient.writeEnded) {
            this->close(pair);
            return;
        }
        this->loop.cancelTimer(direction.timer);
        if (!direction.chunks.empty() && !direction.writeBlocked) {
            direction.timer = this->loop.runAt(direction.chunks.front().due, [this, pair, &direction] {
                this->write(pair, direction);
            });
        }
        this->update(pair);
    }

    /// Returns false if the connection is broken.
    auto writeChunk(Direction &direction) -> bool
    {
        auto &bytes = direction.chunks.front().bytes;
        if (bytes.empty()) {
            shutdown(direction.to, SHUT_WR);
            direction.writeEnded = true;
            direction.chunks.pop_front();
            return true;
        }
        const auto count = send(direction.to, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            direction.writeBlocked = errno == EAGAIN;
            return direction.writeBlocked || errno == EINTR;
        }
        this->bytesPassed += static_cast<std::uint64_t>(count);
        direction.pending -= static_cast<std::size_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty()) {
            direction.chunks.pop_front();
        }
        return true;
    }

    auto close(const std::shared_ptr<Pair> &pair) -> void
    {
        if (this->pairs.erase(pair) == 0) {
            return;
        }
        for (auto *direction : {&pair->toServer, &pair->toClient}) {
            this->loop.cancelTimer(direction->timer);
            this->loop.unwatch(direction->from);
            ::close(direction->from);
        }
    }

    auto closeAll() -> void
    {
        for (const auto &pair : std::set(this->pairs)) {
            this->close(pair);
        }
    }

    auto muteOldest() -> void
    {
        auto oldest = std::shared_ptr<Pair>();
        for (const auto &pair : this->pairs) {
            if (!pair->muted && (oldest == nullptr || pair->number < oldest->number)) {
                oldest = pair;
            }
        }
        if (oldest != nullptr) {
            oldest->muted = true;
        }
    }

    auto apply(const Json &change) -> void
    {
        if (change.value("cut", false)) {
            this->closeAll();
        }
        if (change.contains("refuse")) {
            this->stopListening();
            if (!change["refuse"].get<bool>()) {
                this->listen(this->port);
            }
        }
        const auto silentMode = change.value("silent", "");
        if (silentMode == "oldest") {
            this->muteOldest();
        }
        this->allMuted = silentMode.empty() ? this->allMuted : silentMode == "all";
        this->oneWay = change.value("one_way", this->oneWay);
        this->delay = absl::Milliseconds(change.value("delay_ms", absl::ToInt64Milliseconds(this->delay)));
        for (const auto &pair : std::set(this->pairs)) {
            pair->muted = pair->muted || silentMode == "open";
            this->update(pair);
            this->write(pair, pair->toServer);
            this->write(pair, pair->toClient);
        }
    }
};

namespace {

auto isOneOf(const Json &value, std::initializer_list<const char *> allowed) -> bool
{
    return std::any_of(allowed.begin(), allowed.end(), [&value](const char *text) {
        return value == text;
    });
}

auto checkChange(const Json &change) -> absl::Status
{
    if (!change.is_object()) {
        return absl::InvalidArgumentError("expected a JSON object");
    }
    for (const auto &[key, value] : change.items()) {
        const auto valid = ((key == "cut" || key == "refuse") && value.is_boolean()) || (key == "silent" && isOneOf(value, {"none", "oldest", "open", "all"}))
            || (key == "one_way" && isOneOf(value, {"both", "to_server", "to_client"})) || (key == "delay_ms" && impl::isNonNegativeInteger(value));
        if (!valid) {
            return absl::InvalidArgumentError(absl::StrCat(key, ": unknown key or value"));
        }
    }
    return absl::OkStatus();
}

} // namespace

Relay::Relay(std::uint16_t port, std::uint16_t targetPort, std::uint16_t controlPort)
    : state(std::make_unique<State>(this->thread.loop(), targetPort)),
      controlServer(std::make_unique<HttpServer>(
          this->thread.loop(), HttpServerOptions{.port = controlPort, .connectionCap = 0}, [this](const std::shared_ptr<Exchange> &exchange) {
              const auto &request = exchange->request();
              if (request.path == "/stats") {
                  const auto counts = Json{{"accepted", this->state->accepted}, {"open", this->state->pairs.size()}, {"bytes", this->state->bytesPassed}};
                  exchange->reply({.status = 200, .headers = {}, .body = counts.dump()});
                  return;
              }
              const auto wanted = Json::parse(request.body, nullptr, false);
              const auto status = checkChange(wanted);
              if (status.ok()) {
                  this->state->apply(wanted);
              }
              exchange->reply({.status = status.ok() ? 200U : 400U, .headers = {}, .body = absl::StrCat(status.message(), "\n")});
          }))
{
    this->thread.runAndWait([this, port] {
        this->state->listen(port);
    });
}

Relay::~Relay()
{
    this->controlServer.reset();
    this->thread.runAndWait([this] {
        this->state->stopListening();
        this->state->closeAll();
    });
}

auto Relay::port() const noexcept -> std::uint16_t
{
    return this->state->port;
}

auto Relay::controlPort() const noexcept -> std::uint16_t
{
    return this->controlServer->port();
}

auto Relay::change(const Json &change) -> absl::Status
{
    auto status = checkChange(change);
    if (status.ok()) {
        this->thread.runAndWait([this, &change] {
            this->state->apply(change);
        });
    }
    return status;
}

auto Relay::statistics() -> Json
{
    auto counts = Json();
    this->thread.runAndWait([this, &counts] {
        counts = Json{{"accepted", this->state->accepted}, {"open", this->state->pairs.size()}, {"bytes", this->state->bytesPassed}};
    });
    return counts;
}

} // namespace tamarackspan::testkit
