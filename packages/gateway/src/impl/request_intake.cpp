#include "impl/gateway_core.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/decisions/stop_decision.h"
#include "tamarackspan/gateway/decisions/weighted_choice.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::gateway {

namespace {

using namespace impl;

/// Time reserved from a caller's timeout, so that a last answer still reaches it.
constexpr auto deadlineMargin = absl::Milliseconds(20);
/// Maximum time reserved from an objective for late timers, so that a host that was paused for long doesn't answer every query incompletely.
constexpr auto maxTimerReserve = absl::Milliseconds(25);
/// A host that accepted a forwarded query sends no second requests to leafs before this time, by which it knows whether the query was forwarded elsewhere
/// (see mayForwardAgain). The difference between the two times covers several network trips within a data centre.
constexpr auto secondRequestDelay = absl::Milliseconds(25);

} // namespace

auto Gateway::Core::stateOf(const Operation &operation) -> OperationState *
{
    auto &state = this->operationStates[operation.name];
    if (state == nullptr) {
        state = std::make_unique<OperationState>();
        state->estimate = initialEstimate(operation.objective);
        const auto counter = [this, &operation](const char *outcome) {
            return this->metrics.counter({.metric = "tamarackspan_requests_total", .labels = {{"operation", operation.name}, {"outcome", outcome}}});
        };
        state->answered = counter("answered");
        state->incomplete = counter("answered-thin");
        state->refused = counter("not-run");
        state->failed = counter("failed");
        state->latency = this->metrics.histogram({.metric = "tamarackspan_request_seconds", .labels = {{"operation", operation.name}}});
    }
    return state.get();
}

auto Gateway::Core::publish(std::shared_ptr<const Catalogue> catalogue) -> void
{
    auto next = std::make_shared<ActiveCatalogue>(std::move(catalogue));
    const auto addService = [this, &next](ResolvedOperation &resolved, const std::string &name, double weight) {
        const auto options = next->catalogue->services.find(name);
        resolved.services.push_back(&this->directory.service(name));
        resolved.connections.push_back(options == next->catalogue->services.end() ? 1 : options->second.maxConnections);
        resolved.weights.push_back(weight);
    };
    for (const auto &operation : next->catalogue->operations) {
        auto resolved = ResolvedOperation{.operation = &operation, .state = this->stateOf(operation)};
        for (const auto &shard : operation.shards) {
            addService(resolved, shard, 1.0);
        }
        for (const auto &share : operation.services) {
            addService(resolved, share.service, share.weight);
        }
        next->resolved.emplace(&operation, std::move(resolved));
    }
    for (const auto &[name, options] : next->catalogue->services) {
        this->directory.service(name).warmUp = options.warmUp;
    }
    this->published = std::move(next);
}

auto Gateway::Core::begin(http::StreamServer &server, http::ExchangeId exchange, http::StreamMessage message, const Arrival &arrival) -> void
{
    const auto refuse = [this, &server, exchange](RefusalKind kind) {
        server.answer(exchange,
                      this->callers.refusal({.kind = kind, .retryAfter = kind == RefusalKind::NotRun ? std::optional(missingLeafsRetryAfter) : std::nullopt}));
    };
    auto request = this->callers.read(message);
    if (!request.has_value()) {
        refuse(RefusalKind::Malformed);
        return;
    }
    if (this->published == nullptr) {
        this->log.warning("a request came before any configuration", {{"request", request->id}});
        refuse(RefusalKind::NotRun);
        return;
    }
    const auto *const operation = this->published->index.find(request->hostName, request->path);
    if (operation == nullptr) {
        this->metrics.add(this->unknown);
        this->log.info("no operation has this path", {{"request", request->id}, {"version", this->published->catalogue->version}});
        refuse(RefusalKind::UnknownOperation);
        return;
    }
    const auto work = std::make_shared<Work>();
    work->server = &server;
    work->exchange = exchange;
    work->request = *std::move(request);
    work->published = this->published;
    work->resolved = &this->published->resolved.at(operation);
    work->arrivedAt = base::monotonicNow();
    work->fromNeighbour = arrival.forwarded;
    auto &state = *work->resolved->state;
    state.demand = demandOf(state, work->arrivedAt) + 1.0;
    state.demandAt = work->arrivedAt;
    const auto timeout = std::min(work->request.timeout.value_or(operation->timeout), operation->timeout);
    work->deadlineAt = work->arrivedAt + timeout - std::min(deadlineMargin, timeout / 10);
    work->timeReserve = arrival.timeUsed + this->settings.answerMargin + std::min(this->timerDelay.p95, maxTimerReserve);
    work->attemptsElsewhere = arrival.attemptsUsed;
    work->objectiveAt = work->arrivedAt + std::max(operation->objective - work->timeReserve, operation->objective / 2);
    work->message = std::move(message);
    this->works.emplace(WorkKey(&server, exchange), work);
    if (arrival.forwarded) {
        std::erase_if(work->message.headers, [](const http::Header &header) {
            return header.name == usedTimeHeader || header.name == usedAttemptsHeader;
        });
        work->secondRequestsFrom = work->arrivedAt + secondRequestDelay;
        server.acknowledge(exchange);
    }
    if (work->ended) {
        // The host that forwarded it has disconnected meanwhile.
        return;
    }
    if (!endsInTime({.now = work->arrivedAt,
                     .endsAt = this->stopsAt,
                     .objectiveAt = work->objectiveAt,
                     .deadlineAt = work->deadlineAt,
                     .gather = work->isGather(),
                     .estimate = state.estimate})) {
        this->refuse(work, stoppingRetryAfter, "the host is stopping");
        return;
    }
    if (arrival.forwarded || !work->isGather() || !this->forwardQuery(work)) {
        this->askServices(work);
    }
}

auto Gateway::Core::askServices(const SharedWork &work) -> void
{
    work->common = this->leafs.commonPart(work->request, work->message);
    this->chooseServices(*work);
    this->askAll(work);
}

auto Gateway::Core::chooseServices(Work &work) -> void
{
    const auto &resolved = *work.resolved;
    if (work.isGather() || resolved.services.size() == 1) {
        for (auto *const service : resolved.services) {
            work.slots.push_back({.service = service});
        }
        work.connections = resolved.connections;
    } else if (!resolved.services.empty()) {
        const auto chosen = chooseWeighted(resolved.state->roundRobin, resolved.weights);
        work.slots.push_back({.service = resolved.services[chosen]});
        work.connections = {resolved.connections[chosen]};
    }
}

} // namespace tamarackspan::gateway
