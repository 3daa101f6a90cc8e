#pragma once

#include "tamarackspan/http/client.h"

#include "absl/time/time.h"

#include <cstdint>
#include <curl/curl.h>
#include <memory>
#include <string>
#include <string_view>

namespace tamarackspan::http::impl {

struct EasyDeleter
{
    auto operator()(CURL *easy) const noexcept -> void
    {
        curl_easy_cleanup(easy);
    }
};

struct HeaderListDeleter
{
    auto operator()(curl_slist *list) const noexcept -> void
    {
        curl_slist_free_all(list);
    }
};

using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

/// Why the client stopped a transfer. Only for TooLarge, InvalidResponse and Resend may bytes of the request have been sent.
enum class StopReason {
    None,
    /// The pool was at its limit when libcurl wanted to open a connection.
    PoolFull,
    /// libcurl chose a connection that had been idle for too long for an AtMostOnce request.
    Stale,
    /// libcurl was about to send an AtMostOnce request again.
    Resend,
    /// The timeout had passed before libcurl was about to send the request, since the process was paused.
    Expired,
    /// The response body is too long.
    TooLarge,
    /// The response has a status line that HTTP/1.1 doesn't allow, a body where there is none, or a status in its trailer.
    InvalidResponse,
};

/// The part of a response whose lines libcurl passes next.
enum class ResponsePart {
    StatusLine,
    Fields,
    Trailer,
};

/// A request that is being processed by the client.
struct Transfer
{
    RequestId id = 0;
    Request request;
    Client::Callback callback;
    Response response;
    std::uint32_t pool = 0;
    /// The client core that owns the transfer, for libcurl's callbacks.
    void *owner = nullptr;
    transport::TimerId timer = 0;
    /// When the request's timeout has passed.
    absl::Time expiresAt = absl::InfiniteFuture();
    /// Fires if a new connection isn't established in time.
    transport::TimerId connectTimer = 0;
    /// Set while the request is handed to libcurl.
    EasyHandle easy;
    HeaderList headers;
    /// The socket that carries the request; -1 if there is none.
    int fd = -1;
    /// True while the request is handed to libcurl and has no socket yet.
    bool unassigned = false;
    bool preventResend = true;
    StopReason stopReason = StopReason::None;
    ResponsePart part = ResponsePart::StatusLine;
    /// The status of the response, or interim response, that is being read; 0 before one is.
    std::uint32_t status = 0;
    /// Whether the fields of that response state a body.
    bool statesBody = false;
};

/// Returns whether the request can be sent: a known method, an http URL whose host is an IP address, and header fields without line breaks.
[[nodiscard]] auto isValid(const Request &request) -> bool;

/// Returns the address and port of a valid URL.
[[nodiscard]] auto authorityOf(std::string_view url) -> std::string;

/// Creates an easy handle with the options that all transfers share.
[[nodiscard]] auto makeEasy() -> EasyHandle;

/// Sets the options of this transfer on its easy handle, and stores the transfer in the handle's private pointer.
auto prepare(Transfer &transfer, bool freshConnection) -> void;

/// Returns the transfer that prepare() stored in a handle.
[[nodiscard]] auto transferOf(CURL *easy) -> Transfer *;

/// Sets the outcome of the transfer's response from libcurl's result.
auto setOutcome(Transfer &transfer, CURLcode result) -> void;

} // namespace tamarackspan::http::impl
