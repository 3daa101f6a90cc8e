#pragma once

#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tamarackspan::http::test {

/// One request as received by a raw server.
struct SeenRequest
{
    /// The connection's number, and the request's number on that connection, both from 0.
    int connection = 0;
    int numberOnConnection = 0;
    std::string text;
};

/// How a raw server reacts to a request that it has read.
struct Action
{
    /// Sent after the delay; empty sends nothing.
    std::string reply{};
    absl::Duration delay{};
    bool close = false;
};

auto okReply(const std::string &body) -> std::string;

/// A server with blocking sockets and one thread for each connection. Every complete request that it reads counts as executed.
class RawServer
{
public:
    using Script = std::function<Action(const SeenRequest &request)>;

    /// `closeDelay`: how long a connection still counts as open after the client has closed it.
    explicit RawServer(Script script, absl::Duration closeDelay = absl::ZeroDuration());
    ~RawServer();
    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t;
    [[nodiscard]] auto seen() -> std::vector<SeenRequest>;
    [[nodiscard]] auto accepted() const -> int;
    /// The maximum number of connections that were open at once.
    [[nodiscard]] auto maxOpen() const -> int;

private:
    auto acceptAll() -> void;
    auto serve(int fd, int connection) -> void;

    Script script;
    absl::Duration closeDelay;
    int listenFd = -1;
    std::uint16_t boundPort = 0;
    std::atomic<int> connections = 0;
    std::atomic<int> open = 0;
    std::atomic<int> most = 0;
    std::mutex mutex;
    std::vector<SeenRequest> requests;
    std::vector<int> fds;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

} // namespace tamarackspan::http::test
