#include "tamarackspan/configuration/read_budget.h"

#include "tamarackspan/configuration/exchange.h"

#include <algorithm>

namespace tamarackspan::configuration {

auto readRate(std::size_t hosts, std::size_t watchersPerPrefix, std::size_t watchedPrefixes) noexcept -> double
{
    const auto watchers = std::min(hosts, watchersPerPrefix) * prefixCount;
    if (watchers == 0) {
        return baseReadsPerSecond;
    }
    return baseReadsPerSecond + pooledReadsPerSecond * static_cast<double>(hosts * watchedPrefixes) / static_cast<double>(watchers);
}

auto makeReadBudget(const ReadBudgetLimits &limits, absl::Time now) -> ReadBudget
{
    return {limits, limits.burst, now};
}

auto takeRead(ReadBudget &budget, absl::Time now, double reserved) -> bool
{
    if (now > budget.refilledAt) {
        const auto refill = absl::ToDoubleSeconds(now - budget.refilledAt) * budget.limits.perSecond;
        budget.available = std::min(budget.limits.burst, budget.available + refill);
        budget.refilledAt = now;
    }
    if (budget.available < 1 + reserved) {
        return false;
    }
    budget.available -= 1;
    return true;
}

} // namespace tamarackspan::configuration
