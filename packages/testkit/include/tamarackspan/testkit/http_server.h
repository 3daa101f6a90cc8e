#pragma once

#include "tamarackspan/transport/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarackspan::testkit {

/// One request as a stand-in reads it. Header names are in lower case.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> arguments;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Returns the header with this lower-case name, or the empty text.
    [[nodiscard]] auto header(const std::string &name) const -> std::string;
    /// Returns the query argument with this name, or the empty text.
    [[nodiscard]] auto argument(const std::string &name) const -> std::string;
};

/// One header line of a reply.
struct HttpHeader
{
    std::string name;
    std::string value;

    friend auto operator==(const HttpHeader &, const HttpHeader &) -> bool = default;
};

/// One reply of a stand-in.
struct HttpReply
{
    std::uint32_t status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    friend auto operator==(const HttpReply &, const HttpReply &) -> bool = default;
};

/// One request that waits for its reply. Everything here is for the loop's thread only.
class Exchange
{
public:
    Exchange() = default;
    virtual ~Exchange() = default;
    Exchange(const Exchange &) = delete;
    auto operator=(const Exchange &) -> Exchange & = delete;

    [[nodiscard]] virtual auto request() const noexcept -> const HttpRequest & = 0;

    /// True if no request came on this connection before.
    [[nodiscard]] virtual auto firstOnConnection() const noexcept -> bool = 0;

    /// Sends the reply; does nothing if the exchange is over.
    virtual auto reply(HttpReply reply) -> void = 0;

    /// Closes the connection without a reply; does nothing if the exchange is over.
    virtual auto close() -> void = 0;

    /// Sets what to call when the client closes the connection before the reply.
    virtual auto onGone(std::function<void()> callback) -> void = 0;

    /// Looks whether the client has closed the connection, and if so ends the exchange and calls the callback of onGone().
    virtual auto checkGone() -> void = 0;
};

/// How a server listens.
struct HttpServerOptions
{
    /// Port on 127.0.0.1; 0 lets the system choose.
    std::uint16_t port = 0;
    /// Connections above this number are closed at once and counted; 0 sets no limit.
    std::size_t connectionCap = 0;
};

/// Connections of one server since its start.
struct ConnectionCounts
{
    std::size_t open = 0;
    std::size_t peak = 0;
    /// Connections that were closed because they came above the cap.
    std::size_t refused = 0;
};

/// An HTTP server on 127.0.0.1 whose handler runs on an event loop and may reply at any later time.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /// Starts to listen; stops the process if that fails. The loop must be running until the server is destroyed, which happens on another thread.
    HttpServer(transport::EventLoop &loop, HttpServerOptions options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Counts the connections; one that the client has closed doesn't count, even if the server has not read that yet. Callable from any thread.
    [[nodiscard]] auto connections() const -> ConnectionCounts;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace tamarackspan::testkit
