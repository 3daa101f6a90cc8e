#include "tamarackspan/gateway/reachability_decision.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// Below this share of servable requests, callers are better served elsewhere: a new connection costs them less than a refusal for each fourth request.
constexpr auto minServable = 0.75;

} // namespace

auto afterRequest(DataCentreReachability reach, std::uintptr_t leaf, absl::Time now) -> DataCentreReachability
{
    reach.unansweredSince = std::min(reach.unansweredSince, now);
    const auto known = reach.askedLeafs.begin() + static_cast<std::ptrdiff_t>(reach.askedCount);
    if (reach.askedCount < DataCentreReachability::minUnresponsiveLeafs && std::find(reach.askedLeafs.begin(), known, leaf) == known) {
        reach.askedLeafs[reach.askedCount] = leaf;
        ++reach.askedCount;
    }
    return reach;
}

auto afterPeerReport(DataCentreReachability reach, const ReachabilityOptions &options, absl::Time now) -> DataCentreReachability
{
    reach.unansweredSince = std::min(reach.unansweredSince, now - options.suspectAfter);
    reach.askedCount = DataCentreReachability::minUnresponsiveLeafs;
    return reach;
}

auto isUnresponsive(const DataCentreReachability &reach, const ReachabilityOptions &options, absl::Time now) -> bool
{
    return reach.cutOff || (reach.askedCount == DataCentreReachability::minUnresponsiveLeafs && now - reach.unansweredSince >= options.suspectAfter);
}

auto advanceReachability(DataCentreReachability reach, const ReachabilityOptions &options, absl::Time now) -> ReachabilityStep
{
    auto step = ReachabilityStep{.next = reach};
    if (!isUnresponsive(reach, options, now)) {
        return step;
    }
    step.probe = now >= reach.nextProbeAt;
    if (step.probe) {
        step.next.nextProbeAt = now + options.probeInterval;
        step.next.probedSince = std::min(reach.probedSince, now);
    }
    step.next.cutOff = reach.cutOff || now - reach.probedSince >= options.probeTimeout;
    return step;
}

auto isAnyCutOff(const ReachabilityMap &reach) -> bool
{
    return std::ranges::any_of(reach, [](const auto &entry) {
        return entry.second.cutOff;
    });
}

auto shouldReportUnready(const ReadinessView &view) -> bool
{
    return 2 * view.hostsInReach < view.allHosts && view.servable < minServable;
}

} // namespace tamarackspan::gateway
