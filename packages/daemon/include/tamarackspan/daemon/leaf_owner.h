#pragma once

#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/daemon/control_view.h"
#include "tamarackspan/daemon/host_identity.h"
#include "tamarackspan/daemon/leaf_work.h"
#include "tamarackspan/daemon/lease.h"
#include "tamarackspan/http/client.h"
#include "tamarackspan/routing/leaf_queue.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tamarackspan::daemon {

/// Identifies one piece of work at an owner.
using LeafWorkId = std::uint64_t;

/// The leaf-owner role on one traffic thread: keeps the connections, slots and queues of the leafs that are assigned to this host and this thread.
class LeafOwner
{
public:
    LeafOwner(transport::EventLoop &loop, HostIdentity identity, const Lease &lease, Accounting &accounting);
    ~LeafOwner();
    LeafOwner(const LeafOwner &) = delete;
    auto operator=(const LeafOwner &) -> LeafOwner & = delete;

    /// Uses a new view from now on.
    auto updateView(ControlViewPtr newView) -> void;

    /// Submits a request under a number that no other request of this owner has. Its reply comes later, or from within this call.
    auto submit(LeafWorkId number, LeafWork work) -> void;

    /// Cancels a request; its reply still comes. An unknown number is ignored.
    auto cancel(LeafWorkId number) -> void;

    /// Returns how many requests are queued or run.
    [[nodiscard]] auto pendingWork() const noexcept -> std::size_t;

private:
    struct LeafRecord;
    struct WorkState;

    auto recordOf(const base::ServiceName &service, const base::LeafId &leaf) -> LeafRecord *;
    auto refreshShares() -> void;
    auto refreshShare(LeafRecord &record, absl::Time now) -> void;
    auto scheduleRefresh() -> void;
    auto perform(LeafRecord &record, const std::vector<routing::QueueAction> &actions) -> void;
    auto dispatch(LeafRecord &record, routing::QueueRequestId id) -> void;
    auto reject(routing::QueueRequestId id, routing::QueueRejection why) -> void;
    auto cancelAtLeaf(LeafRecord &record, routing::QueueRequestId id) -> void;
    auto onResponse(LeafRecord &record, routing::QueueRequestId id, const http::Response &response) -> void;
    auto noteDraining(LeafRecord &record, std::vector<routing::QueueAction> &actions) -> void;
    auto pollStatus(LeafRecord &record) -> void;
    /// Returns whether the lease is in force and the leaf's state is known since it came into force.
    [[nodiscard]] auto mayUse(const LeafRecord &record, absl::Time now) const -> bool;
    auto confirm(LeafRecord &record, std::uint32_t connections) -> void;
    auto rearm(LeafRecord &record) -> void;
    auto answer(routing::QueueRequestId id, LeafWorkReply reply) -> void;

    transport::EventLoop &loop;
    HostIdentity identity;
    const Lease &lease;
    Accounting &accounting;
    http::Client client;
    ControlViewPtr view;
    transport::TimerId refreshTimer = 0;
    absl::flat_hash_map<base::LeafId, std::unique_ptr<LeafRecord>> records;
    absl::flat_hash_map<routing::QueueRequestId, WorkState> works;
};

} // namespace tamarackspan::daemon
