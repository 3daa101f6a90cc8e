#include "tamarackspan/admission/budget.h"

#include <algorithm>

namespace tamarackspan::admission {

namespace {

constexpr auto wholePermille = std::uint64_t{1000};

auto less(std::uint32_t a, std::uint32_t b) -> std::uint32_t
{
    return a > b ? a - b : 0;
}

// Returns the units from the first to the last thousandth, exclusive. Adjacent ranges share no unit and leave none out.
auto unitsBetween(std::uint32_t limit, std::uint64_t first, std::uint64_t last) -> std::uint32_t
{
    return static_cast<std::uint32_t>(limit * last / wholePermille - limit * first / wholePermille);
}

} // namespace

auto operator+(const Budget &a, const Budget &b) noexcept -> Budget
{
    return {a.rate + b.rate, a.burst + b.burst, a.concurrency + b.concurrency};
}

auto subtractBudget(const Budget &a, const Budget &b) noexcept -> Budget
{
    return {less(a.rate, b.rate), less(a.burst, b.burst), less(a.concurrency, b.concurrency)};
}

auto minBudget(const Budget &a, const Budget &b) noexcept -> Budget
{
    return {std::min(a.rate, b.rate), std::min(a.burst, b.burst), std::min(a.concurrency, b.concurrency)};
}

auto isEmpty(const Budget &budget) noexcept -> bool
{
    return budget == Budget{};
}

auto budgetAt(const BudgetSchedule &schedule, absl::Time now) -> Budget
{
    for (const auto &step : schedule) {
        if (now < step.until) {
            return step.budget;
        }
    }
    return {};
}

auto dataCentreBudget(const contracts::Contract &contract, const base::DataCentre &dataCentre) -> Budget
{
    auto first = std::uint64_t{0};
    for (const auto &[name, permille] : contract.dataCentrePermille) {
        const auto last = std::min(wholePermille, first + permille);
        if (name == dataCentre) {
            const auto &limits = contract.limits;
            return {unitsBetween(limits.requestsPerSecond, first, last), unitsBetween(limits.burst, first, last),
                    unitsBetween(limits.concurrency, first, last)};
        }
        first = last;
    }
    return {};
}

} // namespace tamarackspan::admission
