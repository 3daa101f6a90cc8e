#pragma once

#include "tamarackspan/costs/cost_ledger.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tamarackspan::costs {

/// Costs by customer and operation over all incarnations whose reports were read.
struct CostSummary
{
    CostTable table;
    /// Counts both running and lost ones.
    std::size_t incarnations = 0;

    friend auto operator==(const CostSummary &, const CostSummary &) -> bool = default;
};

/// Sums reports read from any hosts, in any order, including repeated and old ones: each incarnation counts once, with the greatest value of each counter.
[[nodiscard]] auto summarize(const std::vector<CostReport> &reports) -> CostSummary;

/// Returns a human-readable table, with a line for the total.
[[nodiscard]] auto toTable(const CostSummary &summary) -> std::string;

/// Returns {"incarnations": N, "costs": [{"customer": ..., "operation": ..., ...}]}.
[[nodiscard]] auto toJson(const CostSummary &summary) -> std::string;

/// Returns CSV after RFC 4180: a header line, then a line for each customer and operation.
[[nodiscard]] auto toCsv(const CostSummary &summary) -> std::string;

} // namespace tamarackspan::costs
