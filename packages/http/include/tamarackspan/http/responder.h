#pragma once

#include "tamarackspan/http/server_request.h"

#include <functional>
#include <memory>

namespace tamarackspan::http {

namespace impl {
class Exchange;
}

/// Answers one request, once, from any thread. Movable; dropping it unanswered answers 500.
class Responder
{
public:
    /// Made by the server.
    explicit Responder(std::shared_ptr<impl::Exchange> exchange) noexcept;
    ~Responder();
    Responder(Responder &&other) noexcept = default;
    auto operator=(Responder &&other) noexcept -> Responder &;
    Responder(const Responder &) = delete;
    auto operator=(const Responder &) -> Responder & = delete;

    /// Sends the response. Further calls do nothing, as does a call after the caller has left or the server has stopped.
    auto answer(ServerResponse response) -> void;

    /// Sets what to call once if the caller closes its connection before it is answered; called at once if that has happened. It runs on a thread of the
    /// server and must return soon.
    auto onCallerLeft(std::function<void()> callback) -> void;

private:
    std::shared_ptr<impl::Exchange> exchange;
};

} // namespace tamarackspan::http
