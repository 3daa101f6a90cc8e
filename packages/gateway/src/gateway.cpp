#include "tamarackspan/gateway/gateway.h"

#include "impl/neighbour_message.h"
#include "impl/request_work.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/admission_decision.h"
#include "tamarackspan/gateway/connection_share.h"
#include "tamarackspan/gateway/forwarding_decision.h"
#include "tamarackspan/gateway/gather_decision.h"
#include "tamarackspan/gateway/latency_estimate.h"
#include "tamarackspan/gateway/record_merge.h"
#include "tamarackspan/gateway/stop_decision.h"
#include "tamarackspan/gateway/weighted_choice.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tamarackspan::gateway {

namespace {

using namespace impl;

/// Retry time after a refusal for lack of leafs: they are published again, or a configuration names others, within about this time.
constexpr auto missingLeafsRetryAfter = absl::Milliseconds(700);
/// Maximum retry time for a rejected caller, as a share of its remaining time.
constexpr auto maxRetryShare = 1.0 / 3.0;
/// A hedge is sent no later than this many medians before the objective, so that its answer can be in time.
constexpr auto mediansBeforeObjective = 1.5;
/// Time reserved from a caller's timeout, so that a last answer still reaches it.
constexpr auto deadlineMargin = absl::Milliseconds(20);
/// A request for one leaf is hedged after this multiple of the time that 95 in 100 take: its latency varies with its size, so that a slow one is mostly large.
constexpr auto singleHedgeFactor = 1.5;
/// Maximum time reserved from an objective for late timers, so that a host that was paused for long doesn't answer every query incompletely.
constexpr auto maxTimerReserve = absl::Milliseconds(25);
/// The statuses by which another host reports that it has not run a query, and that its deadline has passed.
constexpr auto notRunStatus = std::uint32_t{503};
constexpr auto timedOutStatus = std::uint32_t{504};
/// Maximum number of connections to another host; each carries one query at a time.
constexpr auto neighbourConnections = std::uint32_t{64};
/// A host that accepted a query answers by the objective if its leafs permit. One that hasn't answered this long after the objective gets no new queries for
/// a while.
constexpr auto neighbourTimeout = absl::Milliseconds(300);
/// A host that failed to answer is tried again after this time; if it is lost, its record in the census stops advancing a little later.
constexpr auto neighbourAvoidTime = absl::Seconds(2);
/// A host of the same data centre acknowledges a query within one or two milliseconds; one that hasn't by then is paused, cut off or lost, or the network path
/// back is congested.
constexpr auto acknowledgementTimeout = absl::Milliseconds(15);
/// A host that accepted a forwarded query sends no second requests to leafs before this time, by which it knows whether the query was forwarded elsewhere
/// (see mayForwardAgain). The difference between the two times covers several network trips within a data centre.
constexpr auto secondRequestDelay = absl::Milliseconds(25);
/// Maximum number of hosts to which a query is forwarded in turn: with half of the hosts lost at once, seven of eight queries find one that is alive.
constexpr auto maxForwards = std::uint32_t{3};
/// A host that forwards its queries keeps idle connections to leafs of shards only this long: their number is shared among the hosts that accept queries.
constexpr auto forwardingHostIdleTimeout = absl::Seconds(1);
/// Retry time after a refusal because data centres are cut off: by then the balancer has missed two checks a second apart and sends callers elsewhere.
constexpr auto cutOffRetryAfter = absl::Milliseconds(2100);

auto isHead(const http::StreamMessage &message) -> bool
{
    return message.method == "HEAD";
}

/// Returns the name of the connection pool for another host.
auto neighbourPool(const std::string &host) -> std::string
{
    return "host " + host;
}

/// Retry time after a refusal by a stopping host: the balancer may still send the caller's next connection to it.
constexpr auto stoppingRetryAfter = absl::Milliseconds(50);

/// The reason of a refusal because data centres are cut off, for the log.
constexpr auto cutOffReason = std::string_view("data centres that hold its leafs are out of reach");

/// Maximum length of a leaf's own text in a log line.
constexpr auto maxLoggedValue = std::size_t{40};

/// Minimum time given to a leaf, so that none is told to stop before it begins.
constexpr auto minLeafTimeout = absl::Milliseconds(1);

} // namespace

struct Gateway::Core
{
    transport::EventLoop &loop;
    GatewaySettings settings;
    CallerProtocol callers;
    LeafProtocol leafs;
    std::function<const Neighbourhood &()> neighbourhood;
    ReachabilityMap &reach;
    http::StreamClient &client;
    LeafDirectory &directory;
    metrics::MetricShard &metrics;
    const logging::Logger &log;
    std::shared_ptr<const ActiveCatalogue> published{};
    /// When a stopping host ends all requests that are still under way.
    absl::Time stopsAt = absl::InfiniteFuture();
    absl::flat_hash_map<std::string, std::unique_ptr<OperationState>> operationStates{};
    absl::flat_hash_map<WorkKey, SharedWork> works{};
    absl::flat_hash_map<std::string, NeighbourCondition> neighbours{};
    /// Where the next choice among equal hosts begins.
    std::size_t neighbourRoundRobinStart = 0;
    /// How late this host's timers run: a busy processor delays each answer by about as much.
    LatencyEstimate timerDelay{.median = absl::Milliseconds(1), .p95 = absl::Milliseconds(1)};
    metrics::CounterId unknown{};
    metrics::CounterId extraRequests{};
    metrics::CounterId callersDisconnected{};
    metrics::CounterId leavingNotices{};
    metrics::CounterId backoffNotices{};
    metrics::CounterId foreignAnswers{};

    auto stateOf(const Operation &operation) -> OperationState *
    {
        auto &state = this->operationStates[operation.name];
        if (state == nullptr) {
            state = std::make_unique<OperationState>();
            state->estimate = initialEstimate(operation.objective);
            const auto counter = [this, &operation](const char *outcome) {
                return this->metrics.counter({.metric = "tamarackspan_requests_total", .labels = {{"operation", operation.name}, {"outcome", outcome}}});
            };
            state->answered = counter("answered");
            state->incomplete = counter("answered-thin");
            state->refused = counter("not-run");
            state->failed = counter("failed");
            state->latency = this->metrics.histogram({.metric = "tamarackspan_request_seconds", .labels = {{"operation", operation.name}}});
        }
        return state.get();
    }

    auto publish(std::shared_ptr<const Catalogue> catalogue) -> void
    {
        auto next = std::make_shared<ActiveCatalogue>(std::move(catalogue));
        const auto addService = [this, &next](ResolvedOperation &resolved, const std::string &name, double weight) {
            const auto options = next->catalogue->services.find(name);
            resolved.services.push_back(&this->directory.service(name));
            resolved.connections.push_back(options == next->catalogue->services.end() ? 1 : options->second.maxConnections);
            resolved.weights.push_back(weight);
        };
        for (const auto &operation : next->catalogue->operations) {
            auto resolved = ResolvedOperation{.operation = &operation, .state = this->stateOf(operation)};
            for (const auto &shard : operation.shards) {
                addService(resolved, shard, 1.0);
            }
            for (const auto &share : operation.services) {
                addService(resolved, share.service, share.weight);
            }
            next->resolved.emplace(&operation, std::move(resolved));
        }
        this->published = std::move(next);
    }

    auto begin(http::StreamServer &server, http::ExchangeId exchange, http::StreamMessage message, const Arrival &arrival) -> void
    {
        const auto refuse = [this, &server, exchange](RefusalKind kind) {
            server.answer(
                exchange,
                this->callers.refusal({.kind = kind, .retryAfter = kind == RefusalKind::NotRun ? std::optional(missingLeafsRetryAfter) : std::nullopt}));
        };
        auto request = this->callers.read(message);
        if (!request.has_value()) {
            refuse(RefusalKind::Malformed);
            return;
        }
        if (this->published == nullptr) {
            this->log.warning("a request came before any configuration", {{"request", request->id}});
            refuse(RefusalKind::NotRun);
            return;
        }
        const auto *const operation = this->published->index.find(request->hostName, request->path);
        if (operation == nullptr) {
            this->metrics.add(this->unknown);
            this->log.info("no operation has this path", {{"request", request->id}, {"version", this->published->catalogue->version}});
            refuse(RefusalKind::UnknownOperation);
            return;
        }
        const auto work = std::make_shared<Work>();
        work->server = &server;
        work->exchange = exchange;
        work->request = *std::move(request);
        work->published = this->published;
        work->resolved = &this->published->resolved.at(operation);
        work->arrivedAt = base::monotonicNow();
        work->fromNeighbour = arrival.forwarded;
        auto &state = *work->resolved->state;
        state.demand = demandOf(state, work->arrivedAt) + 1.0;
        state.demandAt = work->arrivedAt;
        const auto timeout = std::min(work->request.timeout.value_or(operation->timeout), operation->timeout);
        work->deadlineAt = work->arrivedAt + timeout - std::min(deadlineMargin, timeout / 10);
        work->timeReserve = arrival.timeUsed + this->settings.answerMargin + std::min(this->timerDelay.p95, maxTimerReserve);
        work->attemptsElsewhere = arrival.attemptsUsed;
        work->objectiveAt = work->arrivedAt + std::max(operation->objective - work->timeReserve, operation->objective / 2);
        work->message = std::move(message);
        this->works.emplace(WorkKey(&server, exchange), work);
        if (arrival.forwarded) {
            std::erase_if(work->message.headers, [](const http::Header &header) {
                return header.name == usedTimeHeader || header.name == usedAttemptsHeader;
            });
            work->secondRequestsFrom = work->arrivedAt + secondRequestDelay;
            server.acknowledge(exchange);
        }
        if (work->ended) {
            // The host that forwarded it has disconnected meanwhile.
            return;
        }
        if (!endsInTime({.now = work->arrivedAt,
                         .endsAt = this->stopsAt,
                         .objectiveAt = work->objectiveAt,
                         .deadlineAt = work->deadlineAt,
                         .gather = work->isGather(),
                         .estimate = state.estimate})) {
            this->refuse(work, stoppingRetryAfter, "the host is stopping");
            return;
        }
        if (arrival.forwarded || !work->isGather() || !this->forwardQuery(work)) {
            this->askServices(work);
        }
    }

    auto askServices(const SharedWork &work) -> void
    {
        work->common = this->leafs.commonPart(work->request, work->message);
        this->chooseServices(*work);
        this->askAll(work);
    }

    /// Forwards a query over shards to a stronger host, so that a few hosts process the queries and collect what is known about leafs. Returns false if no host
    /// is available or the maximum number of hosts has been tried.
    auto forwardQuery(const SharedWork &work) -> bool
    {
        const auto &targets = this->neighbourhood().forwardingTargets;
        const auto chosen = this->nextNeighbour(targets);
        if (!chosen.has_value() || work->forwardCount >= maxForwards) {
            return false;
        }
        const auto now = base::monotonicNow();
        const auto &host = targets[*chosen];
        if (auto &incarnation = this->neighbours[host.name].incarnation; std::exchange(incarnation, host.incarnation) != host.incarnation) {
            // Connections to its previous start would only be reset.
            this->client.closePool(neighbourPool(host.name));
        }
        work->forwardedTo = host.name;
        work->forwardedAt.reset();
        work->acknowledged = false;
        ++work->forwardCount;
        ++this->neighbours[host.name].inFlight;
        work->forwardCall = this->client.call({
            .pool = neighbourPool(host.name),
            .endpoint = {.ip = host.ip, .port = this->settings.neighbourPort},
            .bytes = forwardedRequest(work->message, work->timeReserve + (now - work->arrivedAt), work->attemptsElsewhere),
            .isHead = isHead(work->message),
            .maxConnections = neighbourConnections,
            .onSent =
                [work] {
                    work->forwardedAt = base::monotonicNow();
                },
            .onInterim =
                [this, work] {
                    work->acknowledged = true;
                    this->setTimer(work, work->objectiveAt + neighbourTimeout);
                },
            .onResult =
                [this, work](http::CallResult result) {
                    this->onNeighbourResult(work, std::move(result));
                },
        });
        this->setTimer(work, now + acknowledgementTimeout);
        return true;
    }

    /// Forwards a query that one host didn't accept to the next; sends it to the leafs from this host if there is none.
    auto forwardOrAskLeafs(const SharedWork &work) -> void
    {
        if (!this->forwardQuery(work)) {
            this->askServices(work);
        }
    }

    [[nodiscard]] static auto forwardedQueryOf(const Work &work) -> ForwardedQuery
    {
        return {.sentAt = work.forwardedAt,
                .acknowledged = work.acknowledged,
                .repeatable = work.operation().repeatable,
                .attempts = work.operation().attempts,
                .attemptsUsed = work.attemptsElsewhere};
    }

    auto nextNeighbour(const std::vector<census::HostRecord> &hosts) -> std::optional<std::size_t>
    {
        auto conditions = std::vector<NeighbourCondition>();
        conditions.reserve(hosts.size());
        for (const auto &host : hosts) {
            conditions.push_back(this->neighbours[host.name]);
        }
        return chooseNeighbour(conditions, this->neighbourRoundRobinStart++, base::monotonicNow());
    }

    auto onNeighbourResult(const SharedWork &work, http::CallResult result) -> void
    {
        work->forwardCall = 0;
        const auto answered = result.outcome == http::CallOutcome::Answered;
        auto &condition = this->neighbours[work->forwardedTo];
        --condition.inFlight;
        if (!answered) {
            condition.avoidUntil = base::monotonicNow() + neighbourAvoidTime;
        }
        if (work->ended) {
            return;
        }
        if (answered && result.response.status < 300) {
            this->end(work, "answered by another host", work->resolved->state->answered);
            work->server->answer(work->exchange,
                                 {.status = result.response.status,
                                  .headers = http::endToEndHeaders(result.response.headers),
                                  .body = std::move(result.response.body),
                                  .omittedLength = result.response.omittedLength});
            return;
        }
        this->log.info("another host didn't answer a query",
                       {{"request", work->request.id}, {"host", work->forwardedTo}, {"status", result.response.status}, {"reason", result.reason}});
        // The next step depends on whether that host asked leafs: one that acknowledged the query may have asked as many as the operation allows.
        if (result.outcome == http::CallOutcome::NotSent) {
            this->forwardOrAskLeafs(work);
            return;
        }
        if (answered && result.response.status == notRunStatus) {
            if (const auto *const names = http::findHeader(result.response.headers, outOfReachHeader); names != nullptr) {
                for (const auto name : absl::StrSplit(*names, ',')) {
                    auto &reached = this->reach[std::string(name)];
                    reached = afterPeerReport(reached, ReachabilityOptions(), base::monotonicNow());
                }
                this->relayRefusal(work, std::move(result.response));
                return;
            }
            // That host found the leafs too busy from its own point of view. If no other host accepts the query, its retry time goes to the caller.
            if (!this->forwardQuery(work)) {
                this->relayRefusal(work, std::move(result.response));
            }
            return;
        }
        const auto forwardsAgain = !answered && mayForwardAgain(forwardedQueryOf(*work), base::monotonicNow());
        work->mayHaveRunElsewhere = true;
        ++work->attemptsElsewhere;
        if (forwardsAgain) {
            // The acknowledgement may have been lost with the connection: leafs may have been asked once.
            this->forwardOrAskLeafs(work);
            return;
        }
        this->conclude(work, answered && result.response.status == timedOutStatus ? RefusalKind::TimedOut : RefusalKind::Failed);
    }

    auto relayRefusal(const SharedWork &work, http::StreamMessage response) -> void
    {
        if (mayHaveRun(*work)) {
            this->conclude(work, RefusalKind::Failed);
            return;
        }
        std::erase_if(response.headers, [](const http::Header &header) {
            return header.name == outOfReachHeader;
        });
        this->end(work, "not run: other hosts refused it", work->resolved->state->refused);
        work->server->answer(work->exchange, {.status = response.status, .headers = http::endToEndHeaders(response.headers), .body = std::move(response.body)});
    }

    /// Forwards a query elsewhere if a host hasn't acknowledged it in time. If the host has acknowledged it and hasn't answered after the objective, waits on
    /// but sends that host no new queries; at the deadline the query ends.
    auto onNeighbourTimeout(const SharedWork &work) -> void
    {
        const auto now = base::monotonicNow();
        const auto forwardsAgain = mayForwardAgain(forwardedQueryOf(*work), now);
        this->log.info("another host is silent about a query",
                       {{"request", work->request.id}, {"host", work->forwardedTo}, {"acknowledged", work->acknowledged}, {"goes_elsewhere", forwardsAgain}});
        if (now >= work->deadlineAt) {
            this->conclude(work, RefusalKind::TimedOut);
            return;
        }
        auto &condition = this->neighbours[work->forwardedTo];
        condition.avoidUntil = now + neighbourAvoidTime;
        if (!forwardsAgain) {
            this->setTimer(work, work->deadlineAt);
            return;
        }
        --condition.inFlight;
        this->client.cancel(std::exchange(work->forwardCall, 0));
        work->attemptsElsewhere += work->forwardedAt.has_value() ? 1 : 0;
        work->mayHaveRunElsewhere = work->mayHaveRunElsewhere || work->forwardedAt.has_value();
        this->forwardOrAskLeafs(work);
    }

    /// Returns how this host uses connections to a leaf that accepts `all` from all hosts.
    [[nodiscard]] auto connectionShare(std::uint32_t all, const Work &work) const -> ConnectionShare
    {
        const auto &hosts = this->neighbourhood();
        if (work.forwardCount > 0) {
            const auto share = shareConnections(all, {.count = hosts.quotaHostCount, .assumed = hosts.countsAssumed});
            return {.connections = 1, .idleTimeout = std::min(share.idleTimeout, forwardingHostIdleTimeout)};
        }
        return shareConnections(all, {.count = work.isGather() ? hosts.coordinatorCount : hosts.quotaHostCount, .assumed = hosts.countsAssumed});
    }

    [[nodiscard]] auto extraRequestOptions(const Work &work) const -> ExtraRequestOptions
    {
        const auto &hosts = this->neighbourhood();
        auto options = this->settings.extraRequests;
        options.slack = slackShare(options.slack,
                                   {.quotaHostCount = hosts.quotaHostCount,
                                    .coordinatorCount = work.isGather() ? hosts.coordinatorCount : hosts.quotaHostCount,
                                    .isCoordinator = hosts.isCoordinator});
        return options;
    }

    auto chooseServices(Work &work) -> void
    {
        const auto &resolved = *work.resolved;
        if (work.isGather() || resolved.services.size() == 1) {
            for (auto *const service : resolved.services) {
                work.slots.push_back({.service = service});
            }
            work.connections = resolved.connections;
        } else if (!resolved.services.empty()) {
            const auto chosen = chooseWeighted(resolved.state->roundRobin, resolved.weights);
            work.slots.push_back({.service = resolved.services[chosen]});
            work.connections = {resolved.connections[chosen]};
        }
    }

    [[nodiscard]] auto isReachable(const KnownLeaf &leaf) const -> bool
    {
        const auto reached = this->reach.find(leaf.entry.dataCentre);
        return reached == this->reach.end() || !reached->second.cutOff;
    }

    [[nodiscard]] auto isUsable(const KnownLeaf &leaf, absl::Time now) const -> bool
    {
        return acceptsRequests(leaf, now) && this->isReachable(leaf);
    }

    /// Returns when a service has a leaf that may be asked, as far as its leafs have said: `now` if it has one already, infinite if none is known.
    [[nodiscard]] auto acceptsRequestsFrom(const KnownService &service, absl::Time now) const -> absl::Time
    {
        auto from = absl::InfiniteFuture();
        for (const auto &leaf : service.leafs) {
            const auto backoffEnd = std::max(leaf->backoffUntil, now);
            if (acceptsRequests(*leaf, backoffEnd) && this->isReachable(*leaf)) {
                from = std::min(from, backoffEnd);
            }
        }
        return from;
    }

    /// Returns acceptsRequestsFrom() of each service that a request needs.
    [[nodiscard]] auto acceptTimes(const Work &work, absl::Time now) const -> std::vector<absl::Time>
    {
        auto times = std::vector<absl::Time>();
        times.reserve(work.slots.size());
        for (const auto &slot : work.slots) {
            times.push_back(this->acceptsRequestsFrom(*slot.service, now));
        }
        return times;
    }

    /// Returns the share of an operation's requests that the reachable leafs can serve.
    [[nodiscard]] auto servablePart(const ResolvedOperation &resolved, absl::Time now) const -> double
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

    [[nodiscard]] auto demand() const -> RequestDemand
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

    /// Refuses a request that too few services have usable leafs for, given after which time their leafs accept enough; infinite if they don't say.
    auto refuseUnservable(const SharedWork &work, absl::Duration untilServable) -> void
    {
        if (untilServable < absl::InfiniteDuration()) {
            this->refuse(work, untilServable, "its leafs want no requests for a while");
        } else if (isAnyCutOff(this->reach)) {
            this->refuse(work, cutOffRetryAfter, cutOffReason);
        } else {
            this->refuse(work, missingLeafsRetryAfter, "too few services have leafs");
        }
    }

    auto askAll(const SharedWork &work) -> void
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

    /// Returns the queue for the leaf that was chosen for a service of a request; an empty one if there is no leaf.
    [[nodiscard]] auto queueOf(const Work &work, std::size_t at, const std::shared_ptr<KnownLeaf> &leaf) const -> LeafQueue
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

    /// Returns the best leaf that a slot's request hasn't been sent to; nullptr if there is none.
    [[nodiscard]] auto chooseLeaf(const Slot &slot, absl::Time now) const -> std::shared_ptr<KnownLeaf>
    {
        const auto chosen = chooseReplica(this->candidates(slot, now), slot.service->roundRobinStart, now);
        return chosen.has_value() ? slot.service->leafs[*chosen] : nullptr;
    }

    [[nodiscard]] auto candidates(const Slot &slot, absl::Time now) const -> std::vector<ReplicaCandidate>
    {
        auto list = std::vector<ReplicaCandidate>();
        list.reserve(slot.service->leafs.size());
        for (const auto &leaf : slot.service->leafs) {
            const auto tried = std::ranges::any_of(slot.attempts, [&leaf](const Attempt &attempt) {
                return attempt.leaf == leaf;
            });
            list.push_back({.condition = leaf->condition,
                            .slots = leaf->entry.slots,
                            .sameDataCentre = leaf->entry.dataCentre == this->settings.dataCentre,
                            .warmingUp = now < leaf->warmingUpUntil,
                            .excluded = tried || !this->isUsable(*leaf, now)});
        }
        return list;
    }

    /// Sends a slot's request to a leaf.
    auto ask(const SharedWork &work, std::size_t at, const std::shared_ptr<KnownLeaf> &leaf) -> void
    {
        auto &slot = work->slots[at];
        const auto now = base::monotonicNow();
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

    /// Returns whether a response is the answer to a request that a leaf was sent.
    auto belongs(const Work &work, const KnownLeaf &leaf, const http::StreamMessage &response) -> bool
    {
        if (this->leafs.belongs(work.request.id, response)) {
            return true;
        }
        this->metrics.add(this->foreignAnswers);
        this->log.info("an answer isn't this request's and is discarded; the request waits on",
                       {{"request", work.request.id}, {"leaf", leaf.entry.id}, {"status", response.status}});
        return false;
    }

    /// Records what a leaf states about itself. Requests that are queued for a leaf that wants no more are given to other leafs.
    auto noteNotice(const std::shared_ptr<KnownLeaf> &leaf, const LeafNotice &notice) -> void
    {
        const auto &id = leaf->entry.id;
        if (notice.leaving && this->directory.markLeaving(leaf, base::monotonicNow())) {
            this->metrics.add(this->leavingNotices);
            this->log.info("a leaf states that it leaves; it gets no new requests", {{"leaf", id}, {"started_at", leaf->entry.startedAt}});
        }
        if (!notice.invalidBackoff.empty()) {
            this->log.warning(
                "a leaf's time without requests is malformed or too long",
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

    /// Sends a slot's request to one more leaf if attempts and budget allow. Returns whether it did.
    auto askAnother(const SharedWork &work, std::size_t at) -> bool
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

    auto onResult(const SharedWork &work, std::size_t at, std::size_t place, http::CallResult result) -> void
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
        const auto lost = result.outcome != http::CallOutcome::Answered && !result.connectionHadResponse;
        condition = lost ? afterLostConnection(condition, now) : afterFailure(condition, now);
        work->lastFailure = result.outcome == http::CallOutcome::Answered ? absl::StrCat(attempt.leaf->entry.id, " status ", result.response.status)
                                                                          : absl::StrCat(attempt.leaf->entry.id, " ", std::string(result.reason));
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

    /// Cancels a slot's open requests at once: a leaf near its capacity still has them in its queue, and a new connection costs it less than the work on them.
    auto cancelOpenAttempts(Slot &slot) -> void
    {
        for (auto &attempt : slot.attempts) {
            if (attempt.open) {
                attempt.open = false;
                --attempt.leaf->condition.inFlight;
                this->client.cancel(attempt.call);
            }
        }
    }

    [[nodiscard]] auto hedgeAt(const Work &work, const Slot &slot) const -> absl::Time
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

    auto canHedge(const Work &work, Slot &slot, absl::Time now, const ExtraRequestOptions &options) const -> bool
    {
        if (!work.operation().repeatable || slot.attempts.empty() || sentCount(slot) + work.attemptsElsewhere >= work.operation().attempts
            || !slot.service->extraRequests.available(now, options)) {
            return false;
        }
        return std::ranges::any_of(slot.service->leafs, [this, &slot, now](const auto &leaf) {
            return this->isUsable(*leaf, now) && now >= leaf->condition.suspectUntil && std::ranges::none_of(slot.attempts, [&leaf](const Attempt &attempt) {
                       return attempt.leaf == leaf;
                   });
        });
    }

    auto hedge(const SharedWork &work, std::size_t at, absl::Time now) -> void
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

    auto decide(const SharedWork &work) -> void
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

    auto setTimer(const SharedWork &work, absl::Time at) -> void
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

    auto answer(const SharedWork &work) -> void
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

    auto conclude(const SharedWork &work, RefusalKind kind) -> void
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

    [[nodiscard]] auto cutOffNames() const -> std::string
    {
        auto names = std::string();
        for (const auto &[name, reached] : this->reach) {
            if (reached.cutOff) {
                absl::StrAppend(&names, names.empty() ? "" : ",", name);
            }
        }
        return names;
    }

    /// Refuses a request. If another host had it before, it may have run nevertheless and is then reported as failed.
    auto refuse(const SharedWork &work, absl::Duration retryAfter, std::string_view reason) -> void
    {
        if (mayHaveRun(*work)) {
            work->lastFailure = reason;
        }
        this->endUnanswered(work, RefusalKind::Failed, retryAfter, reason);
    }

    /// Ends a request without a leaf's answer: as "not run" with a retry time if no leaf may have run it, otherwise as `kind`, which says that it may have run.
    auto endUnanswered(const SharedWork &work, RefusalKind kind, absl::Duration retryAfter, std::string_view reason) -> void
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

    auto end(const SharedWork &work, std::string_view outcome, metrics::CounterId counter) -> void
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
};

Gateway::Gateway(transport::EventLoop &loop, GatewaySettings settings, CallerProtocol callers, LeafProtocol leafs,
                 std::function<const Neighbourhood &()> neighbourhood, ReachabilityMap &reach, http::StreamClient &client, LeafDirectory &directory,
                 metrics::MetricShard &metrics, const logging::Logger &log)
    : core(std::make_unique<Core>(Core{.loop = loop,
                                       .settings = std::move(settings),
                                       .callers = std::move(callers),
                                       .leafs = std::move(leafs),
                                       .neighbourhood = std::move(neighbourhood),
                                       .reach = reach,
                                       .client = client,
                                       .directory = directory,
                                       .metrics = metrics,
                                       .log = log}))
{
    this->core->unknown = metrics.counter({.metric = "tamarackspan_unknown_operations_total", .labels = {}});
    this->core->extraRequests = metrics.counter({.metric = "tamarackspan_extra_leaf_requests_total", .labels = {}});
    this->core->leavingNotices = metrics.counter({.metric = "tamarackspan_leaf_leaving_notices_total", .labels = {}});
    this->core->backoffNotices = metrics.counter({.metric = "tamarackspan_leaf_backoff_notices_total", .labels = {}});
    this->core->foreignAnswers = metrics.counter({.metric = "tamarackspan_foreign_leaf_answers_total", .labels = {}});
    this->core->callersDisconnected = metrics.counter({.metric = "tamarackspan_callers_left_total", .labels = {}});
}

Gateway::~Gateway()
{
    for (const auto &[exchange, work] : this->core->works) {
        work->ended = true;
        if (work->timer != 0) {
            this->core->loop.cancelTimer(work->timer);
        }
    }
}

auto Gateway::setExtraRequests(const ExtraRequestOptions &options) -> void
{
    this->core->settings.extraRequests = options;
}

auto Gateway::setCatalogue(std::shared_ptr<const Catalogue> catalogue) -> void
{
    this->core->publish(std::move(catalogue));
}

auto Gateway::onRequest(http::StreamServer &server, http::ExchangeId exchange, http::StreamMessage message, Arrival arrival) -> void
{
    this->core->begin(server, exchange, std::move(message), arrival);
}

auto Gateway::onCallerDisconnected(http::StreamServer &server, http::ExchangeId exchange) -> void
{
    const auto found = this->core->works.find(WorkKey(&server, exchange));
    if (found != this->core->works.end()) {
        const auto work = found->second;
        this->core->end(work, "caller left", this->core->callersDisconnected);
    }
}

auto Gateway::beginStop(absl::Time endsAt) -> void
{
    this->core->stopsAt = endsAt;
}

auto Gateway::endAll() -> std::size_t
{
    auto all = std::vector<impl::SharedWork>();
    for (const auto &[key, work] : this->core->works) {
        all.push_back(work);
    }
    for (const auto &work : all) {
        if (work->isGather() && work->forwardCall == 0 && reachesFloor(work->answeredCount, work->slots.size(), work->operation().coverageFloor)) {
            this->core->answer(work);
        } else {
            this->core->refuse(work, stoppingRetryAfter, "the host has to end");
        }
    }
    return all.size();
}

auto Gateway::onLeafDraining(const KnownLeaf &leaf) -> void
{
    this->core->client.rejectQueued(leaf.pool);
}

auto Gateway::onLeafGone(const KnownLeaf &leaf) -> void
{
    this->core->client.closePool(leaf.pool);
}

auto Gateway::demand() const -> RequestDemand
{
    return this->core->demand();
}

auto Gateway::inFlight() const noexcept -> std::size_t
{
    return this->core->works.size();
}

} // namespace tamarackspan::gateway
