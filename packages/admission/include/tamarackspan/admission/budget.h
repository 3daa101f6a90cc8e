#pragma once

#include "tamarackspan/contracts/contract.h"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace tamarackspan::admission {

/// A share of the limits of one customer, in whole units.
struct Budget
{
    /// Requests per second.
    std::uint32_t rate = 0;
    /// Requests that may arrive at once on top of the rate.
    std::uint32_t burst = 0;
    /// Requests that may run at once.
    std::uint32_t concurrency = 0;

    friend auto operator==(const Budget &, const Budget &) -> bool = default;
};

/// Returns the sum in each kind of unit.
[[nodiscard]] auto operator+(const Budget &a, const Budget &b) noexcept -> Budget;

/// Returns the difference in each kind of unit, 0 where it would be negative.
[[nodiscard]] auto subtractBudget(const Budget &a, const Budget &b) noexcept -> Budget;

/// Returns the smaller in each kind of unit.
[[nodiscard]] auto minBudget(const Budget &a, const Budget &b) noexcept -> Budget;

/// True if no unit of any kind is left.
[[nodiscard]] auto isEmpty(const Budget &budget) noexcept -> bool;

/// A budget that is in force until a time.
struct BudgetStep
{
    absl::Time until;
    Budget budget;

    friend auto operator==(const BudgetStep &, const BudgetStep &) -> bool = default;
};

/// Budget now and in future, in ascending order of time; no budget is in force after the last step. No kind of unit grows from one step to the next.
using BudgetSchedule = std::vector<BudgetStep>;

/// Returns the budget that the schedule puts in force at a time.
[[nodiscard]] auto budgetAt(const BudgetSchedule &schedule, absl::Time now) -> Budget;

/// Returns the share of the contract's limits that a data centre enforces. Summed over all data centres named in the contract, the shares are at most the
/// limit, and exactly the limit if their thousandths add up to 1000.
[[nodiscard]] auto dataCentreBudget(const contracts::Contract &contract, const base::DataCentre &dataCentre) -> Budget;

} // namespace tamarackspan::admission
