#include "tamarackspan/daemon/worker.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/daemon/wire_conversion.h"
#include "tamarackspan/logging/logger.h"

#include "absl/strings/str_cat.h"

#include <utility>
#include <vector>

namespace tamarackspan::daemon {

namespace {

const auto logger = logging::Logger("traffic");

/// Query numbers are unique within the process: the highest bits hold the thread's index.
constexpr auto threadShift = 48U;

auto linkIdentity(const HostIdentity &identity) -> transport::LinkIdentity
{
    return {identity.host, identity.incarnation, identity.dataCentre, wire::Channel::Traffic};
}

auto dispatcherFor(std::uint32_t index, const WorkerEnvironment &environment) -> LeafDispatcher
{
    return {[index, &environment](LeafWork work) {
                return environment.submitLeaf(index, std::move(work));
            },
            [&environment](LeafWorkHandle handle) {
                environment.cancelLeaf(handle);
            }};
}

auto requestPrefix(const transport::LinkPtr &link) -> std::string
{
    return absl::StrCat(absl::Hex(link->peerIncarnation().get()), "-");
}

auto deadlineOf(std::uint64_t timeLeftMicros) -> absl::Time
{
    constexpr auto longestMicros = std::uint64_t{3'600'000'000};
    return base::monotonicNow() + absl::Microseconds(static_cast<std::int64_t>(std::min(timeLeftMicros, longestMicros)));
}

auto executeReply(std::uint64_t request, const ExecuteResult &result) -> wire::ExecuteReplyT
{
    auto reply = wire::ExecuteReplyT();
    reply.request = request;
    reply.run = toWire(result.run);
    reply.rejected = result.rejected;
    reply.refusal = static_cast<std::uint8_t>(result.kind);
    reply.reason = result.message;
    reply.body = toBytes(result.body);
    return reply;
}

} // namespace

Worker::Worker(std::uint32_t index, transport::EventLoop &loop, const WorkerEnvironment &environment, std::optional<execution::TicketBook> book)
    : index(index),
      loop(loop),
      environment(environment),
      links(loop, linkIdentity(environment.identity), environment.linkTiming,
            {[this](const transport::LinkPtr &link, wire::MessageT message) {
                 this->onMessage(link, std::move(message));
             },
             [this](const transport::LinkPtr &link, std::string_view reason) {
                 logger.info("link lost", {{"peer", link->host().get()}, {"why", reason}});
                 this->onLinkDown(link);
             },
             {}}),
      leafOwner(loop, environment.identity, environment.lease, environment.accounting),
      queryRunner(loop, environment.identity, this->links, dispatcherFor(index, environment), environment.accounting, std::uint64_t{index} << threadShift)
{
    // Until the shares of this host are in force.
    this->links.setDraining(true);
    if (book) {
        this->executeRunner = std::make_unique<ExecuteRunner>(loop, environment.identity, this->links, dispatcherFor(index, environment),
                                                              environment.accounting, *std::move(book));
    }
}

auto Worker::updateView(const ControlViewPtr &view) -> void
{
    this->leafOwner.updateView(view);
    this->queryRunner.updateView(view);
    if (this->executeRunner != nullptr) {
        this->executeRunner->updateView(view);
    }
}

auto Worker::adopt(transport::FrameConnection::Detached detached, const wire::HelloT &hello) -> void
{
    this->links.adopt(std::move(detached), hello);
}

auto Worker::setAcceptsLeafRequests(bool on) -> void
{
    this->links.setDraining(!on);
}

auto Worker::stopIssuing() -> void
{
    if (this->executeRunner != nullptr) {
        this->executeRunner->stopIssuing();
    }
}

auto Worker::queries() -> QueryRunner &
{
    return this->queryRunner;
}

auto Worker::leafs() -> LeafOwner &
{
    return this->leafOwner;
}

auto Worker::executes() -> ExecuteRunner *
{
    return this->executeRunner.get();
}

auto Worker::isIdle() -> bool
{
    const auto executesDone = this->executeRunner == nullptr || this->executeRunner->isDrained();
    return this->queryRunner.running() == 0 && this->leafOwner.pendingWork() == 0 && this->peerExecutes == 0 && executesDone;
}

auto Worker::onMessage(const transport::LinkPtr &link, wire::MessageT message) -> void
{
    if (const auto *batch = message.body.AsLeafBatch()) {
        this->onLeafBatch(link, *batch);
    } else if (const auto *reply = message.body.AsLeafReply()) {
        this->queryRunner.onLeafReply(*reply);
    } else if (const auto *cancel = message.body.AsCancelAttempts()) {
        this->onCancel(link, *cancel);
    } else if (auto *forward = message.body.AsExecuteForward()) {
        this->onExecuteForward(link, std::move(*forward));
    } else if (const auto *request = message.body.AsExecuteLeaf()) {
        this->onExecuteLeaf(link, *request);
    } else if (const auto *executed = message.body.AsExecuteReply(); executed != nullptr && this->executeRunner != nullptr) {
        this->executeRunner->onReply(*executed);
    } else if (message.body.AsHeartbeat() == nullptr) {
        this->environment.accounting.countEvent("unexpected_messages");
    }
}

auto Worker::onLinkDown(const transport::LinkPtr &link) -> void
{
    this->queryRunner.onLinkDown(link);
    if (this->executeRunner != nullptr) {
        this->executeRunner->onLinkDown(link);
    }
    for (const auto &[work, handle] : this->peerWorks) {
        if (work.link == link) {
            this->environment.cancelLeaf(handle);
        }
    }
}

auto Worker::onLeafBatch(const transport::LinkPtr &link, const wire::LeafBatchT &batch) -> void
{
    const auto body = std::make_shared<const std::string>(toText(batch.body));
    const auto deadline = deadlineOf(batch.timeLeftMicros);
    for (const auto &item : batch.items) {
        auto work = LeafWork();
        work.requestName = absl::StrCat(requestPrefix(link), batch.query, ".", item->attempt);
        work.service = base::ServiceName(batch.service);
        work.leaf = base::LeafId(item->leaf);
        work.shard = base::ShardId(item->shard);
        work.customer = base::CustomerName(batch.customer);
        work.operation = base::OperationName(batch.operation);
        work.priority = batch.urgent ? contracts::Priority::Urgent : contracts::Priority::Routine;
        work.kind = fromWire(item->kind);
        work.deadline = deadline;
        work.pin = {base::IndexVersion(batch.indexVersion), base::Revision(batch.mapGeneration)};
        work.body = body;
        const auto key = PeerWork{link, batch.query, item->attempt};
        // Posted, so that the handle is known before the reply is handled.
        work.reply = [this, key, shard = work.shard](LeafWorkReply reply) {
            this->loop.post([this, key, shard, reply = std::move(reply)]() mutable {
                this->peerWorks.erase(key);
                key.link->send(wire::encode(toWire(key.query, base::AttemptId(key.attempt), shard, std::move(reply))));
            });
        };
        this->peerWorks[key] = this->environment.submitLeaf(this->index, std::move(work));
    }
}

auto Worker::onCancel(const transport::LinkPtr &link, const wire::CancelAttemptsT &cancel) -> void
{
    for (const auto attempt : cancel.attempts) {
        const auto work = this->peerWorks.find(PeerWork{link, cancel.query, attempt});
        if (work != this->peerWorks.end()) {
            this->environment.cancelLeaf(work->second);
        }
    }
}

auto Worker::onExecuteForward(const transport::LinkPtr &link, wire::ExecuteForwardT forward) -> void
{
    const auto request = forward.request;
    ++this->peerExecutes;
    this->environment.forwardExecute(this->index, std::move(forward), [this, link, request](const ExecuteResult &result) {
        --this->peerExecutes;
        link->send(wire::encode(executeReply(request, result)));
    });
}

auto Worker::onExecuteLeaf(const transport::LinkPtr &link, const wire::ExecuteLeafT &request) -> void
{
    auto work = LeafWork();
    work.requestName = absl::StrCat(requestPrefix(link), "y", request.request);
    work.service = base::ServiceName(request.service);
    work.leaf = base::LeafId(request.leaf);
    work.shard = base::ShardId(request.shard);
    work.customer = base::CustomerName(request.customer);
    work.operation = base::OperationName(request.operation);
    work.priority = request.urgent ? contracts::Priority::Urgent : contracts::Priority::Routine;
    work.deadline = deadlineOf(request.timeLeftMicros);
    work.pin.mapGeneration = base::Revision(request.mapGeneration);
    work.body = std::make_shared<const std::string>(toText(request.body));
    work.ticket = request.ticket;
    work.reply = [link, number = request.request](const LeafWorkReply &result) {
        auto reply = wire::ExecuteReplyT();
        reply.request = number;
        reply.run = toWire(result.run);
        reply.rejected = result.rejected;
        reply.reason = result.reason;
        reply.costMicros = result.costMicros;
        reply.reachedLeaf = result.reachedLeaf;
        reply.body = toBytes(result.body);
        link->send(wire::encode(std::move(reply)));
    };
    this->environment.submitLeaf(this->index, std::move(work));
}

} // namespace tamarackspan::daemon
