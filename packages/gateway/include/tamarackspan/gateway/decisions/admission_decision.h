#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace tamarackspan::gateway {

/// The requests that wait at this host for one leaf.
struct LeafQueue
{
    /// Requests that wait for a connection.
    std::size_t waiting = 0;
    /// Connections to the leaf that this host may use.
    std::uint32_t connections = 1;
    /// Usual time that the leaf takes for a request.
    absl::Duration serviceTime = absl::ZeroDuration();
    /// For a query over shards the 95th percentile of that time, as the query is only as fast as the slowest shard that it needs; else the usual time.
    absl::Duration serviceTimeP95 = absl::ZeroDuration();

    friend auto operator==(const LeafQueue &, const LeafQueue &) -> bool = default;
};

/// Returns how long a request that joins the queue now is expected to wait before it is sent.
[[nodiscard]] auto expectedWait(const LeafQueue &queue) -> absl::Duration;

/// Whether a request is admitted.
struct AdmissionDecision
{
    bool admit = true;
    /// For a rejected request: after which time the queue is short enough for it, and the interval at which the queue has room for one more.
    absl::Duration retryAfter = absl::ZeroDuration();
    absl::Duration spacing = absl::ZeroDuration();

    friend auto operator==(const AdmissionDecision &, const AdmissionDecision &) -> bool = default;
};

/// Decides whether to admit a whole request by the queues of the services that it needs: it is admitted if enough of them to reach the coverage floor can serve
/// it within `timeLeft`. Guards against overload, in which queues grow until every answer is late: a request that can't be served in time is rejected before
/// any leaf works on it, with the time after which to retry.
[[nodiscard]] auto decideAdmission(std::span<const LeafQueue> queues, double coverageFloor, absl::Duration timeLeft) -> AdmissionDecision;

/// The retry times given to rejected callers so far.
struct RetrySchedule
{
    absl::Time lastRetryAt = absl::InfinitePast();

    friend auto operator==(const RetrySchedule &, const RetrySchedule &) -> bool = default;
};

/// The retry time given to one rejected caller, and the schedule that includes it.
struct ScheduledRetry
{
    RetrySchedule next{};
    absl::Duration retryAfter = absl::ZeroDuration();

    friend auto operator==(const ScheduledRetry &, const ScheduledRetry &) -> bool = default;
};

/// Returns when a caller that is rejected now should retry: once there is room, but no sooner after the previous caller's retry than new requests leave room
/// for one, so that callers that are rejected together don't retry together. If that is further away than `longest`, the time after which callers retry anyway,
/// `longest` is returned and the schedule stays as it is. Guards against callers that all retry at once into a queue with room for only a few.
[[nodiscard]] auto scheduleRetry(const RetrySchedule &schedule, const AdmissionDecision &refusal, absl::Duration longest, absl::Time now) -> ScheduledRetry;

/// Returns whether a request that joins the queue now is expected to be answered within `timeLeft`; an empty queue always counts as in time.
[[nodiscard]] auto servesInTime(const LeafQueue &queue, absl::Duration timeLeft) -> bool;

} // namespace tamarackspan::gateway
