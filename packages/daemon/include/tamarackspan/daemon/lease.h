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
    /// Extends or ends the lease. A lease that comes into force after the previous one has ended belongs to a new epoch. Called by one thread.
    auto setUntil(absl::Time until, absl::Time now) noexcept -> void
    {
        if (!this->isInForce(now) && now < until) {
            this->epochCount.fetch_add(1, std::memory_order_relaxed);
        }
        this->untilNanos.store(absl::ToUnixNanos(until), std::memory_order_release);
    }

    /// Returns the number of times that a lease has come into force. What was learned in an earlier epoch may be out of date.
    [[nodiscard]] auto epoch() const noexcept -> std::uint64_t
    {
        return this->epochCount.load(std::memory_order_relaxed);
    }

    /// Returns whether the lease is in force at this time.
    [[nodiscard]] auto isInForce(absl::Time now) const noexcept -> bool
    {
        return absl::ToUnixNanos(now) < this->untilNanos.load(std::memory_order_acquire);
    }

private:
    std::atomic<std::int64_t> untilNanos{0};
    std::atomic<std::uint64_t> epochCount{0};
};

} // namespace tamarackspan::daemon
