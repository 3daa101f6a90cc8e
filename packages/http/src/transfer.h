#pragma once

#include "tamarackspan/http/client.h"

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

/// Why a transfer was stopped by the client itself; none of them has sent a byte but TooLarge and Resend.
enum class Stop {
    None,
    /// The pool had no room for the connection that libcurl wanted to open.
    NoRoom,
    /// libcurl chose a connection that has been idle for too long for a request that is not to be repeated.
    Stale,
    /// libcurl was about to send a request again that is not to be repeated.
    Resend,
    /// The response body is too long.
    TooLarge,
};

/// One request on its way through the client.
struct Transfer
{
    RequestId id = 0;
    Request request;
    Client::Callback callback;
    Response response;
    std::uint32_t pool = 0;
    /// The client that the transfer belongs to, for libcurl's callbacks.
    void *owner = nullptr;
    transport::TimerId timer = 0;
    /// Ends the wait for a new connection.
    transport::TimerId connectTimer = 0;
    /// Held while the request is with libcurl.
    EasyHandle easy;
    HeaderList headers;
    /// The socket that the request is on; -1 while it has none.
    int fd = -1;
    /// True once it is with libcurl and has no socket yet.
    bool unassigned = false;
    bool guarded = true;
    Stop stop = Stop::None;
};

/// Tells whether libcurl would send this request: a known method, an http URL and an IP address as its host.
[[nodiscard]] auto isValid(const Request &request) -> bool;

/// Returns the address and port of a valid URL.
[[nodiscard]] auto authorityOf(std::string_view url) -> std::string;

/// Makes an easy handle with everything that all transfers share.
[[nodiscard]] auto makeEasy() -> EasyHandle;

/// Sets what is special to this transfer on its easy handle, and hangs it up in the handle's private pointer.
auto prepare(Transfer &transfer, bool freshConnection) -> void;

/// Returns the transfer that was prepared on a handle.
[[nodiscard]] auto transferOf(CURL *easy) -> Transfer *;

/// Fills in the outcome of the transfer's response from libcurl's result.
auto conclude(Transfer &transfer, CURLcode result) -> void;

} // namespace tamarackspan::http::impl
