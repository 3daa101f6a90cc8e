#pragma once

#include "tamarackspan/base/ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarackspan::query {

/// What one query reads from: a version of the index and a generation of the shard map. Every leaf request of the query carries both.
struct Pin
{
    base::IndexVersion indexVersion;
    base::Revision mapGeneration;

    friend auto operator==(const Pin &, const Pin &) -> bool = default;
};

/// How one leaf request ended, as the entry sees it.
enum class LeafOutcome {
    /// The leaf answered for the whole shard from the pin.
    Complete,
    /// The leaf answered for a part of the shard only: never counts as covered.
    Partial,
    /// The leaf doesn't hold the pin's index version or the shard; nothing was run.
    NotHeld,
    /// The leaf or its owner shed the request; nothing was run.
    Shed,
    /// The leaf is leaving; nothing was run.
    Draining,
    /// The deadline passed before the leaf answered.
    TimedOut,
    /// The connection failed, or the reply was not to this request.
    Failed,
    /// The attempt was cancelled.
    Cancelled,
};

/// One leaf request to be sent.
struct SendAttempt
{
    base::AttemptId attempt;
    base::ShardId shard;
    base::LeafId leaf;
    /// True if this attempt is in the extra load: a hedge or a retry.
    bool extra = false;

    friend auto operator==(const SendAttempt &, const SendAttempt &) -> bool = default;
};

/// One leaf request that is no longer wanted.
struct CancelAttempt
{
    base::AttemptId attempt;
    base::LeafId leaf;

    friend auto operator==(const CancelAttempt &, const CancelAttempt &) -> bool = default;
};

/// The query is over; no further action follows. The rows are those of the attempts named.
struct Finish
{
    Pin pin;
    /// For each covered shard, the one attempt whose rows count; also if the answer is refused, when the caller gets none of them.
    std::vector<base::AttemptId> accepted;
    std::uint32_t shardsTotal = 0;
    std::vector<base::ShardId> missing;
    /// The coverage is below the floor of the operation and the operation refuses such answers.
    bool refused = false;

    friend auto operator==(const Finish &, const Finish &) -> bool = default;
};

/// What the shell must do, in order.
using Action = std::variant<SendAttempt, CancelAttempt, Finish>;

} // namespace tamarackspan::query
