#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackspan::benches {

/// A load that is sent to leafs directly, without the tier: each query goes to every leaf address once and ends with the last reply.
struct DirectLoad
{
    std::vector<std::string> leafs;
    double queriesPerSecond = 100;
    absl::Duration duration = absl::Seconds(5);
    std::uint32_t connectionsPerLeaf = 16;
    std::uint64_t seed = 1;
};

/// Sends the load with exponentially distributed intervals and returns the latency of each query that every leaf answered.
[[nodiscard]] auto runDirectLoad(const DirectLoad &load) -> std::vector<absl::Duration>;

} // namespace tamarackspan::benches
