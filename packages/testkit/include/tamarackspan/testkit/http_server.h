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

/// One request as a stand-in received it. Header names are in lower case.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> arguments;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Returns the header with this lower-case name, or an empty string.
    [[nodiscard]] auto header(const std::string &name) const -> std::string;
    /// Returns the query argument with this name, or an empty string.
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

/// One request that awaits its reply. All members must be called on the event loop's thread.
class Exchange
{
public:
    Exchange() = default;
    virtual ~Exchange() = default;
    Exchange(const Exchange &) = delete;
    auto operator=(const Exchange &) -> Exchange & = delete;

    [[nodiscard]] virtual auto request() const noexcept -> const HttpRequest & = 0;

    /// True for the first request on its connection.
    [[nodiscard]] virtual auto firstOnConnection() const noexcept -> bool = 0;

    /// Sends the reply; does nothing if the exchange has ended.
    virtual auto reply(HttpReply reply) -> void = 0;

    /// Closes the connection without a reply; does nothing if the exchange has ended.
    virtual auto close() -> void = 0;

    /// Sets the callback that runs if the client closes the connection before the reply.
    virtual auto setDisconnectCallback(std::function<void()> callback) -> void = 0;

    /// Checks whether the client has closed the connection; if so, ends the exchange and runs the callback set with setDisconnectCallback().
    virtual auto checkDisconnected() -> void = 0;
};

/// Listening options of an HttpServer.
struct HttpServerOptions
{
    /// Port on 127.0.0.1; with 0 the operating system chooses one.
    std::uint16_t port = 0;
    /// Connections beyond this number are closed at once and counted as refused; 0 means no limit.
    std::size_t connectionCap = 0;
};

/// Connection counts of one server since its start.
struct ConnectionCounts
{
    std::size_t open = 0;
    std::size_t peak = 0;
    /// Connections closed because the cap was reached.
    std::size_t refused = 0;
};

/// An HTTP server on 127.0.0.1 whose handler runs on an event loop and may reply asynchronously.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /// Starts to listen; terminates the process if that fails. The loop must run until the server is destroyed, and the server must be destroyed on a thread
    /// other than the loop's.
    HttpServer(transport::EventLoop &loop, HttpServerOptions options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /// Returns the counts. Connections that the client has closed aren't counted as open, even if the server has not read the close yet. Callable from any
    /// thread.
    [[nodiscard]] auto connections() const -> ConnectionCounts;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace tamarackspan::testkit
