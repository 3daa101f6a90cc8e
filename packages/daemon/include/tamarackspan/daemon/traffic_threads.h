#pragma once

#include "tamarackspan/daemon/worker.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace tamarackspan::daemon {

/// The traffic threads of the process. Each leaf is assigned to one of them by the hash of its name; queries are distributed round robin; tickets belong to the
/// first thread. All members are callable from any thread.
class TrafficThreads
{
public:
    TrafficThreads(std::uint32_t threads, HostIdentity identity, transport::LinkTiming linkTiming, const Lease &lease, Accounting &accounting,
                   const execution::TicketBookOptions &ticketOptions);
    /// Stops the threads; requests that still run are abandoned.
    ~TrafficThreads();
    TrafficThreads(const TrafficThreads &) = delete;
    auto operator=(const TrafficThreads &) -> TrafficThreads & = delete;

    /// Passes a new view to all threads.
    auto updateView(const ControlViewPtr &view) -> void;

    /// Gives a connection that a peer opened to one of the threads.
    auto adopt(transport::FrameConnection::Detached detached, wire::HelloT hello) -> void;

    /// Runs an admitted query.
    auto startQuery(CallerQuery query) -> void;

    /// Runs an admitted request that is not idempotent.
    auto startExecute(CallerQuery request) -> void;

    /// Answers a request that is not idempotent and wasn't admitted: with its outcome if that is known here, else with the refusal.
    auto refuseExecute(CallerQuery request, Refusal refusal) -> void;

    /// Issues a ticket to an admitted caller.
    auto issueTicket(CallerQuery request) -> void;

    /// Tells all peers whether this host accepts leaf requests; it accepts none until the first call.
    auto setAcceptsLeafRequests(bool on) -> void;

    /// Stops issuing tickets.
    auto stopIssuing() -> void;

    /// Calls back, on one of the threads, with whether nothing runs and no ticket is left.
    auto checkIdle(std::function<void(bool)> answer) -> void;

private:
    struct Lane;

    [[nodiscard]] auto laneOf(const base::LeafId &leaf) const -> std::uint32_t;
    auto submitLeaf(std::uint32_t fromThread, LeafWork work) -> LeafWorkHandle;
    auto cancelLeaf(LeafWorkHandle handle) -> void;
    auto forwardExecute(std::uint32_t fromThread, wire::ExecuteForwardT forward, ExecuteRunner::ResultHandler reply) -> void;

    WorkerEnvironment environment;
    std::vector<std::unique_ptr<Lane>> lanes;
    std::atomic<std::uint64_t> lastWork{0};
    std::atomic<std::uint32_t> nextLane{0};
};

} // namespace tamarackspan::daemon
