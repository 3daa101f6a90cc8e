#include "impl/gateway_core.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/decisions/gather_decision.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::gateway {

namespace {

using namespace impl;

/// Maximum retry time for a rejected caller, as a share of its remaining time.
constexpr auto maxRetryShare = 1.0 / 3.0;
/// Retry time after a refusal because data centres are cut off: by then the balancer has missed two checks a second apart and sends callers elsewhere.
constexpr auto cutOffRetryAfter = absl::Milliseconds(2100);
/// Maximum length of a leaf's own text in a log line.
constexpr auto maxLoggedValue = std::size_t{40};
/// Minimum time given to a leaf, so that none is told to stop before it begins.
constexpr auto minLeafTimeout = absl::Milliseconds(1);

} // namespace

auto Gateway::Core::askAll(const SharedWork &work) -> void
{
    const auto now = base::monotonicNow();
    const auto times = this->acceptTimes(*work, now);
    const auto served = static_cast<std::size_t>(std::ranges::count(times, now));
    const auto floor = work->isGather() ? work->operation().coverageFloor : 1.0;
    if (!reachesFloor(served, work->slots.size(), floor)) {
        this->refuseUnservable(work, servableFrom(times, floor) - now);
        return;
    }
    const auto timeLeft = (work->isGather() ? work->objectiveAt : work->deadlineAt) - now;
    auto chosen = std::vector<std::shared_ptr<KnownLeaf>>();
    chosen.reserve(work->slots.size());
    auto queues = std::vector<LeafQueue>();
    queues.reserve(work->slots.size());
    for (auto at = std::size_t{0}; at < work->slots.size(); ++at) {
        chosen.push_back(this->chooseLeaf(work->slots[at], now));
        queues.push_back(this->queueOf(*work, at, chosen.back()));
    }
    if (const auto admission = decideAdmission(queues, floor, timeLeft); !admission.admit) {
        auto &schedule = work->resolved->state->retrySchedule;
        const auto retry = scheduleRetry(schedule, admission, (work->deadlineAt - now) * maxRetryShare, now);
        schedule = retry.next;
        this->refuse(work, retry.retryAfter, "leafs have more to do than they can in time");
        return;
    }
    for (auto at = std::size_t{0}; at < work->slots.size(); ++at) {
        work->slots[at].service->extraRequests.countRequest(work->arrivedAt);
        work->slots[at].failed = !servesInTime(queues[at], timeLeft) || chosen[at] == nullptr;
        if (!work->slots[at].failed) {
            this->ask(work, at, chosen[at]);
        }
    }
    this->decide(work);
}

auto Gateway::Core::refuseUnservable(const SharedWork &work, absl::Duration untilServable) -> void
{
    if (untilServable < absl::InfiniteDuration()) {
        this->refuse(work, untilServable, "its leafs want no requests for a while");
    } else if (std::ranges::any_of(work->slots, [this](const Slot &slot) {
                   return std::ranges::any_of(slot.service->leafs, [this](const auto &leaf) {
                       return this->evacuatedUntil(*leaf) == absl::InfiniteFuture();
                   });
               })) {
        this->refuse(work, evacuatedRetryAfter, "data centres that hold its leafs are evacuated");
    } else if (isAnyCutOff(this->reach)) {
        this->refuse(work, cutOffRetryAfter, cutOffReason);
    } else {
        this->refuse(work, missingLeafsRetryAfter, "too few services have leafs");
    }
}

auto Gateway::Core::ask(const SharedWork &work, std::size_t at, const std::shared_ptr<KnownLeaf> &leaf) -> void
{
    auto &slot = work->slots[at];
    const auto now = base::monotonicNow();
    if (this->avoidsColdLeaf(slot, *leaf, now)) {
        this->metrics.add(this->coldLeafsAvoided);
    }
    if (isCold(*leaf, now)) {
        leaf->warmUpUsedAt = now;
    }
    ++slot.service->roundRobinStart;
    const auto place = slot.attempts.size();
    slot.attempts.push_back({.leaf = leaf, .calledAt = now});
    ++leaf->condition.inFlight;
    auto &reached = this->reach[leaf->entry.dataCentre];
    reached = afterRequest(reached, reinterpret_cast<std::uintptr_t>(leaf.get()), now);
    const auto timeLeft = std::max(work->deadlineAt - now, minLeafTimeout);
    const auto share = this->connectionShare(work->connections[at], *work);
    auto call = http::Call{
        .pool = leaf->pool,
        .endpoint = leaf->entry.endpoint,
        .bytes = this->leafs.request(work->common, work->message, leaf->entry, timeLeft),
        .isHead = isHead(work->message),
        .rank = work->operation().priority,
        .maxConnections = share.connections,
        .idleTimeout = share.idleTimeout,
        .matchesResponse =
            [this, work, leaf](const http::StreamMessage &response) {
                this->noteNotice(leaf, this->leafs.parseNotice(response));
                return this->belongs(*work, *leaf, response);
            },
        .onSent =
            [work, at, place] {
                work->slots[at].attempts[place].sent = true;
            },
        .onResult =
            [this, work, at, place](http::CallResult result) {
                this->onResult(work, at, place, std::move(result));
            },
    };
    const auto id = this->client.call(std::move(call));
    work->slots[at].attempts[place].call = id;
}

auto Gateway::Core::belongs(const Work &work, const KnownLeaf &leaf, const http::StreamMessage &response) -> bool
{
    if (this->leafs.belongs(work.request.id, response)) {
        return true;
    }
    this->metrics.add(this->foreignAnswers);
    this->log.info("an answer isn't this request's and is discarded; the request waits on",
                   {{"request", work.request.id}, {"leaf", leaf.entry.id}, {"status", response.status}});
    return false;
}

auto Gateway::Core::noteNotice(const std::shared_ptr<KnownLeaf> &leaf, const LeafNotice &notice) -> void
{
    const auto &id = leaf->entry.id;
    if (notice.leaving && this->directory.markLeaving(leaf, base::monotonicNow())) {
        this->metrics.add(this->leavingNotices);
        this->log.info("a leaf states that it leaves; it gets no new requests", {{"leaf", id}, {"started_at", leaf->entry.startedAt}});
    }
    if (!notice.invalidBackoff.empty()) {
        this->log.warning("a leaf's time without requests is malformed or too long",
                          {{"leaf", id}, {"value", notice.invalidBackoff.substr(0, maxLoggedValue)}, {"used_ms", absl::ToInt64Milliseconds(notice.backoff)}});
    }
    if (notice.backoff <= absl::ZeroDuration()) {
        return;
    }
    const auto now = base::monotonicNow();
    if (this->directory.backOff(leaf, now + notice.backoff, now)) {
        this->metrics.add(this->backoffNotices);
        this->log.info("a leaf wants no requests for a while", {{"leaf", id}, {"for_ms", absl::ToInt64Milliseconds(notice.backoff)}});
        this->client.rejectQueued(leaf->pool);
    }
}

auto Gateway::Core::askAnother(const SharedWork &work, std::size_t at) -> bool
{
    auto &slot = work->slots[at];
    const auto sent = sentCount(slot);
    const auto now = base::monotonicNow();
    const auto leaf = this->chooseLeaf(slot, now);
    if (leaf == nullptr || sent + work->attemptsElsewhere >= work->operation().attempts) {
        return false;
    }
    if (sent > 0) {
        if (!slot.service->extraRequests.take(now, this->extraRequestOptions(*work))) {
            return false;
        }
        this->metrics.add(this->extraRequests);
    }
    this->ask(work, at, leaf);
    return true;
}

auto Gateway::Core::onResult(const SharedWork &work, std::size_t at, std::size_t place, http::CallResult result) -> void
{
    auto &slot = work->slots[at];
    auto &attempt = slot.attempts[place];
    attempt.open = false;
    auto &condition = attempt.leaf->condition;
    --condition.inFlight;
    const auto now = base::monotonicNow();
    auto verdict = LeafVerdict::Failure;
    auto signature = std::string();
    if (result.outcome == http::CallOutcome::Answered) {
        this->reach[attempt.leaf->entry.dataCentre] = DataCentreReachability();
        auto reply = this->leafs.parseReply(result.response);
        verdict = reply.verdict;
        signature = std::move(reply.signature);
    }
    if (result.outcome == http::CallOutcome::Answered && verdict == LeafVerdict::Success) {
        const auto latency = now - attempt.calledAt;
        auto &estimate = work->resolved->state->estimate;
        condition = afterAnswer(condition, absl::FDivDuration(latency, estimate.median), now);
        estimate = observed(estimate, latency);
        if (!slot.answered) {
            slot.answered = true;
            slot.signature = std::move(signature);
            slot.response = std::move(result.response);
            ++work->answeredCount;
            this->cancelOpenAttempts(slot);
        }
        if (!work->ended && (work->answeredCount == work->slots.size() || now >= work->objectiveAt)) {
            this->decide(work);
        }
        return;
    }
    this->noteConnectionFailure(attempt.leaf, result, now);
    this->noteCutOffAnswer(*work, *attempt.leaf, result);
    const auto lost = result.outcome != http::CallOutcome::Answered && !result.connectionHadResponse;
    condition = lost ? afterLostConnection(condition, now) : afterFailure(condition, now);
    work->lastFailure = result.outcome == http::CallOutcome::Answered ? absl::StrCat(attempt.leaf->entry.id, " status ", result.response.status)
                                                                      : absl::StrCat(attempt.leaf->entry.id, " ", http::failureText(result));
    if (verdict == LeafVerdict::WrongLeaf) {
        this->log.warning("another leaf answers at this address", {{"leaf", attempt.leaf->entry.id}, {"request", work->request.id}});
        this->directory.markReplaced(attempt.leaf);
    }
    if (work->ended || slot.answered) {
        return;
    }
    const auto notRun = result.outcome == http::CallOutcome::NotSent || verdict == LeafVerdict::NotRun || verdict == LeafVerdict::WrongLeaf;
    if (result.outcome == http::CallOutcome::Answered && verdict == LeafVerdict::Failure) {
        slot.hasFailure = true;
        slot.response = std::move(result.response);
    }
    attempt.notRun = notRun;
    if (hasOpenAttempt(slot)) {
        return;
    }
    const auto mayRepeat = work->operation().repeatable || notRun;
    if (mayRepeat && !notRun && now < work->secondRequestsFrom) {
        // Retried like an overdue request, once second requests are allowed.
        attempt.overdueNoted = true;
        this->decide(work);
        return;
    }
    if (mayRepeat && this->askAnother(work, at)) {
        ++work->retries;
        return;
    }
    slot.failed = true;
    this->decide(work);
}

auto Gateway::Core::noteConnectionFailure(const std::shared_ptr<KnownLeaf> &leaf, const http::CallResult &result, absl::Time now) -> void
{
    // A single answer that is lost on a connection that worked before is no sign of a new start.
    if (result.connectionFailed && (!result.connectionHadResponse || leaf->condition.consecutiveFailures > 0)) {
        this->directory.assumeCold(leaf, now);
    }
}

auto Gateway::Core::noteCutOffAnswer(const Work &work, const KnownLeaf &leaf, const http::CallResult &result) -> void
{
    if (!result.connectionEnd.has_value() || !http::isCutOff(*result.connectionEnd)) {
        return;
    }
    const auto &end = *result.connectionEnd;
    this->metrics.add(this->cutOffAnswers);
    this->log.info("an answer of a leaf was cut off and is discarded",
                   {{"request", work.request.id},
                    {"leaf", leaf.entry.id},
                    {"received_bytes", end.receivedBytes},
                    {"unsent_bytes", end.unsentBytes},
                    {"error", http::errorText(end)}});
}

auto Gateway::Core::cancelOpenAttempts(Slot &slot) -> void
{
    for (auto &attempt : slot.attempts) {
        if (attempt.open) {
            attempt.open = false;
            --attempt.leaf->condition.inFlight;
            this->client.cancel(attempt.call);
        }
    }
}

auto Gateway::Core::hedge(const SharedWork &work, std::size_t at, absl::Time now) -> void
{
    auto &slot = work->slots[at];
    auto &late = slot.attempts.back();
    if (!std::exchange(late.overdueNoted, true)) {
        const auto silence = absl::FDivDuration(now - late.calledAt, work->resolved->state->estimate.median);
        late.leaf->condition = afterOverdueRequest(late.leaf->condition, silence, now);
    }
    if (late.open && !late.sent) {
        late.open = false;
        --late.leaf->condition.inFlight;
        this->client.cancel(late.call);
    }
    if (this->askAnother(work, at)) {
        ++work->hedges;
    }
}

auto Gateway::Core::decide(const SharedWork &work) -> void
{
    if (work->ended) {
        return;
    }
    if (work->forwardCall != 0) {
        this->onNeighbourTimeout(work);
        return;
    }
    const auto now = base::monotonicNow();
    const auto extra = this->extraRequestOptions(*work);
    auto views = std::vector<ShardView>();
    views.reserve(work->slots.size());
    for (auto &slot : work->slots) {
        auto view = ShardView{.answered = slot.answered, .failed = slot.failed};
        if (!slot.answered && !slot.failed && this->canHedge(*work, slot, now, extra)) {
            view.canHedge = true;
            view.hedgeAt = std::max(this->hedgeAt(*work, slot), work->secondRequestsFrom);
        } else if (!slot.answered && !slot.attempts.empty() && !hasOpenAttempt(slot)) {
            slot.failed = true;
            view.failed = true;
        }
        views.push_back(view);
    }
    const auto options = GatherOptions{.objectiveAt = work->isGather() ? work->objectiveAt : work->deadlineAt,
                                       .deadlineAt = work->deadlineAt,
                                       .coverageFloor = work->isGather() ? work->operation().coverageFloor : 1.0};
    const auto decision = decideGather(options, views, now);
    switch (decision.action) {
    case GatherDecision::Action::Answer:
        this->answer(work);
        return;
    case GatherDecision::Action::Fail:
        this->conclude(work, RefusalKind::Failed);
        return;
    case GatherDecision::Action::TimeOut:
        this->conclude(work, RefusalKind::TimedOut);
        return;
    case GatherDecision::Action::Wait:
        break;
    }
    for (const auto at : decision.hedges) {
        this->hedge(work, at, now);
    }
    // After a hedge the shard's next step is in the future again; decide again soon.
    const auto nextAt = decision.hedges.empty() ? decision.nextAt : std::min(decision.nextAt, now + work->resolved->state->estimate.median);
    this->setTimer(work, nextAt);
}

auto Gateway::Core::setTimer(const SharedWork &work, absl::Time at) -> void
{
    if (work->timer != 0) {
        this->loop.cancelTimer(work->timer);
    }
    work->timerAt = at;
    work->timer = this->loop.runAt(at, [this, work] {
        work->timer = 0;
        this->timerDelay = observed(this->timerDelay, base::monotonicNow() - work->timerAt);
        this->decide(work);
    });
}

} // namespace tamarackspan::gateway
