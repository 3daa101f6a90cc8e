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

/// One request at the owner of a leaf; the owner numbers them, each number once.
using QueueRequestId = base::StrongValue<struct QueueRequestIdTag, std::uint64_t>;

/// A request to one leaf.
struct QueueRequest
{
    QueueRequestId id;
    contracts::Priority priority = contracts::Priority::Routine;
    absl::Time deadline;

    friend auto operator==(const QueueRequest &, const QueueRequest &) -> bool = default;
};

/// The order of service: urgent ones first, then the earlier deadline, then the smaller number.
struct ServiceOrder
{
    [[nodiscard]] auto operator()(const QueueRequest &a, const QueueRequest &b) const -> bool;
};

/// Why a request was given back without being sent to the leaf: it was not run.
enum class QueueRejection {
    /// It can't be expected to end by its deadline, or the queue is full.
    Shed,
    /// Its deadline passed while it waited.
    DeadlinePassed,
    /// It was cancelled while it waited.
    Cancelled,
    /// The leaf is leaving.
    Draining,
    /// This host owns no part of the leaf, or gave it up because it is stopping.
    NotOwner,
};

/// Send the request to the leaf now.
struct Dispatch
{
    QueueRequestId id;

    friend auto operator==(const Dispatch &, const Dispatch &) -> bool = default;
};

/// Give the request back to its sender: it was not run.
struct Reject
{
    QueueRequestId id;
    QueueRejection why = QueueRejection::Shed;

    friend auto operator==(const Reject &, const Reject &) -> bool = default;
};

/// Cancel the request at the leaf. Its slot stays taken until `finished` or until the grace time after the deadline.
struct CancelRunning
{
    QueueRequestId id;

    friend auto operator==(const CancelRunning &, const CancelRunning &) -> bool = default;
};

/// What the owner's shell must do, in order.
using QueueAction = std::variant<Dispatch, Reject, CancelRunning>;

/// How a dispatched request ended.
enum class RunEnd {
    /// The leaf answered.
    Answered,
    /// The leaf shed it: it has less room than its share says.
    Shed,
    /// The leaf said that it is leaving.
    Draining,
    /// The leaf confirmed the cancellation.
    Cancelled,
    /// The leaf declined for another reason, without running it.
    Declined,
    /// The connection failed. The leaf may still be running the request, so that its slot stays taken until the grace time is over.
    ConnectionLost,
    /// The leaf replied, but not as the protocol says: the request is over at the leaf, and nothing is learned from how long it took.
    Failed,
};

/// The settings of a leaf's queue.
struct QueuePolicy
{
    /// Shed what can't be expected to end by its deadline, instead of letting it wait.
    bool shedEarly = true;
    /// The most requests that wait at once.
    std::uint32_t maxQueued = 256;
    /// How long after a request's deadline, or after its connection was lost if that was later, its slot may be reused although the leaf said nothing.
    absl::Duration slotGrace = absl::Seconds(1);
    /// The part of the concurrency limit that is left when the leaf sheds.
    double shedBackoff = 0.7;

    friend auto operator==(const QueuePolicy &, const QueuePolicy &) -> bool = default;
};

/// A request that the leaf may be running.
struct RunningRequest
{
    absl::Time sentAt;
    absl::Time deadline;
    /// When the slot is free again at the latest.
    absl::Time slotFreeAt;
    bool cancelled = false;
    bool lost = false;
};

/// The part of one leaf at one of its owners: what waits, what runs, and how much may.
struct LeafQueue
{
    QueuePolicy policy;
    LeafShare share;
    bool draining = false;
    /// Requests that may run at once: from 1 up to the share, less after the leaf shed.
    double limit = 0;
    /// The learned time from dispatch to answer.
    absl::Duration serviceTime = absl::ZeroDuration();
    absl::btree_set<QueueRequest, ServiceOrder> waiting;
    absl::flat_hash_map<QueueRequestId, QueueRequest> waitingById;
    absl::flat_hash_map<QueueRequestId, RunningRequest> running;
};

/// Takes in a request: it is dispatched, waits, or is rejected, in which case others that wait may be rejected in its favour.
auto submit(LeafQueue &queue, const QueueRequest &request, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Takes down that a dispatched request ended. One that isn't known changes nothing.
auto finished(LeafQueue &queue, QueueRequestId id, RunEnd end, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Cancels a request: one that waits is rejected as not run, one that runs is cancelled at the leaf. One that isn't known changes nothing.
auto cancel(LeafQueue &queue, QueueRequestId id, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Rejects what waits in vain, cancels what runs past its deadline, and frees slots whose grace time is over. Due at nextWake.
auto expire(LeafQueue &queue, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Sets this host's share of the leaf. If it shrank below what runs, nothing is dispatched until enough has ended. With no share, all that waits is rejected.
auto setShare(LeafQueue &queue, LeafShare share, absl::Time now, std::vector<QueueAction> &actions) -> void;

/// Rejects all that waits and all that comes; what runs goes on.
auto drain(LeafQueue &queue, std::vector<QueueAction> &actions) -> void;

/// Takes requests in again: the leaf came back.
auto resume(LeafQueue &queue) -> void;

/// Returns when `expire` is due; the infinite future if nothing waits or runs.
[[nodiscard]] auto nextWake(const LeafQueue &queue) -> absl::Time;

/// Returns how many requests may run at once.
[[nodiscard]] auto concurrencyLimit(const LeafQueue &queue) noexcept -> std::uint32_t;

} // namespace tamarackspan::routing
