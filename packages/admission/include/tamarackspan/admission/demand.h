#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace tamarackspan::admission {

/// What one customer needed on one host during a time.
struct DemandCounts
{
    /// Requests that came, admitted or not.
    std::uint32_t offered = 0;
    /// The most requests that ran at once.
    std::uint32_t peakRunning = 0;
    std::uint32_t refusedRate = 0;
    std::uint32_t refusedConcurrency = 0;
    absl::Duration over;

    friend auto operator==(const DemandCounts &, const DemandCounts &) -> bool = default;
};

} // namespace tamarackspan::admission
