#pragma once

#include "tamarackspan/base/ids.h"

#include "absl/time/time.h"

#include <cstdint>

namespace tamarackspan::contracts {

/// How requests of an operation may be run.
enum class OperationKind {
    /// Read-only, sent to every shard of the service, may be repeated.
    Query,
    /// Not idempotent, sent to the one shard that the caller's routing key selects, run at most once.
    Execute,
};

/// Which requests are served first when there is not enough capacity for all.
enum class Priority {
    Urgent,
    Routine,
};

/// What to do with an answer whose coverage is below the operation's coverage floor at the deadline.
enum class BelowFloor {
    /// Refuse: the caller gets the list of missing shards but no rows.
    Refuse,
    /// Answer, labelled with the actual coverage and the missing shards.
    Label,
};

/// One kind of request that a contract allows.
struct Operation
{
    base::OperationName name;
    base::ServiceName service;
    OperationKind kind = OperationKind::Query;
    Priority priority = Priority::Routine;
    /// The longest time that a request may take, from its arrival at the host that received it from the caller.
    absl::Duration deadline;
    /// The lowest share of the shards, in thousandths, with which an answer counts as complete.
    std::uint32_t coverageFloorPermille = 1000;
    BelowFloor belowFloor = BelowFloor::Label;
    /// Extra leaf requests (hedges and retries) allowed per 1,000 first ones.
    std::uint32_t extraLoadPermille = 50;
    /// The most rows in an answer.
    std::uint32_t maxRows = 100;

    friend auto operator==(const Operation &, const Operation &) -> bool = default;
};

} // namespace tamarackspan::contracts
