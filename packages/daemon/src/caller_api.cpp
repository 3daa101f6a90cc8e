#include "tamarackspan/daemon/caller_api.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/result.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace tamarackspan::daemon {

namespace {

constexpr auto deadlineHeader = "Tamarackspan-Deadline-Ms";
constexpr auto ticketHeader = "Tamarackspan-Ticket";
constexpr auto routingKeyHeader = "Tamarackspan-Routing-Key";

/// The parts of "/v1/customers/<customer>/operations/<operation>/<action>".
struct Target
{
    base::CustomerName customer;
    base::OperationName operation;
    std::string action;
};

/// Returns the run state to report before the ticket is looked up: an earlier submission with the same ticket may have run the request.
auto runStateBeforeLookup(const http::ServerRequest &request) -> RunState
{
    return http::findHeader(request.headers, ticketHeader) == nullptr ? RunState::NotRun : RunState::MayHaveRun;
}

auto refuse(RefusalKind kind, std::string message) -> Refusal
{
    return {kind, RunState::NotRun, std::move(message), {}};
}

auto readTarget(const http::ServerRequest &request) -> base::Result<Target, Refusal>
{
    const auto parts = std::vector<std::string>(absl::StrSplit(request.path, '/'));
    const auto known = parts.size() == 7 && parts[0].empty() && parts[1] == "v1" && parts[2] == "customers" && parts[4] == "operations"
        && (parts[6] == "query" || parts[6] == "tickets" || parts[6] == "execute");
    if (!known) {
        return refuse(RefusalKind::NotFound, "expected /v1/customers/<customer>/operations/<operation>/query, tickets or execute");
    }
    if (request.method != "POST") {
        return refuse(RefusalKind::MethodNotAllowed, "expected POST");
    }
    return Target{base::CustomerName(parts[3]), base::OperationName(parts[5]), parts[6]};
}

auto readOperation(const ControlView &view, const Target &target) -> base::Result<contracts::Operation, Refusal>
{
    const auto contract = view.contracts.find(target.customer);
    if (contract == view.contracts.end()) {
        return refuse(RefusalKind::UnknownCustomer, absl::StrCat("no contract for customer \"", target.customer.get(), "\""));
    }
    const auto operation = contract->second->operations.find(target.operation);
    if (operation == contract->second->operations.end()) {
        return refuse(RefusalKind::UnknownOperation, absl::StrCat("the contract has no operation \"", target.operation.get(), "\""));
    }
    const auto isQuery = operation->second.kind == contracts::OperationKind::Query;
    if (isQuery != (target.action == "query")) {
        return refuse(RefusalKind::WrongKind,
                      isQuery ? "the operation is a query: use .../query" : "the operation runs at most once: use .../tickets, then .../execute");
    }
    return operation->second;
}

auto readDeadline(const http::ServerRequest &request, const contracts::Operation &operation) -> base::Result<absl::Duration, Refusal>
{
    const auto *text = http::findHeader(request.headers, deadlineHeader);
    if (text == nullptr) {
        return operation.deadline;
    }
    auto millis = std::int64_t{0};
    if (!absl::SimpleAtoi(*text, &millis) || millis <= 0) {
        return refuse(RefusalKind::BadDeadline, absl::StrCat(deadlineHeader, ": expected a whole number of milliseconds above 0, found \"", *text, "\""));
    }
    return std::min(absl::Milliseconds(millis), operation.deadline);
}

auto headerOr(const http::ServerRequest &request, const char *name, const std::string &fallback) -> std::string
{
    const auto *value = http::findHeader(request.headers, name);
    return value == nullptr ? fallback : *value;
}

auto readQuery(const ControlView &view, const http::ServerRequest &request, const Target &target) -> base::Result<CallerQuery, Refusal>
{
    const auto operation = readOperation(view, target);
    if (!operation.ok()) {
        return operation.error();
    }
    const auto deadline = readDeadline(request, operation.value());
    if (!deadline.ok()) {
        return deadline.error();
    }
    auto query = CallerQuery();
    query.customer = target.customer;
    query.operation = operation.value();
    query.arrivedAt = base::monotonicNow();
    query.deadline = query.arrivedAt + deadline.value();
    query.body = std::make_shared<const std::string>(request.body);
    query.ticket = headerOr(request, ticketHeader, {});
    query.routingKey = headerOr(request, routingKeyHeader, {});
    if (target.action == "execute" && query.ticket.empty()) {
        return refuse(RefusalKind::BadTicket, absl::StrCat(ticketHeader, " is missing: take a ticket from .../tickets first"));
    }
    return query;
}

auto refusalOf(const admission::Refused &refused) -> Refusal
{
    switch (refused.reason) {
    case admission::RefusalReason::NoBudget:
        return {RefusalKind::NoBudget, RunState::NotRun, "this host holds no part of the contract's limits yet", refused.retryAfter};
    case admission::RefusalReason::Rate:
        return {RefusalKind::RateLimit, RunState::NotRun, "the contract's rate is used up", refused.retryAfter};
    case admission::RefusalReason::Concurrency:
        return {RefusalKind::ConcurrencyLimit, RunState::NotRun, "the contract's concurrency is used up", refused.retryAfter};
    case admission::RefusalReason::Overload:
        return {RefusalKind::Overload, RunState::NotRun, "the host is overloaded", refused.retryAfter};
    case admission::RefusalReason::Deadline:
        return {RefusalKind::DeadlineTooShort, RunState::NotRun, "the request couldn't end before its deadline", refused.retryAfter};
    }
    return {RefusalKind::Overload, RunState::NotRun, "the host is overloaded", refused.retryAfter};
}

} // namespace

CallerApi::CallerApi(const ControlViewHolder &views, AdmissionGate &gate, TrafficThreads &traffic, Accounting &accounting)
    : views(views),
      gate(gate),
      traffic(traffic),
      accounting(accounting)
{
}

auto CallerApi::handle(const http::ServerRequest &request, http::Responder responder) -> void
{
    if (this->refusing) {
        responder.answer(refusalResponse({RefusalKind::Stopping, runStateBeforeLookup(request), "this host is stopping; use another", absl::Seconds(1)}));
        return;
    }
    const auto target = readTarget(request);
    auto query = target.ok() ? readQuery(*this->views.get(), request, target.value()) : base::Result<CallerQuery, Refusal>(target.error());
    if (!query.ok()) {
        this->accounting.countEvent(absl::StrCat("refused_", std::string(toString(query.error().kind))));
        auto refusal = query.error();
        refusal.run = runStateBeforeLookup(request);
        responder.answer(refusalResponse(refusal));
        return;
    }
    auto accepted = std::move(query).value();
    accepted.responder = std::make_shared<http::Responder>(std::move(responder));
    this->admit(std::move(accepted), target.value().action);
}

auto CallerApi::refuseAll() -> void
{
    this->refusing = true;
}

auto CallerApi::admit(CallerQuery query, const std::string &action) -> void
{
    auto request = admission::Request();
    request.customer = query.customer;
    request.operation = query.operation.name;
    request.priority = query.operation.priority;
    request.deadline = query.deadline;
    this->gate.offer(request, [this, query = std::move(query), action](admission::RequestToken token, const admission::Decision &decision) {
        this->onDecision(query, action, token, decision);
    });
}

auto CallerApi::onDecision(CallerQuery query, const std::string &action, admission::RequestToken token, const admission::Decision &decision) -> void
{
    if (const auto *refused = std::get_if<admission::Refused>(&decision)) {
        const auto refusal = refusalOf(*refused);
        if (!query.ticket.empty()) {
            query.finished = [] {};
            this->traffic.refuseExecute(std::move(query), refusal);
            return;
        }
        this->accounting.countRefusal({query.customer, query.operation.name}, refusal.kind);
        query.responder->answer(refusalResponse(refusal));
        return;
    }
    this->accounting.chargeRequest({query.customer, query.operation.name});
    query.finished = [this, token] {
        this->gate.finished(token);
    };
    if (action == "query") {
        this->traffic.startQuery(std::move(query));
    } else if (action == "tickets") {
        this->traffic.issueTicket(std::move(query));
    } else {
        this->traffic.startExecute(std::move(query));
    }
}

} // namespace tamarackspan::daemon
