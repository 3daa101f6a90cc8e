#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace tamarackspan::gateway {

/// What is known of how long leafs take for one operation: the median and the 95th percentile, followed by small multiplicative steps.
struct LatencyEstimate
{
    absl::Duration median;
    absl::Duration slow;
    /// The answers that it rests on; 0 while it is assumed.
    std::uint32_t answers = 0;

    friend auto operator==(const LatencyEstimate &, const LatencyEstimate &) -> bool = default;
};

/// Returns the estimate before any answer: an objective leaves room for a second request after a first that is slow.
[[nodiscard]] auto initialEstimate(absl::Duration objective) -> LatencyEstimate;

/// Returns the estimate after one more answer took `latency`. The first answers count for more, so that an assumption that is far off doesn't last.
[[nodiscard]] auto observed(LatencyEstimate estimate, absl::Duration latency) -> LatencyEstimate;

} // namespace tamarackspan::gateway
