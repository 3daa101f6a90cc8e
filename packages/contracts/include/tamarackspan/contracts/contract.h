#pragma once

#include "tamarackspan/contracts/operation.h"

#include <cstdint>
#include <map>
#include <string>

namespace tamarackspan::contracts {

/// What one customer may use over all data centres together.
struct Limits
{
    /// Requests per second in the long run.
    std::uint32_t requestsPerSecond = 0;
    /// Requests that may come at once on top of the rate.
    std::uint32_t burst = 0;
    /// Requests that may be running at once.
    std::uint32_t concurrency = 0;

    friend auto operator==(const Limits &, const Limits &) -> bool = default;
    friend auto operator<=>(const Limits &, const Limits &) = default;
};

/// What was agreed with one customer: the published document "contracts/<customer>".
struct Contract
{
    base::CustomerName customer;
    /// Who published the document, for the audit trail.
    std::string publishedBy;
    Limits limits;
    /// The part of the limits that each data centre enforces, in thousandths. The sum is at most 1,000; a data centre not named has none.
    std::map<base::DataCentre, std::uint32_t> dataCentrePermille;
    std::map<base::OperationName, Operation> operations;
    /// The contract has ended: nothing of it but the customer's name counts, and every request of the customer is refused.
    bool removed = false;

    friend auto operator==(const Contract &, const Contract &) -> bool = default;
};

} // namespace tamarackspan::contracts
