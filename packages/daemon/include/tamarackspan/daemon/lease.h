#pragma once

#include "absl/time/time.h"

#include <atomic>
#include <cstdint>

namespace tamarackspan::daemon {

/// The time until which this host may act on the host list that it knows. Written by the control thread and read by all threads at each use, so that a process
/// that resumes from a pause after this time holds no shares.
class Lease
{
public:
    /// Extends or ends the lease.
    auto setUntil(absl::Time until) noexcept -> void
    {
        this->untilNanos.store(absl::ToUnixNanos(until), std::memory_order_release);
    }

    /// Returns whether the lease is in force at this time.
    [[nodiscard]] auto isInForce(absl::Time now) const noexcept -> bool
    {
        return absl::ToUnixNanos(now) < this->untilNanos.load(std::memory_order_acquire);
    }

private:
    std::atomic<std::int64_t> untilNanos{0};
};

} // namespace tamarackspan::daemon
