#include "tamarackspan/gateway/decisions/gather_decision.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// Tolerance of the comparison, so that 17 of 20 reach a floor of 0.85 despite rounding.
constexpr auto shareTolerance = 1e-9;

} // namespace

auto reachesFloor(std::size_t answered, std::size_t total, double coverageFloor) noexcept -> bool
{
    return answered > 0 && static_cast<double>(answered) + shareTolerance >= coverageFloor * static_cast<double>(total);
}

auto servableFrom(std::span<const absl::Time> acceptTimes, double coverageFloor) -> absl::Time
{
    auto sorted = std::vector<absl::Time>(acceptTimes.begin(), acceptTimes.end());
    std::ranges::sort(sorted);
    for (auto count = std::size_t{1}; count <= sorted.size(); ++count) {
        if (reachesFloor(count, sorted.size(), coverageFloor)) {
            return sorted[count - 1];
        }
    }
    return absl::InfiniteFuture();
}

auto decideGather(const GatherOptions &options, std::span<const ShardView> shards, absl::Time now) -> GatherDecision
{
    const auto answered = static_cast<std::size_t>(std::ranges::count_if(shards, &ShardView::answered));
    const auto open = static_cast<std::size_t>(std::ranges::count_if(shards, [](const ShardView &shard) {
        return !shard.answered && !shard.failed;
    }));
    auto decision = GatherDecision();
    if (!reachesFloor(answered + open, shards.size(), options.coverageFloor)) {
        decision.action = GatherDecision::Action::Fail;
        return decision;
    }
    const auto enough = reachesFloor(answered, shards.size(), options.coverageFloor);
    if (enough && (open == 0 || now >= options.objectiveAt)) {
        decision.action = GatherDecision::Action::Answer;
        return decision;
    }
    if (now >= options.deadlineAt) {
        decision.action = GatherDecision::Action::TimeOut;
        return decision;
    }
    decision.nextAt = now < options.objectiveAt ? std::min(options.objectiveAt, options.deadlineAt) : options.deadlineAt;
    for (auto at = std::size_t{0}; at < shards.size(); ++at) {
        const auto &shard = shards[at];
        if (shard.answered || shard.failed || !shard.canHedge) {
            continue;
        }
        if (now >= shard.hedgeAt) {
            decision.hedges.push_back(at);
        } else {
            decision.nextAt = std::min(decision.nextAt, shard.hedgeAt);
        }
    }
    return decision;
}

} // namespace tamarackspan::gateway
