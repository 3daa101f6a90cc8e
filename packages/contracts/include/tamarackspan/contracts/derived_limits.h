#pragma once

#include "tamarackspan/contracts/contract.h"

namespace tamarackspan::contracts {

/// What one data centre enforces of a contract. Over all data centres that the contract names, the sums are the contract's limits times the sum of their parts,
/// rounded down to whole units once: no unit is lost to rounding by data centre, and none is given twice.
struct DataCentreLimits
{
    std::uint32_t permille = 0;
    Limits limits;

    friend auto operator==(const DataCentreLimits &, const DataCentreLimits &) -> bool = default;
};

/// Returns the limits that follow from a contract for one data centre; all 0 if the contract doesn't name it or is removed.
[[nodiscard]] auto derivedLimits(const Contract &contract, const base::DataCentre &dataCentre) -> DataCentreLimits;

/// Returns the least and the greatest part of one host when a data centre's limit is split into equal whole units over its hosts.
struct HostShareRange
{
    Limits least;
    Limits greatest;

    friend auto operator==(const HostShareRange &, const HostShareRange &) -> bool = default;
};

/// Returns the parts of single hosts; all 0 for no hosts.
[[nodiscard]] auto hostShareRange(const DataCentreLimits &limits, std::uint32_t hosts) noexcept -> HostShareRange;

} // namespace tamarackspan::contracts
