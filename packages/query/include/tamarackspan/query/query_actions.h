#pragma once

#include "tamarackspan/base/ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarackspan::query {

/// The snapshot that a query reads from: an index version and a generation of the shard map. Every leaf request of the query carries both.
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
    /// The leaf answered for only a part of the shard: the shard does not count as covered.
    Partial,
    /// The leaf does not hold the pin's index version or the shard; nothing was run.
    NotHeld,
    /// The leaf or its owner shed the request; nothing was run.
    Shed,
    /// The leaf is draining; nothing was run.
    Draining,
    /// The deadline passed before the leaf answered.
    TimedOut,
    /// The connection failed, or the reply did not belong to this request.
    Failed,
    /// The attempt was cancelled.
    Cancelled,
};

/// A leaf request to send.
struct SendAttempt
{
    base::AttemptId attempt;
    base::ShardId shard;
    base::LeafId leaf;
    /// True for a hedge, a retry or a request of a restarted query.
    bool extra = false;

    friend auto operator==(const SendAttempt &, const SendAttempt &) -> bool = default;
};

/// A leaf request to cancel.
struct CancelAttempt
{
    base::AttemptId attempt;
    base::LeafId leaf;

    friend auto operator==(const CancelAttempt &, const CancelAttempt &) -> bool = default;
};

/// The query is over; no further action follows. The answer consists of the rows of the accepted attempts.
struct Finish
{
    Pin pin;
    /// For each covered shard, the one attempt whose rows count. Also set if the answer is refused, in which case the caller gets none of them.
    std::vector<base::AttemptId> accepted;
    std::uint32_t shardsTotal = 0;
    std::vector<base::ShardId> missing;
    /// The coverage is below the operation's floor, and the operation refuses such answers.
    bool refused = false;

    friend auto operator==(const Finish &, const Finish &) -> bool = default;
};

/// What the caller must do, in order.
using Action = std::variant<SendAttempt, CancelAttempt, Finish>;

} // namespace tamarackspan::query
