#pragma once

#include "tamarackspan/base/strong_value.h"
#include "tamarackspan/contracts/operation.h"
#include "tamarackspan/routing/ownership.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarackspan::routing {

/// Identifies one request at the owner of a leaf, which assigns each number once.
using QueueRequestId = base::StrongValue<struct QueueRequestIdTag, std::uint64_t>;

/// A request to one leaf.
struct QueueRequest
{
    QueueRequestId id;
    contracts::Priority priority = contracts::Priority::Routine;
    absl::Time deadline;

    friend auto operator==(const QueueRequest &, const QueueRequest &) -> bool = default;
};

/// The order of service: urgent requests first, then the earlier deadline, then the smaller id.
struct ServiceOrder
{
    [[nodiscard]] auto operator()(const QueueRequest &a, const QueueRequest &b) const -> bool;
};

/// Why a request was returned to its sender without being run.
enum class QueueRejection {
    /// It is not expected to complete by its deadline, or the queue is full.
    Shed,
    /// Its deadline passed while it waited.
    DeadlinePassed,
    /// It was cancelled while it waited.
    Cancelled,
    /// The leaf is leaving.
    Draining,
    /// This host owns no share of the leaf, or has given up its share because it is stopping.
    NotOwner,
};

/// Send the request to the leaf now.
struct Dispatch
{
    QueueRequestId id;

    friend auto operator==(const Dispatch &, const Dispatch &) -> bool = default;
};

/// Return the request to its sender: it was not run.
struct Reject
{
    QueueRequestId id;
    QueueRejection reason = QueueRejection::Shed;

    friend auto operator==(const Reject &, const Reject &) -> bool = default;
};

/// Cancel the request at the leaf. Its slot stays occupied until finished() is called for it or its slot grace period is over.
struct CancelRunning
{
    QueueRequestId id;

    friend auto operator==(const CancelRunning &, const CancelRunning &) -> bool = default;
};

/// What the caller must do, in order.
using QueueAction = std::variant<Dispatch, Reject, CancelRunning>;

/// How a dispatched request ended.
enum class RunEnd {
    /// The leaf answered.
    Answered,
    /// The leaf shed it: it has less capacity than the share allows.
    Shed,
    /// The leaf reported that it is draining.
    Draining,
    /// The leaf confirmed the cancellation.
    Cancelled,
    /// The leaf declined for another reason, without running it.
    Declined,
    /// The connection failed. The leaf may still be running the request, so its slot stays occupied until the grace period is over.
    ConnectionLost,
    /// The leaf's reply violated the protocol: the request has ended at the leaf, and its latency is not used.
    Failed,
};

/// The settings of a leaf's queue.
struct QueuePolicy
{
    /// Reject requests that are not expected to complete by their deadline, instead of queueing them.
    bool shedEarly = true;
    /// Maximum number of waiting requests.
    std::uint32_t maxQueued = 256;
    /// Grace period after which a slot may be reused although the leaf has not answered: counted from the request's deadline, or from the loss of its
    /// connection if that was later.
    absl::Duration slotGrace = absl::Seconds(1);
    /// Factor by which the concurrency limit is reduced when the leaf sheds a request.
    double shedBackoff = 0.7;

    friend auto operator==(const QueuePolicy &, const QueuePolicy &) -> bool = default;
};

/// A request that the leaf may be running.
struct RunningRequest
{
    absl::Time sentAt;
    absl::Time deadline;
    /// When the slot is released at the latest.
    absl::Time slotFreeAt;
    bool cancelled = false;
    bool connectionLost = false;
};

/// Queue for one leaf at one of its owners: waiting and running requests and the concurrency limit.
struct LeafQueue
{
    QueuePolicy policy;
    LeafShare share;
    bool draining = false;
    /// Concurrency limit: from 1 up to the share, lower after the leaf shed requests.
    double limit = 0;
    /// Smoothed time from dispatch to answer.
    absl::Duration serviceTime = absl::ZeroDuration();
    absl::btree_set<QueueRequest, ServiceOrder> waiting;
    absl::flat_hash_map<QueueRequestId, QueueRequest> waitingById;
    absl::flat_hash_map<QueueRequestId, RunningRequest> running;
};

/// Accepts a request: it is dispatched, queued or rejected. Waiting requests may be rejected as well: those that are no longer expected to complete in time,
/// and the one that would be served last if the queue is full.
auto submit(LeafQueue &queue, const QueueRequest &request, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Records that a dispatched request has ended. An unknown id is ignored.
auto finished(LeafQueue &queue, QueueRequestId id, RunEnd end, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Cancels a request: a waiting one is rejected as not run, a running one is cancelled at the leaf. An unknown id is ignored.
auto cancel(LeafQueue &queue, QueueRequestId id, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Rejects waiting requests past their deadline, cancels running ones past theirs, and releases slots whose grace period is over. To be called at nextWake.
auto expire(LeafQueue &queue, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Sets this host's share of the leaf. If it is now smaller than the number of running requests, nothing is dispatched until enough of them have ended. With an
/// empty share, all waiting requests are rejected.
auto setShare(LeafQueue &queue, LeafShare share, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Rejects all waiting and all new requests; running ones continue.
auto drain(LeafQueue &queue, std::vector<QueueAction> &actions) -> void;

/// Accepts requests again after the leaf has returned.
auto resume(LeafQueue &queue) -> void;

/// Returns when `expire` is due; the infinite future if nothing is waiting or running.
[[nodiscard]] auto nextWake(const LeafQueue &queue) -> absl::Time;

/// Returns how many requests may run at once.
[[nodiscard]] auto concurrencyLimit(const LeafQueue &queue) noexcept -> std::uint32_t;

} // namespace tamarackspan::routing
