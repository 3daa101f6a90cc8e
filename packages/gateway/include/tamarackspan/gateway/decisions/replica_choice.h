#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace tamarackspan::gateway {

/// How a leaf has performed for this host.
struct LeafCondition
{
    /// Requests of this host that the leaf has not answered.
    std::uint32_t inFlight = 0;
    /// Latency relative to what is usual for the operation; 1 is usual.
    double slowness = 1.0;
    /// The part of recent requests that failed, from 0 to 1.
    double failureShare = 0.0;
    /// When the last answer, failure or overdue request was recorded; the record loses weight from then on.
    absl::Time notedAt = absl::InfinitePast();
    /// Consecutive requests that failed or stayed unanswered for longer than usual.
    std::uint32_t consecutiveFailures = 0;
    /// Until then other leafs are preferred: this one seems paused or lost.
    absl::Time suspectUntil = absl::InfinitePast();

    friend auto operator==(const LeafCondition &, const LeafCondition &) -> bool = default;
};

/// One leaf that could serve a request.
struct ReplicaCandidate
{
    LeafCondition condition{};
    std::uint32_t slots = 1;
    bool sameDataCentre = false;
    bool warmingUp = false;
    /// The request has been sent to it already, or it is draining or cut off.
    bool excluded = false;

    friend auto operator==(const ReplicaCandidate &, const ReplicaCandidate &) -> bool = default;
};

/// Returns the expected relative cost of sending a request to a leaf; lower is better.
[[nodiscard]] auto replicaCost(const ReplicaCandidate &candidate, absl::Time now) -> double;

/// Returns the leaf with the lowest cost; among equals the first from `start` on. Returns nothing if all are excluded. Routes around leafs that pause, slow
/// down, fail some requests or don't respond while the other leafs of their shard could serve.
[[nodiscard]] auto chooseReplica(std::span<const ReplicaCandidate> candidates, std::size_t start, absl::Time now) -> std::optional<std::size_t>;

/// Returns the condition after an answer that took `relative` times what is usual.
[[nodiscard]] auto afterAnswer(LeafCondition condition, double relative, absl::Time now) -> LeafCondition;

/// Returns the condition after a request that failed or was refused.
[[nodiscard]] auto afterFailure(LeafCondition condition, absl::Time now) -> LeafCondition;

/// Returns the condition after a connection to a leaf failed or was closed by it before it answered anything on it: the leaf has no free connections or is
/// down, so other leafs are preferred at once. Guards against hosts that restart while leafs still count the connections of their previous start.
[[nodiscard]] auto afterLostConnection(LeafCondition condition, absl::Time now) -> LeafCondition;

/// Returns the condition after a request is overdue: it has stayed unanswered for `relative` times what is usual.
[[nodiscard]] auto afterOverdueRequest(LeafCondition condition, double relative, absl::Time now) -> LeafCondition;

} // namespace tamarackspan::gateway
