#include "tamarackspan/query/query_machine.h"

#include "absl/container/inlined_vector.h"

#include <algorithm>

namespace tamarackspan::query {

namespace {

/// A shard of unknown latency is hedged after the remaining time divided by this.
constexpr auto unknownHedgeDivisor = 3;
/// A hedge for which the budget did not suffice is tried again after the hedge delay divided by this.
constexpr auto unpaidHedgeDivisor = 4;
constexpr auto wholePermille = std::uint64_t{1000};
/// The quantile of the service's latency that must fit before the deadline for a query to restart.
constexpr auto restartQuantile = 0.5;

/// Leafs that must not be chosen; most shards have few replicas.
using LeafList = absl::InlinedVector<base::LeafId, 4>;

/// Why a leaf request is sent.
enum class SendReason {
    First,
    Hedge,
    Retry,
    Restart,
};

/// The arguments of one call of the state machine.
struct Call
{
    QueryState &state;
    QueryContext &context;
    absl::Time now;
    std::vector<Action> &actions;
};

auto shardsOf(const QueryState &state) -> const std::vector<contracts::Shard> &
{
    return state.request.view->service.shards;
}

auto isSettled(const ShardProgress &shard) -> bool
{
    return shard.accepted.has_value() || shard.givenUp;
}

auto hedgeDelay(const Call &call, std::uint32_t index) -> absl::Duration
{
    const auto &policy = call.state.request.policy;
    const auto learned = routing::shardLatency(call.context.leafs, shardsOf(call.state)[index].id, policy.hedgeQuantile);
    const auto delay = learned.value_or((call.state.request.deadline - call.now) / unknownHedgeDivisor);
    return std::max(delay, policy.minHedgeDelay);
}

/// Returns the replicas already tried for the shard on the current snapshot.
auto triedLeafs(const QueryState &state, std::uint32_t index) -> LeafList
{
    auto tried = LeafList{};
    if (state.shards[index].attempts == 0) {
        return tried;
    }
    for (auto i = state.roundStart; i < state.attempts.size(); ++i) {
        if (state.attempts[i].shardIndex == index) {
            tried.push_back(state.attempts[i].leaf);
        }
    }
    return tried;
}

/// Chooses a replica that was not tried yet, preferably one that may hold the snapshot.
auto chooseLeaf(Call &call, std::uint32_t index) -> std::optional<base::LeafId>
{
    const auto &replicas = shardsOf(call.state)[index].replicas;
    const auto tried = triedLeafs(call.state, index);
    auto excluded = tried;
    for (const auto &leaf : replicas) {
        if (!mayHold(call.context.leafs, leaf, call.state.pin.indexVersion)) {
            excluded.push_back(leaf);
        }
    }
    auto chosen = routing::chooseReplica(call.context.leafs, replicas, excluded, call.now, call.context.random);
    if (!chosen.has_value() && excluded.size() > tried.size()) {
        chosen = routing::chooseReplica(call.context.leafs, replicas, tried, call.now, call.context.random);
    }
    return chosen;
}

auto count(QueryCounters &counters, SendReason reason) -> void
{
    switch (reason) {
    case SendReason::First:
        ++counters.firstRequests;
        break;
    case SendReason::Hedge:
        ++counters.hedges;
        break;
    case SendReason::Retry:
        ++counters.retries;
        break;
    case SendReason::Restart:
        ++counters.restartRequests;
        break;
    }
}

auto send(Call &call, std::uint32_t index, const base::LeafId &leaf, SendReason reason) -> void
{
    auto &shard = call.state.shards[index];
    const auto delay = hedgeDelay(call, index);
    const auto id = base::AttemptId{static_cast<std::uint32_t>(call.state.attempts.size())};
    call.state.attempts.push_back({index, leaf, call.now, call.now + delay, true});
    ++shard.openAttempts;
    ++shard.attempts;
    shard.hedgeAt = shard.openAttempts == 1 && call.state.request.policy.hedge ? call.now + delay : absl::InfiniteFuture();
    count(call.state.counters, reason);
    routing::noteSent(call.context.leafs, leaf, call.now);
    call.actions.emplace_back(SendAttempt{id, shardsOf(call.state)[index].id, leaf, reason != SendReason::First});
}

auto giveUp(Call &call, std::uint32_t index) -> void
{
    auto &shard = call.state.shards[index];
    shard.givenUp = true;
    shard.hedgeAt = absl::InfiniteFuture();
    --call.state.unsettled;
}

/// Cancels an open attempt that is no longer needed.
auto cancelAttempt(Call &call, std::uint32_t number) -> void
{
    auto &attempt = call.state.attempts[number];
    attempt.open = false;
    --call.state.shards[attempt.shardIndex].openAttempts;
    const auto shard = shardsOf(call.state)[attempt.shardIndex].id;
    routing::noteCancelled(call.context.leafs, attempt.leaf, shard, call.now - attempt.sentAt, call.now >= attempt.overdueAt, call.now);
    call.actions.emplace_back(CancelAttempt{base::AttemptId{number}, attempt.leaf});
}

auto cancelAll(Call &call) -> void
{
    for (auto i = call.state.roundStart; i < call.state.attempts.size(); ++i) {
        if (call.state.attempts[i].open) {
            cancelAttempt(call, i);
        }
    }
}

auto cancelShard(Call &call, std::uint32_t index) -> void
{
    for (auto i = call.state.roundStart; i < call.state.attempts.size() && call.state.shards[index].openAttempts > 0; ++i) {
        if (call.state.attempts[i].open && call.state.attempts[i].shardIndex == index) {
            cancelAttempt(call, i);
        }
    }
}

auto isBelowFloor(const QueryState &state, std::uint32_t shards) -> bool
{
    return wholePermille * shards < std::uint64_t{state.request.coverageFloorPermille} * state.shards.size();
}

auto finish(Call &call) -> void
{
    auto &state = call.state;
    cancelAll(call);
    auto end = Finish{state.pin, {}, static_cast<std::uint32_t>(state.shards.size()), {}, false};
    end.refused = state.request.belowFloor == contracts::BelowFloor::Refuse && isBelowFloor(state, state.covered);
    end.accepted.reserve(state.covered);
    for (auto i = std::size_t{0}; i < state.shards.size(); ++i) {
        if (!state.shards[i].accepted.has_value()) {
            end.missing.push_back(shardsOf(state)[i].id);
        } else {
            end.accepted.push_back(*state.shards[i].accepted);
        }
    }
    state.over = true;
    call.actions.emplace_back(std::move(end));
}

/// Sends a request for each shard on the snapshot just pinned.
auto startRound(Call &call, SendReason reason) -> void
{
    auto &state = call.state;
    const auto total = static_cast<std::uint32_t>(shardsOf(state).size());
    state.roundStart = static_cast<std::uint32_t>(state.attempts.size());
    state.shards.assign(total, ShardProgress{});
    state.unsettled = total;
    state.covered = 0;
    for (auto i = std::uint32_t{0}; i < total; ++i) {
        if (const auto leaf = chooseLeaf(call, i); leaf.has_value()) {
            send(call, i, *leaf, reason);
        } else {
            giveUp(call, i);
        }
    }
}

/// Result of trying to send an extra leaf request.
enum class ExtraResult {
    Sent,
    /// No replica is left, or the shard has reached the maximum number of attempts.
    NoneLeft,
    /// The budget does not allow it now.
    NotPaid,
};

/// Whether an extra leaf request is charged to the operation's extra-load budget.
enum class ExtraPayment {
    Paid,
    /// Used after a draining leaf declined a request without running it. This happens only once for each request in flight when the leaf started draining, and
    /// the new request replaces the declined one.
    Free,
};

/// Sends the shard's request to another replica if the policy and the budget allow it.
auto sendExtra(Call &call, std::uint32_t index, SendReason reason, ExtraPayment payment = ExtraPayment::Paid) -> ExtraResult
{
    const auto &policy = call.state.request.policy;
    if (call.state.shards[index].attempts >= policy.maxAttemptsPerShard) {
        return ExtraResult::NoneLeft;
    }
    const auto leaf = chooseLeaf(call, index);
    if (!leaf.has_value()) {
        return ExtraResult::NoneLeft;
    }
    if (payment == ExtraPayment::Paid && policy.checks.extraLoad && !spendExtraLoad(call.context.extraLoad)) {
        return ExtraResult::NotPaid;
    }
    send(call, index, *leaf, reason);
    return ExtraResult::Sent;
}

auto hedgeShard(Call &call, std::uint32_t index) -> void
{
    const auto result = sendExtra(call, index, SendReason::Hedge);
    if (result != ExtraResult::Sent) {
        auto &hedgeAt = call.state.shards[index].hedgeAt;
        hedgeAt = result == ExtraResult::NotPaid ? call.now + hedgeDelay(call, index) / unpaidHedgeDivisor : absl::InfiniteFuture();
    }
}

/// Restarts the query on another snapshot if more shards hold it than can still be covered on the current one.
auto restart(Call &call) -> bool
{
    auto &state = call.state;
    if (!state.request.policy.restart || state.hasRestarted) {
        return false;
    }
    const auto &view = call.context.newest != nullptr ? call.context.newest : state.request.view;
    const auto choice = choosePin(*view, call.context.leafs);
    const auto needed = call.context.leafs.service.quantile(restartQuantile);
    if (choice.pin == state.pin || choice.shardsHeld <= state.covered + state.unsettled || call.now + needed >= state.request.deadline) {
        return false;
    }
    if (state.request.policy.checks.extraLoad && !spendRestart(call.context.extraLoad, static_cast<std::uint32_t>(view->service.shards.size()))) {
        return false;
    }
    cancelAll(call);
    state.hasRestarted = true;
    state.request.view = view;
    state.pin = choice.pin;
    startRound(call, SendReason::Restart);
    return true;
}

/// Finishes the query if no open attempt can change its answer any more.
auto finishIfSettled(Call &call) -> void
{
    const auto &state = call.state;
    const auto reachable = state.covered + state.unsettled;
    const auto floorUnreachable = state.request.belowFloor == contracts::BelowFloor::Refuse && isBelowFloor(state, reachable);
    if (state.unsettled == 0 || floorUnreachable) {
        finish(call);
    }
}

/// Continues with a shard after one of its attempts ended without rows.
auto continueShard(Call &call, std::uint32_t index, ExtraPayment payment) -> void
{
    auto &shard = call.state.shards[index];
    if (isSettled(shard)) {
        return;
    }
    if (shard.openAttempts > 0) {
        shard.hedgeAt = call.state.request.policy.hedge ? call.now + hedgeDelay(call, index) : absl::InfiniteFuture();
        return;
    }
    if (call.state.request.policy.retry && sendExtra(call, index, SendReason::Retry, payment) == ExtraResult::Sent) {
        return;
    }
    const auto notHeld = shard.notHeld;
    giveUp(call, index);
    if (notHeld) {
        static_cast<void>(restart(call));
    }
    finishIfSettled(call);
}

auto accept(Call &call, std::uint32_t index, base::AttemptId attempt) -> void
{
    auto &shard = call.state.shards[index];
    if (isSettled(shard)) {
        return;
    }
    shard.accepted = attempt;
    shard.hedgeAt = absl::InfiniteFuture();
    --call.state.unsettled;
    ++call.state.covered;
    cancelShard(call, index);
    finishIfSettled(call);
}

auto countIgnored(QueryCounters &counters, ReplyCheck check) -> void
{
    switch (check) {
    case ReplyCheck::Accepted:
        break;
    case ReplyCheck::UnknownAttempt:
        ++counters.unknownAttempt;
        break;
    case ReplyCheck::AttemptOver:
        ++counters.attemptOver;
        break;
    case ReplyCheck::WrongShard:
        ++counters.wrongShard;
        break;
    case ReplyCheck::WrongPin:
        ++counters.wrongPin;
        break;
    }
}

/// Records in the leaf table how an attempt ended.
auto recordEnd(Call &call, const Attempt &attempt, const LeafReply &reply, LeafOutcome outcome) -> void
{
    auto &leafs = call.context.leafs;
    const auto latency = call.now - attempt.sentAt;
    switch (outcome) {
    case LeafOutcome::Complete:
    case LeafOutcome::Partial:
        routing::noteAnswered(leafs, attempt.leaf, reply.shard, latency, call.now);
        break;
    case LeafOutcome::TimedOut:
    case LeafOutcome::Failed:
        routing::noteFailed(leafs, attempt.leaf, reply.shard, latency, call.now);
        break;
    case LeafOutcome::NotHeld:
    case LeafOutcome::Shed:
    case LeafOutcome::Draining:
    case LeafOutcome::Cancelled:
        routing::noteDeclined(leafs, attempt.leaf, call.now);
        break;
    }
    routing::noteReplyStatus(leafs, attempt.leaf, reply.draining || outcome == LeafOutcome::Draining, reply.heldVersions, call.now);
}

} // namespace

auto acceptReply(const QueryState &state, const LeafReply &reply) -> ReplyCheck
{
    const auto number = reply.attempt.get();
    if (number >= state.attempts.size()) {
        return ReplyCheck::UnknownAttempt;
    }
    const auto &attempt = state.attempts[number];
    if (!attempt.open || state.over) {
        return ReplyCheck::AttemptOver;
    }
    if (shardsOf(state)[attempt.shardIndex].id != reply.shard) {
        return ReplyCheck::WrongShard;
    }
    const auto hasRows = reply.outcome == LeafOutcome::Complete || reply.outcome == LeafOutcome::Partial;
    return hasRows && reply.pin != state.pin ? ReplyCheck::WrongPin : ReplyCheck::Accepted;
}

auto startQuery(const QueryRequest &request, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> QueryState
{
    auto state = QueryState{};
    state.request = request;
    state.pin = choosePin(*request.view, context.leafs).pin;
    const auto total = static_cast<std::uint32_t>(request.view->service.shards.size());
    state.attempts.reserve(total + total / 4 + 2);
    actions.reserve(actions.size() + total + 2);
    auto call = Call{state, context, now, actions};
    startRound(call, SendReason::First);
    creditExtraLoad(context.extraLoad, state.counters.firstRequests);
    finishIfSettled(call);
    return state;
}

auto onReply(QueryState &state, QueryContext &context, const LeafReply &reply, absl::Time now, std::vector<Action> &actions) -> void
{
    const auto check = acceptReply(state, reply);
    countIgnored(state.counters, check);
    const auto &checks = state.request.policy.checks;
    const auto crossed = check == ReplyCheck::AttemptOver || check == ReplyCheck::WrongShard;
    if (state.over || check == ReplyCheck::UnknownAttempt || (crossed && checks.attempt)) {
        return;
    }
    const auto outcome = check == ReplyCheck::WrongPin && checks.pin ? LeafOutcome::NotHeld : reply.outcome;
    auto call = Call{state, context, now, actions};
    auto &attempt = state.attempts[reply.attempt.get()];
    if (attempt.shardIndex >= state.shards.size()) {
        return;
    }
    auto &shard = state.shards[attempt.shardIndex];
    shard.openAttempts -= attempt.open ? 1 : 0;
    attempt.open = false;
    recordEnd(call, attempt, reply, outcome);
    if (outcome == LeafOutcome::Complete) {
        accept(call, attempt.shardIndex, reply.attempt);
        return;
    }
    shard.notHeld = shard.notHeld || outcome == LeafOutcome::NotHeld;
    continueShard(call, attempt.shardIndex, outcome == LeafOutcome::Draining ? ExtraPayment::Free : ExtraPayment::Paid);
}

auto onTimer(QueryState &state, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> void
{
    if (state.over) {
        return;
    }
    auto call = Call{state, context, now, actions};
    if (now >= state.request.deadline) {
        finish(call);
        return;
    }
    for (auto i = std::uint32_t{0}; i < state.shards.size(); ++i) {
        if (now >= state.shards[i].hedgeAt) {
            hedgeShard(call, i);
        }
    }
}

auto onCallerDisconnected(QueryState &state, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> void
{
    if (!state.over) {
        auto call = Call{state, context, now, actions};
        finish(call);
    }
}

auto nextWake(const QueryState &state) -> absl::Time
{
    if (state.over) {
        return absl::InfiniteFuture();
    }
    auto wake = state.request.deadline;
    for (const auto &shard : state.shards) {
        wake = std::min(wake, shard.hedgeAt);
    }
    return wake;
}

} // namespace tamarackspan::query
