#include "tamarackspan/costs/cost_ledger.h"

#include <algorithm>
#include <limits>

namespace tamarackspan::costs {

namespace {

auto saturatingSum(std::uint64_t left, std::uint64_t right) noexcept -> std::uint64_t
{
    return right > std::numeric_limits<std::uint64_t>::max() - left ? std::numeric_limits<std::uint64_t>::max() : left + right;
}

auto greater(std::uint64_t left, std::uint64_t right) noexcept -> std::uint64_t
{
    return std::max(left, right);
}

template<typename Combine>
auto combined(const CostCounters &left, const CostCounters &right, Combine combine) noexcept -> CostCounters
{
    return {combine(left.requests, right.requests),   combine(left.firstLeafRequests, right.firstLeafRequests),
            combine(left.hedges, right.hedges),       combine(left.retries, right.retries),
            combine(left.cancelled, right.cancelled), combine(left.leafMicros, right.leafMicros)};
}

} // namespace

auto sumOf(const CostCounters &left, const CostCounters &right) noexcept -> CostCounters
{
    return combined(left, right, saturatingSum);
}

auto maximumOf(const CostCounters &left, const CostCounters &right) noexcept -> CostCounters
{
    return combined(left, right, greater);
}

auto addTable(CostTable &sum, const CostTable &table) -> void
{
    for (const auto &[key, counters] : table) {
        auto &total = sum[key];
        total = sumOf(total, counters);
    }
}

auto charge(CostLedger &ledger, const CostKey &key, const CostCounters &spent) -> void
{
    auto &counters = ledger.table[key];
    counters = sumOf(counters, spent);
}

auto reportOf(const CostLedger &ledger) -> CostReport
{
    return {ledger.incarnation, absl::ZeroDuration(), ledger.table};
}

} // namespace tamarackspan::costs
