#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/execution/outcome.h"
#include "tamarackspan/http/server_request.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::daemon {

/// Whether a caller's request was run.
using execution::RunState;

/// Returns the state's name as callers see it: "not-run", "may-have-run" or "run".
[[nodiscard]] auto callerText(RunState state) noexcept -> std::string_view;

/// Why a request was refused or ended without an answer. The names that callers see are those of docs/CALLER-API.md.
enum class RefusalKind {
    BadRequest,
    NotFound,
    MethodNotAllowed,
    UnknownCustomer,
    UnknownOperation,
    WrongKind,
    BadDeadline,
    BadTicket,
    TicketConflict,
    TicketExpired,
    TicketsExhausted,
    NoBudget,
    RateLimit,
    ConcurrencyLimit,
    Overload,
    DeadlineTooShort,
    ServiceUnknown,
    CoverageBelowFloor,
    NoShardAnswered,
    LeafRejected,
    LeafUnavailable,
    OutcomeUnknown,
    Stopping,
};

/// Returns the kind's name as callers see it, such as "rate-limit".
[[nodiscard]] auto toString(RefusalKind kind) noexcept -> std::string_view;

/// Returns the HTTP status that goes with the kind.
[[nodiscard]] auto statusOf(RefusalKind kind) noexcept -> std::uint32_t;

/// A refusal as sent to a caller.
struct Refusal
{
    RefusalKind kind = RefusalKind::BadRequest;
    RunState run = RunState::NotRun;
    std::string message;
    /// After how long a retry may succeed; zero for no hint.
    absl::Duration retryAfter;

    friend auto operator==(const Refusal &, const Refusal &) -> bool = default;
};

/// Returns the HTTP response for a refusal.
[[nodiscard]] auto refusalResponse(const Refusal &refusal) -> http::ServerResponse;

/// Returns a response with a JSON body and a header that says whether the request was run.
[[nodiscard]] auto answerResponse(std::string json, RunState run = RunState::Ran, std::uint32_t status = 200) -> http::ServerResponse;

} // namespace tamarackspan::daemon
