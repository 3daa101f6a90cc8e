#pragma once

#include "tamarackspan/contracts/contract.h"

namespace tamarackspan::contracts {

/// The limits that one data centre enforces for a contract. Shares are rounded cumulatively: over all data centres that the contract lists, the limits add up
/// to the contract's limits times the sum of the shares, rounded down to whole units only once. No unit is lost to rounding or assigned to two data centres.
struct DataCentreLimits
{
    std::uint32_t permille = 0;
    Limits limits;

    friend auto operator==(const DataCentreLimits &, const DataCentreLimits &) -> bool = default;
};

/// Returns the limits of one data centre under a contract; all 0 if the contract doesn't list the data centre or is removed.
[[nodiscard]] auto derivedLimits(const Contract &contract, const base::DataCentre &dataCentre) -> DataCentreLimits;

/// The smallest and the largest share of a single host when a data centre's limits are split as equally as possible into whole units over its hosts.
struct HostShareRange
{
    Limits min;
    Limits max;

    friend auto operator==(const HostShareRange &, const HostShareRange &) -> bool = default;
};

/// Returns the range of the hosts' shares; all 0 if there are no hosts.
[[nodiscard]] auto hostShareRange(const DataCentreLimits &limits, std::uint32_t hosts) noexcept -> HostShareRange;

} // namespace tamarackspan::contracts
