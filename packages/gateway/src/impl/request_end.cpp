#include "impl/gateway_core.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/decisions/gather_decision.h"
#include "tamarackspan/gateway/record_merge.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::gateway {

namespace {

using namespace impl;

} // namespace

auto Gateway::Core::answer(const SharedWork &work) -> void
{
    if (!work->isGather()) {
        this->end(work, "answered", work->resolved->state->answered);
        work->server->answer(work->exchange, this->leafs.relay(std::move(work->slots.front().response)));
        return;
    }
    auto parts = std::vector<std::string_view>();
    auto gathered = GatheredAnswer{.missing = work->slots.size() - work->answeredCount};
    for (const auto &slot : work->slots) {
        if (slot.answered) {
            parts.emplace_back(slot.response.body);
            gathered.signatures.push_back(slot.signature);
        }
    }
    gathered.records = mergeGreatest(parts, work->operation().topRecords);
    this->end(work, gathered.missing == 0 ? "answered" : "answered without some shards",
              gathered.missing == 0 ? work->resolved->state->answered : work->resolved->state->incomplete);
    work->server->answer(work->exchange, this->callers.gathered(gathered));
}

auto Gateway::Core::conclude(const SharedWork &work, RefusalKind kind) -> void
{
    if (work->slots.size() == 1 && !work->isGather() && work->slots.front().hasFailure && kind == RefusalKind::Failed) {
        this->end(work, "leaf failed", work->resolved->state->failed);
        work->server->answer(work->exchange, this->leafs.relay(std::move(work->slots.front().response)));
        return;
    }
    const auto now = base::monotonicNow();
    const auto from = servableFrom(this->acceptTimes(*work, now), work->isGather() ? work->operation().coverageFloor : 1.0);
    const auto untilServable = from == absl::InfiniteFuture() ? absl::ZeroDuration() : from - now;
    this->endUnanswered(work, kind, std::max(missingLeafsRetryAfter, untilServable), "no leaf took it");
}

auto Gateway::Core::cutOffNames() const -> std::string
{
    auto names = std::string();
    for (const auto &[name, reached] : this->reach) {
        if (reached.cutOff) {
            absl::StrAppend(&names, names.empty() ? "" : ",", name);
        }
    }
    return names;
}

auto Gateway::Core::refuse(const SharedWork &work, absl::Duration retryAfter, std::string_view reason) -> void
{
    if (mayHaveRun(*work)) {
        work->lastFailure = reason;
    }
    this->endUnanswered(work, RefusalKind::Failed, retryAfter, reason);
}

auto Gateway::Core::endUnanswered(const SharedWork &work, RefusalKind kind, absl::Duration retryAfter, std::string_view reason) -> void
{
    if (mayHaveRun(*work)) {
        this->end(work, kind == RefusalKind::TimedOut ? "timed out" : "failed", work->resolved->state->failed);
        work->server->answer(work->exchange, this->callers.refusal({.kind = kind}));
        return;
    }
    work->retryAfter = retryAfter;
    this->end(work, std::string("not run: ").append(reason), work->resolved->state->refused);
    auto answer = this->callers.refusal({.kind = RefusalKind::NotRun, .retryAfter = retryAfter});
    if (work->fromNeighbour && reason == cutOffReason) {
        answer.headers.push_back({outOfReachHeader, this->cutOffNames()});
    }
    work->server->answer(work->exchange, answer);
}

auto Gateway::Core::end(const SharedWork &work, std::string_view outcome, metrics::CounterId counter) -> void
{
    work->ended = true;
    if (work->timer != 0) {
        this->loop.cancelTimer(work->timer);
        work->timer = 0;
    }
    const auto took = base::monotonicNow() - work->arrivedAt;
    const auto details = describeSlots(*work);
    for (auto &slot : work->slots) {
        this->cancelOpenAttempts(slot);
    }
    if (work->forwardCall != 0) {
        --this->neighbours[work->forwardedTo].inFlight;
        this->client.cancel(std::exchange(work->forwardCall, 0));
    }
    this->works.erase(WorkKey(work->server, work->exchange));
    this->metrics.add(counter);
    this->metrics.observe(work->resolved->state->latency, took);
    this->log.info("request ended",
                   {{"request", work->request.id},
                    {"operation", work->operation().name},
                    {"outcome", outcome},
                    {"version", work->published->catalogue->version},
                    {"ms", absl::ToInt64Milliseconds(took)},
                    {"services", work->slots.size()},
                    {"in", work->answeredCount},
                    {"hedges", work->hedges},
                    {"retries", work->retries},
                    {"host", work->forwardedTo},
                    {"objective_ms", absl::ToInt64Milliseconds(work->objectiveAt - work->arrivedAt)},
                    {"deadline_ms", absl::ToInt64Milliseconds(work->deadlineAt - work->arrivedAt)},
                    {"usual_ms", absl::ToInt64Milliseconds(work->resolved->state->estimate.median)},
                    {"slow_ms", absl::ToInt64Milliseconds(work->resolved->state->estimate.p95)},
                    {"come_back_ms", absl::ToInt64Milliseconds(work->retryAfter)},
                    {"last_failure", work->lastFailure},
                    {"leafs", details}});
}

} // namespace tamarackspan::gateway
