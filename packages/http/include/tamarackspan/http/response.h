#pragma once

#include "tamarackspan/http/message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::http {

/// How an exchange ended, as far as the transport can tell.
enum class Outcome {
    /// The whole response is there, whatever its status.
    Ok,
    /// The request isn't one that can be sent: the URL or method is wrong. Not sent.
    InvalidRequest,
    /// No connection came about. Not sent.
    ConnectFailed,
    /// The time ran out, in the queue, while connecting or while waiting for the response.
    Timeout,
    /// The connection failed or was closed before the whole response was there.
    Closed,
    /// The response body is longer than allowed.
    TooLarge,
    /// cancel() was called, or the client was destroyed.
    Cancelled,
};

/// Returns the outcome's name, such as "connect failed".
[[nodiscard]] auto toString(Outcome outcome) noexcept -> std::string_view;

/// What came of a request.
struct Response
{
    Outcome outcome = Outcome::Closed;
    /// False only if no byte of the request was given to a connection, so that the server can't have run it.
    bool bytesMayHaveBeenSent = false;
    /// The HTTP status; 0 unless the outcome is Ok.
    std::uint32_t status = 0;
    Headers headers{};
    std::string body{};
    /// The transport's own words on a failure, for logs.
    std::string error{};

    friend auto operator==(const Response &, const Response &) -> bool = default;
};

} // namespace tamarackspan::http
