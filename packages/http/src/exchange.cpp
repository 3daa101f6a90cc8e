#include "exchange.h"

#include "tamarackspan/http/responder.h"

#include <utility>

namespace tamarackspan::http::impl {

namespace {

constexpr auto statusDropped = 500U;

} // namespace

Exchange::Exchange(MHD_Connection *connection) noexcept
    : connection(connection)
{
}

/// Returns the disconnect callback, which must be destroyed after the lock is released.
auto Exchange::answerLocked(ServerResponse response) -> std::function<void()>
{
    this->answered = true;
    this->response = std::move(response);
    if (std::exchange(this->suspended, false)) {
        MHD_resume_connection(this->connection);
    }
    return std::exchange(this->disconnectCallback, nullptr);
}

auto Exchange::answer(ServerResponse response) -> void
{
    auto callbackToDestroy = std::function<void()>();
    const auto lock = std::lock_guard(this->mutex);
    if (!this->answered) {
        callbackToDestroy = this->answerLocked(std::move(response));
    }
}

auto Exchange::drop() -> void
{
    auto callbackToDestroy = std::function<void()>();
    const auto lock = std::lock_guard(this->mutex);
    if (!this->answered) {
        this->dropped = true;
        callbackToDestroy = this->answerLocked(ServerResponse{.status = statusDropped, .headers = {}, .body = "the request was dropped without an answer\n"});
    }
}

auto Exchange::wasDropped() -> bool
{
    const auto lock = std::lock_guard(this->mutex);
    return this->dropped;
}

auto Exchange::awaitResponse() -> Next
{
    const auto lock = std::lock_guard(this->mutex);
    if (this->answered) {
        return Next::Respond;
    }
    this->suspended = true;
    MHD_suspend_connection(this->connection);
    return Next::Wait;
}

auto Exchange::takeResponse() -> ServerResponse
{
    const auto lock = std::lock_guard(this->mutex);
    return std::move(this->response);
}

auto Exchange::noteCallerDisconnected() -> bool
{
    auto callback = std::function<void()>();
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->answered || this->disconnected) {
            return false;
        }
        this->disconnected = true;
        callback = std::exchange(this->disconnectCallback, nullptr);
    }
    if (callback) {
        callback();
    }
    return true;
}

auto Exchange::onCallerDisconnected(std::function<void()> callback) -> void
{
    {
        const auto lock = std::lock_guard(this->mutex);
        if (this->answered) {
            return;
        }
        if (!this->disconnected) {
            this->disconnectCallback = std::move(callback);
            return;
        }
    }
    callback();
}

} // namespace tamarackspan::http::impl

namespace tamarackspan::http {

Responder::Responder(std::shared_ptr<impl::Exchange> exchange) noexcept
    : exchange(std::move(exchange))
{
}

Responder::~Responder()
{
    if (this->exchange != nullptr) {
        this->exchange->drop();
    }
}

auto Responder::operator=(Responder &&other) noexcept -> Responder &
{
    if (this != &other) {
        if (this->exchange != nullptr) {
            this->exchange->drop();
        }
        this->exchange = std::move(other.exchange);
    }
    return *this;
}

auto Responder::answer(ServerResponse response) -> void
{
    if (this->exchange != nullptr) {
        this->exchange->answer(std::move(response));
    }
}

auto Responder::onCallerDisconnected(std::function<void()> callback) -> void
{
    if (this->exchange != nullptr) {
        this->exchange->onCallerDisconnected(std::move(callback));
    }
}

} // namespace tamarackspan::http
