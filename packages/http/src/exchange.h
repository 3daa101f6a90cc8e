#pragma once

#include "tamarackspan/http/server_request.h"

#include <functional>
#include <memory>
#include <microhttpd.h>
#include <mutex>

namespace tamarackspan::http::impl {

/// One request and its response, shared by libmicrohttpd's thread, the responder and the watch for callers that leave.
class Exchange
{
public:
    /// What becomes of the request after its handler was called.
    enum class Next {
        /// The response is there and can be queued.
        Respond,
        /// The connection was suspended until the response is there.
        Wait,
    };

    explicit Exchange(MHD_Connection *connection) noexcept;

    /// Takes the response, the first one only, and resumes the connection if it waits.
    auto answer(ServerResponse response) -> void;

    /// Answers 500 if there is no response yet.
    auto drop() -> void;

    /// Tells whether the response is that of drop().
    [[nodiscard]] auto wasDropped() -> bool;

    /// Suspends the connection unless the response is there already. Called on the connection's thread after the handler.
    auto awaitResponse() -> Next;

    /// Moves the response out; called on the connection's thread once the exchange doesn't wait any longer.
    auto takeResponse() -> ServerResponse;

    /// Notes that the caller left and calls back who wants to know. Returns true if it left before the response was there, the first time only.
    auto callerLeft() -> bool;

    /// Sets what callerLeft() calls; called at once if the caller has left.
    auto onCallerLeft(std::function<void()> callback) -> void;

private:
    auto answerLocked(ServerResponse response) -> std::function<void()>;

    std::mutex mutex;
    MHD_Connection *connection;
    ServerResponse response;
    std::function<void()> leftCallback;
    bool answered = false;
    bool suspended = false;
    bool left = false;
    bool dropped = false;
};

} // namespace tamarackspan::http::impl
