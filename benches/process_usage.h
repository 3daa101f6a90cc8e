#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <sys/types.h>

namespace tamarackspan::benches {

/// The resources that a process has used so far.
struct ProcessUsage
{
    absl::Duration processorTime;
    std::uint64_t residentBytes = 0;
};

/// Reads the usage of a process from /proc; zeros if it isn't running.
[[nodiscard]] auto usageOf(pid_t pid) -> ProcessUsage;

} // namespace tamarackspan::benches
