#pragma once

#include "tamarackspan/http/message.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace tamarackspan::http {

/// Whether a request may reach the server more than once.
enum class Reuse {
    /// May be repeated; uses a warm connection if there is one, and is sent again when that turns out to be closed.
    Idempotent,
    /// Is never sent a second time, whatever happens to its connection.
    AtMostOnce,
};

/// One request to a server.
struct Request
{
    /// "GET", "POST", "PUT", "DELETE" or "HEAD".
    std::string method = "GET";
    /// An http URL whose host is an IP address, such as "http://10.0.0.1:8080/v1/status".
    std::string url{};
    Headers headers{};
    /// Sent with POST and PUT only.
    std::string body{};
    /// The longest from send() to the whole response, waiting for a connection included.
    absl::Duration timeout = absl::Seconds(1);
    /// The name by which Client::poolCounts() tells of the server's connections. Connections are shared by address and port of the URL, whatever the name.
    std::string pool{};
    /// The most connections to the server that may be open at once, idle and closing ones included. The value of the latest request counts.
    std::uint32_t maxConnections = 1;
    /// The longest response body in bytes.
    std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;
    Reuse reuse = Reuse::Idempotent;

    friend auto operator==(const Request &, const Request &) -> bool = default;
};

} // namespace tamarackspan::http
