#pragma once

#include <cstdint>

namespace tamarackspan::query {

/// Budget for the hedges and retries of one customer's operation at one entry, proportional to its first requests. All amounts are in thousandths of a request.
struct ExtraLoadBudget
{
    /// Credited for each first request.
    std::uint32_t permille = 0;
    /// The maximum balance.
    std::int64_t burst = 0;
    /// Negative after a restart that cost more than the balance.
    std::int64_t balance = 0;

    friend auto operator==(const ExtraLoadBudget &, const ExtraLoadBudget &) -> bool = default;
};

/// Returns a full budget that is credited `permille` thousandths of a request for each first request and holds at most `burstRequests` requests.
[[nodiscard]] auto makeExtraLoadBudget(std::uint32_t permille, std::uint32_t burstRequests) -> ExtraLoadBudget;

/// Credits the budget for `count` first requests.
auto creditExtraLoad(ExtraLoadBudget &budget, std::uint32_t count) -> void;

/// Spends one request on a hedge or retry. Returns false, and spends nothing, if the balance is below one request.
[[nodiscard]] auto spendExtraLoad(ExtraLoadBudget &budget) -> bool;

/// Spends `count` requests on running a whole query again. Returns false, and spends nothing, if the balance is below one request; otherwise the balance may
/// become negative.
[[nodiscard]] auto spendRestart(ExtraLoadBudget &budget, std::uint32_t count) -> bool;

} // namespace tamarackspan::query
