#include "fleet.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numbers>
#include <queue>

namespace tamarackspan::query::bench {

namespace {

constexpr auto entryCount = std::size_t{3};
constexpr auto hostCount = 6;
/// One-way delay from an entry through an owner to the leaf.
constexpr auto networkDelay = absl::Microseconds(500);
/// Service times are lognormal.
constexpr auto medianService = absl::Milliseconds(4);
constexpr auto serviceSigma = 0.5;
constexpr auto slowFactor = 10.0;
constexpr auto coldFactor = 8.0;
constexpr auto coldDuration = absl::Seconds(5);
constexpr auto stragglerPercent = std::uint64_t{1};
constexpr auto silentPercent = std::uint64_t{25};
constexpr auto extraBurst = std::uint32_t{20};
/// Queries before this time warm up the fleet and are not counted.
constexpr auto warmUp = absl::Seconds(2);
constexpr auto faultAfter = absl::Seconds(3);

auto meanService() -> absl::Duration
{
    return medianService * std::exp(serviceSigma * serviceSigma / 2);
}

/// Kinds of events.
enum class EventKind {
    Arrive,
    AtOwner,
    CancelAtOwner,
    LeafDone,
    ReplyAtEntry,
    QueryTimer,
    QueueTimer,
};

struct Event
{
    absl::Time at;
    std::uint64_t order = 0;
    EventKind kind = EventKind::Arrive;
    std::size_t subject = 0;

    friend auto operator>(const Event &a, const Event &b) -> bool
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

/// One leaf request in flight.
struct Request
{
    std::size_t query = 0;
    std::size_t queue = 0;
    base::AttemptId attempt;
    base::ShardId shard;
    Pin pin;
    LeafOutcome outcome = LeafOutcome::Complete;
    bool answered = false;
    bool over = false;
};

struct Entry
{
    routing::LeafTable leafs;
    ExtraLoadBudget budget;
    OverloadGate gate;
    /// Own requests in flight at each owner's queue.
    absl::flat_hash_map<std::size_t, std::uint32_t> inFlight;
};

struct RunningQuery
{
    std::size_t entry = 0;
    bool urgent = false;
    absl::Time arrived;
    std::uint64_t ownerDraw = 0;
    absl::Time timerAt = absl::InfiniteFuture();
    std::vector<std::size_t> requests;
    QueryState state;
};

struct OwnerQueue
{
    std::uint32_t leaf = 0;
    absl::Time timerAt = absl::InfiniteFuture();
    routing::LeafQueue state;
};

/// Returns the service of the scenario.
auto makeService(const Scenario &scenario) -> contracts::Service
{
    auto service = contracts::Service{};
    service.name = base::ServiceName{"bench"};
    service.indexVersions = {base::IndexVersion{1}};
    service.ownershipGroupSize = 4;
    const auto leafCount = scenario.chained ? scenario.shards : scenario.shards * scenario.replicas;
    auto ids = std::vector<base::LeafId>{};
    for (auto i = std::uint32_t{0}; i < leafCount; ++i) {
        ids.emplace_back("leaf-" + std::to_string(1000 + i));
        service.leafs.emplace(ids.back(), contracts::Leaf{ids.back(), "127.0.0.1", 1, scenario.slots, 25, false});
    }
    for (auto i = std::uint32_t{0}; i < scenario.shards; ++i) {
        auto shard = contracts::Shard{base::ShardId{i}, {}};
        for (auto r = std::uint32_t{0}; r < scenario.replicas; ++r) {
            shard.replicas.push_back(ids[scenario.chained ? (i + r) % leafCount : i * scenario.replicas + r]);
        }
        service.shards.push_back(shard);
    }
    return service;
}

class Fleet
{
public:
    Fleet(const Scenario &scenario, const Step &step)
        : scenario(scenario),
          step(step),
          arrivals(scenario.seed),
          services(scenario.seed + 1),
          choices(scenario.seed + 2),
          view(std::make_shared<const ServiceView>(ServiceView{base::Revision{1}, makeService(scenario)})),
          entries(entryCount)
    {
        for (auto &entry : this->entries) {
            entry.leafs.policy = step.routing;
            entry.budget = makeExtraLoadBudget(step.extraLoadPermille, extraBurst);
            routing::updateService(entry.leafs, this->view->service, this->now);
        }
        auto hosts = std::vector<base::HostId>{};
        for (auto i = 0; i < hostCount; ++i) {
            hosts.emplace_back("10.0.0." + std::to_string(i) + ":7000");
        }
        this->owners = routing::ownershipOf(this->view->service, hosts, step.ownersPerLeaf);
        this->makeQueues();
    }

    auto run() -> Outcome
    {
        this->push(this->now, EventKind::Arrive, 0);
        while (!this->events.empty()) {
            const auto event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event);
        }
        return this->summarise();
    }

private:
    auto makeQueues() -> void
    {
        auto number = std::uint32_t{0};
        for (const auto &[id, leaf] : this->view->service.leafs) {
            this->leafNumbers[id] = number;
            for (const auto &owner : this->owners[id]) {
                auto queue = OwnerQueue{};
                queue.leaf = number;
                queue.state.policy = this->step.queue;
                auto none = std::vector<routing::QueueAction>{};
                routing::setShare(queue.state, {owner.slots, owner.connections}, this->now, none);
                this->queueNumbers[{id, owner.host}] = this->queues.size();
                this->queues.push_back(std::move(queue));
            }
            ++number;
        }
    }

    auto push(absl::Time at, EventKind kind, std::size_t subject) -> void
    {
        this->events.push({at, this->order++, kind, subject});
    }

    auto handle(const Event &event) -> void
    {
        switch (event.kind) {
        case EventKind::Arrive:
            this->arrive();
            break;
        case EventKind::AtOwner:
            this->atOwner(event.subject);
            break;
        case EventKind::CancelAtOwner:
            this->cancelAtOwner(event.subject);
            break;
        case EventKind::LeafDone:
            this->leafDone(event.subject);
            break;
        case EventKind::ReplyAtEntry:
            this->replyAtEntry(event.subject);
            break;
        case EventKind::QueryTimer:
            this->queryTimer(event.subject);
            break;
        case EventKind::QueueTimer:
            this->queueTimer(event.subject);
            break;
        }
    }

    /// Queries per second for the offered load.
    [[nodiscard]] auto rate() const -> double
    {
        const auto leafCount = static_cast<double>(this->view->service.leafs.size());
        const auto capacity = leafCount * this->scenario.slots / absl::ToDoubleSeconds(meanService()) / this->scenario.shards;
        return capacity * this->scenario.load;
    }

    auto context(RunningQuery &query) -> QueryContext
    {
        auto &entry = this->entries[query.entry];
        return {entry.leafs, entry.budget, this->choices, this->view};
    }

    auto arrive() -> void
    {
        if (this->now - absl::UnixEpoch() > this->scenario.length) {
            return;
        }
        const auto gap = absl::Seconds(-std::log(1 - this->arrivals.unit()) / this->rate());
        const auto number = this->queries.size();
        auto &query = *this->queries.emplace_back(std::make_unique<RunningQuery>());
        query.entry = number % entryCount;
        query.urgent = this->arrivals.unit() < this->scenario.urgentPart;
        query.arrived = this->now;
        query.ownerDraw = this->arrivals.next();
        this->push(this->now + gap, EventKind::Arrive, 0);
        const auto counted = query.arrived - absl::UnixEpoch() >= warmUp;
        this->offered += counted ? 1 : 0;
        this->urgentOffered += counted && query.urgent ? 1 : 0;
        if (this->step.gate && !enterGate(this->entries[query.entry].gate, priorityOf(query))) {
            return;
        }
        auto request = QueryRequest{};
        request.view = this->view;
        request.deadline = this->now + this->scenario.deadline;
        request.coverageFloorPermille = this->scenario.coverageFloorPermille;
        request.belowFloor = this->scenario.belowFloor;
        request.policy = this->step.query;
        auto actions = std::vector<Action>{};
        auto shared = this->context(query);
        query.state = startQuery(request, shared, this->now, actions);
        this->apply(number, actions);
    }

    static auto priorityOf(const RunningQuery &query) -> contracts::Priority
    {
        return query.urgent ? contracts::Priority::Urgent : contracts::Priority::Routine;
    }

    auto apply(std::size_t number, const std::vector<Action> &actions) -> void
    {
        auto &query = *this->queries[number];
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<SendAttempt>(&action)) {
                this->send(number, *sent);
            } else if (const auto *cancelled = std::get_if<CancelAttempt>(&action)) {
                this->over(query.requests[cancelled->attempt.get()]);
                this->push(this->now + networkDelay, EventKind::CancelAtOwner, query.requests[cancelled->attempt.get()]);
            } else {
                this->count(query, std::get<Finish>(action));
            }
        }
        const auto wake = nextWake(query.state);
        if (wake < query.timerAt) {
            query.timerAt = wake;
            this->push(wake, EventKind::QueryTimer, number);
        }
    }

    auto chooseQueue(const RunningQuery &query, const base::LeafId &leaf) -> std::size_t
    {
        const auto &owners = this->owners[leaf];
        if (this->step.ownerChoice == OwnerChoice::Draw) {
            return this->queueNumbers.at({leaf, routing::chooseOwner(owners, query.ownerDraw)->host});
        }
        auto inFlight = std::array<std::uint32_t, routing::maxOwnersPerLeaf>{};
        for (auto i = std::size_t{0}; i < owners.size(); ++i) {
            inFlight.at(i) = this->entries[query.entry].inFlight[this->queueNumbers.at({leaf, owners[i].host})];
        }
        return this->queueNumbers.at({leaf, routing::chooseOwner(owners, std::span{inFlight}.first(owners.size()), query.ownerDraw)->host});
    }

    /// The request is over for the entry, which no longer counts it as in flight.
    auto over(std::size_t id) -> void
    {
        auto &request = this->requests[id];
        if (!request.over) {
            request.over = true;
            --this->entries[this->queries[request.query]->entry].inFlight[request.queue];
        }
    }

    auto send(std::size_t number, const SendAttempt &sent) -> void
    {
        auto &query = *this->queries[number];
        const auto queue = this->chooseQueue(query, sent.leaf);
        ++this->entries[query.entry].inFlight[queue];
        query.requests.push_back(this->requests.size());
        this->push(this->now + networkDelay, EventKind::AtOwner, this->requests.size());
        this->requests.push_back({number, queue, sent.attempt, sent.shard, query.state.pin});
        if (query.arrived - absl::UnixEpoch() >= warmUp) {
            (sent.extra ? this->extras : this->firsts) += 1;
        }
    }

    auto count(const RunningQuery &query, const Finish &end) -> void
    {
        leaveGate(this->entries[query.entry].gate, {priorityOf(query), this->now - query.arrived, this->scenario.deadline, end.missing.empty()}, this->now);
        if (query.arrived - absl::UnixEpoch() < warmUp) {
            return;
        }
        const auto latency = absl::ToDoubleMilliseconds(this->now - query.arrived);
        this->latencies.push_back(latency);
        this->shardsAsked += end.shardsTotal;
        this->shardsAnswered += end.shardsTotal - end.missing.size();
        this->whole += end.missing.empty() ? 1 : 0;
        if (query.urgent) {
            this->urgentLatencies.push_back(latency);
            this->urgentWhole += end.missing.empty() ? 1 : 0;
        }
    }

    auto applyQueue(std::size_t number, const std::vector<routing::QueueAction> &actions) -> void
    {
        auto &queue = this->queues[number];
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<routing::Dispatch>(&action)) {
                this->startAtLeaf(sent->id.get(), queue.leaf);
            } else if (const auto *rejected = std::get_if<routing::Reject>(&action)) {
                this->answer(rejected->id.get(), LeafOutcome::Shed);
            } else {
                // A reachable leaf stops a cancelled request immediately.
                const auto id = std::get<routing::CancelRunning>(action).id.get();
                if (!this->isUnreachable(queue.leaf)) {
                    this->requests[id].outcome = LeafOutcome::Cancelled;
                    this->push(this->now + networkDelay, EventKind::LeafDone, id);
                }
            }
        }
        const auto wake = routing::nextWake(queue.state);
        if (wake < queue.timerAt) {
            queue.timerAt = wake;
            this->push(wake, EventKind::QueueTimer, number);
        }
    }

    auto answer(std::size_t id, LeafOutcome outcome) -> void
    {
        if (!this->requests[id].answered) {
            this->requests[id].answered = true;
            this->requests[id].outcome = outcome;
            this->push(this->now + networkDelay, EventKind::ReplyAtEntry, id);
        }
    }

    [[nodiscard]] auto isFaulty(std::uint32_t leaf) const -> bool
    {
        return leaf == 0 && this->now - absl::UnixEpoch() >= faultAfter;
    }

    [[nodiscard]] auto isUnreachable(std::uint32_t leaf) const -> bool
    {
        return this->isFaulty(leaf) && this->scenario.fault == Fault::LostReplica;
    }

    /// How many times longer than usual a request takes that starts now.
    [[nodiscard]] auto slowness(std::uint32_t leaf, std::uint64_t draw) const -> double
    {
        switch (this->scenario.fault) {
        case Fault::SlowLeaf:
            return this->isFaulty(leaf) ? slowFactor : 1;
        case Fault::RandomStragglers:
            return draw % 100 < stragglerPercent ? slowFactor : 1;
        case Fault::ColdLeaf:
            return this->isFaulty(leaf) ? std::max(1.0, coldFactor * (1 - absl::FDivDuration(this->now - absl::UnixEpoch() - faultAfter, coldDuration))) : 1;
        default:
            return 1;
        }
    }

    auto startAtLeaf(std::size_t id, std::uint32_t leaf) -> void
    {
        const auto radius = std::sqrt(-2 * std::log(1 - this->services.unit()));
        const auto normal = radius * std::cos(2 * std::numbers::pi * this->services.unit());
        const auto draw = this->services.next() >> 20U;
        const auto silent = this->scenario.fault == Fault::SilentConnection && this->isFaulty(leaf) && draw % 100 < silentPercent;
        if (this->isUnreachable(leaf) || silent) {
            return;
        }
        auto time = medianService * (std::exp(serviceSigma * normal) * this->slowness(leaf, draw));
        if (this->scenario.fault == Fault::FailingLeaf && this->isFaulty(leaf)) {
            this->requests[id].outcome = LeafOutcome::Failed;
            time = absl::Microseconds(200);
        }
        this->push(this->now + time, EventKind::LeafDone, id);
    }

    auto leafDone(std::size_t id) -> void
    {
        const auto queue = this->requests[id].queue;
        const auto outcome = this->requests[id].outcome;
        auto actions = std::vector<routing::QueueAction>{};
        const auto end = outcome == LeafOutcome::Complete ? routing::RunEnd::Answered
                                                          : (outcome == LeafOutcome::Cancelled ? routing::RunEnd::Cancelled : routing::RunEnd::Declined);
        routing::finished(this->queues[queue].state, routing::QueueRequestId{id}, end, this->now, actions);
        this->answer(id, outcome);
        this->applyQueue(queue, actions);
    }

    auto atOwner(std::size_t id) -> void
    {
        const auto &request = this->requests[id];
        const auto &query = *this->queries[request.query];
        const auto priority = priorityOf(query);
        auto actions = std::vector<routing::QueueAction>{};
        const auto queue = request.queue;
        routing::submit(this->queues[queue].state, {routing::QueueRequestId{id}, priority, query.state.request.deadline}, this->now, actions);
        this->applyQueue(queue, actions);
    }

    auto cancelAtOwner(std::size_t id) -> void
    {
        const auto queue = this->requests[id].queue;
        auto actions = std::vector<routing::QueueAction>{};
        routing::cancel(this->queues[queue].state, routing::QueueRequestId{id}, this->now, actions);
        this->applyQueue(queue, actions);
    }

    auto replyAtEntry(std::size_t id) -> void
    {
        const auto &request = this->requests[id];
        this->over(id);
        auto &query = *this->queries[request.query];
        auto actions = std::vector<Action>{};
        auto shared = this->context(query);
        onReply(query.state, shared, {request.attempt, request.shard, request.outcome, request.pin, {}, false}, this->now, actions);
        this->apply(request.query, actions);
    }

    auto queryTimer(std::size_t number) -> void
    {
        auto &query = *this->queries[number];
        query.timerAt = absl::InfiniteFuture();
        auto actions = std::vector<Action>{};
        auto shared = this->context(query);
        onTimer(query.state, shared, this->now, actions);
        this->apply(number, actions);
    }

    auto queueTimer(std::size_t number) -> void
    {
        this->queues[number].timerAt = absl::InfiniteFuture();
        auto actions = std::vector<routing::QueueAction>{};
        routing::expire(this->queues[number].state, this->now, actions);
        this->applyQueue(number, actions);
    }

    static auto quantile(std::vector<double> &sorted, double part) -> double
    {
        return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
    }

    auto summarise() -> Outcome
    {
        std::ranges::sort(this->latencies);
        std::ranges::sort(this->urgentLatencies);
        auto outcome = Outcome{};
        outcome.queries = this->offered;
        outcome.p50 = quantile(this->latencies, 0.5);
        outcome.p99 = quantile(this->latencies, 0.99);
        outcome.p999 = quantile(this->latencies, 0.999);
        outcome.urgentP99 = quantile(this->urgentLatencies, 0.99);
        outcome.coverage = static_cast<double>(this->shardsAnswered) / static_cast<double>(this->shardsAsked);
        outcome.whole = this->whole / std::max(1U, this->offered);
        outcome.urgentWhole = this->urgentWhole / std::max(1U, this->urgentOffered);
        outcome.extra = static_cast<double>(this->extras) / static_cast<double>(this->firsts);
        outcome.goodput = this->whole / absl::ToDoubleSeconds(this->scenario.length - warmUp);
        return outcome;
    }

    Scenario scenario;
    Step step;
    base::Random arrivals;
    base::Random services;
    base::Random choices;
    std::shared_ptr<const ServiceView> view;
    std::vector<Entry> entries;
    routing::OwnershipMap owners;
    absl::flat_hash_map<base::LeafId, std::uint32_t> leafNumbers;
    absl::flat_hash_map<std::pair<base::LeafId, base::HostId>, std::size_t> queueNumbers;
    std::vector<OwnerQueue> queues;
    std::vector<std::unique_ptr<RunningQuery>> queries;
    std::vector<Request> requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t order = 0;
    absl::Time now = absl::UnixEpoch();
    std::vector<double> latencies;
    std::vector<double> urgentLatencies;
    std::uint64_t shardsAsked = 0;
    std::uint64_t shardsAnswered = 0;
    std::uint32_t offered = 0;
    std::uint32_t urgentOffered = 0;
    double whole = 0;
    double urgentWhole = 0;
    std::uint64_t firsts = 0;
    std::uint64_t extras = 0;
};

} // namespace

auto simulate(const Scenario &scenario, const Step &step) -> Outcome
{
    return Fleet{scenario, step}.run();
}

} // namespace tamarackspan::query::bench
