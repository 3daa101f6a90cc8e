#pragma once

#include "absl/time/time.h"

#include <atomic>
#include <cstdint>

namespace tamarackspan::daemon {

/// Until when this host may go by the host list that it knows. Written by the control thread, read by all at each use, so that a process that was paused holds
/// nothing when it wakes late.
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
