#pragma once

#include "tamarackspan/http/message.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace tamarackspan::http {

/// Whether a request may reach the server more than once.
enum class ResendPolicy {
    /// May be sent repeatedly: uses an idle connection if there is one, and is sent again if the server turns out to have closed that connection.
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
    /// The time limit from send() to the complete response, including the wait for a connection.
    absl::Duration timeout = absl::Seconds(1);
    /// The name by which Client::poolCounts() and Client::limitPool() refer to the server's connections. Connections are shared by the address and port of the
    /// URL, whatever the name.
    std::string pool{};
    /// The maximum number of connections to the server that may be open at once, including idle and closing ones. The value of the latest request applies.
    std::uint32_t maxConnections = 1;
    /// The maximum length of the response body in bytes.
    std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;
    ResendPolicy resendPolicy = ResendPolicy::Idempotent;

    friend auto operator==(const Request &, const Request &) -> bool = default;
};

} // namespace tamarackspan::http
