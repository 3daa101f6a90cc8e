// Stand-ins for the scripts of the second review: the platform's store, leafs, clients, and hosts as separate processes. POSIX and the standard library only.
#pragma once

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
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point began = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - began).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes what was sent, answered and run, with the time since the start, to record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        std::fclose(this->file);
    }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const auto lock = std::lock_guard(this->mutex);
        std::fprintf(this->file, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE *file;
};

// ---- sockets

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Options of a listening socket, inherited by its connections: a link's segment size and a small window, as the pages describe links. 0: the system's own.
struct LinkLike
{
    int segment = 0;
    int window = 0;
};

/// Listens on a loopback address; port 0 lets the system choose. Returns the socket and the port, or -1.
inline std::pair<int, int> listenOn(const std::string &ip, int port = 0, LinkLike link = {})
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (link.segment > 0) {
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &link.segment, sizeof(link.segment));
    }
    if (link.window > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &link.window, sizeof(link.window));
    }
    auto address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return {-1, 0};
    }
    auto size = socklen_t{sizeof(address)};
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return {fd, ntohs(address.sin_port)};
}

inline int connectTo(const std::string &ip, int port)
{
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    const auto on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool writeAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Waits until a socket can be read. Returns false at the deadline (seconds since the start) or once `stop` is set.
inline bool waitReadable(int fd, double until, const std::atomic<bool> *stop = nullptr)
{
    while (now() < until && (stop == nullptr || !*stop)) {
        auto entry = pollfd{.fd = fd, .events = POLLIN, .revents = 0};
        const auto left = static_cast<int>((until - now()) * 1000) + 1;
        if (::poll(&entry, 1, std::min(left, 20)) > 0) {
            return true;
        }
    }
    return false;
}

// ---- HTTP

struct Message
{
    std::string first{};
    std::map<std::string, std::string> fields{}; // by lower-case name
    std::string body{};
    std::string field(const std::string &name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }
    int status() const
    {
        return this->first.size() > 11 ? std::atoi(this->first.c_str() + 9) : 0;
    }
    std::string target() const
    {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
};

inline Message parseHead(const std::string &head)
{
    auto message = Message();
    auto at = head.find("\r\n");
    message.first = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const auto begin = at + 2;
        at = head.find("\r\n", begin);
        const auto line = head.substr(begin, at == std::string::npos ? at : at - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        for (auto &letter : name) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.fields[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    return message;
}

/// Reads messages from one connection.
struct Reader
{
    int fd;
    std::string buffered{};
    /// Whether the last read found a reset instead of an orderly end.
    bool reset = false;

    bool more(double until, const std::atomic<bool> *stop = nullptr)
    {
        if (!waitReadable(this->fd, until, stop)) {
            return false;
        }
        char bytes[16384];
        const auto got = ::recv(this->fd, bytes, sizeof(bytes), 0);
        this->reset = got < 0;
        if (got <= 0) {
            return false;
        }
        this->buffered.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    /// Reads the first line and the header fields of a message.
    bool head(Message &message, double until, const std::atomic<bool> *stop = nullptr)
    {
        for (;;) {
            if (const auto end = this->buffered.find("\r\n\r\n"); end != std::string::npos) {
                message = parseHead(this->buffered.substr(0, end));
                this->buffered.erase(0, end + 4);
                return true;
            }
            if (!this->more(until, stop)) {
                return false;
            }
        }
    }
    bool body(Message &message, std::size_t size, double until, const std::atomic<bool> *stop = nullptr)
    {
        while (this->buffered.size() < size) {
            if (!this->more(until, stop)) {
                return false;
            }
        }
        message.body = this->buffered.substr(0, size);
        this->buffered.erase(0, size);
        return true;
    }
};

/// What a client received.
struct Answer
{
    /// 0: the connection ended, or the time was up, before the end of an answer.
    int status = 0;
    Message message{};
    double took = 0.0;
    bool timedOut = false;
};

/// Sends one request on a new connection and reads its answer, up to `seconds`.
inline Answer ask(const std::string &ip, int port, const std::string &method, const std::string &target, const std::string &id, int deadlineMs,
                  const std::string &body = {}, double seconds = 30.0)
{
    const auto start = now();
    auto answer = Answer();
    const auto fd = connectTo(ip, port);
    if (fd < 0) {
        return answer;
    }
    auto text = method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    auto reader = Reader{.fd = fd};
    const auto until = start + seconds;
    auto sender = std::thread([&] {
        writeAll(fd, text + "\r\n" + body);
    });
    if (reader.head(answer.message, until)) {
        const auto length = static_cast<std::size_t>(std::atoll(answer.message.field("content-length").c_str()));
        if (reader.body(answer.message, length, until)) {
            answer.status = answer.message.status();
        }
    }
    answer.timedOut = answer.status == 0 && now() >= until;
    answer.took = now() - start;
    ::shutdown(fd, SHUT_RDWR);
    sender.join();
    ::close(fd);
    return answer;
}

// ---- servers

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Serve = std::function<void(int fd, const std::atomic<bool> &stop)>;

    Server(const std::string &ip, Serve serve, int port = 0, LinkLike link = {})
        : serve(std::move(serve))
    {
        std::tie(this->listener, this->boundPort) = listenOn(ip, port, link);
        this->acceptor = std::thread([this] {
            while (!this->stop) {
                if (!waitReadable(this->listener, now() + 1.0, &this->stop)) {
                    continue;
                }
                const auto fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    continue;
                }
                const auto on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                const auto lock = std::lock_guard(this->mutex);
                this->threads.emplace_back([this, fd] {
                    this->serve(fd, this->stop);
                    ::close(fd);
                });
            }
        });
    }
    ~Server()
    {
        this->end();
    }
    void end()
    {
        if (this->stop.exchange(true)) {
            return;
        }
        this->acceptor.join();
        ::close(this->listener);
        for (auto &thread : this->threads) {
            thread.join();
        }
    }
    int port() const
    {
        return this->boundPort;
    }

private:
    Serve serve;
    int listener = -1;
    int boundPort = 0;
    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// A relay in front of a server. Its mode holds for open connections and for new ones.
class Relay
{
public:
    enum Mode {
        Pass,
        /// Nothing passes in either direction and nothing is reset, as behind a partition.
        Silent,
        /// Connections are reset.
        Reset,
    };

    Relay(const std::string &ip, int target, int port = 0)
        : target(target),
          server(
              ip,
              [this](int fd, const std::atomic<bool> &stop) {
                  this->pump(fd, stop);
              },
              port)
    {
    }
    std::atomic<int> mode = Pass;
    int port() const
    {
        return this->server.port();
    }

private:
    static void resetOnClose(int fd)
    {
        const auto option = linger{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }
    void pump(int fd, const std::atomic<bool> &stop)
    {
        const auto other = connectTo("127.0.0.1", this->target);
        auto silenced = false;
        while (!stop && other >= 0) {
            silenced = silenced || this->mode == Silent;
            if (this->mode == Reset) {
                resetOnClose(fd);
                break;
            }
            if (silenced) {
                // A connection that was open during the partition stays silent until it has ended.
                if (this->mode == Pass) {
                    resetOnClose(fd);
                    break;
                }
                sleepMs(5);
                continue;
            }
            pollfd entries[2] = {{.fd = fd, .events = POLLIN, .revents = 0}, {.fd = other, .events = POLLIN, .revents = 0}};
            if (::poll(entries, 2, 5) <= 0 || this->mode != Pass) {
                continue;
            }
            auto ended = false;
            for (auto at = 0; at < 2; ++at) {
                if (entries[at].revents == 0) {
                    continue;
                }
                char bytes[16384];
                const auto got = ::recv(entries[at].fd, bytes, sizeof(bytes), 0);
                ended = ended || got <= 0 || !writeAll(entries[1 - at].fd, std::string_view(bytes, static_cast<std::size_t>(std::max<ssize_t>(got, 0))));
            }
            if (ended) {
                break;
            }
        }
        if (other >= 0) {
            ::close(other);
        }
    }

    int target;
    Server server;
};

inline std::string base64(const std::string &bytes)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto text = std::string();
    for (auto at = std::size_t{0}; at < bytes.size(); at += 3) {
        auto group = std::uint32_t{0};
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (auto byte = std::size_t{0}; byte < 3; ++byte) {
            group = group << 8 | (byte < count ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (auto letter = std::size_t{0}; letter < 4; ++letter) {
            text += letter <= count ? letters[group >> (18 - 6 * letter) & 63U] : '=';
        }
    }
    return text;
}

/// The platform's store: kv-key, kv-range and kv-watch over items that the operator and the leafs write. Answers are linearizable; cheap reads are current too.
class Store
{
public:
    explicit Store(const std::string &ip = "127.0.0.1")
        : server(ip, [this](int fd, const std::atomic<bool> &stop) {
              this->serve(fd, stop);
          })
    {
    }
    int port() const
    {
        return this->server.port();
    }
    /// Writes an item. Returns when the store has accepted it, which is its acknowledgement.
    double put(const std::string &key, const std::string &value)
    {
        const auto lock = std::lock_guard(this->mutex);
        auto &item = this->items[key];
        item.value = base64(value);
        item.revision = ++this->revision;
        item.created = item.created == 0 ? item.revision : item.created;
        this->events.push_back({.key = key, .item = item, .removed = false});
        this->changed.notify_all();
        return now();
    }
    double remove(const std::string &key)
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->items.erase(key) > 0) {
            this->events.push_back({.key = key, .item = {.value = {}, .revision = ++this->revision, .created = 0}, .removed = true});
            this->changed.notify_all();
        }
        return now();
    }

private:
    struct Item
    {
        std::string value{};
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event
    {
        std::string key;
        Item item;
        bool removed;
    };

    static std::string decoded(const std::string &text)
    {
        auto plain = std::string();
        for (auto at = std::size_t{0}; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                plain += text[at];
            }
        }
        return plain;
    }
    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        auto query = std::map<std::string, std::string>();
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const auto equals = part.find('=');
            query[part.substr(0, equals)] = equals == std::string::npos ? std::string() : decoded(part.substr(equals + 1));
            at = end;
        }
        return query;
    }
    static std::string itemJson(const std::string &key, const Item &item)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":" + std::to_string(item.revision)
            + ",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
    }
    std::string range(const std::string &prefix, const std::string &after)
    {
        constexpr auto pageItems = 500;
        const auto lock = std::lock_guard(this->mutex);
        auto list = std::string();
        auto count = 0;
        auto truncated = false;
        for (const auto &[key, item] : this->items) {
            if (key.rfind(prefix, 0) != 0 || key <= after) {
                continue;
            }
            if (count++ == pageItems) {
                truncated = true;
                break;
            }
            list += (list.empty() ? "" : ",") + itemJson(key, item);
        }
        return "{\"items\":[" + list + "],\"truncated\":" + (truncated ? "true" : "false") + ",\"as_of\":" + std::to_string(this->revision) + "}";
    }
    std::string watch(const std::string &prefix, std::uint64_t after, int waitMs, const std::atomic<bool> &stop)
    {
        const auto until = now() + waitMs / 1000.0;
        auto lock = std::unique_lock(this->mutex);
        for (;;) {
            auto list = std::string();
            for (const auto &event : this->events) {
                if (event.item.revision <= after || event.key.rfind(prefix, 0) != 0) {
                    continue;
                }
                list += list.empty() ? "" : ",";
                list += event.removed ? "{\"key\":\"" + event.key + "\",\"revision\":" + std::to_string(event.item.revision) + ",\"removed\":true}"
                                      : itemJson(event.key, event.item);
            }
            if (!list.empty() || now() >= until || stop) {
                return "{\"events\":[" + list + "],\"as_of\":" + std::to_string(this->revision) + "}";
            }
            this->changed.wait_for(lock, std::chrono::milliseconds(20));
        }
    }
    void serve(int fd, const std::atomic<bool> &stop)
    {
        auto reader = Reader{.fd = fd};
        auto message = Message();
        while (reader.head(message, now() + 300.0, &stop)) {
            const auto target = message.target();
            auto query = queryOf(target);
            auto body = std::string();
            if (target.rfind("/kv-range", 0) == 0) {
                body = this->range(query["prefix"], query["after"]);
            } else if (target.rfind("/kv-watch", 0) == 0) {
                body = this->watch(query["prefix"], std::strtoull(query["after"].c_str(), nullptr, 10), std::atoi(query["wait_ms"].c_str()), stop);
            } else {
                writeAll(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!writeAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::uint64_t revision = 10;
    Server server;
};

/// A leaf: registers itself in the store and serves requests with a function of the test's.
class Leaf
{
public:
    /// Called for each request once its head was read; reads the body itself. The connection ends when it returns false.
    using Handler = std::function<bool(Reader &reader, Message &request, const std::atomic<bool> &stop)>;

    Leaf(Store &store, std::string id, std::string service, std::string zone, Handler handler, LinkLike link = {})
        : store(store),
          id(std::move(id)),
          service(std::move(service)),
          zone(std::move(zone)),
          born(static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())),
          server(
              "127.0.0.1",
              [handler](int fd, const std::atomic<bool> &stop) {
                  auto reader = Reader{.fd = fd};
                  auto request = Message();
                  while (reader.head(request, now() + 300.0, &stop)) {
                      if (!handler(reader, request, stop)) {
                          return;
                      }
                  }
              },
              0, link)
    {
        this->report();
        this->reporter = std::thread([this] {
            auto next = now() + heartbeat;
            while (!this->stop) {
                sleepMs(20);
                if (now() >= next && this->reports) {
                    this->report();
                    next += heartbeat;
                }
            }
        });
    }
    ~Leaf()
    {
        this->stop = true;
        this->reporter.join();
    }
    /// Writes the entry with a new state. Returns when the store has accepted it.
    double setState(const std::string &next)
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            this->state = next;
        }
        return this->report();
    }
    /// Whether the entry is written regularly.
    std::atomic<bool> reports = true;
    int port() const
    {
        return this->server.port();
    }

private:
    static constexpr auto heartbeat = 1.2;

    double report()
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->store.put("servers/" + this->id,
                               "{\"service\":\"" + this->service + "\",\"address\":\"127.0.0.1:" + std::to_string(this->server.port()) + "\",\"zone\":\""
                                   + this->zone + "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" + this->state
                                   + "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(++this->sequence) + ",\"born\":" + std::to_string(this->born) + "}");
    }

    Store &store;
    std::string id;
    std::string service;
    std::string zone;
    std::string state = "ready";
    std::int64_t born;
    std::uint64_t sequence = 0;
    std::mutex mutex;
    std::atomic<bool> stop = false;
    Server server;
    std::thread reporter;
};

// ---- hosts

/// Finds ports that are free on all the given addresses, for TCP and UDP.
inline int freePorts(const std::vector<std::string> &ips, int count)
{
    for (auto base = 20000 + ::getpid() * 37 % 9000;; base = base + 41 > 31000 ? 20000 : base + 41) {
        auto free = true;
        for (const auto &ip : ips) {
            for (auto port = base; free && port < base + count; ++port) {
                const auto [fd, bound] = listenOn(ip, port);
                free = fd >= 0;
                if (free) {
                    ::close(fd);
                    const auto udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
                    auto address = addressOf(ip, port);
                    free = ::bind(udp, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
                    ::close(udp);
                }
            }
        }
        if (free) {
            return base;
        }
    }
}

/// The ports of each host, from the first one on: internal ones, for clients, for the readiness check.
constexpr auto internalPorts = 4;
constexpr auto frontPort = 4;
constexpr auto readyPort = 5;
constexpr auto portsOfHost = 6;

/// The bounds of a deployment that its settings state.
struct Bounds
{
    int contactMs = 4000;
    int ackMs = 5000;
    int catchUpS = 4;
    int drainMs = 3000;
    int configApplyMs = 3000;
    int maxSkewMs = 12000;
    int retrySlack = 56;
    int recoveryS = 12;
};

struct HostOptions
{
    std::string name;
    std::string ip;
    std::string zone;
    int firstPort;
    std::string store;
    double cpuShare = 0.25;
    std::vector<std::string> seeds{};
    int memoryMb = 260;
    /// By default those of kolkhida-span.
    Bounds bounds{};
};

/// One host of the system, started with the command of the deploy file.
class Host
{
public:
    Host(HostOptions options, std::string folder)
        : options(std::move(options)),
          folder(std::move(folder))
    {
        std::filesystem::create_directories(this->folder);
        this->writeSettings();
        this->start();
    }
    ~Host()
    {
        this->end(SIGKILL);
    }
    void writeSettings() const
    {
        const auto path = this->folder + "/settings.toml";
        auto *const file = std::fopen(path.c_str(), "w");
        const auto &o = this->options;
        auto seeds = std::string();
        for (const auto &seed : o.seeds) {
            seeds += (seeds.empty() ? "\"" : ",\"") + seed + ":" + std::to_string(o.firstPort + readyPort) + "\"";
        }
        std::fprintf(file,
                     "node_name = \"%s\"\nrole = \"host\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\nip = \"%s\"\nzone = \"%s\"\n"
                     "region = \"imereti\"\ninternal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"platform\"\n"
                     "entry = \"vip\"\nheartbeat_ms = 1200\n[zones]\nzone-a = \"imereti\"\nzone-b = \"imereti\"\n",
                     o.name.c_str(), o.ip.c_str(), o.zone.c_str(), o.firstPort, o.firstPort + internalPorts - 1, seeds.c_str());
        std::fprintf(file,
                     "[listen]\nfront = \"%s:%d\"\nready_addr = \"%s:%d\"\n[limits]\ncpu_share = %g\ncores = 1\nmemory_mb = %d\nmax_fds = 4100\n"
                     "link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n",
                     o.ip.c_str(), o.firstPort + frontPort, o.ip.c_str(), o.firstPort + readyPort, o.cpuShare, o.memoryMb);
        const auto &bounds = o.bounds;
        std::fprintf(file,
                     "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = %d\nack_ms = %d\ncatch_up_s = %d\ndrain_ms = %d\ngrace_s = 6\n"
                     "loss_slack_ms = 200\nconfig_apply_ms = %d\nback_ms = 250\nmax_skew_ms = %d\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = %d\n"
                     "recovery_s = %d\n",
                     bounds.contactMs, bounds.ackMs, bounds.catchUpS, bounds.drainMs, bounds.configApplyMs, bounds.maxSkewMs, bounds.retrySlack,
                     bounds.recoveryS);
        std::fprintf(file,
                     "[platform]\naddress = \"%s\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
                     "min_ttl_ms = 1000\n",
                     o.store.c_str());
        std::fclose(file);
    }
    void start()
    {
        const auto settings = "TAMARACKSPAN_CONFIG=" + this->folder + "/settings.toml";
        const auto log = this->folder + "/log.txt";
        this->pid = ::fork();
        if (this->pid == 0) {
            // The host ends with this program, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            const char *const program = "target/platform/tamarackspan-host";
            const char *const arguments[] = {program, nullptr};
            const char *const environment[] = {"PATH=/usr/bin:/bin", settings.c_str(), nullptr};
            ::execve(program, const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
            ::_exit(127);
        }
    }
    /// Waits until the host says that it is ready.
    bool waitReady(double seconds) const
    {
        const auto until = now() + seconds;
        while (now() < until) {
            if (this->ready()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }
    bool ready() const
    {
        return ask(this->options.ip, this->options.firstPort + readyPort, "GET", "/ready", "ready", 1000, {}, 1.0).status == 200;
    }
    Answer ask(const std::string &method, const std::string &target, const std::string &id, int deadlineMs, const std::string &body = {},
               double seconds = 30.0) const
    {
        return this->ask(this->options.ip, this->front(), method, target, id, deadlineMs, body, seconds);
    }
    void signal(int number) const
    {
        ::kill(this->pid, number);
    }
    /// Returns whether the process runs; `state` tells how it ended.
    bool running(int *state = nullptr)
    {
        if (this->pid <= 0) {
            return false;
        }
        auto status = 0;
        if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->pid = 0;
            this->status = status;
        }
        if (state != nullptr) {
            *state = this->status;
        }
        return this->pid > 0;
    }
    void end(int number)
    {
        if (this->running()) {
            ::kill(this->pid, number);
            ::kill(this->pid, SIGCONT);
            ::waitpid(this->pid, &this->status, 0);
            this->pid = 0;
        }
    }
    pid_t process() const
    {
        return this->pid;
    }
    int front() const
    {
        return this->options.firstPort + frontPort;
    }
    const std::string &ip() const
    {
        return this->options.ip;
    }

private:
    static Answer ask(const std::string &ip, int port, const std::string &method, const std::string &target, const std::string &id, int deadlineMs,
                      const std::string &body, double seconds)
    {
        return kit::ask(ip, port, method, target, id, deadlineMs, body, seconds);
    }

    HostOptions options;
    std::string folder;
    pid_t pid = 0;
    int status = 0;
};

/// A temporary folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        auto name = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
        this->path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder()
    {
        auto ignored = std::error_code();
        std::filesystem::remove_all(this->path, ignored);
    }
    std::string path;
};

/// Returns whether the run is one with the disruption.
inline bool withTrouble()
{
    const auto *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

constexpr auto ruleHeld = 0;
constexpr auto ruleBroken = 1;
constexpr auto couldNotRun = 2;

} // namespace kit
