#pragma once

#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/daemon/control.h"
#include "tamarackspan/http/responder.h"
#include "tamarackspan/http/server_request.h"
#include "tamarackspan/transport/event_loop.h"

#include <functional>
#include <memory>

namespace tamarackspan::daemon {

/// Answers operators and the balancer (docs/ADMIN-API.md). Requests come on the HTTP server's threads and are answered on the control thread.
class AdminApi
{
public:
    /// `requestStop` starts a planned stop of the process.
    AdminApi(transport::EventLoop &controlLoop, Control &control, Accounting &accounting, std::function<void()> requestStop);

    /// Handles one request.
    auto handle(std::shared_ptr<const http::ServerRequest> request, http::Responder responder) -> void;

private:
    auto answer(const http::ServerRequest &request) -> http::ServerResponse;

    transport::EventLoop &controlLoop;
    Control &control;
    Accounting &accounting;
    std::function<void()> requestStop;
};

} // namespace tamarackspan::daemon
