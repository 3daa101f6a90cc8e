#pragma once

#include "tamarackspan/http/server_request.h"

#include <functional>
#include <memory>
#include <microhttpd.h>
#include <mutex>

namespace tamarackspan::http::impl {

/// One request and its response, shared by libmicrohttpd's thread, the responder and the thread that detects disconnected callers.
class Exchange
{
public:
    /// What to do with the connection after the handler was called.
    enum class Next {
        /// The response is available and can be queued.
        Respond,
        /// The connection was suspended until the response is available.
        Wait,
    };

    explicit Exchange(MHD_Connection *connection) noexcept;

    /// Stores the response, if it is the first, and resumes the connection if it is suspended.
    auto answer(ServerResponse response) -> void;

    /// Responds with status 500 if there is no response yet.
    auto drop() -> void;

    /// Returns whether the response was made by drop().
    [[nodiscard]] auto wasDropped() -> bool;

    /// Suspends the connection unless the response is already available. Called on the connection's thread after the handler.
    auto awaitResponse() -> Next;

    /// Moves the response out. Called on the connection's thread once the response is available.
    auto takeResponse() -> ServerResponse;

    /// Records that the caller disconnected and calls the callback set by onCallerDisconnected(). Returns true for the first call, if it comes before the
    /// response.
    auto noteCallerDisconnected() -> bool;

    /// Sets the callback of noteCallerDisconnected(); it is called at once if the caller has already disconnected.
    auto onCallerDisconnected(std::function<void()> callback) -> void;

private:
    auto answerLocked(ServerResponse response) -> std::function<void()>;

    std::mutex mutex;
    MHD_Connection *connection;
    ServerResponse response;
    std::function<void()> disconnectCallback;
    bool answered = false;
    bool suspended = false;
    bool disconnected = false;
    bool dropped = false;
};

} // namespace tamarackspan::http::impl
