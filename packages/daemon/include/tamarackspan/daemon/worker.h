#pragma once

#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/daemon/control_view.h"
#include "tamarackspan/daemon/execute_runner.h"
#include "tamarackspan/daemon/host_identity.h"
#include "tamarackspan/daemon/leaf_dispatcher.h"
#include "tamarackspan/daemon/leaf_owner.h"
#include "tamarackspan/daemon/lease.h"
#include "tamarackspan/daemon/query_runner.h"
#include "tamarackspan/transport/event_loop.h"
#include "tamarackspan/transport/peer_links.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace tamarackspan::daemon {

/// What all traffic threads of the process share.
struct WorkerEnvironment
{
    HostIdentity identity;
    transport::LinkTiming linkTiming;
    const Lease &lease;
    Accounting &accounting;
    /// Hands a leaf request from the given thread to the thread that owns the leaf.
    std::function<LeafWorkHandle(std::uint32_t fromThread, LeafWork)> submitLeaf;
    std::function<void(LeafWorkHandle)> cancelLeaf;
    /// Hands a request that is not idempotent to the thread that holds the tickets. The result arrives on the given thread.
    std::function<void(std::uint32_t fromThread, wire::ExecuteForwardT, ExecuteRunner::ResultHandler)> forwardExecute;
};

/// The parts of one traffic thread: links, the leafs assigned to it, and the queries that it runs. All of it is used on the loop's thread only.
class Worker
{
public:
    /// `book` is set only for the one thread that holds the tickets.
    Worker(std::uint32_t index, transport::EventLoop &loop, const WorkerEnvironment &environment, std::optional<execution::TicketBook> book);
    Worker(const Worker &) = delete;
    auto operator=(const Worker &) -> Worker & = delete;
    ~Worker() = default;

    /// Uses a new view from now on.
    auto updateView(const ControlViewPtr &view) -> void;

    /// Takes over a connection that a peer opened.
    auto adopt(transport::FrameConnection::Detached detached, const wire::HelloT &hello) -> void;

    /// Tells all peers whether this host accepts new leaf requests: it doesn't before its shares are in force and when it is about to stop.
    auto setAcceptsLeafRequests(bool on) -> void;

    /// Stops issuing tickets.
    auto stopIssuing() -> void;

    [[nodiscard]] auto queries() -> QueryRunner &;
    [[nodiscard]] auto leafs() -> LeafOwner &;
    /// Returns the runner of requests that are not idempotent; null on threads that hold no tickets.
    [[nodiscard]] auto executes() -> ExecuteRunner *;

    /// Returns whether nothing runs here and no ticket is left, so that the process may end.
    [[nodiscard]] auto isIdle() -> bool;

private:
    /// A leaf request that a peer sent.
    struct PeerWork
    {
        transport::LinkPtr link;
        std::uint64_t query = 0;
        std::uint32_t attempt = 0;

        friend auto operator==(const PeerWork &, const PeerWork &) -> bool = default;

        template<typename H>
        friend auto AbslHashValue(H state, const PeerWork &work) -> H
        {
            return H::combine(std::move(state), work.link, work.query, work.attempt);
        }
    };

    auto onMessage(const transport::LinkPtr &link, wire::MessageT message) -> void;
    auto onLinkDown(const transport::LinkPtr &link) -> void;
    auto onLeafBatch(const transport::LinkPtr &link, const wire::LeafBatchT &batch) -> void;
    auto onCancel(const transport::LinkPtr &link, const wire::CancelAttemptsT &cancel) -> void;
    auto onExecuteForward(const transport::LinkPtr &link, wire::ExecuteForwardT forward) -> void;
    auto onExecuteLeaf(const transport::LinkPtr &link, const wire::ExecuteLeafT &request) -> void;

    std::uint32_t index;
    transport::EventLoop &loop;
    const WorkerEnvironment &environment;
    transport::PeerLinks links;
    LeafOwner leafOwner;
    QueryRunner queryRunner;
    std::unique_ptr<ExecuteRunner> executeRunner;
    absl::flat_hash_map<PeerWork, LeafWorkHandle> peerWorks;
    std::uint64_t peerExecutes = 0;
};

} // namespace tamarackspan::daemon
