#include "tamarackspan/query/extra_load.h"

#include <algorithm>

namespace tamarackspan::query {

namespace {

constexpr auto oneRequest = std::int64_t{1000};

} // namespace

auto makeExtraLoadBudget(std::uint32_t permille, std::uint32_t burstRequests) -> ExtraLoadBudget
{
    const auto burst = permille == 0 ? 0 : std::int64_t{burstRequests} * oneRequest;
    return {permille, burst, burst};
}

auto creditExtraLoad(ExtraLoadBudget &budget, std::uint32_t count) -> void
{
    budget.balance = std::min(budget.burst, budget.balance + std::int64_t{budget.permille} * count);
}

auto spendExtraLoad(ExtraLoadBudget &budget) -> bool
{
    if (budget.balance < oneRequest) {
        return false;
    }
    budget.balance -= oneRequest;
    return true;
}

auto spendRestart(ExtraLoadBudget &budget, std::uint32_t count) -> bool
{
    if (budget.balance < oneRequest) {
        return false;
    }
    budget.balance -= oneRequest * count;
    return true;
}

} // namespace tamarackspan::query
