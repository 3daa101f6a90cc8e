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
    /// 0 takes any free port; Server::port() returns it.
    std::uint16_t port = 0;
    /// Threads that read requests and write responses.
    std::uint32_t threads = 1;
    /// Requests with a longer body are rejected with status 413.
    std::size_t maxBodyBytes = std::size_t{1024} * 1024;
    /// For all threads together; further connections wait in the system's accept queue.
    std::uint32_t maxConnections = 1000;
    /// A connection without a request for longer than this is closed.
    absl::Duration idleTimeout = absl::Seconds(60);
    /// A connection whose request isn't complete after this time is closed.
    absl::Duration receiveTimeout = absl::Seconds(10);
    /// How long stop() waits for requests in progress and for idle connections to reach drainIdleTime.
    absl::Duration drainTimeout = absl::Seconds(5);
    /// How long a connection must have been idle before stop() closes it; callers that send more often than this lose no request.
    absl::Duration drainIdleTime = absl::Seconds(1);

    friend auto operator==(const ServerOptions &, const ServerOptions &) -> bool = default;
};

/// Counts of events since the server started.
struct ServerCounters
{
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t responses = 0;
    /// Requests rejected with status 413.
    std::uint64_t tooLarge = 0;
    /// Requests rejected with status 400 before the handler was called.
    std::uint64_t malformed = 0;
    /// Connections closed because the request wasn't complete within the receive timeout.
    std::uint64_t tooSlow = 0;
    /// Requests whose caller disconnected before the response.
    std::uint64_t callersDisconnected = 0;
    /// Responders that were destroyed without a response.
    std::uint64_t unanswered = 0;

    friend auto operator==(const ServerCounters &, const ServerCounters &) -> bool = default;
};

/// Serves HTTP requests on threads of its own.
class Server
{
public:
    /// Called on the server's threads, possibly on several at once; must return quickly and may respond later. The request lives until the responder has been
    /// answered or destroyed.
    using Handler = std::function<void(std::shared_ptr<const ServerRequest> request, Responder responder)>;

    /// Starts listening. Doesn't throw: error() describes a failure.
    Server(ServerOptions options, Handler handler);
    /// Stops as stop() does.
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    /// Returns why the server couldn't listen; empty if it is listening.
    [[nodiscard]] auto error() const -> const std::string &;

    /// Returns the port that the server listens on; 0 if it couldn't listen.
    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// From now on each response closes its connection, so that callers connect to another server; new connections are still accepted.
    auto startDraining() -> void;

    /// Starts draining and accepts no new connections; connections that the system has already accepted for the server are still served.
    auto stopAccepting() -> void;

    /// Stops accepting, waits up to the drain timeout for the requests in progress, responds with 503 to those that remain, and shuts down. Responders answered
    /// afterwards do nothing.
    auto stop() -> void;

    [[nodiscard]] auto counters() const -> ServerCounters;

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace tamarackspan::http
