#pragma once

#include "tamarackspan/gateway/decisions/latency_estimate.h"

#include "absl/time/time.h"

namespace tamarackspan::gateway {

/// A request that a stopping host has read.
struct StopView
{
    absl::Time now = absl::InfinitePast();
    /// When the host ends all requests that are still under way.
    absl::Time endsAt = absl::InfiniteFuture();
    /// Until when an answer is of full use, and until when the caller waits.
    absl::Time objectiveAt = absl::InfiniteFuture();
    absl::Time deadlineAt = absl::InfiniteFuture();
    /// Whether the answer is merged from several services: it is sent by the objective.
    bool gather = false;
    /// How long leafs take for requests of its kind.
    LatencyEstimate estimate{};

    friend auto operator==(const StopView &, const StopView &) -> bool = default;
};

/// Returns whether a request is expected to end before the host does. Without any answer of a leaf to go by, its deadline must be before the end.
[[nodiscard]] auto endsInTime(const StopView &view) -> bool;

} // namespace tamarackspan::gateway
