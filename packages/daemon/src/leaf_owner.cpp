#include "tamarackspan/daemon/leaf_owner.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/daemon/leaf_http.h"
#include "tamarackspan/logging/logger.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace tamarackspan::daemon {

namespace {

const auto logger = logging::Logger("leaf-owner");

constexpr auto refreshInterval = absl::Milliseconds(200);
constexpr auto statusInterval = absl::Seconds(1);

auto outcomeOf(routing::QueueRejection why) -> query::LeafOutcome
{
    switch (why) {
    case routing::QueueRejection::Shed:
    case routing::QueueRejection::NotOwner:
        return query::LeafOutcome::Shed;
    case routing::QueueRejection::DeadlinePassed:
        return query::LeafOutcome::TimedOut;
    case routing::QueueRejection::Cancelled:
        return query::LeafOutcome::Cancelled;
    case routing::QueueRejection::Draining:
        return query::LeafOutcome::Draining;
    }
    return query::LeafOutcome::Failed;
}

auto reasonOf(routing::QueueRejection why) -> std::string
{
    switch (why) {
    case routing::QueueRejection::Shed:
        return "the leaf's queue is too long";
    case routing::QueueRejection::NotOwner:
        return "the host holds no share of the leaf";
    case routing::QueueRejection::DeadlinePassed:
        return "the deadline passed in the leaf's queue";
    case routing::QueueRejection::Cancelled:
        return "cancelled";
    case routing::QueueRejection::Draining:
        return "the leaf is leaving";
    }
    return "unknown";
}

/// Returns whether a leaf's status says that it is draining; nothing if the response doesn't tell.
auto readDraining(const http::Response &response) -> std::optional<bool>
{
    const auto status = nlohmann::json::parse(response.body, nullptr, false);
    if (response.outcome != http::Outcome::Ok || !status.is_object()) {
        return std::nullopt;
    }
    const auto draining = status.find("draining");
    return draining != status.end() && draining->is_boolean() ? std::optional(draining->get<bool>()) : std::nullopt;
}

auto rejection(routing::QueueRejection why) -> LeafWorkReply
{
    auto reply = LeafWorkReply();
    reply.outcome = outcomeOf(why);
    reply.run = RunState::NotRun;
    reply.reason = reasonOf(why);
    return reply;
}

} // namespace

/// One leaf of which this host holds, held, or may come to hold a share.
struct LeafOwner::LeafRecord
{
    base::ServiceName service;
    contracts::Leaf leaf;
    routing::LeafQueue queue;
    transport::TimerId wakeTimer = 0;
    absl::Time wakeAt = absl::InfiniteFuture();
    /// The leaf itself reported that it is draining.
    bool reportedDraining = false;
    absl::Time nextStatus = absl::InfinitePast();
    /// The epoch of the lease in which the leaf's own state was learned.
    std::uint64_t confirmedEpoch = 0;
    bool confirming = false;
};

struct LeafOwner::WorkState
{
    LeafWork work;
    /// The record outlives all work on it.
    LeafRecord *record = nullptr;
    http::RequestId request = 0;
};

LeafOwner::LeafOwner(transport::EventLoop &loop, HostIdentity identity, const Lease &lease, Accounting &accounting)
    : loop(loop),
      identity(std::move(identity)),
      lease(lease),
      accounting(accounting),
      client(loop, http::ClientOptions()),
      view(std::make_shared<const ControlView>())
{
    this->scheduleRefresh();
}

LeafOwner::~LeafOwner()
{
    this->loop.cancelTimer(this->refreshTimer);
}

auto LeafOwner::updateView(ControlViewPtr newView) -> void
{
    this->view = std::move(newView);
    this->refreshShares();
}

auto LeafOwner::pendingWork() const noexcept -> std::size_t
{
    return this->works.size();
}

auto LeafOwner::recordOf(const base::ServiceName &service, const base::LeafId &leaf) -> LeafRecord *
{
    const auto known = this->records.find(leaf);
    if (known != this->records.end()) {
        return known->second.get();
    }
    const auto entry = this->view->services.find(service);
    if (entry == this->view->services.end()) {
        return nullptr;
    }
    const auto &leafs = entry->second.view->service.leafs;
    const auto published = leafs.find(leaf);
    if (published == leafs.end()) {
        return nullptr;
    }
    auto record = std::make_unique<LeafRecord>();
    record->service = service;
    record->leaf = published->second;
    record->confirmedEpoch = this->lease.epoch();
    auto *raw = record.get();
    this->records.emplace(leaf, std::move(record));
    this->refreshShare(*raw, base::monotonicNow());
    return raw;
}

auto LeafOwner::scheduleRefresh() -> void
{
    this->refreshTimer = this->loop.runAt(base::monotonicNow() + refreshInterval, [this] {
        this->refreshShares();
        this->scheduleRefresh();
    });
}

auto LeafOwner::refreshShares() -> void
{
    const auto now = base::monotonicNow();
    auto all = std::vector<LeafRecord *>();
    all.reserve(this->records.size());
    for (const auto &[id, record] : this->records) {
        all.push_back(record.get());
    }
    for (auto *record : all) {
        this->refreshShare(*record, now);
        if (record->reportedDraining && now >= record->nextStatus) {
            this->pollStatus(*record);
        }
    }
}

auto LeafOwner::refreshShare(LeafRecord &record, absl::Time now) -> void
{
    auto share = routing::LeafShare();
    const auto entry = this->view->services.find(record.service);
    auto actions = std::vector<routing::QueueAction>();
    if (entry != this->view->services.end()) {
        const auto &service = entry->second.view->service;
        const auto published = service.leafs.find(record.leaf.id);
        if (published != service.leafs.end()) {
            record.leaf = published->second;
            if (this->lease.isInForce(now)) {
                share = routing::currentShare(service, record.leaf.id, this->identity.host, this->view->hostViews, now, this->view->shareWindow);
            }
        }
    }
    // Idle connections must not hold on to a share that was given up: its new owner opens its own.
    this->client.limitPool(leafPool(record.leaf), share.connections);
    if (share.connections > 0 && !this->mayUse(record, now)) {
        this->confirm(record, share.connections);
        share = routing::LeafShare();
    }
    routing::setShare(record.queue, share, now, actions);
    if (record.leaf.leaving || record.reportedDraining) {
        routing::drain(record.queue, actions);
    } else if (record.queue.draining) {
        routing::resume(record.queue);
    }
    this->perform(record, actions);
}

auto LeafOwner::submit(LeafWorkId number, LeafWork work) -> void
{
    const auto now = base::monotonicNow();
    auto *record = this->recordOf(work.service, work.leaf);
    if (record == nullptr || !this->mayUse(*record, now)) {
        work.reply(rejection(routing::QueueRejection::NotOwner));
        return;
    }
    const auto id = routing::QueueRequestId(number);
    const auto request = routing::QueueRequest{id, work.priority, work.deadline};
    this->works.emplace(id, WorkState{std::move(work), record, 0});
    auto actions = std::vector<routing::QueueAction>();
    routing::submit(record->queue, request, now, actions);
    this->perform(*record, actions);
}

auto LeafOwner::cancel(LeafWorkId number) -> void
{
    const auto known = this->works.find(routing::QueueRequestId(number));
    if (known == this->works.end()) {
        return;
    }
    auto &record = *known->second.record;
    auto actions = std::vector<routing::QueueAction>();
    routing::cancel(record.queue, known->first, base::monotonicNow(), actions);
    this->perform(record, actions);
}

auto LeafOwner::perform(LeafRecord &record, const std::vector<routing::QueueAction> &actions) -> void
{
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<routing::Dispatch>(&action)) {
            this->dispatch(record, send->id);
        } else if (const auto *refuse = std::get_if<routing::Reject>(&action)) {
            this->reject(refuse->id, refuse->reason);
        } else if (const auto *stop = std::get_if<routing::CancelRunning>(&action)) {
            this->cancelAtLeaf(record, stop->id);
        }
    }
    this->rearm(record);
}

auto LeafOwner::dispatch(LeafRecord &record, routing::QueueRequestId id) -> void
{
    const auto known = this->works.find(id);
    if (known == this->works.end()) {
        return;
    }
    const auto now = base::monotonicNow();
    if (!this->mayUse(record, now)) {
        auto actions = std::vector<routing::QueueAction>();
        routing::finished(record.queue, id, routing::RunEnd::Declined, now, actions);
        this->reject(id, routing::QueueRejection::NotOwner);
        this->perform(record, actions);
        return;
    }
    auto request = leafRequest(record.leaf, record.queue.share.connections, known->second.work, now, record.queue.policy.slotGrace);
    known->second.request = this->client.send(std::move(request), [this, &record, id](const http::Response &response) {
        this->onResponse(record, id, response);
    });
}

auto LeafOwner::reject(routing::QueueRequestId id, routing::QueueRejection why) -> void
{
    this->answer(id, rejection(why));
}

auto LeafOwner::cancelAtLeaf(LeafRecord &record, routing::QueueRequestId id) -> void
{
    const auto known = this->works.find(id);
    if (known == this->works.end() || known->second.work.ticket) {
        return;
    }
    this->client.send(cancelRequest(record.leaf, record.queue.share.connections, known->second.work.requestName), [](const http::Response &) {});
}

auto LeafOwner::onResponse(LeafRecord &record, routing::QueueRequestId id, const http::Response &response) -> void
{
    const auto known = this->works.find(id);
    if (known == this->works.end()) {
        return;
    }
    const auto &work = known->second.work;
    auto result = readLeafResponse(work, response);
    if (result.crossed) {
        this->accounting.countEvent("crossed_replies");
        logger.warning("leaf replied to another request", {{"leaf", work.leaf.get()}, {"request", work.requestName}});
    }
    if (result.reply.reachedLeaf) {
        const auto cancelled = result.reply.outcome == query::LeafOutcome::Cancelled;
        this->accounting.chargeLeafRequest({work.customer, work.operation}, work.kind, cancelled, result.reply.costMicros);
    }
    auto actions = std::vector<routing::QueueAction>();
    routing::finished(record.queue, id, result.end, base::monotonicNow(), actions);
    if (result.reply.leafDraining || result.reply.outcome == query::LeafOutcome::Draining) {
        this->noteDraining(record, actions);
    }
    this->answer(id, std::move(result.reply));
    this->perform(record, actions);
}

auto LeafOwner::noteDraining(LeafRecord &record, std::vector<routing::QueueAction> &actions) -> void
{
    if (!record.reportedDraining) {
        record.reportedDraining = true;
        record.nextStatus = base::monotonicNow() + statusInterval;
        logger.info("leaf reports that it is draining", {{"leaf", record.leaf.id.get()}});
    }
    routing::drain(record.queue, actions);
}

auto LeafOwner::pollStatus(LeafRecord &record) -> void
{
    record.nextStatus = base::monotonicNow() + statusInterval;
    const auto connections = record.queue.share.connections;
    if (connections == 0) {
        return;
    }
    this->client.send(statusRequest(record.leaf, connections), [this, &record](const http::Response &response) {
        if (readDraining(response) == false) {
            record.reportedDraining = false;
            logger.info("leaf no longer reports that it is draining", {{"leaf", record.leaf.id.get()}});
            this->refreshShare(record, base::monotonicNow());
        }
    });
}

auto LeafOwner::mayUse(const LeafRecord &record, absl::Time now) const -> bool
{
    return this->lease.isInForce(now) && record.confirmedEpoch == this->lease.epoch();
}

/// Asks a leaf for its state before it is used again: while the lease was not in force, the leaf may have told other hosts that it drains. A leaf that doesn't
/// answer is used as before.
auto LeafOwner::confirm(LeafRecord &record, std::uint32_t connections) -> void
{
    if (std::exchange(record.confirming, true)) {
        return;
    }
    this->client.send(statusRequest(record.leaf, connections), [this, &record, epoch = this->lease.epoch()](const http::Response &response) {
        record.confirming = false;
        record.confirmedEpoch = epoch;
        const auto draining = readDraining(response) == true;
        logger.info("leaf's state was read after a lapse of the lease", {{"leaf", record.leaf.id.get()}, {"draining", draining}, {"epoch", epoch}});
        if (draining) {
            auto actions = std::vector<routing::QueueAction>();
            this->noteDraining(record, actions);
            this->perform(record, actions);
        }
        this->refreshShare(record, base::monotonicNow());
    });
}

auto LeafOwner::rearm(LeafRecord &record) -> void
{
    const auto due = routing::nextWake(record.queue);
    if (due == record.wakeAt) {
        return;
    }
    this->loop.cancelTimer(std::exchange(record.wakeTimer, 0));
    record.wakeAt = due;
    if (due < absl::InfiniteFuture()) {
        record.wakeTimer = this->loop.runAt(due, [this, &record] {
            record.wakeAt = absl::InfiniteFuture();
            auto actions = std::vector<routing::QueueAction>();
            routing::expire(record.queue, base::monotonicNow(), actions);
            this->perform(record, actions);
        });
    }
}

auto LeafOwner::answer(routing::QueueRequestId id, LeafWorkReply reply) -> void
{
    auto node = this->works.extract(id);
    if (!node.empty()) {
        node.mapped().work.reply(std::move(reply));
    }
}

} // namespace tamarackspan::daemon
