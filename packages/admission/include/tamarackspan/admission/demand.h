#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace tamarackspan::admission {

/// Demand of one customer on one host during a period.
struct DemandCounts
{
    /// Requests that arrived, admitted or not.
    std::uint32_t offered = 0;
    /// The most requests that ran at the same time.
    std::uint32_t peakRunning = 0;
    std::uint32_t refusedRate = 0;
    std::uint32_t refusedConcurrency = 0;
    absl::Duration period;

    friend auto operator==(const DemandCounts &, const DemandCounts &) -> bool = default;
};

} // namespace tamarackspan::admission
