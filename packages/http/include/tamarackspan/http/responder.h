#pragma once

#include "tamarackspan/http/server_request.h"

#include <functional>
#include <memory>

namespace tamarackspan::http {

namespace impl {
class Exchange;
}

/// Sends the response to one request, once, from any thread. Movable; if it is destroyed without a response, the server responds with status 500.
class Responder
{
public:
    /// Constructed by the server.
    explicit Responder(std::shared_ptr<impl::Exchange> exchange) noexcept;
    ~Responder();
    Responder(Responder &&other) noexcept = default;
    auto operator=(Responder &&other) noexcept -> Responder &;
    Responder(const Responder &) = delete;
    auto operator=(const Responder &) -> Responder & = delete;

    /// Sends the response. Does nothing if a response was sent before, if the caller has disconnected, or if the server has stopped.
    auto answer(ServerResponse response) -> void;

    /// Sets a callback that is called once if the caller closes its connection before the response; it is called at once if that has already happened. It runs
    /// on a thread of the server and must return quickly.
    auto onCallerDisconnected(std::function<void()> callback) -> void;

private:
    std::shared_ptr<impl::Exchange> exchange;
};

} // namespace tamarackspan::http
