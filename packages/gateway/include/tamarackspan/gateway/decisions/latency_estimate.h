#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace tamarackspan::gateway {

/// Estimated latency of leafs for one operation: the median and the 95th percentile, tracked by small multiplicative steps.
struct LatencyEstimate
{
    absl::Duration median;
    absl::Duration p95;
    /// Number of answers that the estimate rests on, up to a limit; 0 while it is assumed.
    std::uint32_t answers = 0;

    friend auto operator==(const LatencyEstimate &, const LatencyEstimate &) -> bool = default;
};

/// Returns the estimate before any answer. It assumes that the objective leaves time for a second request after a slow first one.
[[nodiscard]] auto initialEstimate(absl::Duration objective) -> LatencyEstimate;

/// Returns the estimate after one more answer took `latency`. The first answers have more weight, so that a wrong assumption is corrected soon.
[[nodiscard]] auto observed(LatencyEstimate estimate, absl::Duration latency) -> LatencyEstimate;

} // namespace tamarackspan::gateway
