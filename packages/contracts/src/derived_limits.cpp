#include "tamarackspan/contracts/derived_limits.h"

#include "tamarackspan/contracts/document_limits.h"

namespace tamarackspan::contracts {

namespace {

/// Returns the whole units of a total that lie between two cumulative shares, given in thousandths.
auto unitsBetween(std::uint64_t total, std::uint64_t from, std::uint64_t to) -> std::uint32_t
{
    return static_cast<std::uint32_t>(total * to / fullPermille - total * from / fullPermille);
}

auto leastShare(std::uint32_t total, std::uint32_t hosts) -> std::uint32_t
{
    return total / hosts;
}

auto greatestShare(std::uint32_t total, std::uint32_t hosts) -> std::uint32_t
{
    return total / hosts + (total % hosts == 0 ? 0 : 1);
}

} // namespace

auto derivedLimits(const Contract &contract, const base::DataCentre &dataCentre) -> DataCentreLimits
{
    const auto place = contract.dataCentrePermille.find(dataCentre);
    if (contract.removed || place == contract.dataCentrePermille.end()) {
        return {};
    }
    auto from = std::uint64_t{0};
    for (auto earlier = contract.dataCentrePermille.begin(); earlier != place; ++earlier) {
        from += earlier->second;
    }
    const auto to = from + place->second;
    const auto &whole = contract.limits;
    return {place->second, {unitsBetween(whole.requestsPerSecond, from, to), unitsBetween(whole.burst, from, to), unitsBetween(whole.concurrency, from, to)}};
}

auto hostShareRange(const DataCentreLimits &limits, std::uint32_t hosts) noexcept -> HostShareRange
{
    if (hosts == 0) {
        return {};
    }
    const auto &whole = limits.limits;
    return {{leastShare(whole.requestsPerSecond, hosts), leastShare(whole.burst, hosts), leastShare(whole.concurrency, hosts)},
            {greatestShare(whole.requestsPerSecond, hosts), greatestShare(whole.burst, hosts), greatestShare(whole.concurrency, hosts)}};
}

} // namespace tamarackspan::contracts
