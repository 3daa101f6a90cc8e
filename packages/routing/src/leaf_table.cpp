#include "tamarackspan/routing/leaf_table.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::routing {

namespace {

/// The latency of a shard or service is used only from this many samples on.
constexpr auto minSamples = 20.0;
/// The latency assumed of an unknown leaf in a service without samples.
constexpr auto unknownLatency = absl::Milliseconds(1);
/// Factor on the score of a leaf whose status endpoint reports it unhealthy.
constexpr auto unhealthyFactor = 1.1;
/// The fraction of its load that a leaf gets at the start of its slow start.
constexpr auto slowStartFloor = 0.05;
/// The weight of one attempt in LeafState::failureFraction.
constexpr auto failureGain = 1.0 / 16;
constexpr auto wholePermille = std::size_t{1000};

auto contains(std::span<const base::LeafId> leafs, const base::LeafId &leaf) -> bool
{
    return std::ranges::find(leafs, leaf) != leafs.end();
}

auto isEjected(const LeafState &leaf) -> bool
{
    return leaf.ejectionDuration > absl::ZeroDuration();
}

auto takesNoNewWork(const LeafState &leaf) -> bool
{
    return leaf.publishedLeaving || leaf.reportedDrainingAt != absl::InfinitePast();
}

/// One replica that may be chosen.
struct Candidate
{
    const base::LeafId *id = nullptr;
    const LeafState *state = nullptr;
};

/// The fraction of its full load that a leaf takes at `now`, from slowStartFloor to 1.
auto slowStartFraction(const RoutingPolicy &policy, const LeafState &leaf, absl::Time now) -> double
{
    if (policy.slowStart <= absl::ZeroDuration() || now - leaf.inUseSince >= policy.slowStart) {
        return 1;
    }
    return std::max(slowStartFloor, absl::FDivDuration(now - leaf.inUseSince, policy.slowStart));
}

auto serviceLatency(const LeafTable &table) -> absl::Duration
{
    return table.service.weight() > 0 ? table.service.quantile(table.policy.choiceQuantile) : unknownLatency;
}

/// The weight of what was learned of the leaf, from 0 to 1; it decays with the age of the last sample.
auto learnedWeight(const RoutingPolicy &policy, const LeafState &leaf, absl::Time now) -> double
{
    return leaf.lastSampleAt == absl::InfinitePast() ? 0.0 : std::exp2(-absl::FDivDuration(now - leaf.lastSampleAt, policy.learnedHalfLife));
}

/// Expected wait at the leaf relative to its siblings; lower is better. As the learned latency ages, it is replaced by the latency of the whole service.
auto score(const LeafTable &table, const LeafState &leaf, absl::Duration service, absl::Time now) -> double
{
    const auto known = learnedWeight(table.policy, leaf, now);
    const auto latency = known * absl::ToDoubleMicroseconds(leaf.typicalLatency) + (1 - known) * absl::ToDoubleMicroseconds(service);
    const auto load = static_cast<double>(leaf.inFlight + 1) * (leaf.unhealthyHint ? unhealthyFactor : 1.0);
    const auto trouble = 1 + table.policy.failureWeight * leaf.failureFraction * known;
    return load * latency * trouble / slowStartFraction(table.policy, leaf, now);
}

auto mayProbe(const LeafState &leaf, absl::Time now) -> bool
{
    return now >= leaf.ejectedUntil && !leaf.probing;
}

/// The replicas in use and the ejected ones, in order of the end of their ejection; leaving and excluded ones are omitted.
struct Candidates
{
    std::vector<Candidate> inUse;
    std::vector<Candidate> ejected;
};

auto gather(const LeafTable &table, std::span<const base::LeafId> replicas, std::span<const base::LeafId> excluded) -> Candidates
{
    static const auto unknown = LeafState{};
    auto candidates = Candidates{};
    for (const auto &id : replicas) {
        if (contains(excluded, id)) {
            continue;
        }
        const auto found = table.leafs.find(id);
        const auto &state = found == table.leafs.end() ? unknown : found->second;
        if (takesNoNewWork(state)) {
            continue;
        }
        (isEjected(state) ? candidates.ejected : candidates.inUse).push_back({&id, &state});
    }
    std::ranges::sort(candidates.ejected, {}, [](const Candidate &candidate) {
        return candidate.state->ejectedUntil;
    });
    return candidates;
}

/// Returns ejected replicas to use, in order of the end of their ejection, while too few are in use.
auto keepMinInUse(Candidates &candidates, std::uint32_t minPermille) -> void
{
    const auto all = candidates.inUse.size() + candidates.ejected.size();
    const auto least = std::max<std::size_t>(1, (all * minPermille + wholePermille - 1) / wholePermille);
    while (candidates.inUse.size() < least && !candidates.ejected.empty()) {
        candidates.inUse.push_back(candidates.ejected.front());
        candidates.ejected.erase(candidates.ejected.begin());
    }
}

auto betterOfTwo(const LeafTable &table, std::span<const Candidate> candidates, absl::Time now, base::Random &random) -> const base::LeafId &
{
    const auto first = random.below(candidates.size());
    if (candidates.size() == 1) {
        return *candidates[first].id;
    }
    const auto second = (first + 1 + random.below(candidates.size() - 1)) % candidates.size();
    const auto service = serviceLatency(table);
    const auto secondIsBetter = score(table, *candidates[second].state, service, now) < score(table, *candidates[first].state, service, now);
    return *candidates[secondIsBetter ? second : first].id;
}

auto updateLearned(LeafTable &table, LeafState &leaf, absl::Time now) -> void
{
    leaf.typicalLatency = leaf.latency.quantile(table.policy.choiceQuantile);
    leaf.lastSampleAt = now;
}

auto endRequest(LeafState &leaf) -> void
{
    leaf.inFlight -= leaf.inFlight > 0 ? 1 : 0;
}

auto addCensoredSample(LeafTable &table, LeafState &leaf, base::ShardId shard, absl::Duration waited, absl::Time now) -> void
{
    leaf.latency.addCensored(waited);
    table.shards[shard].addCensored(waited);
    table.service.addCensored(waited);
    updateLearned(table, leaf, now);
}

auto eject(const RoutingPolicy &policy, LeafState &leaf, absl::Time now) -> void
{
    leaf.ejectionDuration = isEjected(leaf) ? std::min(leaf.ejectionDuration * 2, policy.maxEjection) : policy.firstEjection;
    leaf.ejectedUntil = now + leaf.ejectionDuration;
    leaf.probing = false;
}

/// Ejects a leaf after a failure if that was its probe or if it reached the limit of consecutive failures or overdue attempts.
auto ejectIfDue(const RoutingPolicy &policy, LeafState &leaf, absl::Time now) -> void
{
    const auto tooManyFailures = policy.ejectAfterFailures > 0 && leaf.consecutiveFailures >= policy.ejectAfterFailures;
    const auto tooManyOverdue = policy.ejectAfterOverdue > 0 && leaf.consecutiveOverdue >= policy.ejectAfterOverdue;
    if (isEjected(leaf) ? leaf.probing : (tooManyFailures || tooManyOverdue)) {
        eject(policy, leaf, now);
    }
}

auto reinstate(LeafState &leaf, absl::Time now) -> void
{
    leaf.ejectionDuration = absl::ZeroDuration();
    leaf.probing = false;
    leaf.inUseSince = now;
    // Slow start already limits the load on a leaf that works again, so earlier failures do not count any more.
    leaf.failureFraction = 0;
}

} // namespace

auto updateService(LeafTable &table, const contracts::Service &service, absl::Time now) -> void
{
    const auto allCold = table.leafs.empty();
    for (const auto &[id, published] : service.leafs) {
        const auto [entry, isNew] = table.leafs.try_emplace(id);
        if (isNew && !allCold) {
            entry->second.inUseSince = now;
        }
        entry->second.publishedLeaving = published.leaving;
    }
    absl::erase_if(table.leafs, [&](const auto &entry) {
        return entry.second.inFlight == 0 && !service.leafs.contains(entry.first);
    });
}

auto chooseReplica(LeafTable &table, std::span<const base::LeafId> replicas, std::span<const base::LeafId> excluded, absl::Time now, base::Random &random)
    -> std::optional<base::LeafId>
{
    auto candidates = gather(table, replicas, excluded);
    for (const auto &candidate : candidates.ejected) {
        if (mayProbe(*candidate.state, now)) {
            return *candidate.id;
        }
    }
    keepMinInUse(candidates, table.policy.minInUsePermille);
    if (candidates.inUse.empty()) {
        return std::nullopt;
    }
    if (table.policy.choice == ReplicaChoice::RoundRobin) {
        return *candidates.inUse[table.nextRoundRobin++ % candidates.inUse.size()].id;
    }
    return betterOfTwo(table, candidates.inUse, now, random);
}

auto noteSent(LeafTable &table, const base::LeafId &leaf, absl::Time now) -> void
{
    auto &state = table.leafs[leaf];
    ++state.inFlight;
    if (isEjected(state) && now >= state.ejectedUntil) {
        state.probing = true;
    }
}

auto noteAnswered(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration latency, absl::Time now) -> void
{
    auto &state = table.leafs[leaf];
    endRequest(state);
    state.latency.add(latency);
    table.shards[shard].add(latency);
    table.service.add(latency);
    updateLearned(table, state, now);
    state.consecutiveFailures = 0;
    state.failureFraction -= state.failureFraction * failureGain;
    state.consecutiveOverdue = 0;
    if (isEjected(state)) {
        reinstate(state, now);
    }
}

auto noteFailed(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration waited, absl::Time now) -> void
{
    auto &state = table.leafs[leaf];
    endRequest(state);
    addCensoredSample(table, state, shard, waited, now);
    ++state.consecutiveFailures;
    state.failureFraction += (1 - state.failureFraction) * failureGain;
    ejectIfDue(table.policy, state, now);
}

auto noteCancelled(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration waited, bool overdue, absl::Time now) -> void
{
    auto &state = table.leafs[leaf];
    endRequest(state);
    addCensoredSample(table, state, shard, waited, now);
    if (overdue) {
        ++state.consecutiveOverdue;
        state.failureFraction += (1 - state.failureFraction) * failureGain;
        ejectIfDue(table.policy, state, now);
    } else {
        state.probing = false;
    }
}

auto noteDeclined(LeafTable &table, const base::LeafId &leaf, absl::Time /*now*/) -> void
{
    auto &state = table.leafs[leaf];
    endRequest(state);
    state.probing = false;
}

auto noteReplyStatus(LeafTable &table, const base::LeafId &leaf, bool draining, std::span<const base::IndexVersion> heldVersions, absl::Time now) -> void
{
    auto &state = table.leafs[leaf];
    if (draining) {
        state.reportedDrainingAt = now;
    }
    if (!heldVersions.empty() && !std::ranges::equal(state.heldVersions, heldVersions)) {
        state.heldVersions.assign(heldVersions.begin(), heldVersions.end());
    }
}

auto noteEndpointStatus(LeafTable &table, const base::LeafId &leaf, bool draining, bool unhealthy, absl::Time now) -> void
{
    auto &state = table.leafs[leaf];
    state.unhealthyHint = unhealthy || draining;
    if (!draining && state.reportedDrainingAt != absl::InfinitePast() && now - state.reportedDrainingAt >= table.policy.drainReportValidity) {
        state.reportedDrainingAt = absl::InfinitePast();
        state.inUseSince = now;
    }
}

auto isLeaving(const LeafTable &table, const base::LeafId &leaf) -> bool
{
    const auto found = table.leafs.find(leaf);
    return found != table.leafs.end() && takesNoNewWork(found->second);
}

auto shardLatency(const LeafTable &table, base::ShardId shard, double fraction) -> std::optional<absl::Duration>
{
    const auto found = table.shards.find(shard);
    if (found != table.shards.end() && found->second.weight() >= minSamples) {
        return found->second.quantile(fraction);
    }
    if (table.service.weight() >= minSamples) {
        return table.service.quantile(fraction);
    }
    return std::nullopt;
}

} // namespace tamarackspan::routing
