#include "tamarackspan/daemon/execute_runner.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/daemon/wire_conversion.h"
#include "tamarackspan/logging/logger.h"
#include "tamarackspan/routing/ownership.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace tamarackspan::daemon {

namespace {

const auto logger = logging::Logger("execute");

constexpr auto forwardRetryDelay = absl::Milliseconds(100);
/// How much earlier than the caller's deadline the leaf's deadline is, so that its answer still reaches the caller.
constexpr auto answerMargin = absl::Milliseconds(5);

auto refusalOf(execution::RefusalReason reason) -> RefusalKind
{
    switch (reason) {
    case execution::RefusalReason::Expired:
    case execution::RefusalReason::Forgotten:
        return RefusalKind::TicketExpired;
    case execution::RefusalReason::IncarnationGone:
        return RefusalKind::OutcomeUnknown;
    case execution::RefusalReason::Corrupt:
    case execution::RefusalReason::WrongOwner:
        return RefusalKind::BadTicket;
    case execution::RefusalReason::OtherBody:
        return RefusalKind::TicketConflict;
    }
    return RefusalKind::BadTicket;
}

auto timeLeftMicros(absl::Time deadline) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(absl::ToInt64Microseconds(deadline - base::monotonicNow()), 1));
}

auto resultOf(const execution::Outcome &outcome) -> ExecuteResult
{
    auto result = ExecuteResult();
    result.run = outcome.runState;
    result.rejected = outcome.status == statusOf(RefusalKind::LeafRejected);
    result.kind = outcome.runState == RunState::NotRun ? RefusalKind::LeafUnavailable : RefusalKind::OutcomeUnknown;
    result.message = outcome.bodyKept ? "as answered before" : "ran before; the answer was too long to be kept";
    result.body = outcome.body;
    return result;
}

auto shardFor(const contracts::Service &service, const std::string &routingKey) -> const contracts::Shard &
{
    return service.shards[base::stableHash(routingKey.data(), routingKey.size()) % service.shards.size()];
}

} // namespace

/// One submission of a request, by a caller here or forwarded by another entry host.
struct ExecuteRunner::Submission
{
    execution::Submission ticketed;
    contracts::Priority priority = contracts::Priority::Routine;
    base::ServiceName service;
    absl::Time deadline;
    std::string routingKey;
    std::shared_ptr<const std::string> body;
    ResultHandler reply;
    transport::TimerId timer = 0;
    bool settled = false;
};

/// One request being run for all its submissions.
struct ExecuteRunner::Run
{
    SubmissionPtr first;
    std::vector<SubmissionPtr> waiting;
    std::shared_ptr<const query::ServiceView> service;
    std::shared_ptr<const routing::OwnershipMap> owners;
    base::ShardId shard;
    std::vector<base::LeafId> replicas;
    std::size_t nextReplica = 0;
    /// The leaf that is tried now, and the owners of this leaf that were tried.
    base::LeafId leaf;
    std::vector<base::HostId> triedOwners;
    std::uint32_t attempts = 0;
    std::string lastReason;
};

/// A request that was sent on a link. Exactly one of run and submission is set.
struct ExecuteRunner::Sent
{
    transport::LinkPtr link;
    RunPtr run;
    SubmissionPtr submission;
};

ExecuteRunner::ExecuteRunner(transport::EventLoop &loop, HostIdentity identity, transport::PeerLinks &links, LeafDispatcher leafs, Accounting &accounting,
                             execution::TicketBook book)
    : loop(loop),
      identity(std::move(identity)),
      links(links),
      leafs(std::move(leafs)),
      accounting(accounting),
      book(std::move(book)),
      view(std::make_shared<const ControlView>())
{
}

ExecuteRunner::~ExecuteRunner() = default;

auto ExecuteRunner::updateView(ControlViewPtr newView) -> void
{
    this->view = std::move(newView);
}

auto ExecuteRunner::stopIssuing() -> void
{
    execution::drain(this->book);
}

auto ExecuteRunner::isDrained() -> bool
{
    return this->runs.empty() && execution::isDrained(this->book, base::monotonicNow());
}

auto ExecuteRunner::issueTicket(const CallerQuery &caller) -> void
{
    const auto ticket = execution::issue(this->book, caller.customer, caller.operation.name, base::monotonicNow());
    if (ticket.ok()) {
        auto answer = nlohmann::ordered_json();
        answer["ticket"] = execution::toString(ticket.value());
        answer["valid_ms"] = absl::ToInt64Milliseconds(this->book.options.ticketLife);
        caller.responder->answer(answerResponse(answer.dump()));
    } else {
        const auto stopping = ticket.error() == execution::IssueRefusal::Draining;
        const auto kind = stopping ? RefusalKind::Stopping : RefusalKind::TicketsExhausted;
        this->accounting.countRefusal({caller.customer, caller.operation.name}, kind);
        caller.responder->answer(refusalResponse({kind, RunState::NotRun, "no ticket can be issued now", absl::Seconds(1)}));
    }
    caller.finished();
}

auto ExecuteRunner::start(CallerQuery caller) -> void
{
    const auto ticket = execution::parseTicket(caller.ticket);
    if (!ticket.ok()) {
        this->answerCaller(caller, {RunState::NotRun, false, RefusalKind::BadTicket, ticket.error().message, {}});
        return;
    }
    const auto submission = std::make_shared<Submission>();
    submission->ticketed = {ticket.value(), caller.customer, caller.operation.name, execution::bodyDigest(caller.routingKey, *caller.body)};
    submission->priority = caller.operation.priority;
    submission->service = caller.operation.service;
    submission->deadline = caller.deadline;
    submission->routingKey = caller.routingKey;
    submission->body = caller.body;
    submission->reply = [this, caller = std::move(caller)](const ExecuteResult &result) {
        this->answerCaller(caller, result);
    };
    this->submit(submission);
}

auto ExecuteRunner::refuse(const CallerQuery &caller, Refusal refusal) -> void
{
    const auto ticket = execution::parseTicket(caller.ticket);
    refusal.run = RunState::MayHaveRun;
    if (ticket.ok() && ticket.value().incarnation == this->identity.incarnation) {
        const auto entry = this->book.entries.find(ticket.value().number);
        if (entry != this->book.entries.end() && entry->second.phase == execution::TicketEntry::Phase::Finished) {
            this->start(caller);
            return;
        }
        if (entry != this->book.entries.end() && entry->second.phase == execution::TicketEntry::Phase::Issued) {
            refusal.run = RunState::NotRun;
        }
    }
    caller.responder->answer(refusalResponse(refusal));
    caller.finished();
}

auto ExecuteRunner::onForward(const wire::ExecuteForwardT &forward, ResultHandler reply) -> void
{
    const auto contract = this->view->contracts.find(base::CustomerName(forward.customer));
    const auto ticket = execution::parseTicket(forward.ticket);
    if (!ticket.ok()) {
        reply({RunState::NotRun, false, RefusalKind::BadTicket, ticket.error().message, {}});
        return;
    }
    if (contract == this->view->contracts.end() || !contract->second->operations.contains(base::OperationName(forward.operation))) {
        reply({RunState::MayHaveRun, false, RefusalKind::UnknownOperation, "the host that issued the ticket doesn't know the operation", {}});
        return;
    }
    const auto &operation = contract->second->operations.at(base::OperationName(forward.operation));
    const auto submission = std::make_shared<Submission>();
    submission->body = std::make_shared<const std::string>(toText(forward.body));
    submission->ticketed = {ticket.value(), base::CustomerName(forward.customer), operation.name, execution::bodyDigest(forward.routingKey, *submission->body)};
    submission->priority = operation.priority;
    submission->service = operation.service;
    submission->deadline = base::monotonicNow() + std::min(absl::Microseconds(forward.timeLeftMicros), operation.deadline);
    submission->routingKey = forward.routingKey;
    submission->reply = std::move(reply);
    this->submit(submission);
}

auto ExecuteRunner::submit(const SubmissionPtr &submission) -> void
{
    submission->timer = this->loop.runAt(submission->deadline, [this, submission] {
        this->settle(
            submission,
            {RunState::MayHaveRun, false, RefusalKind::OutcomeUnknown, "no outcome within the deadline; submit the same ticket again to learn it", {}});
    });
    const auto decision = execution::begin(this->book, submission->ticketed, base::monotonicNow());
    if (std::holds_alternative<execution::Run>(decision)) {
        this->startRun(submission);
    } else if (std::holds_alternative<execution::InProgress>(decision)) {
        this->join(submission);
    } else if (const auto *known = std::get_if<execution::AlreadyFinished>(&decision)) {
        this->settle(submission, resultOf(known->outcome));
    } else if (std::holds_alternative<execution::IssuedElsewhere>(decision)) {
        this->forward(submission);
    } else if (const auto *refused = std::get_if<execution::Refused>(&decision)) {
        const auto message = absl::StrCat("the ticket is no good: ", std::string(execution::toString(refused->reason)));
        this->settle(submission, {refused->runState, false, refusalOf(refused->reason), message, {}});
    }
}

auto ExecuteRunner::join(const SubmissionPtr &submission) -> void
{
    const auto run = this->runs.find(submission->ticketed.ticket.number);
    if (run != this->runs.end()) {
        run->second->waiting.push_back(submission);
    }
}

auto ExecuteRunner::startRun(const SubmissionPtr &submission) -> void
{
    const auto run = std::make_shared<Run>();
    run->first = submission;
    run->waiting.push_back(submission);
    this->runs.emplace(submission->ticketed.ticket.number, run);
    const auto entry = this->view->services.find(submission->service);
    if (entry == this->view->services.end() || entry->second.view->service.shards.empty()) {
        this->endRun(run, {RunState::NotRun, statusOf(RefusalKind::ServiceUnknown), {}, true}, RefusalKind::ServiceUnknown,
                     "the service isn't published for this data centre");
        return;
    }
    run->service = entry->second.view;
    run->owners = entry->second.owners;
    const auto &shard = shardFor(run->service->service, submission->routingKey);
    run->shard = shard.id;
    for (const auto &replica : shard.replicas) {
        const auto leaf = run->service->service.leafs.find(replica);
        if (leaf != run->service->service.leafs.end() && !leaf->second.leaving) {
            run->replicas.push_back(replica);
        }
    }
    this->tryNextReplica(run);
}

auto ExecuteRunner::tryNextReplica(const RunPtr &run) -> void
{
    const auto outOfTime = base::monotonicNow() + answerMargin >= run->first->deadline;
    if (run->nextReplica >= run->replicas.size() || outOfTime) {
        const auto why = run->lastReason.empty() ? std::string("no replica is in use") : run->lastReason;
        this->endRun(run, {RunState::NotRun, statusOf(RefusalKind::LeafUnavailable), {}, true}, RefusalKind::LeafUnavailable, why);
        return;
    }
    run->leaf = run->replicas[run->nextReplica++];
    run->triedOwners.clear();
    if (!this->sendToNextOwner(run)) {
        run->lastReason = "no owner of the leaf can be reached";
        this->loop.post([this, run] {
            this->tryNextReplica(run);
        });
    }
}

auto ExecuteRunner::sendToNextOwner(const RunPtr &run) -> bool
{
    const auto owners = run->owners->find(run->leaf);
    auto hosts = std::vector<base::HostId>();
    if (owners != run->owners->end()) {
        for (const auto &owner : owners->second) {
            hosts.push_back(owner.host);
        }
    }
    // A host that accepts no leaf requests may stop at any moment, and requests sent to it may be cut off.
    std::erase_if(hosts, [this](const base::HostId &host) {
        return this->links.isDraining(host);
    });
    for (const auto &host : hosts) {
        if (std::find(run->triedOwners.begin(), run->triedOwners.end(), host) != run->triedOwners.end()) {
            continue;
        }
        run->triedOwners.push_back(host);
        if (host == this->identity.host) {
            this->sendLocal(run, run->leaf);
            return true;
        }
        const auto link = this->links.linkTo(host);
        auto message = wire::ExecuteLeafT();
        message.request = ++this->lastRequest;
        message.timeLeftMicros = timeLeftMicros(run->first->deadline - answerMargin);
        message.ticket = execution::toString(run->first->ticketed.ticket);
        message.customer = run->first->ticketed.customer.get();
        message.operation = run->first->ticketed.operation.get();
        message.urgent = run->first->priority == contracts::Priority::Urgent;
        message.service = run->first->service.get();
        message.mapGeneration = run->service->generation.get();
        message.shard = run->shard.get();
        message.leaf = run->leaf.get();
        message.body = toBytes(*run->first->body);
        const auto request = message.request;
        if (link != nullptr && link->send(wire::encode(std::move(message)))) {
            this->sent.emplace(request, Sent{link, run, nullptr});
            return true;
        }
    }
    return false;
}

auto ExecuteRunner::sendLocal(const RunPtr &run, const base::LeafId &leaf) -> void
{
    auto work = LeafWork();
    work.requestName = absl::StrCat(absl::Hex(this->identity.incarnation.get()), "-x", run->first->ticketed.ticket.number, ".", ++run->attempts);
    work.service = run->first->service;
    work.leaf = leaf;
    work.shard = run->shard;
    work.customer = run->first->ticketed.customer;
    work.operation = run->first->ticketed.operation;
    work.priority = run->first->priority;
    work.deadline = run->first->deadline - answerMargin;
    work.pin.mapGeneration = run->service->generation;
    work.body = run->first->body;
    work.ticket = execution::toString(run->first->ticketed.ticket);
    work.reply = [this, run](const LeafWorkReply &reply) {
        this->loop.post([this, run, reply] {
            this->onLeafResult(run, reply);
        });
    };
    this->leafs.submit(std::move(work));
}

auto ExecuteRunner::onReply(const wire::ExecuteReplyT &reply) -> void
{
    auto node = this->sent.extract(reply.request);
    if (node.empty()) {
        this->accounting.countEvent("late_replies");
        return;
    }
    if (node.mapped().run != nullptr) {
        auto result = LeafWorkReply();
        result.run = fromWire(reply.run);
        result.rejected = reply.rejected;
        result.reachedLeaf = reply.reachedLeaf;
        result.reason = reply.reason;
        result.body = toText(reply.body);
        this->onLeafResult(node.mapped().run, std::move(result));
        return;
    }
    const auto kind = reply.rejected ? RefusalKind::LeafRejected : refusalFromWire(reply.refusal);
    this->settle(node.mapped().submission, {fromWire(reply.run), reply.rejected, kind, reply.reason, toText(reply.body)});
}

auto ExecuteRunner::onLinkDown(const transport::LinkPtr &link) -> void
{
    auto lost = std::vector<Sent>();
    for (auto it = this->sent.begin(); it != this->sent.end();) {
        if (it->second.link == link) {
            lost.push_back(std::move(it->second));
            this->sent.erase(it++);
        } else {
            ++it;
        }
    }
    for (const auto &entry : lost) {
        if (entry.run != nullptr) {
            auto reply = LeafWorkReply();
            // All frames are pending until the peer's Hello arrives: without a Hello, nothing was sent.
            reply.run = link->peerIncarnation() == base::Incarnation() ? RunState::NotRun : RunState::MayHaveRun;
            reply.reason = "the connection to the leaf's owner was lost";
            this->onLeafResult(entry.run, std::move(reply));
        } else {
            this->retryForwardLater(entry.submission);
        }
    }
}

auto ExecuteRunner::onLeafResult(const RunPtr &run, LeafWorkReply reply) -> void
{
    if (reply.run == RunState::Ran) {
        this->endRun(run, {RunState::Ran, 200, std::move(reply.body), true}, RefusalKind::OutcomeUnknown, {});
    } else if (reply.rejected) {
        this->endRun(run, {RunState::NotRun, statusOf(RefusalKind::LeafRejected), std::move(reply.body), true}, RefusalKind::LeafRejected, {});
    } else if (reply.run == RunState::NotRun) {
        run->lastReason = std::move(reply.reason);
        // A request that never reached the leaf may be sent to the leaf's other owner.
        if (reply.reachedLeaf || !this->sendToNextOwner(run)) {
            this->tryNextReplica(run);
        }
    } else {
        logger.warning("outcome unknown", {{"ticket", run->first->ticketed.ticket.number}, {"why", reply.reason}});
        this->endRun(run, {RunState::MayHaveRun, statusOf(RefusalKind::OutcomeUnknown), {}, true}, RefusalKind::OutcomeUnknown, reply.reason);
    }
}

auto ExecuteRunner::endRun(const RunPtr &run, const execution::Outcome &outcome, RefusalKind kind, const std::string &message) -> void
{
    execution::finish(this->book, run->first->ticketed.ticket, outcome, base::monotonicNow());
    this->runs.erase(run->first->ticketed.ticket.number);
    auto result = resultOf(outcome);
    result.kind = kind;
    result.message = message;
    for (const auto &submission : std::exchange(run->waiting, {})) {
        this->settle(submission, result);
    }
}

auto ExecuteRunner::forward(const SubmissionPtr &submission) -> void
{
    const auto link = this->links.linkTo(submission->ticketed.ticket.host);
    auto message = wire::ExecuteForwardT();
    message.request = ++this->lastRequest;
    message.timeLeftMicros = timeLeftMicros(submission->deadline - answerMargin);
    message.ticket = execution::toString(submission->ticketed.ticket);
    message.customer = submission->ticketed.customer.get();
    message.operation = submission->ticketed.operation.get();
    message.routingKey = submission->routingKey;
    message.body = toBytes(*submission->body);
    const auto request = message.request;
    if (link != nullptr && link->send(wire::encode(std::move(message)))) {
        this->sent.emplace(request, Sent{link, nullptr, submission});
    } else {
        this->retryForwardLater(submission);
    }
}

auto ExecuteRunner::retryForwardLater(const SubmissionPtr &submission) -> void
{
    // Forwarding a ticket is idempotent: the host that issued it runs it at most once.
    this->loop.runAt(base::monotonicNow() + forwardRetryDelay, [this, submission] {
        if (!submission->settled) {
            this->forward(submission);
        }
    });
}

auto ExecuteRunner::settle(const SubmissionPtr &submission, const ExecuteResult &result) -> void
{
    if (!std::exchange(submission->settled, true)) {
        this->loop.cancelTimer(submission->timer);
        submission->reply(result);
    }
}

auto ExecuteRunner::answerCaller(const CallerQuery &caller, const ExecuteResult &result) -> void
{
    const auto account = costs::CostKey{caller.customer, caller.operation.name};
    if (result.run == RunState::Ran) {
        this->accounting.countAnswer(account, base::monotonicNow() - caller.arrivedAt, 1, 1);
        caller.responder->answer(answerResponse(result.body.empty() ? "{}" : result.body));
    } else if (result.rejected) {
        this->accounting.countRefusal(account, RefusalKind::LeafRejected);
        caller.responder->answer(answerResponse(result.body, RunState::NotRun, statusOf(RefusalKind::LeafRejected)));
    } else {
        this->accounting.countRefusal(account, result.kind);
        caller.responder->answer(refusalResponse({result.kind, result.run, result.message, {}}));
    }
    caller.finished();
}

} // namespace tamarackspan::daemon
