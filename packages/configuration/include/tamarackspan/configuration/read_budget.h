#pragma once

#include "absl/time/time.h"

#include <cstddef>

namespace tamarackspan::configuration {

/// Calls to the platform per second and host of a data centre: the rate that every host has, and the rate that is pooled and divided among the watching hosts.
inline constexpr double baseReadsPerSecond = 0.15;
inline constexpr double pooledReadsPerSecond = 0.30;

/// The rate limit on one host's calls to the platform: `burst` calls at its start, then `perSecond` on average. A watch call counts as one call however long it
/// waits.
struct ReadBudgetLimits
{
    double perSecond = baseReadsPerSecond;
    double burst = 128;

    friend auto operator==(const ReadBudgetLimits &, const ReadBudgetLimits &) -> bool = default;
};

/// Returns the calls per second of a host that watches `watchedPrefixes` prefixes, when each prefix has `watchersPerPrefix` watchers. Over all hosts of a data
/// centre the sum is at most (baseReadsPerSecond + pooledReadsPerSecond) times the number of hosts, as long as they agree on that number.
[[nodiscard]] auto readRate(std::size_t hosts, std::size_t watchersPerPrefix, std::size_t watchedPrefixes) noexcept -> double;

/// A token bucket for calls to the platform.
struct ReadBudget
{
    ReadBudgetLimits limits;
    double available = 0;
    absl::Time refilledAt;
};

/// Returns a full budget.
[[nodiscard]] auto makeReadBudget(const ReadBudgetLimits &limits, absl::Time now) -> ReadBudget;

/// Takes one call from the budget if at least `reserved` calls remain afterwards; otherwise returns false. A time earlier than that of the last call adds
/// nothing.
[[nodiscard]] auto takeRead(ReadBudget &budget, absl::Time now, double reserved = 0) -> bool;

} // namespace tamarackspan::configuration
