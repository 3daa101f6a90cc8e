#include "tamarackspan/daemon/traffic_threads.h"

#include "tamarackspan/base/random.h"

#include <algorithm>
#include <random>
#include <utility>

namespace tamarackspan::daemon {

namespace {

auto randomBits() -> std::uint64_t
{
    auto device = std::random_device();
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

auto makeIncarnation() -> base::Incarnation
{
    return base::Incarnation(std::max<std::uint64_t>(randomBits(), 1));
}

/// One thread with its loop.
struct TrafficThreads::Lane
{
    transport::EventLoop loop;
    std::unique_ptr<Worker> worker;
    std::thread thread;
};

TrafficThreads::TrafficThreads(std::uint32_t threads, HostIdentity identity, transport::LinkTiming linkTiming, const Lease &lease, Accounting &accounting,
                               const execution::TicketBookOptions &ticketOptions)
    : environment{std::move(identity),
                  linkTiming,
                  lease,
                  accounting,
                  [this](std::uint32_t fromThread, LeafWork work) {
                      return this->submitLeaf(fromThread, std::move(work));
                  },
                  [this](LeafWorkHandle handle) {
                      this->cancelLeaf(handle);
                  },
                  [this](std::uint32_t fromThread, wire::ExecuteForwardT forward, ExecuteRunner::ResultHandler reply) {
                      this->forwardExecute(fromThread, std::move(forward), std::move(reply));
                  }}
{
    for (auto i = std::uint32_t{0}; i < std::max(threads, 1U); ++i) {
        auto lane = std::make_unique<Lane>();
        auto book = std::optional<execution::TicketBook>();
        if (i == 0) {
            const auto secret = execution::HashKey{randomBits(), randomBits()};
            book = execution::makeTicketBook(this->environment.identity.host, this->environment.identity.incarnation, secret, ticketOptions);
        }
        lane->worker = std::make_unique<Worker>(i, lane->loop, this->environment, std::move(book));
        this->lanes.push_back(std::move(lane));
    }
    for (const auto &lane : this->lanes) {
        lane->thread = std::thread([raw = lane.get()] {
            raw->loop.run();
        });
    }
}

TrafficThreads::~TrafficThreads()
{
    for (const auto &lane : this->lanes) {
        lane->loop.stop();
    }
    for (const auto &lane : this->lanes) {
        lane->thread.join();
    }
}

auto TrafficThreads::updateView(const ControlViewPtr &view) -> void
{
    for (const auto &lane : this->lanes) {
        lane->loop.post([worker = lane->worker.get(), view] {
            worker->updateView(view);
        });
    }
}

auto TrafficThreads::adopt(transport::FrameConnection::Detached detached, wire::HelloT hello) -> void
{
    const auto &lane = this->lanes[this->nextLane++ % this->lanes.size()];
    lane->loop.post([worker = lane->worker.get(), detached = std::move(detached), hello = std::move(hello)] {
        worker->adopt(detached, hello);
    });
}

auto TrafficThreads::startQuery(CallerQuery query) -> void
{
    const auto &lane = this->lanes[this->nextLane++ % this->lanes.size()];
    lane->loop.post([worker = lane->worker.get(), query = std::move(query)] {
        worker->queries().start(query);
    });
}

auto TrafficThreads::startExecute(CallerQuery request) -> void
{
    const auto &lane = this->lanes.front();
    lane->loop.post([worker = lane->worker.get(), request = std::move(request)] {
        worker->executes()->start(request);
    });
}

auto TrafficThreads::refuseExecute(CallerQuery request, Refusal refusal) -> void
{
    const auto &lane = this->lanes.front();
    lane->loop.post([worker = lane->worker.get(), request = std::move(request), refusal = std::move(refusal)] {
        worker->executes()->refuse(request, refusal);
    });
}

auto TrafficThreads::issueTicket(CallerQuery request) -> void
{
    const auto &lane = this->lanes.front();
    lane->loop.post([worker = lane->worker.get(), request = std::move(request)] {
        worker->executes()->issueTicket(request);
    });
}

auto TrafficThreads::setAcceptsLeafRequests(bool on) -> void
{
    for (const auto &lane : this->lanes) {
        lane->loop.post([worker = lane->worker.get(), on] {
            worker->setAcceptsLeafRequests(on);
        });
    }
}

auto TrafficThreads::stopIssuing() -> void
{
    const auto &lane = this->lanes.front();
    lane->loop.post([worker = lane->worker.get()] {
        worker->stopIssuing();
    });
}

auto TrafficThreads::checkIdle(std::function<void(bool)> answer) -> void
{
    struct Tally
    {
        std::atomic<std::size_t> missing;
        std::atomic<bool> idle{true};
        std::function<void(bool)> answer;
    };
    const auto tally = std::make_shared<Tally>();
    tally->missing = this->lanes.size();
    tally->answer = std::move(answer);
    for (const auto &lane : this->lanes) {
        lane->loop.post([worker = lane->worker.get(), tally] {
            if (!worker->isIdle()) {
                tally->idle = false;
            }
            if (--tally->missing == 0) {
                tally->answer(tally->idle);
            }
        });
    }
}

auto TrafficThreads::laneOf(const base::LeafId &leaf) const -> std::uint32_t
{
    return static_cast<std::uint32_t>(base::stableHash(leaf.get().data(), leaf.get().size()) % this->lanes.size());
}

auto TrafficThreads::submitLeaf(std::uint32_t fromThread, LeafWork work) -> LeafWorkHandle
{
    const auto handle = LeafWorkHandle{this->laneOf(work.leaf), ++this->lastWork};
    const auto &lane = this->lanes[handle.thread];
    if (handle.thread == fromThread) {
        lane->worker->leafs().submit(handle.number, std::move(work));
        return handle;
    }
    work.reply = [this, fromThread, reply = std::move(work.reply)](LeafWorkReply result) {
        this->lanes[fromThread]->loop.post([reply, result = std::move(result)]() mutable {
            reply(std::move(result));
        });
    };
    lane->loop.post([worker = lane->worker.get(), number = handle.number, work = std::move(work)] {
        worker->leafs().submit(number, work);
    });
    return handle;
}

auto TrafficThreads::cancelLeaf(LeafWorkHandle handle) -> void
{
    const auto &lane = this->lanes[handle.thread];
    lane->loop.post([worker = lane->worker.get(), number = handle.number] {
        worker->leafs().cancel(number);
    });
}

auto TrafficThreads::forwardExecute(std::uint32_t fromThread, wire::ExecuteForwardT forward, ExecuteRunner::ResultHandler reply) -> void
{
    auto back = [this, fromThread, reply = std::move(reply)](const ExecuteResult &result) {
        this->lanes[fromThread]->loop.post([reply, result] {
            reply(result);
        });
    };
    this->lanes.front()->loop.post([worker = this->lanes.front()->worker.get(), forward = std::move(forward), back = std::move(back)] {
        worker->executes()->onForward(forward, back);
    });
}

} // namespace tamarackspan::daemon
