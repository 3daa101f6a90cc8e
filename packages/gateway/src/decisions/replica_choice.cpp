#include "tamarackspan/gateway/decisions/replica_choice.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::gateway {

namespace {

/// Weight of one answer in a leaf's latency and failure share: a change shows after about four.
constexpr auto answerWeight = 0.25;
/// A leaf of another data centre costs as much as this additional relative latency: two network trips of about a millisecond, and traffic that is paid for. At
/// half of it a fifth more bytes go between data centres, and queries are answered no better; larger values were not tried.
constexpr auto remoteCost = 0.6;
/// Leafs answer about this much slower just after their start.
constexpr auto warmUpCost = 0.6;
/// A failure costs the caller a second request: twice the usual latency and a share of the budget for extra requests.
constexpr auto failureCost = 4.0;
/// A leaf that seems paused or lost is used only when no other is left.
constexpr auto suspectCost = 100.0;
/// How long a leaf is suspected after the first request that it didn't answer; the leafs' usual pauses end within it. Doubles with each further one.
constexpr auto firstSuspicion = absl::Milliseconds(250);
constexpr auto longestSuspicion = absl::Seconds(2);
constexpr auto maxDoublings = std::uint32_t{3};
/// Limits of a leaf's latency relative to the usual one, so that one answer can't exclude it for good.
constexpr auto slowestRatio = 20.0;
constexpr auto fastestRatio = 0.2;

/// Half-life of what is known of a leaf that gets no requests: a fault may be over, and only a request can show it. Faults last some seconds.
constexpr auto halfLife = absl::Seconds(2);

/// Returns the remaining weight, from 0 to 1, of what was recorded at a time.
auto remainingWeight(absl::Time notedAt, absl::Time now) -> double
{
    return notedAt == absl::InfinitePast() ? 1.0 : std::exp2(-absl::FDivDuration(std::max(now - notedAt, absl::ZeroDuration()), halfLife));
}

auto suspicionAfter(std::uint32_t failures) -> absl::Duration
{
    return std::min(firstSuspicion * (std::int64_t{1} << std::min(failures, maxDoublings)), longestSuspicion);
}

} // namespace

auto replicaCost(const ReplicaCandidate &candidate, absl::Time now) -> double
{
    const auto &condition = candidate.condition;
    const auto load = static_cast<double>(condition.inFlight) / static_cast<double>(std::max(candidate.slots, 1U));
    const auto counts = remainingWeight(condition.notedAt, now);
    const auto slowness = 1.0 + (condition.slowness - 1.0) * counts;
    auto cost = slowness * (1.0 + load) + condition.failureShare * counts * failureCost;
    cost += candidate.sameDataCentre ? 0.0 : remoteCost;
    cost += candidate.warmingUp ? warmUpCost : 0.0;
    cost += now < condition.suspectUntil ? suspectCost : 0.0;
    return cost;
}

auto chooseReplica(std::span<const ReplicaCandidate> candidates, std::size_t start, absl::Time now) -> std::optional<std::size_t>
{
    auto best = std::optional<std::size_t>();
    auto bestCost = 0.0;
    for (auto step = std::size_t{0}; step < candidates.size(); ++step) {
        const auto at = (start + step) % candidates.size();
        if (candidates[at].excluded) {
            continue;
        }
        const auto cost = replicaCost(candidates[at], now);
        if (!best.has_value() || cost < bestCost) {
            best = at;
            bestCost = cost;
        }
    }
    return best;
}

auto afterAnswer(LeafCondition condition, double relative, absl::Time now) -> LeafCondition
{
    condition.notedAt = now;
    condition.slowness += answerWeight * (std::clamp(relative, fastestRatio, slowestRatio) - condition.slowness);
    condition.failureShare -= answerWeight * condition.failureShare;
    condition.consecutiveFailures = 0;
    condition.suspectUntil = absl::InfinitePast();
    return condition;
}

auto afterFailure(LeafCondition condition, absl::Time now) -> LeafCondition
{
    condition.notedAt = now;
    condition.failureShare += answerWeight * (1.0 - condition.failureShare);
    if (condition.consecutiveFailures > 0) {
        condition.suspectUntil = std::max(condition.suspectUntil, now + suspicionAfter(condition.consecutiveFailures - 1));
    }
    ++condition.consecutiveFailures;
    return condition;
}

auto afterLostConnection(LeafCondition condition, absl::Time now) -> LeafCondition
{
    condition = afterFailure(condition, now);
    condition.suspectUntil = std::max(condition.suspectUntil, now + suspicionAfter(condition.consecutiveFailures - 1));
    return condition;
}

auto afterOverdueRequest(LeafCondition condition, double relative, absl::Time now) -> LeafCondition
{
    condition.notedAt = now;
    condition.slowness = std::max(condition.slowness, std::min(relative, slowestRatio) * answerWeight + condition.slowness * (1.0 - answerWeight));
    condition.suspectUntil = std::max(condition.suspectUntil, now + suspicionAfter(condition.consecutiveFailures));
    ++condition.consecutiveFailures;
    return condition;
}

} // namespace tamarackspan::gateway
