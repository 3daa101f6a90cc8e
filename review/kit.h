#pragma once

// Small stand-ins of the users' platform for the scripts of this review: store, leafs, clients and the balancer's part, on loopback addresses and the real
// clock. One thread for each connection, no libraries. Sound unless a case makes one of them faulty.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

/// Exit codes of a script.
constexpr auto ruleHeld = 0;
constexpr auto ruleBroken = 1;
constexpr auto couldNotRun = 2;

using Clock = std::chrono::steady_clock;
inline const auto startedAt = Clock::now();

/// Seconds since the start of the program.
inline auto now() -> double
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline auto sleepFor(double seconds) -> void
{
    if (seconds > 0.0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline auto sleepUntil(double at) -> void
{
    sleepFor(at - now());
}

/// Appends a line with the time to record.txt.
class Record
{
public:
    static auto open(const std::string &path) -> void
    {
        file() = std::fopen(path.c_str(), "w");
    }

    [[gnu::format(printf, 1, 2)]] static auto line(const char *format, ...) -> void
    {
        static auto mutex = std::mutex();
        const auto lock = std::lock_guard(mutex);
        for (auto *const out : {file(), stdout}) {
            if (out == nullptr) {
                continue;
            }
            std::fprintf(out, "%8.3f ", now());
            va_list arguments;
            va_start(arguments, format);
            std::vfprintf(out, format, arguments);
            va_end(arguments);
            std::fputc('\n', out);
            std::fflush(out);
        }
    }

private:
    static auto file() -> std::FILE *&
    {
        static std::FILE *value = nullptr;
        return value;
    }
};

inline auto lower(std::string text) -> std::string
{
    std::ranges::transform(text, text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return text;
}

/// One HTTP/1.1 message.
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] auto get(const std::string &name) const -> std::string
    {
        for (const auto &[key, value] : this->headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
};

/// One TCP connection, read message by message.
class Connection
{
public:
    explicit Connection(int fd)
        : fd(fd)
    {
        const auto on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection()
    {
        this->close();
    }
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    /// Reads one message; returns false if the connection ends, fails, or stays silent for too long.
    auto read(Message &message, double timeout) -> bool
    {
        const auto until = now() + timeout;
        auto end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(until)) {
                return false;
            }
        }
        auto head = std::istringstream(this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        message = {};
        auto line = std::string();
        std::getline(head, line);
        auto first = std::istringstream(line);
        auto version = std::string();
        if (line.starts_with("HTTP/")) {
            first >> version >> message.status;
        } else {
            first >> message.method >> message.target >> version;
        }
        while (std::getline(head, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                value.pop_back();
            }
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        const auto length = static_cast<std::size_t>(std::atoll(message.get("Content-Length").c_str()));
        while (this->buffer.size() < length) {
            if (!this->more(until)) {
                return false;
            }
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    auto write(const std::string &bytes) -> bool
    {
        auto done = std::size_t{0};
        while (done < bytes.size()) {
            const auto sent = ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (sent < 0 && errno == EINTR) {
                continue;
            }
            if (sent <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }

    /// Returns whether the peer has closed the connection or reset it.
    auto peerClosed() -> bool
    {
        auto letter = char{0};
        const auto got = ::recv(this->fd, &letter, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
    }

    auto shutdown() -> void
    {
        ::shutdown(this->fd, SHUT_RDWR);
    }

    auto close() -> void
    {
        if (this->fd >= 0) {
            ::close(std::exchange(this->fd, -1));
        }
    }

private:
    auto more(double until) -> bool
    {
        const auto left = static_cast<int>((until - now()) * 1000.0);
        auto waited = pollfd{.fd = this->fd, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&waited, 1, left) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto got = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (got <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    int fd;
    std::string buffer;
};

inline auto addressOf(const std::string &ip, std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Opens a connection; nullptr if it is refused.
inline auto connectTo(const std::string &ip, std::uint16_t port) -> std::unique_ptr<Connection>
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Connection>(fd);
}

/// Accepts connections and runs a handler for each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(std::string ip, Handler handler, std::uint16_t wanted = 0)
        : ip(std::move(ip)),
          handler(std::move(handler))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto on = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = addressOf(this->ip, wanted);
        auto size = socklen_t{sizeof(address)};
        if (::bind(this->fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->fd, 256) != 0
            || ::getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            std::perror("listen");
            std::exit(couldNotRun);
        }
        this->port = ntohs(address.sin_port);
        this->acceptor = std::thread([this] {
            this->acceptAll();
        });
    }
    ~Server()
    {
        this->stop();
    }

    /// Closes the listening socket and all connections, as a process that ends does.
    auto stop() -> void
    {
        if (this->stopping.exchange(true)) {
            return;
        }
        ::shutdown(this->fd, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->fd);
        auto all = std::vector<std::thread>();
        {
            const auto lock = std::lock_guard(this->mutex);
            for (const auto &connection : this->open) {
                connection->shutdown();
            }
            all = std::move(this->threads);
        }
        for (auto &thread : all) {
            thread.join();
        }
    }

    [[nodiscard]] auto isStopping() const -> bool
    {
        return this->stopping;
    }

    std::string ip;
    std::uint16_t port = 0;

private:
    auto acceptAll() -> void
    {
        while (!this->stopping) {
            const auto accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const auto lock = std::lock_guard(this->mutex);
            const auto connection = std::make_shared<Connection>(accepted);
            this->open.insert(connection);
            this->threads.emplace_back([this, connection] {
                this->handler(*connection);
                const auto guard = std::lock_guard(this->mutex);
                connection->shutdown();
                connection->close();
                this->open.erase(connection);
            });
        }
    }

    Handler handler;
    int fd = -1;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<std::shared_ptr<Connection>> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

inline auto base64(const std::string &text) -> std::string
{
    constexpr auto letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto out = std::string();
    for (auto at = std::size_t{0}; at < text.size(); at += 3) {
        auto bits = std::uint32_t{0};
        for (auto place = std::size_t{0}; place < 3; ++place) {
            bits = bits << 8 | (at + place < text.size() ? static_cast<unsigned char>(text[at + place]) : 0U);
        }
        for (auto place = std::size_t{0}; place < 4; ++place) {
            out += at + place <= text.size() ? letters[bits >> (18 - 6 * place) & 63U] : '=';
        }
    }
    return out;
}

/// The platform's store, as PROTOCOL.md describes it.
class Store
{
public:
    Store()
        : server("127.0.0.1", [this](Connection &connection) {
              this->serve(connection, true);
          })
    {
    }
    ~Store()
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            this->ending = true;
        }
        this->changed.notify_all();
        this->server.stop();
        this->second.reset();
    }

    /// Writes a value, or removes the key; returns once the store has accepted the change.
    auto write(const std::string &key, std::optional<std::string> value) -> void
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            this->events.push_back({.key = key, .value = std::move(value), .revision = ++this->revision, .at = now()});
        }
        this->changed.notify_all();
    }

    /// Answers at one more address, and returns it.
    auto addAddress() -> std::string
    {
        this->second = std::make_unique<Server>("127.0.0.1", [this](Connection &connection) {
            this->serve(connection, false);
        });
        return this->second->ip + ":" + std::to_string(this->second->port);
    }

    /// Stops answering at the first address.
    auto closeFirstAddress() -> void
    {
        this->firstClosed = true;
        this->changed.notify_all();
        this->server.stop();
    }

    /// From now on nothing comes back on the connections that are open; new ones work.
    auto silenceOpenConnections() -> void
    {
        ++this->silenced;
    }

    /// How old the answers to reads with stale_ok=1 are, in seconds.
    std::atomic<double> staleness = 0.0;

    [[nodiscard]] auto address() const -> std::string
    {
        return this->server.ip + ":" + std::to_string(this->server.port);
    }

private:
    struct Event
    {
        std::string key;
        std::optional<std::string> value;
        std::uint64_t revision;
        double at;
    };

    static auto argument(const std::string &target, const std::string &name) -> std::string
    {
        const auto query = "&" + target.substr(std::min(target.find('?') + 1, target.size()));
        const auto at = query.find("&" + name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto begin = at + name.size() + 2;
        const auto encoded = query.substr(begin, query.find('&', begin) - begin);
        auto text = std::string();
        for (auto place = std::size_t{0}; place < encoded.size(); ++place) {
            if (encoded[place] == '%' && place + 2 < encoded.size()) {
                text += static_cast<char>(std::stoi(encoded.substr(place + 1, 2), nullptr, 16));
                place += 2;
            } else {
                text += encoded[place];
            }
        }
        return text;
    }

    /// The revision that a read sees; the lock is held.
    auto seenRevision(bool stale) const -> std::uint64_t
    {
        if (!stale || this->staleness <= 0.0) {
            return this->revision;
        }
        auto seen = std::uint64_t{1};
        for (const auto &event : this->events) {
            if (event.at <= now() - this->staleness) {
                seen = event.revision;
            }
        }
        return seen;
    }

    static auto itemJson(const Event &event) -> std::string
    {
        const auto number = std::to_string(event.revision);
        return R"({"key":")" + event.key + R"(","value":")" + base64(*event.value) + R"(","revision":)" + number + R"(,"created":)" + number + R"(,"lease":0)";
    }

    auto itemsAt(std::uint64_t seen, const std::string &prefix) const -> std::map<std::string, Event>
    {
        auto items = std::map<std::string, Event>();
        for (const auto &event : this->events) {
            if (event.revision > seen || !event.key.starts_with(prefix)) {
                continue;
            }
            if (event.value.has_value()) {
                items.insert_or_assign(event.key, event);
            } else {
                items.erase(event.key);
            }
        }
        return items;
    }

    /// The events after a revision, as JSON; empty if there is none. The lock is held.
    auto eventsJson(std::uint64_t after, std::uint64_t seen, const std::string &prefix) const -> std::string
    {
        auto text = std::string();
        for (const auto &event : this->events) {
            if (event.revision <= after || event.revision > seen || !event.key.starts_with(prefix)) {
                continue;
            }
            text += text.empty() ? "" : ",";
            text += event.value.has_value() ? itemJson(event) + "}"
                                            : R"({"key":")" + event.key + R"(","revision":)" + std::to_string(event.revision) + R"(,"removed":true})";
        }
        return text;
    }

    auto answer(const std::string &target, bool atFirst) -> std::pair<int, std::string>
    {
        auto lock = std::unique_lock(this->mutex);
        const auto stale = argument(target, "stale_ok") == "1";
        const auto prefix = argument(target, "prefix");
        if (target.starts_with("/kv-key")) {
            const auto key = argument(target, "key");
            const auto seen = this->seenRevision(stale);
            const auto items = this->itemsAt(seen, key);
            const auto found = items.find(key);
            if (found == items.end()) {
                return {404, "{}"};
            }
            return {200, itemJson(found->second) + R"(,"as_of":)" + std::to_string(seen) + "}"};
        }
        if (target.starts_with("/kv-range")) {
            const auto seen = this->seenRevision(stale);
            const auto after = argument(target, "after");
            auto text = std::string();
            for (const auto &[key, event] : this->itemsAt(seen, prefix)) {
                if (key > after) {
                    text += (text.empty() ? "" : ",") + itemJson(event) + "}";
                }
            }
            return {200, R"({"items":[)" + text + R"(],"truncated":false,"as_of":)" + std::to_string(seen) + "}"};
        }
        const auto after = std::strtoull(argument(target, "after").c_str(), nullptr, 10);
        const auto until = Clock::now() + std::chrono::milliseconds(std::atoi(argument(target, "wait_ms").c_str()));
        auto seen = this->seenRevision(stale);
        auto text = this->eventsJson(after, seen, prefix);
        while (text.empty() && !this->ending && !(atFirst && this->firstClosed) && Clock::now() < until) {
            this->changed.wait_until(lock, until);
            seen = this->seenRevision(stale);
            text = this->eventsJson(after, seen, prefix);
        }
        return {200, R"({"events":[)" + text + R"(],"as_of":)" + std::to_string(seen) + "}"};
    }

    auto serve(Connection &connection, bool atFirst) -> void
    {
        const auto opened = this->silenced.load();
        auto request = Message();
        while (connection.read(request, 3600.0)) {
            const auto [status, body] = this->answer(request.target, atFirst);
            if (atFirst && this->firstClosed) {
                return;
            }
            if (opened != this->silenced) {
                continue;
            }
            if (!connection.write("HTTP/1.1 " + std::to_string(status)
                                  + " OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    std::atomic<int> silenced = 0;
    std::atomic<bool> firstClosed = false;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Event> events;
    std::uint64_t revision = 100;
    bool ending = false;
    std::unique_ptr<Server> second;
    Server server;
};

/// One leaf: answers requests, and reports itself to the store every 1.2 seconds.
class Leaf
{
public:
    using Handler = std::function<void(Leaf &, Connection &)>;

    Leaf(Store &store, std::string id, std::string service, std::string zone, std::uint32_t slots, Handler handler, std::int64_t born = 0,
         std::uint16_t port = 0)
        : store(store),
          id(std::move(id)),
          service(std::move(service)),
          zone(std::move(zone)),
          slots(slots),
          born(born != 0 ? born : std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()),
          server(
              "127.0.0.1",
              [this, handler = std::move(handler)](Connection &connection) {
                  handler(*this, connection);
              },
              port)
    {
        this->report();
        this->reporter = std::thread([this] {
            auto lock = std::unique_lock(this->mutex);
            while (!this->wake.wait_for(lock, std::chrono::milliseconds(1200), [this] {
                return this->ending;
            })) {
                lock.unlock();
                this->report();
                lock.lock();
            }
        });
    }
    ~Leaf()
    {
        this->end(false);
    }

    /// Reports that it is draining; returns once the store has accepted that.
    auto drain() -> void
    {
        this->draining = true;
        this->report();
    }

    /// Ends the process: its connections close. With `removed`, its entry goes as well.
    auto end(bool removed) -> void
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            this->ending = true;
        }
        this->wake.notify_all();
        if (this->reporter.joinable()) {
            this->reporter.join();
        }
        this->server.stop();
        if (removed) {
            this->store.write("servers/" + this->id, std::nullopt);
        }
    }

    [[nodiscard]] auto isDraining() const -> bool
    {
        return this->draining;
    }

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return this->server.port;
    }

    [[nodiscard]] auto ended() const -> bool
    {
        return this->server.isStopping();
    }

    Store &store;
    const std::string id;
    const std::string service;
    const std::string zone;
    const std::uint32_t slots;
    const std::int64_t born;

private:
    auto report() -> void
    {
        const auto lock = std::lock_guard(this->reporting);
        this->store.write("servers/" + this->id,
                          R"({"service":")" + this->service + R"(","address":")" + this->server.ip + ":" + std::to_string(this->server.port) + R"(","zone":")"
                              + this->zone + R"(","version":"v1","slots":)" + std::to_string(this->slots) + R"(,"state":")"
                              + (this->draining ? "draining" : "ready") + R"(","warmup_left_ms":0,"seq":)" + std::to_string(++this->sequence) + R"(,"born":)"
                              + std::to_string(this->born) + "}");
    }

    std::mutex reporting;
    std::atomic<bool> draining = false;
    std::uint64_t sequence = 0;
    std::mutex mutex;
    std::condition_variable wake;
    bool ending = false;
    Server server;
    std::thread reporter;
};

/// One route of a configuration, to a service or to shards.
struct Route
{
    std::string prefix;
    bool idempotent = true;
    std::string service;
    std::vector<std::string> shards{};
    int timeoutMs = 10000;
    int aimMs = 600;
    int attempts = 2;
    double least = 0.75;
};

inline auto configuration(int version, const std::vector<Route> &routes, int maxConnections = 40, int maxBodyBytes = 262144) -> std::string
{
    auto text = std::string();
    auto services = std::set<std::string>();
    for (const auto &route : routes) {
        text += (text.empty() ? "" : ",") + std::string(R"({"name":"r)") + route.prefix + R"(","host":"h.example","prefix":")" + route.prefix
            + R"(","route_type":")" + (route.idempotent ? "idempotent" : "non_idempotent") + R"(","timeout_ms":)" + std::to_string(route.timeoutMs)
            + R"(,"target_latency_ms":)" + std::to_string(route.aimMs) + R"(,"priority":1,"attempts":)" + std::to_string(route.attempts);
        if (route.shards.empty()) {
            text += R"(,"service":")" + route.service + "\"}";
            services.insert(route.service);
            continue;
        }
        auto names = std::string();
        for (const auto &shard : route.shards) {
            names += (names.empty() ? "\"" : ",\"") + shard + "\"";
            services.insert(shard);
        }
        text += R"(,"fanout":[)" + names + R"(],"top_k":20,"min_shard_share":)" + std::to_string(route.least) + "}";
    }
    auto listed = std::string();
    for (const auto &service : services) {
        listed += (listed.empty() ? "" : ",") + std::string(R"({"name":")") + service + R"(","health_path":"/health","max_conns":)"
            + std::to_string(maxConnections) + R"(,"protocol":"h1","tls":false})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + text + R"(],"services":[)" + listed
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":)" + std::to_string(maxBodyBytes) + R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// Ports that are the same on all hosts of a case.
struct Ports
{
    std::uint16_t first = 0;

    [[nodiscard]] auto front() const -> std::uint16_t
    {
        return static_cast<std::uint16_t>(this->first + 20);
    }
    [[nodiscard]] auto ready() const -> std::uint16_t
    {
        return static_cast<std::uint16_t>(this->first + 21);
    }
};

inline auto isFree(const std::string &ip, std::uint16_t port, int type) -> bool
{
    const auto fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    const auto bound = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(fd);
    return bound;
}

inline auto freePorts(std::size_t hosts) -> Ports
{
    auto random = std::random_device();
    for (auto tries = 0; tries < 200; ++tries) {
        const auto first = static_cast<std::uint16_t>(12000 + random() % 18000);
        auto free = true;
        for (auto host = std::size_t{1}; host <= hosts && free; ++host) {
            for (auto port = first; port < first + 24 && free; ++port) {
                free = isFree("127.0.1." + std::to_string(host), port, SOCK_STREAM) && isFree("127.0.1." + std::to_string(host), port, SOCK_DGRAM);
            }
        }
        if (free) {
            return {.first = first};
        }
    }
    std::exit(couldNotRun);
}

/// What differs between hosts, and the bounds of the deployment.
struct HostOptions
{
    std::string zone = "pnw-seattle";
    double cpuShare = 0.25;
    int memoryMb = 260;
    std::string store;
    int seeds = 1;
};

/// A host: the program of the deploy file, started as DEPLOY.md says.
class Host
{
public:
    Host(std::string root, std::string folder, std::size_t number, Ports ports, const HostOptions &options)
        : root(std::move(root)),
          folder(std::move(folder)),
          ip("127.0.1." + std::to_string(number)),
          ports(ports),
          name("front-" + std::to_string(number))
    {
        this->writeSettings(options);
        this->start();
    }
    ~Host()
    {
        this->kill(SIGKILL);
        this->wait(5.0);
    }

    /// Places the settings file at its location, as the platform does whenever the settings change.
    auto writeSettings(const HostOptions &options) -> void
    {
        auto file = std::ofstream(this->settings() + ".new");
        auto seeds = std::string();
        for (auto seed = 1; seed <= options.seeds; ++seed) {
            seeds += (seeds.empty() ? "\"" : ",\"") + std::string("127.0.1.") + std::to_string(seed) + ":" + std::to_string(this->ports.first + 22) + "\"";
        }
        file << "node_name = \"" << this->name << "\"\nrole = \"host\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\nip = \"" << this->ip
             << "\"\nzone = \"" << options.zone << "\"\nregion = \"pnw\"\ninternal_ports = [" << this->ports.first << "," << this->ports.first + 15
             << "]\nseeds = [" << seeds << "]\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
             << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"]\n[zones]\n"
             << options.zone << " = \"pnw\"\n[listen]\nfront = \"" << this->ip << ":" << this->ports.front() << "\"\nready_addr = \"" << this->ip << ":"
             << this->ports.ready() << "\"\ncontrol = \"" << this->ip << ":" << this->ports.first + 22 << "\"\n[limits]\ncpu_share = " << options.cpuShare
             << "\ncores = 1\nmemory_mb = " << options.memoryMb << "\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
             << "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 4000\nack_ms = 5000\n"
             << "catch_up_s = 4\ndrain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nback_ms = 250\nmax_skew_ms = 12000\n"
             << "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 52\nrecovery_s = 12\n[platform]\naddress = \"" << options.store
             << "\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n";
        file.close();
        std::filesystem::rename(this->settings() + ".new", this->settings());
    }

    auto start() -> void
    {
        this->child = ::fork();
        if (this->child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto log = ::open((this->folder + "/" + this->name + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("TAMARACKSPAN_CONFIG", this->settings().c_str(), 1);
            if (::chdir(this->root.c_str()) == 0) {
                // The command of deploy/system.toml.
                ::execl("target/platform/tamarackspan-host", "target/platform/tamarackspan-host", static_cast<char *>(nullptr));
            }
            ::_exit(127);
        }
    }

    auto kill(int signal) -> void
    {
        if (this->child > 0) {
            ::kill(this->child, signal);
        }
    }

    /// Waits until the process has ended; returns whether it has.
    auto wait(double timeout) -> bool
    {
        const auto until = now() + timeout;
        while (this->child > 0) {
            auto status = 0;
            if (::waitpid(this->child, &status, WNOHANG) == this->child) {
                this->child = -1;
                return true;
            }
            if (now() >= until) {
                return false;
            }
            sleepFor(0.01);
        }
        return true;
    }

    /// One question of the balancer: the status, or 0.
    [[nodiscard]] auto askReady() const -> int
    {
        const auto connection = connectTo(this->ip, this->ports.ready());
        auto answer = Message();
        if (connection == nullptr || !connection->write("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") || !connection->read(answer, 1.0)) {
            return 0;
        }
        return answer.status;
    }

    [[nodiscard]] auto waitReady(double timeout) const -> bool
    {
        const auto until = now() + timeout;
        while (now() < until) {
            if (this->askReady() == 200) {
                return true;
            }
            sleepFor(0.05);
        }
        return false;
    }

    const std::string root;
    const std::string folder;
    const std::string ip;
    const Ports ports;
    const std::string name;

private:
    [[nodiscard]] auto settings() const -> std::string
    {
        return this->folder + "/" + this->name + ".toml";
    }

    pid_t child = -1;
};

/// The bytes of a client's request.
inline auto requestBytes(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body = {}) -> std::string
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// A leaf's answer to a request, as `fleetbench wire` prints it, with the request's id echoed.
inline auto answerBytes(int status, const std::string &id, const std::string &stamp, const std::string &body, const std::string &more = {}) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + (id.empty() ? "" : "Request-Id: " + id + "\r\n")
        + (stamp.empty() ? "" : "Server-Stamp: " + stamp + "\r\n") + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The surroundings of one run: folder of the case, repository, temporary folder, and whether the disruption is on.
struct Run
{
    std::string caseFolder;
    std::string root;
    std::string temporary;
    bool trouble = true;

    static auto begin(int argc, char **argv) -> Run
    {
        ::signal(SIGPIPE, SIG_IGN);
        if (argc != 2) {
            std::fprintf(stderr, "usage: %s FOLDER-OF-THE-CASE\n", argv[0]);
            std::exit(couldNotRun);
        }
        auto run = Run();
        run.caseFolder = std::filesystem::absolute(argv[1]).lexically_normal().string();
        run.root = (std::filesystem::path(run.caseFolder) / ".." / "..").lexically_normal().string();
        const auto *const trouble = std::getenv("TROUBLE");
        run.trouble = trouble == nullptr || std::string(trouble) != "0";
        char name[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(name) == nullptr) {
            std::exit(couldNotRun);
        }
        run.temporary = name;
        Record::open(run.caseFolder + "/record.txt");
        Record::line("disruption: %s", run.trouble ? "on" : "off");
        return run;
    }

    ~Run()
    {
        if (!this->temporary.empty() && std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(this->temporary);
        }
    }
};

} // namespace kit
