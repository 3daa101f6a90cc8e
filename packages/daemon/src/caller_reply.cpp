#include "tamarackspan/daemon/caller_reply.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace tamarackspan::daemon {

namespace {

struct KindInfo
{
    RefusalKind kind;
    std::string_view name;
    std::uint32_t status;
};

constexpr auto kinds = std::array{
    KindInfo{RefusalKind::BadRequest, "bad-request", 400},
    KindInfo{RefusalKind::NotFound, "not-found", 404},
    KindInfo{RefusalKind::MethodNotAllowed, "method-not-allowed", 405},
    KindInfo{RefusalKind::UnknownCustomer, "unknown-customer", 404},
    KindInfo{RefusalKind::UnknownOperation, "unknown-operation", 404},
    KindInfo{RefusalKind::WrongKind, "wrong-kind", 400},
    KindInfo{RefusalKind::BadDeadline, "bad-deadline", 400},
    KindInfo{RefusalKind::BadTicket, "bad-ticket", 400},
    KindInfo{RefusalKind::TicketConflict, "ticket-conflict", 409},
    KindInfo{RefusalKind::TicketExpired, "ticket-expired", 410},
    KindInfo{RefusalKind::TicketsExhausted, "tickets-exhausted", 503},
    KindInfo{RefusalKind::NoBudget, "no-budget", 503},
    KindInfo{RefusalKind::RateLimit, "rate-limit", 429},
    KindInfo{RefusalKind::ConcurrencyLimit, "concurrency-limit", 429},
    KindInfo{RefusalKind::Overload, "overload", 503},
    KindInfo{RefusalKind::DeadlineTooShort, "deadline-too-short", 503},
    KindInfo{RefusalKind::ServiceUnknown, "service-unknown", 503},
    KindInfo{RefusalKind::CoverageBelowFloor, "coverage-below-floor", 503},
    KindInfo{RefusalKind::NoShardAnswered, "no-shard-answered", 504},
    KindInfo{RefusalKind::LeafRejected, "leaf-rejected", 422},
    KindInfo{RefusalKind::LeafUnavailable, "leaf-unavailable", 503},
    KindInfo{RefusalKind::OutcomeUnknown, "outcome-unknown", 504},
    KindInfo{RefusalKind::Stopping, "stopping", 503},
};

auto infoOf(RefusalKind kind) noexcept -> const KindInfo &
{
    return kinds[static_cast<std::size_t>(kind)];
}

constexpr auto kindsAreInOrder() -> bool
{
    for (auto i = std::size_t{0}; i < kinds.size(); ++i) {
        if (static_cast<std::size_t>(kinds[i].kind) != i) {
            return false;
        }
    }
    return true;
}
static_assert(kindsAreInOrder());

constexpr auto jsonType = "application/json";
constexpr auto runHeader = "Tamarackspan-Run";

} // namespace

auto callerText(RunState state) noexcept -> std::string_view
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Ran:
        return "run";
    case RunState::MayHaveRun:
        break;
    }
    return "may-have-run";
}

auto toString(RefusalKind kind) noexcept -> std::string_view
{
    return infoOf(kind).name;
}

auto statusOf(RefusalKind kind) noexcept -> std::uint32_t
{
    return infoOf(kind).status;
}

auto refusalResponse(const Refusal &refusal) -> http::ServerResponse
{
    auto error = nlohmann::ordered_json();
    error["reason"] = std::string(toString(refusal.kind));
    error["run"] = std::string(callerText(refusal.run));
    error["message"] = refusal.message;
    auto response = http::ServerResponse();
    response.status = statusOf(refusal.kind);
    response.headers = {{"Content-Type", jsonType}, {runHeader, std::string(callerText(refusal.run))}};
    if (refusal.retryAfter > absl::ZeroDuration()) {
        const auto millis = absl::ToInt64Milliseconds(absl::Ceil(refusal.retryAfter, absl::Milliseconds(1)));
        error["retry_after_ms"] = millis;
        response.headers.push_back({"Retry-After", std::to_string(absl::ToInt64Seconds(absl::Ceil(refusal.retryAfter, absl::Seconds(1))))});
    }
    response.body = nlohmann::ordered_json{{"error", std::move(error)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

auto answerResponse(std::string json, RunState run, std::uint32_t status) -> http::ServerResponse
{
    auto response = http::ServerResponse();
    response.status = status;
    response.headers = {{"Content-Type", jsonType}, {runHeader, std::string(callerText(run))}};
    response.body = std::move(json);
    return response;
}

} // namespace tamarackspan::daemon
