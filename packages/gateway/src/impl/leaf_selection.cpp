#include "impl/gateway_core.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/decisions/gather_decision.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

using namespace impl;

/// A hedge is sent no later than this many medians before the objective, so that its answer can be in time.
constexpr auto mediansBeforeObjective = 1.5;
/// A request for one leaf is hedged after this multiple of the time that 95 in 100 take: its latency varies with its size, so that a slow one is mostly large.
constexpr auto singleHedgeFactor = 1.5;
/// A host that forwards its queries keeps idle connections to leafs of shards only this long: their number is shared among the hosts that accept queries.
constexpr auto forwardingHostIdleTimeout = absl::Seconds(1);

} // namespace

auto Gateway::Core::connectionShare(std::uint32_t all, const Work &work) const -> ConnectionShare
{
    const auto &hosts = this->neighbourhood();
    if (work.forwardCount > 0) {
        const auto share = shareConnections(all, {.count = hosts.quotaHostCount, .assumed = hosts.countsAssumed});
        return {.connections = 1, .idleTimeout = std::min(share.idleTimeout, forwardingHostIdleTimeout)};
    }
    return shareConnections(all, {.count = work.isGather() ? hosts.coordinatorCount : hosts.quotaHostCount, .assumed = hosts.countsAssumed});
}

auto Gateway::Core::extraRequestOptions(const Work &work) const -> ExtraRequestOptions
{
    const auto &hosts = this->neighbourhood();
    auto options = this->settings.extraRequests;
    options.slack = slackShare(options.slack,
                               {.quotaHostCount = hosts.quotaHostCount,
                                .coordinatorCount = work.isGather() ? hosts.coordinatorCount : hosts.quotaHostCount,
                                .isCoordinator = hosts.isCoordinator});
    return options;
}

auto Gateway::Core::isReachable(const KnownLeaf &leaf) const -> bool
{
    const auto reached = this->reach.find(leaf.entry.dataCentre);
    return reached == this->reach.end() || !reached->second.cutOff;
}

auto Gateway::Core::evacuatedUntil(const KnownLeaf &leaf) const -> absl::Time
{
    return usableFrom(this->evacuations, leaf.entry.dataCentre, this->settings.hostName, leaf.entry.id, this->settings.evacuation);
}

auto Gateway::Core::isUsable(const KnownLeaf &leaf, absl::Time now) const -> bool
{
    return acceptsRequests(leaf, now) && this->isReachable(leaf) && now >= this->evacuatedUntil(leaf);
}

auto Gateway::Core::warmUpPermission(const KnownService &service, const KnownLeaf &leaf, absl::Time now) const -> WarmUpPermission
{
    if (service.warmUp.perSecond <= 0.0 || !isCold(leaf, now)) {
        return {.granted = true, .from = now};
    }
    return decideWarmUp({.perSecond = service.warmUp.perSecond,
                         .hosts = this->neighbourhood().warmUpHostCount,
                         .phase = warmUpPhase(this->settings.hostName, leaf.entry.id, leaf.entry.startedAt),
                         .bounds = this->settings.warmUp},
                        leaf.warmUpUsedAt, now);
}

auto Gateway::Core::avoidsColdLeaf(const Slot &slot, const KnownLeaf &chosen, absl::Time now) const -> bool
{
    const auto &service = *slot.service;
    return service.warmUp.perSecond > 0.0 && std::ranges::any_of(service.leafs, [&, this](const auto &leaf) {
               return leaf.get() != &chosen && this->isUsable(*leaf, now) && !this->warmUpPermission(service, *leaf, now).granted;
           });
}

auto Gateway::Core::acceptsRequestsFrom(const KnownService &service, absl::Time now) const -> absl::Time
{
    auto from = absl::InfiniteFuture();
    for (const auto &leaf : service.leafs) {
        const auto openFrom = std::max({leaf->backoffUntil, this->evacuatedUntil(*leaf), now});
        if (acceptsRequests(*leaf, openFrom) && this->isReachable(*leaf)) {
            const auto warmAt = std::max({leaf->warmingUpUntil, leaf->coldAssumedUntil, openFrom});
            from = std::min(from, std::min(this->warmUpPermission(service, *leaf, openFrom).from, warmAt));
        }
    }
    return from;
}

auto Gateway::Core::acceptTimes(const Work &work, absl::Time now) const -> std::vector<absl::Time>
{
    auto times = std::vector<absl::Time>();
    times.reserve(work.slots.size());
    for (const auto &slot : work.slots) {
        times.push_back(this->acceptsRequestsFrom(*slot.service, now));
    }
    return times;
}

auto Gateway::Core::servablePart(const ResolvedOperation &resolved, absl::Time now) const -> double
{
    // A leaf that wants no requests for a while counts: other hosts may not ask it either.
    const auto usable = static_cast<std::size_t>(std::ranges::count_if(resolved.services, [this, now](const KnownService *service) {
        return this->acceptsRequestsFrom(*service, now) < absl::InfiniteFuture();
    }));
    if (resolved.operation->shards.empty()) {
        return static_cast<double>(usable) / static_cast<double>(std::max<std::size_t>(resolved.services.size(), 1));
    }
    return reachesFloor(usable, resolved.services.size(), resolved.operation->coverageFloor) ? 1.0 : 0.0;
}

auto Gateway::Core::demand() const -> RequestDemand
{
    auto all = RequestDemand();
    if (this->published == nullptr) {
        return all;
    }
    const auto now = base::monotonicNow();
    for (const auto &[operation, resolved] : this->published->resolved) {
        if (const auto asked = demandOf(*resolved.state, now); asked > 0.0) {
            all.asked += asked;
            all.served += asked * this->servablePart(resolved, now);
        }
    }
    return all;
}

auto Gateway::Core::queueOf(const Work &work, std::size_t at, const std::shared_ptr<KnownLeaf> &leaf) const -> LeafQueue
{
    auto queue = LeafQueue{.connections = this->connectionShare(work.connections[at], work).connections};
    if (leaf != nullptr) {
        queue.waiting = this->client.waiting(leaf->pool);
        // An estimate that is only assumed is no reason to reject a request: a host that has forwarded all its queries would reject the first ones that it
        // serves itself.
        const auto &estimate = work.resolved->state->estimate;
        const auto slowness = estimate.answers > 0 ? std::max(leaf->condition.slowness, 1.0) : 0.0;
        queue.serviceTime = estimate.median * slowness;
        queue.serviceTimeP95 = work.isGather() ? estimate.p95 * slowness : queue.serviceTime;
    }
    return queue;
}

auto Gateway::Core::chooseLeaf(const Slot &slot, absl::Time now) const -> std::shared_ptr<KnownLeaf>
{
    const auto chosen = chooseReplica(this->candidates(slot, now), slot.service->roundRobinStart, now);
    return chosen.has_value() ? slot.service->leafs[*chosen] : nullptr;
}

auto Gateway::Core::candidates(const Slot &slot, absl::Time now) const -> std::vector<ReplicaCandidate>
{
    const auto nearIsBetter = distanceCounts(this->evacuations, this->settings.evacuation, now);
    auto list = std::vector<ReplicaCandidate>();
    list.reserve(slot.service->leafs.size());
    for (const auto &leaf : slot.service->leafs) {
        const auto tried = std::ranges::any_of(slot.attempts, [&leaf](const Attempt &attempt) {
            return attempt.leaf == leaf;
        });
        list.push_back({.condition = leaf->condition,
                        .slots = leaf->entry.slots,
                        .sameDataCentre = !nearIsBetter || leaf->entry.dataCentre == this->settings.dataCentre,
                        .warmingUp = now < leaf->warmingUpUntil,
                        .excluded = tried || !this->isUsable(*leaf, now) || !this->warmUpPermission(*slot.service, *leaf, now).granted});
    }
    return list;
}

auto Gateway::Core::hedgeAt(const Work &work, const Slot &slot) const -> absl::Time
{
    const auto &attempt = slot.attempts.back();
    const auto &estimate = work.resolved->state->estimate;
    if (!work.isGather()) {
        return attempt.calledAt + estimate.p95 * singleHedgeFactor;
    }
    const auto usual = attempt.calledAt + estimate.p95;
    const auto latest = work.objectiveAt - estimate.median * mediansBeforeObjective;
    return std::max(std::min(usual, latest), attempt.calledAt + estimate.median);
}

auto Gateway::Core::canHedge(const Work &work, Slot &slot, absl::Time now, const ExtraRequestOptions &options) const -> bool
{
    if (!work.operation().repeatable || slot.attempts.empty() || sentCount(slot) + work.attemptsElsewhere >= work.operation().attempts
        || !slot.service->extraRequests.available(now, options)) {
        return false;
    }
    return std::ranges::any_of(slot.service->leafs, [this, &slot, now](const auto &leaf) {
        return this->isUsable(*leaf, now) && now >= leaf->condition.suspectUntil && this->warmUpPermission(*slot.service, *leaf, now).granted
            && std::ranges::none_of(slot.attempts, [&leaf](const Attempt &attempt) {
                   return attempt.leaf == leaf;
               });
    });
}

} // namespace tamarackspan::gateway
