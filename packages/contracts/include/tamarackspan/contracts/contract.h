#pragma once

#include "tamarackspan/contracts/operation.h"

#include <cstdint>
#include <map>
#include <string>

namespace tamarackspan::contracts {

/// The limits of one customer, summed over all data centres.
struct Limits
{
    /// Sustained requests per second.
    std::uint32_t requestsPerSecond = 0;
    /// Requests that may arrive at once in addition to the rate.
    std::uint32_t burst = 0;
    /// Requests that may be in flight at once.
    std::uint32_t concurrency = 0;

    friend auto operator==(const Limits &, const Limits &) -> bool = default;
    friend auto operator<=>(const Limits &, const Limits &) = default;
};

/// The agreement with one customer: the published document "contracts/<customer>".
struct Contract
{
    base::CustomerName customer;
    /// Who published the document, for the audit trail.
    std::string publishedBy;
    Limits limits;
    /// The share of the limits that each data centre enforces, in thousandths. The shares add up to at most 1,000; a data centre that is not listed has none.
    std::map<base::DataCentre, std::uint32_t> dataCentrePermille;
    std::map<base::OperationName, Operation> operations;
    /// The contract has ended: only the customer's name is valid, and every request of the customer is refused.
    bool removed = false;

    friend auto operator==(const Contract &, const Contract &) -> bool = default;
};

} // namespace tamarackspan::contracts
