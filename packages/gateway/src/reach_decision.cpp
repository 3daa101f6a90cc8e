#include "tamarackspan/gateway/reach_decision.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// Below this share of servable requests, callers are better served elsewhere: a new connection costs them less than a refusal for each fourth request.
constexpr auto minServable = 0.75;

} // namespace

auto afterAsking(DataCentreReach reach, std::uintptr_t leaf, absl::Time now) -> DataCentreReach
{
    reach.silentSince = std::min(reach.silentSince, now);
    const auto known = reach.askedLeafs.begin() + static_cast<std::ptrdiff_t>(reach.askedCount);
    if (reach.askedCount < DataCentreReach::enoughLeafs && std::find(reach.askedLeafs.begin(), known, leaf) == known) {
        reach.askedLeafs[reach.askedCount] = leaf;
        ++reach.askedCount;
    }
    return reach;
}

auto afterWarning(DataCentreReach reach, const ReachTerms &terms, absl::Time now) -> DataCentreReach
{
    reach.silentSince = std::min(reach.silentSince, now - terms.suspectAfter);
    reach.askedCount = DataCentreReach::enoughLeafs;
    return reach;
}

auto isSilent(const DataCentreReach &reach, const ReachTerms &terms, absl::Time now) -> bool
{
    return reach.cutOff || (reach.askedCount == DataCentreReach::enoughLeafs && now - reach.silentSince >= terms.suspectAfter);
}

auto advanceReach(DataCentreReach reach, const ReachTerms &terms, absl::Time now) -> ReachStep
{
    auto step = ReachStep{.next = reach};
    if (!isSilent(reach, terms, now)) {
        return step;
    }
    step.probe = now >= reach.nextProbeAt;
    if (step.probe) {
        step.next.nextProbeAt = now + terms.probeInterval;
        step.next.probedSince = std::min(reach.probedSince, now);
    }
    step.next.cutOff = reach.cutOff || now - reach.probedSince >= terms.probePatience;
    return step;
}

auto isAnyCutOff(const Reach &reach) -> bool
{
    return std::ranges::any_of(reach, [](const auto &entry) {
        return entry.second.cutOff;
    });
}

auto stepsDown(const StepDownView &view) -> bool
{
    return 2 * view.hostsInReach < view.allHosts && view.servable < minServable;
}

} // namespace tamarackspan::gateway
