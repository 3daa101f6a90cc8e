#pragma once

#include <cstdint>

namespace tamarackspan::query {

/// Bounds the hedges and retries of one customer's operation at one entry, as a part of its first requests. All amounts are thousandths of a request.
struct ExtraLoadBudget
{
    /// Earned by each first request.
    std::uint32_t permille = 0;
    /// The most that is kept.
    std::int64_t burst = 0;
    /// Below zero after a restart.
    std::int64_t balance = 0;

    friend auto operator==(const ExtraLoadBudget &, const ExtraLoadBudget &) -> bool = default;
};

/// Returns a full budget that earns `permille` thousandths for each first request and keeps at most `burstRequests` requests.
[[nodiscard]] auto makeExtraLoadBudget(std::uint32_t permille, std::uint32_t burstRequests) -> ExtraLoadBudget;

/// Earns for `count` first requests.
auto earnExtraLoad(ExtraLoadBudget &budget, std::uint32_t count) -> void;

/// Pays for one hedge or retry if there is enough; false if not.
[[nodiscard]] auto payExtraLoad(ExtraLoadBudget &budget) -> bool;

/// Pays for running a whole query of `count` leaf requests again, if there is enough for at least one of them; the rest is owed.
[[nodiscard]] auto payRestart(ExtraLoadBudget &budget, std::uint32_t count) -> bool;

} // namespace tamarackspan::query
