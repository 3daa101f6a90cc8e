#pragma once

#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/daemon/admission_gate.h"
#include "tamarackspan/daemon/control_view.h"
#include "tamarackspan/daemon/traffic_threads.h"
#include "tamarackspan/http/responder.h"
#include "tamarackspan/http/server_request.h"

#include <atomic>
#include <memory>
#include <string>

namespace tamarackspan::daemon {

/// Reads callers' requests (docs/CALLER-API.md), has them admitted, and hands them to the traffic threads. Called on the HTTP server's threads.
class CallerApi
{
public:
    CallerApi(const ControlViewHolder &views, AdmissionGate &gate, TrafficThreads &traffic, Accounting &accounting);

    /// Handles one request.
    auto handle(const http::ServerRequest &request, http::Responder responder) -> void;

    /// From now on every request is refused with RefusalKind::Stopping: as not run, or as may-have-run if it carries a ticket.
    auto refuseAll() -> void;

private:
    auto admit(CallerQuery query, const std::string &action) -> void;
    auto onDecision(CallerQuery query, const std::string &action, admission::RequestToken token, const admission::Decision &decision) -> void;

    const ControlViewHolder &views;
    AdmissionGate &gate;
    TrafficThreads &traffic;
    Accounting &accounting;
    std::atomic<bool> refusing{false};
};

} // namespace tamarackspan::daemon
