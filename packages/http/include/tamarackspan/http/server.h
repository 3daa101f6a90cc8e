#pragma once

#include "tamarackspan/http/responder.h"
#include "tamarackspan/http/server_request.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tamarackspan::http {

/// Where and how a server listens.
struct ServerOptions
{
    /// The IPv4 or IPv6 address to listen on.
    std::string ip = "127.0.0.1";
    /// 0 takes any free port; Server::port() tells which.
    std::uint16_t port = 0;
    /// Threads that read requests and write responses.
    std::uint32_t threads = 1;
    /// A longer request body is refused with 413.
    std::size_t maxBodyBytes = std::size_t{1024} * 1024;
    /// Over all threads together; further callers wait in the system's queue.
    std::uint32_t maxConnections = 1000;
    /// A connection without a request is closed after this.
    absl::Duration idleTimeout = absl::Seconds(60);
    /// A request that isn't there as a whole after this is closed.
    absl::Duration receiveTimeout = absl::Seconds(10);
    /// How long stop() waits for requests in progress and for callers to use up their idle connections.
    absl::Duration drainTimeout = absl::Seconds(5);
    /// How long a connection must have been idle before stop() closes it; callers that send more often lose no request.
    absl::Duration drainIdleTime = absl::Seconds(1);

    friend auto operator==(const ServerOptions &, const ServerOptions &) -> bool = default;
};

/// What a server has seen since its start.
struct ServerCounters
{
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t responses = 0;
    /// Answered with 413.
    std::uint64_t tooLarge = 0;
    /// Answered with 400 before any handler saw them.
    std::uint64_t malformed = 0;
    /// Closed since the request didn't come in time.
    std::uint64_t tooSlow = 0;
    /// Callers that left before their response.
    std::uint64_t callersLeft = 0;
    /// Responders that were dropped unanswered.
    std::uint64_t unanswered = 0;

    friend auto operator==(const ServerCounters &, const ServerCounters &) -> bool = default;
};

/// Answers HTTP requests on threads of its own.
class Server
{
public:
    /// Called on one of the server's threads, several at once; must return soon and may answer later. The request lives until the responder is answered or
    /// dropped.
    using Handler = std::function<void(std::shared_ptr<const ServerRequest> request, Responder responder)>;

    /// Listens at once. Throws nothing: error() tells why it couldn't.
    Server(ServerOptions options, Handler handler);
    /// Stops as stop() does.
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    /// Returns why the server couldn't listen; empty if it listens.
    [[nodiscard]] auto error() const -> const std::string &;

    /// Returns the port that it listens on; 0 if it couldn't.
    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// From now on each response closes its connection, so that callers move elsewhere; new connections are still taken.
    auto startDraining() -> void;

    /// Starts draining and takes no new connections; those that the system has already accepted for the server are served.
    auto stopAccepting() -> void;

    /// Stops accepting, waits for the requests in progress up to the drain timeout, answers what is left with 503 and ends. Responders answered later do
    /// nothing.
    auto stop() -> void;

    [[nodiscard]] auto counters() const -> ServerCounters;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
