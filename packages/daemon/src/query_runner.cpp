#include "tamarackspan/daemon/query_runner.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/daemon/answer.h"
#include "tamarackspan/daemon/wire_conversion.h"
#include "tamarackspan/logging/logger.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace tamarackspan::daemon {

namespace {

const auto logger = logging::Logger("entry");

/// The most hedges and retries that an operation's budget may accumulate.
constexpr auto extraLoadBurst = std::uint32_t{20};
/// A log line names at most this many attempts without rows, so that its length doesn't grow with the shards.
constexpr auto maxNamedAttempts = std::size_t{12};

} // namespace

/// This thread's state of one service.
struct QueryRunner::ServiceState
{
    routing::LeafTable table;
    std::shared_ptr<const query::ServiceView> view;
};

/// Where one attempt was sent, and its result.
struct QueryRunner::AttemptRecord
{
    base::ShardId shard;
    AttemptKind kind = AttemptKind::First;
    /// The link to the owner; null if the owner is this host.
    transport::LinkPtr link;
    std::optional<LeafWorkHandle> local;
    base::LeafId leaf;
    std::optional<OwnerOfLeaf> owner;
    /// Owners that the request was sent to.
    std::vector<base::HostId> triedOwners;
    std::optional<std::vector<Row>> rows;
    bool answered = false;
    /// Why the attempt ended without rows, for the log.
    std::string reason;
};

struct QueryRunner::RunningQuery
{
    std::uint64_t number = 0;
    CallerQuery caller;
    ServiceState *service = nullptr;
    std::shared_ptr<const routing::OwnershipMap> owners;
    query::QueryState state;
    std::uint64_t ownerDraw = 0;
    /// Indexed by attempt number.
    std::vector<AttemptRecord> attemptRecords;
    absl::flat_hash_map<transport::LinkPtr, wire::LeafBatchT> batches;
    AnswerCost cost;
    transport::TimerId timer = 0;
    absl::Time timerAt = absl::InfiniteFuture();
    bool callerDisconnected = false;
};

QueryRunner::QueryRunner(transport::EventLoop &loop, HostIdentity identity, transport::PeerLinks &links, LeafDispatcher leafs, Accounting &accounting,
                         std::uint64_t firstQuery)
    : loop(loop),
      identity(std::move(identity)),
      links(links),
      leafs(std::move(leafs)),
      accounting(accounting),
      lastQuery(firstQuery),
      random(this->identity.incarnation.get() ^ firstQuery),
      view(std::make_shared<const ControlView>())
{
}

QueryRunner::~QueryRunner() = default;

auto QueryRunner::updateView(ControlViewPtr newView) -> void
{
    this->view = std::move(newView);
    for (const auto &[name, state] : this->services) {
        const auto entry = this->view->services.find(name);
        if (entry != this->view->services.end() && entry->second.view != state->view) {
            state->view = entry->second.view;
            routing::updateService(state->table, state->view->service, base::monotonicNow());
        }
    }
}

auto QueryRunner::running() const noexcept -> std::size_t
{
    return this->queries.size();
}

auto QueryRunner::serviceState(const base::ServiceName &service) -> ServiceState &
{
    auto &state = this->services[service];
    if (state == nullptr) {
        state = std::make_unique<ServiceState>();
        state->view = this->view->services.at(service).view;
        routing::updateService(state->table, state->view->service, base::monotonicNow());
    }
    return *state;
}

auto QueryRunner::contextOf(RunningQuery &query) -> query::QueryContext
{
    const auto account = costs::CostKey{query.caller.customer, query.caller.operation.name};
    auto [budget, isNew] = this->extraLoads.try_emplace(account);
    if (isNew || budget->second.permille != query.caller.operation.extraLoadPermille) {
        budget->second = query::makeExtraLoadBudget(query.caller.operation.extraLoadPermille, extraLoadBurst);
    }
    return {query.service->table, budget->second, this->random, query.service->view};
}

auto QueryRunner::start(CallerQuery caller) -> void
{
    const auto entry = this->view->services.find(caller.operation.service);
    if (entry == this->view->services.end()) {
        const auto message = absl::StrCat("service \"", caller.operation.service.get(), "\" isn't published for this data centre");
        this->accounting.countRefusal({caller.customer, caller.operation.name}, RefusalKind::ServiceUnknown);
        caller.responder->answer(refusalResponse({RefusalKind::ServiceUnknown, RunState::NotRun, message, absl::Seconds(1)}));
        caller.finished();
        return;
    }
    const auto running = std::make_shared<RunningQuery>();
    running->number = ++this->lastQuery;
    running->caller = std::move(caller);
    running->service = &this->serviceState(running->caller.operation.service);
    running->owners = entry->second.owners;
    running->ownerDraw = this->random.next();
    this->queries.emplace(running->number, running);
    running->caller.responder->onCallerDisconnected([this, number = running->number] {
        this->loop.post([this, number] {
            this->onCallerDisconnected(number);
        });
    });

    auto request = query::QueryRequest();
    request.view = running->service->view;
    request.deadline = running->caller.deadline;
    request.coverageFloorPermille = running->caller.operation.coverageFloorPermille;
    request.belowFloor = running->caller.operation.belowFloor;
    auto context = this->contextOf(*running);
    auto actions = std::vector<query::Action>();
    running->state = query::startQuery(request, context, base::monotonicNow(), actions);
    this->perform(running, actions);
}

auto QueryRunner::perform(const RunningPtr &query, const std::vector<query::Action> &actions) -> void
{
    for (const auto &action : actions) {
        if (const auto *attempt = std::get_if<query::SendAttempt>(&action)) {
            this->send(query, *attempt);
        } else if (const auto *cancelled = std::get_if<query::CancelAttempt>(&action)) {
            this->cancel(*query, *cancelled);
        } else if (const auto *end = std::get_if<query::Finish>(&action)) {
            this->flushBatches(*query);
            this->finish(query, *end);
            return;
        }
    }
    this->flushBatches(*query);
    this->rearm(query);
}

auto QueryRunner::send(const RunningPtr &query, const query::SendAttempt &attempt) -> void
{
    if (query->attemptRecords.size() <= attempt.attempt.get()) {
        query->attemptRecords.resize(attempt.attempt.get() + 1);
    }
    auto &place = query->attemptRecords[attempt.attempt.get()];
    place.shard = attempt.shard;
    place.kind = kindOf(*query, attempt);
    ++query->cost.leafRequests;
    place.leaf = attempt.leaf;
    if (!this->sendToNextOwner(query, attempt.attempt)) {
        this->failLater(query->number, attempt.attempt, attempt.shard);
    }
}

auto QueryRunner::sendToNextOwner(const RunningPtr &query, base::AttemptId attempt) -> bool
{
    auto &place = query->attemptRecords[attempt.get()];
    for (const auto &host : this->ownersToTry(*query, place.leaf)) {
        if (std::find(place.triedOwners.begin(), place.triedOwners.end(), host) != place.triedOwners.end()) {
            continue;
        }
        const auto isSelf = host == this->identity.host;
        place.link = isSelf ? nullptr : this->links.linkTo(host);
        if (!isSelf && place.link == nullptr) {
            continue;
        }
        place.triedOwners.push_back(host);
        place.local.reset();
        place.owner = OwnerOfLeaf{place.leaf, host};
        ++this->inFlight[*place.owner];
        if (isSelf) {
            this->sendLocal(query, attempt);
        } else {
            auto item = std::make_unique<wire::LeafItemT>();
            item->attempt = attempt.get();
            item->shard = place.shard.get();
            item->leaf = place.leaf.get();
            item->kind = toWire(place.kind);
            query->batches[place.link].items.push_back(std::move(item));
        }
        return true;
    }
    return false;
}

auto QueryRunner::ownersToTry(const RunningQuery &query, const base::LeafId &leaf) const -> std::vector<base::HostId>
{
    const auto owners = query.owners->find(leaf);
    if (owners == query.owners->end()) {
        return {};
    }
    auto loads = std::vector<std::uint32_t>();
    for (const auto &owner : owners->second) {
        const auto known = this->inFlight.find(OwnerOfLeaf{leaf, owner.host});
        loads.push_back(known == this->inFlight.end() ? 0 : known->second);
    }
    const auto *first = routing::chooseOwner(owners->second, loads, query.ownerDraw);
    auto hosts = std::vector<base::HostId>();
    if (first != nullptr) {
        hosts.push_back(first->host);
    }
    for (const auto &owner : owners->second) {
        if (first == nullptr || owner.host != first->host) {
            hosts.push_back(owner.host);
        }
    }
    // A host that accepts no leaf requests may stop at any moment, and requests sent to it may be cut off.
    std::erase_if(hosts, [this](const base::HostId &host) {
        return this->links.isDraining(host);
    });
    return hosts;
}

auto QueryRunner::noteEnded(AttemptRecord &place) -> void
{
    place.answered = true;
    if (!place.owner) {
        return;
    }
    const auto known = this->inFlight.find(*place.owner);
    if (known != this->inFlight.end() && --known->second == 0) {
        this->inFlight.erase(known);
    }
}

auto QueryRunner::kindOf(const RunningQuery &query, const query::SendAttempt &attempt) -> AttemptKind
{
    if (!attempt.extra) {
        return AttemptKind::First;
    }
    const auto hasOpenAttempt =
        std::any_of(query.attemptRecords.begin(), query.attemptRecords.begin() + attempt.attempt.get(), [&attempt](const AttemptRecord &place) {
            return place.shard == attempt.shard && !place.answered;
        });
    return hasOpenAttempt ? AttemptKind::Hedge : AttemptKind::Retry;
}

auto QueryRunner::sendLocal(const RunningPtr &query, base::AttemptId attempt) -> void
{
    const auto &place = query->attemptRecords[attempt.get()];
    auto work = LeafWork();
    work.requestName = absl::StrCat(absl::Hex(this->identity.incarnation.get()), "-", query->number, ".", attempt.get());
    work.service = query->caller.operation.service;
    work.leaf = place.leaf;
    work.shard = place.shard;
    work.customer = query->caller.customer;
    work.operation = query->caller.operation.name;
    work.priority = query->caller.operation.priority;
    work.kind = place.kind;
    work.deadline = query->caller.deadline;
    work.pin = query->state.pin;
    work.body = query->caller.body;
    // Posted, since the query's state machine is still emitting actions.
    work.reply = [this, number = query->number, id = attempt, shard = place.shard](const LeafWorkReply &reply) {
        this->loop.post([this, number, id, shard, reply] {
            this->deliver(number, id, shard, reply);
        });
    };
    query->attemptRecords[attempt.get()].local = this->leafs.submit(std::move(work));
}

auto QueryRunner::flushBatches(RunningQuery &query) -> void
{
    const auto timeLeft = query.caller.deadline - base::monotonicNow();
    for (auto &[link, batch] : std::exchange(query.batches, {})) {
        batch.query = query.number;
        batch.timeLeftMicros = static_cast<std::uint64_t>(std::max<std::int64_t>(absl::ToInt64Microseconds(timeLeft), 1));
        batch.customer = query.caller.customer.get();
        batch.operation = query.caller.operation.name.get();
        batch.urgent = query.caller.operation.priority == contracts::Priority::Urgent;
        batch.service = query.caller.operation.service.get();
        batch.indexVersion = query.state.pin.indexVersion.get();
        batch.mapGeneration = query.state.pin.mapGeneration.get();
        batch.body = toBytes(*query.caller.body);
        auto sent = std::vector<std::pair<base::AttemptId, base::ShardId>>();
        for (const auto &item : batch.items) {
            sent.emplace_back(item->attempt, item->shard);
        }
        if (!link->send(wire::encode(std::move(batch)))) {
            for (const auto &[attempt, shard] : sent) {
                this->failLater(query.number, attempt, shard);
            }
        }
    }
}

auto QueryRunner::failLater(std::uint64_t query, base::AttemptId attempt, base::ShardId shard) -> void
{
    this->loop.post([this, query, attempt, shard] {
        auto reply = LeafWorkReply();
        reply.reason = "no owner of the leaf can be reached";
        this->deliver(query, attempt, shard, std::move(reply));
    });
}

auto QueryRunner::cancel(RunningQuery &query, const query::CancelAttempt &attempt) -> void
{
    const auto &place = query.attemptRecords[attempt.attempt.get()];
    if (place.answered) {
        return;
    }
    if (place.local) {
        this->leafs.cancel(*place.local);
    } else if (place.link != nullptr) {
        auto message = wire::CancelAttemptsT();
        message.query = query.number;
        message.attempts = {attempt.attempt.get()};
        place.link->send(wire::encode(std::move(message)));
    }
}

auto QueryRunner::onLeafReply(const wire::LeafReplyT &reply) -> void
{
    this->deliver(reply.query, base::AttemptId(reply.attempt), base::ShardId(reply.shard), fromWire(reply));
}

auto QueryRunner::onLinkDown(const transport::LinkPtr &link) -> void
{
    for (const auto &[number, query] : this->queries) {
        for (auto i = std::size_t{0}; i < query->attemptRecords.size(); ++i) {
            const auto &place = query->attemptRecords[i];
            if (place.link == link && !place.answered) {
                this->failLater(number, base::AttemptId(static_cast<std::uint32_t>(i)), place.shard);
            }
        }
    }
}

auto QueryRunner::deliver(std::uint64_t number, base::AttemptId attempt, base::ShardId shard, LeafWorkReply reply) -> void
{
    const auto known = this->queries.find(number);
    if (known == this->queries.end() || attempt.get() >= known->second->attemptRecords.size()) {
        this->accounting.countEvent("late_replies");
        return;
    }
    const auto query = known->second;
    auto &place = query->attemptRecords[attempt.get()];
    if (place.answered) {
        this->accounting.countEvent("late_replies");
        return;
    }
    this->noteEnded(place);
    // A request that never reached a leaf may be sent to the leaf's other owner; the query's state machine doesn't learn of it.
    const auto notRun = !reply.reachedLeaf && (reply.outcome == query::LeafOutcome::Shed || reply.outcome == query::LeafOutcome::Failed);
    if (notRun && !query->state.over && this->sendToNextOwner(query, attempt)) {
        place.answered = false;
        this->flushBatches(*query);
        return;
    }
    place.reason = reply.reason;
    query->cost.leafMicros += reply.costMicros;
    if (reply.outcome == query::LeafOutcome::Complete) {
        place.rows = parseRows(reply.body);
        if (!place.rows) {
            this->accounting.countEvent("malformed_leaf_answers");
            reply.outcome = query::LeafOutcome::Failed;
        }
    }
    auto event = query::LeafReply();
    event.attempt = attempt;
    event.shard = shard;
    event.outcome = reply.outcome;
    event.pin = reply.pin;
    event.heldVersions = std::move(reply.heldVersions);
    event.draining = reply.leafDraining;
    auto context = this->contextOf(*query);
    auto actions = std::vector<query::Action>();
    query::onReply(query->state, context, event, base::monotonicNow(), actions);
    this->perform(query, actions);
}

auto QueryRunner::describeAttempts(const RunningQuery &query) -> std::string
{
    auto text = std::string();
    auto named = std::size_t{0};
    for (const auto &place : query.attemptRecords) {
        if (place.rows) {
            continue;
        }
        if (++named > maxNamedAttempts) {
            text += "; ...";
            break;
        }
        absl::StrAppend(&text, text.empty() ? "" : "; ", "shard ", place.shard.get(), " ", place.leaf.get(), " by ",
                        place.owner ? place.owner->owner.get() : std::string("nobody"), ": ", place.answered ? place.reason : "open");
    }
    return text;
}

auto QueryRunner::finish(const RunningPtr &query, const query::Finish &finish) -> void
{
    this->loop.cancelTimer(query->timer);
    this->queries.erase(query->number);
    for (auto &place : query->attemptRecords) {
        if (!place.answered) {
            this->noteEnded(place);
        }
    }
    const auto account = costs::CostKey{query->caller.customer, query->caller.operation.name};
    const auto covered = finish.shardsTotal - static_cast<std::uint32_t>(finish.missing.size());
    if (query->callerDisconnected) {
        this->accounting.countEvent("callers_left");
    } else if (finish.refused || (covered == 0 && finish.shardsTotal > 0)) {
        const auto kind = finish.refused ? RefusalKind::CoverageBelowFloor : RefusalKind::NoShardAnswered;
        logger.warning("query refused after requests were sent to its leafs",
                       {{"query", query->number},
                        {"customer", query->caller.customer.get()},
                        {"operation", query->caller.operation.name.get()},
                        {"covered", covered},
                        {"shards", finish.shardsTotal},
                        {"ms", absl::ToInt64Milliseconds(base::monotonicNow() - query->caller.arrivedAt)},
                        {"left_ms", absl::ToInt64Milliseconds(query->caller.deadline - base::monotonicNow())},
                        {"attempts", describeAttempts(*query)}});
        auto response = refusalResponse({kind, RunState::MayHaveRun, absl::StrCat("only ", covered, " of ", finish.shardsTotal, " shards answered"), {}});
        auto body = nlohmann::ordered_json::parse(response.body);
        body.update(labelJson(finish, query->cost));
        response.body = body.dump();
        this->accounting.countRefusal(account, kind);
        query->caller.responder->answer(std::move(response));
    } else {
        auto rows = std::vector<Row>();
        for (const auto &attempt : finish.accepted) {
            auto &part = query->attemptRecords[attempt.get()].rows;
            std::move(part->begin(), part->end(), std::back_inserter(rows));
        }
        this->accounting.countAnswer(account, base::monotonicNow() - query->caller.arrivedAt, finish.shardsTotal, covered);
        query->caller.responder->answer(answerResponse(answerJson(finish, std::move(rows), query->caller.operation.maxRows, query->cost)));
    }
    query->caller.finished();
}

auto QueryRunner::rearm(const RunningPtr &query) -> void
{
    const auto due = query::nextWake(query->state);
    if (due == query->timerAt) {
        return;
    }
    this->loop.cancelTimer(query->timer);
    query->timerAt = due;
    query->timer = this->loop.runAt(due, [this, number = query->number] {
        this->onTimer(number);
    });
}

auto QueryRunner::onTimer(std::uint64_t number) -> void
{
    const auto known = this->queries.find(number);
    if (known == this->queries.end()) {
        return;
    }
    const auto query = known->second;
    query->timerAt = absl::InfiniteFuture();
    auto context = this->contextOf(*query);
    auto actions = std::vector<query::Action>();
    query::onTimer(query->state, context, base::monotonicNow(), actions);
    this->perform(query, actions);
}

auto QueryRunner::onCallerDisconnected(std::uint64_t number) -> void
{
    const auto known = this->queries.find(number);
    if (known == this->queries.end()) {
        return;
    }
    const auto query = known->second;
    query->callerDisconnected = true;
    auto context = this->contextOf(*query);
    auto actions = std::vector<query::Action>();
    query::onCallerDisconnected(query->state, context, base::monotonicNow(), actions);
    this->perform(query, actions);
}

} // namespace tamarackspan::daemon
