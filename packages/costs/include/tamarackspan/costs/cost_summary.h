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
    /// Running and lost ones.
    std::size_t incarnations = 0;

    friend auto operator==(const CostSummary &, const CostSummary &) -> bool = default;
};

/// Adds up the reports read from any hosts, in any order, with repeated and old ones among them: for each incarnation the greatest counters count, once.
[[nodiscard]] auto summarize(const std::vector<CostReport> &reports) -> CostSummary;

/// Returns a table for people, with a line for the total.
[[nodiscard]] auto toTable(const CostSummary &summary) -> std::string;

/// Returns {"incarnations": N, "costs": [{"customer": ..., "operation": ..., ...}]}.
[[nodiscard]] auto toJson(const CostSummary &summary) -> std::string;

/// Returns a line of names, then a line for each customer and operation, after RFC 4180.
[[nodiscard]] auto toCsv(const CostSummary &summary) -> std::string;

} // namespace tamarackspan::costs
