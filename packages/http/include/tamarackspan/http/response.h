#pragma once

#include "tamarackspan/http/message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::http {

/// How a request ended, as far as the client can tell.
enum class Outcome {
    /// The complete response was received, whatever its status.
    Ok,
    /// The request is invalid: the URL, the method or a header field is wrong. Not sent.
    InvalidRequest,
    /// No connection could be established. Not sent.
    ConnectFailed,
    /// The timeout expired in the queue, while connecting or while waiting for the response.
    Timeout,
    /// The connection failed or was closed before the complete response was received.
    Closed,
    /// The response body is longer than Request::maxResponseBytes.
    TooLarge,
    /// cancel() was called, or the client was destroyed.
    Cancelled,
};

/// Returns the outcome's name, such as "connect failed".
[[nodiscard]] auto toString(Outcome outcome) noexcept -> std::string_view;

/// The result of a request.
struct Response
{
    Outcome outcome = Outcome::Closed;
    /// False only if no byte of the request was written to a connection, so that the server can't have executed it.
    bool bytesMayHaveBeenSent = false;
    /// The HTTP status; 0 unless the outcome is Ok.
    std::uint32_t status = 0;
    Headers headers{};
    std::string body{};
    /// A description of the failure, for logs.
    std::string error{};

    friend auto operator==(const Response &, const Response &) -> bool = default;
};

} // namespace tamarackspan::http
