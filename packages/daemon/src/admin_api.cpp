#include "tamarackspan/daemon/admin_api.h"

#include "tamarackspan/daemon/caller_reply.h"
#include "tamarackspan/daemon/status_report.h"
#include "tamarackspan/metrics/prometheus.h"

#include <utility>

namespace tamarackspan::daemon {

namespace {

auto jsonResponse(const nlohmann::ordered_json &json, std::uint32_t status = 200) -> http::ServerResponse
{
    return {status, {{"Content-Type", "application/json"}}, json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

auto explain(const Control &control, const http::ServerRequest &request) -> http::ServerResponse
{
    const auto *customer = http::findArgument(request, "customer");
    const auto *service = http::findArgument(request, "service");
    const auto *leaf = http::findArgument(request, "leaf");
    if (customer != nullptr) {
        const auto json = explainCustomerJson(control, *customer);
        return jsonResponse(json, json.contains("error") ? 404 : 200);
    }
    if (service != nullptr && leaf != nullptr) {
        const auto json = explainLeafJson(control, *service, *leaf);
        return jsonResponse(json, json.contains("error") ? 404 : 200);
    }
    return jsonResponse({{"error", "expected ?customer=NAME or ?service=NAME&leaf=NAME"}}, 400);
}

} // namespace

AdminApi::AdminApi(transport::EventLoop &controlLoop, Control &control, Accounting &accounting, std::function<void()> requestStop)
    : controlLoop(controlLoop),
      control(control),
      accounting(accounting),
      requestStop(std::move(requestStop))
{
}

auto AdminApi::handle(std::shared_ptr<const http::ServerRequest> request, http::Responder responder) -> void
{
    const auto shared = std::make_shared<http::Responder>(std::move(responder));
    this->controlLoop.post([this, request = std::move(request), shared] {
        shared->answer(this->answer(*request));
    });
}

auto AdminApi::answer(const http::ServerRequest &request) -> http::ServerResponse
{
    if (request.path == "/drain") {
        if (request.method != "POST") {
            return refusalResponse({RefusalKind::MethodNotAllowed, RunState::NotRun, "expected POST", {}});
        }
        this->requestStop();
        return jsonResponse({{"draining", true}}, 202);
    }
    if (request.method != "GET") {
        return refusalResponse({RefusalKind::MethodNotAllowed, RunState::NotRun, "expected GET", {}});
    }
    if (request.path == "/ready") {
        const auto ready = this->control.isReady();
        return jsonResponse({{"ready", ready}}, ready ? 200 : 503);
    }
    if (request.path == "/status") {
        return jsonResponse(statusJson(this->control));
    }
    if (request.path == "/configuration") {
        return jsonResponse(configurationJson(this->control));
    }
    if (request.path == "/costs") {
        return jsonResponse(costsJson(this->control));
    }
    if (request.path == "/metrics") {
        this->accounting.setGauge("control_links", static_cast<double>(this->control.openLinks()));
        this->accounting.setGauge("platform_calls", static_cast<double>(this->control.platformCalls()));
        this->accounting.setGauge("documents", static_cast<double>(this->control.documents().documents.size()));
        return {200, {{"Content-Type", metrics::prometheusContentType}}, this->accounting.metricsText()};
    }
    if (request.path == "/audit") {
        return jsonResponse(auditJson(this->control));
    }
    if (request.path == "/explain") {
        return explain(this->control, request);
    }
    return refusalResponse(
        {RefusalKind::NotFound, RunState::NotRun, "expected /ready, /status, /configuration, /costs, /metrics, /audit, /explain or POST /drain", {}});
}

} // namespace tamarackspan::daemon
