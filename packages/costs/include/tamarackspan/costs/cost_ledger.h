#pragma once

#include "tamarackspan/base/ids.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <utility>

namespace tamarackspan::costs {

/// The customer and operation that caused a cost.
struct CostKey
{
    base::CustomerName customer;
    base::OperationName operation;

    friend auto operator==(const CostKey &, const CostKey &) -> bool = default;
    friend auto operator<=>(const CostKey &, const CostKey &) = default;

    /// Makes keys usable in Abseil's hash containers.
    template<typename H>
    friend auto AbslHashValue(H state, const CostKey &key) -> H
    {
        return H::combine(std::move(state), key.customer, key.operation);
    }
};

/// Costs by type. Each counter only increases while a process runs, and saturates at the greatest value instead of wrapping around.
struct CostCounters
{
    /// Requests from callers that were admitted.
    std::uint64_t requests = 0;
    /// Leaf requests by the reason for which they were sent.
    std::uint64_t firstLeafRequests = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// How many of the leaf requests above were cancelled.
    std::uint64_t cancelled = 0;
    /// Processor time that leafs reported, in microseconds, including cancelled work.
    std::uint64_t leafMicros = 0;

    friend auto operator==(const CostCounters &, const CostCounters &) -> bool = default;
};

/// Returns the saturating sum of each counter.
[[nodiscard]] auto sumOf(const CostCounters &left, const CostCounters &right) noexcept -> CostCounters;

/// Returns the greater of each counter.
[[nodiscard]] auto maximumOf(const CostCounters &left, const CostCounters &right) noexcept -> CostCounters;

/// Costs by customer and operation.
using CostTable = std::map<CostKey, CostCounters>;

/// Adds the counters of one table to another.
auto addTable(CostTable &sum, const CostTable &table) -> void;

/// The costs of one run of the daemon since its start.
struct CostLedger
{
    base::Incarnation incarnation;
    CostTable table;
};

/// Adds costs to the ledger.
auto charge(CostLedger &ledger, const CostKey &key, const CostCounters &spent) -> void;

/// A snapshot of a ledger. Counters are cumulative, so a later report of the same incarnation includes all of an earlier one.
struct CostReport
{
    base::Incarnation incarnation;
    /// The time since the incarnation itself made the report; grows while other hosts relay it.
    absl::Duration age;
    CostTable table;

    friend auto operator==(const CostReport &, const CostReport &) -> bool = default;
};

/// Returns the ledger as a report of age 0.
[[nodiscard]] auto reportOf(const CostLedger &ledger) -> CostReport;

} // namespace tamarackspan::costs
