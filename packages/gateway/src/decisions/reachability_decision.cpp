#include "tamarackspan/gateway/decisions/reachability_decision.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// Below this share of servable requests, callers are better served elsewhere: a new connection costs them less than a refusal for each fourth request.
constexpr auto minServable = 0.75;
/// The interval at which all hosts of a data centre together probe one that is cut off.
constexpr auto sharedProbeInterval = absl::Milliseconds(50);
/// How long a peer's statement counts: a few gossip rounds, in each of which a host states it to two others.
constexpr auto statementValidity = absl::Seconds(5);
/// The weight of what a host without requests passes on, in requests.
constexpr auto relayedWeight = 0.1;

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

auto cutOffProbeInterval(std::size_t hosts) noexcept -> absl::Duration
{
    return std::max(ReachabilityOptions().probeInterval, sharedProbeInterval * static_cast<std::int64_t>(hosts));
}

auto afterPeerStatement(DataCentreReachability reach, bool named, const ReachabilityOptions &options, absl::Time now) -> DataCentreReachability
{
    if (named && !isUnresponsive(reach, options, now)) {
        return afterPeerReport(reach, options, now);
    }
    if (!named && reach.cutOff) {
        reach.nextProbeAt = std::min(reach.nextProbeAt, now);
    }
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
        step.next.nextProbeAt = now + (reach.cutOff ? options.cutOffProbeInterval : options.probeInterval);
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

namespace {

/// Returns the demand of a host together with that of its peers, as far as their statements are fresh.
auto combinedDemand(const RequestDemand &own, const PeerDemands &peers, absl::Time now) -> RequestDemand
{
    auto all = own;
    for (const auto &[name, peer] : peers) {
        if (now - peer.statedAt <= statementValidity) {
            all.asked += peer.demand.asked;
            all.served += peer.demand.served;
        }
    }
    return all;
}

} // namespace

auto servableShare(const RequestDemand &own, const PeerDemands &peers, absl::Time now) -> double
{
    const auto all = combinedDemand(own, peers, now);
    return all.asked > 0.0 ? all.served / all.asked : 1.0;
}

auto statedDemand(const RequestDemand &own, const PeerDemands &peers, absl::Time now) -> RequestDemand
{
    const auto all = combinedDemand(own, peers, now);
    if (own.asked > 0.0 || all.asked <= 0.0) {
        return own;
    }
    return {.asked = relayedWeight, .served = relayedWeight * all.served / all.asked};
}

auto shouldReportUnready(const ReadinessView &view) -> bool
{
    return 2 * view.hostsInReach < view.allHosts && view.servable < minServable;
}

} // namespace tamarackspan::gateway
