#pragma once

#include "tamarackspan/base/ids.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>

namespace tamarackspan::costs {

/// Who caused a cost.
struct CostKey
{
    base::CustomerName customer;
    base::OperationName operation;

    friend auto operator==(const CostKey &, const CostKey &) -> bool = default;
    friend auto operator<=>(const CostKey &, const CostKey &) = default;
};

/// What was spent. Each counter only goes up while a process runs, and stays at the greatest value rather than wrap around.
struct CostCounters
{
    /// Requests of callers that were admitted.
    std::uint64_t requests = 0;
    /// Leaf requests by why they were sent.
    std::uint64_t firstLeafRequests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Those of the leaf requests above that were cancelled.
    std::uint64_t cancelled = 0;
    /// Processor time that leafs reported, in microseconds, cancelled work included.
    std::uint64_t leafMicros = 0;

    friend auto operator==(const CostCounters &, const CostCounters &) -> bool = default;
};

/// Returns the sum of each counter.
[[nodiscard]] auto sumOf(const CostCounters &left, const CostCounters &right) noexcept -> CostCounters;

/// Returns the greater of each counter.
[[nodiscard]] auto maximumOf(const CostCounters &left, const CostCounters &right) noexcept -> CostCounters;

/// Costs by customer and operation.
using CostTable = std::map<CostKey, CostCounters>;

/// Adds the counters of one table to another.
auto addTable(CostTable &sum, const CostTable &table) -> void;

/// What one run of the daemon has spent since its start.
struct CostLedger
{
    base::Incarnation incarnation;
    CostTable table;
};

/// Adds what was spent.
auto charge(CostLedger &ledger, const CostKey &key, const CostCounters &spent) -> void;

/// A ledger as it stood once. Counters are cumulative, so a later report of the same incarnation holds all of an earlier one.
struct CostReport
{
    base::Incarnation incarnation;
    /// How long ago the incarnation itself made the report; goes up while others pass it on.
    absl::Duration age;
    CostTable table;

    friend auto operator==(const CostReport &, const CostReport &) -> bool = default;
};

/// Returns the ledger as a report of no age.
[[nodiscard]] auto reportOf(const CostLedger &ledger) -> CostReport;

} // namespace tamarackspan::costs
