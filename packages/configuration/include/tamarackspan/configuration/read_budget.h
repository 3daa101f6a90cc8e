#pragma once

#include "absl/time/time.h"

#include <cstddef>

namespace tamarackspan::configuration {

/// Calls to the platform that a data centre makes in a second for each of its hosts: what every host may make, and what the hosts that watch share among them.
inline constexpr double baseReadsPerSecond = 0.15;
inline constexpr double pooledReadsPerSecond = 0.30;

/// How many calls to the platform one host may make: `burst` at its start, then `perSecond` on average. A watch that waits counts as one call.
struct ReadBudgetLimits
{
    double perSecond = baseReadsPerSecond;
    double burst = 128;

    friend auto operator==(const ReadBudgetLimits &, const ReadBudgetLimits &) -> bool = default;
};

/// Returns the calls per second of a host that watches so many of the prefixes, when each prefix has so many watchers. Over all hosts of a data centre the sum
/// is at most (baseReadsPerSecond + pooledReadsPerSecond) times the hosts, as long as they agree on the number of hosts.
[[nodiscard]] auto readRate(std::size_t hosts, std::size_t watchersPerPrefix, std::size_t watchedPrefixes) noexcept -> double;

/// What is left of the budget at a time.
struct ReadBudget
{
    ReadBudgetLimits limits;
    double left = 0;
    absl::Time countedAt;
};

/// Returns a full budget.
[[nodiscard]] auto makeReadBudget(const ReadBudgetLimits &limits, absl::Time now) -> ReadBudget;

/// Takes one call if so many are left after it; false otherwise. A time before the last one adds nothing.
[[nodiscard]] auto takeRead(ReadBudget &budget, absl::Time now, double kept = 0) -> bool;

} // namespace tamarackspan::configuration
