#pragma once

#include "tamarackspan/base/ids.h"

#include "absl/time/time.h"

#include <cstdint>

namespace tamarackspan::contracts {

/// What running an operation means.
enum class OperationKind {
    /// Read only, sent to every shard of the service, may be repeated.
    Query,
    /// Not idempotent, sent to the one shard named by the caller's routing key, run at most once.
    Execute,
};

/// Which requests go first when there isn't room for all.
enum class Priority {
    Urgent,
    Routine,
};

/// What to do with an answer whose coverage is below the operation's floor at the deadline.
enum class BelowFloor {
    /// Refuse; the caller learns which shards were missing but gets no rows.
    Refuse,
    /// Answer with the true coverage and the missing shards.
    Label,
};

/// One kind of request that a contract allows.
struct Operation
{
    base::OperationName name;
    base::ServiceName service;
    OperationKind kind = OperationKind::Query;
    Priority priority = Priority::Routine;
    /// The longest that a request may take at the entry, from its arrival.
    absl::Duration deadline;
    /// The least part of the shards, in thousandths, that makes a whole answer.
    std::uint32_t coverageFloorPermille = 1000;
    BelowFloor belowFloor = BelowFloor::Label;
    /// Extra leaf requests (hedges and retries) allowed for 1,000 first ones.
    std::uint32_t extraLoadPermille = 50;
    /// The most rows in an answer.
    std::uint32_t maxRows = 100;

    friend auto operator==(const Operation &, const Operation &) -> bool = default;
};

} // namespace tamarackspan::contracts
