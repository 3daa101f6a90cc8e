#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <span>
#include <vector>

namespace tamarackspan::gateway {

/// Limits of a query over shards.
struct GatherOptions
{
    /// An answer that is sent by then is of full use to the caller.
    absl::Time objectiveAt = absl::InfiniteFuture();
    /// The caller waits no longer than this.
    absl::Time deadlineAt = absl::InfiniteFuture();
    /// Minimum share of the shards, from 0 to 1, that must answer for the query to succeed.
    double coverageFloor = 1.0;

    friend auto operator==(const GatherOptions &, const GatherOptions &) -> bool = default;
};

/// State of one shard of a query.
struct ShardView
{
    bool answered = false;
    /// No further request can get an answer for it.
    bool failed = false;
    /// Whether another leaf may be asked in addition to the one that hasn't answered.
    bool canHedge = false;
    absl::Time hedgeAt = absl::InfiniteFuture();

    friend auto operator==(const ShardView &, const ShardView &) -> bool = default;
};

/// The next step of a query over shards.
struct GatherDecision
{
    enum class Action {
        Wait,
        /// Answer with the shards that have answered.
        Answer,
        /// The coverage floor can't be reached any more.
        Fail,
        /// The deadline has passed.
        TimeOut,
    };
    Action action = Action::Wait;
    /// Shards to hedge now: another leaf of each is asked.
    std::vector<std::size_t> hedges{};
    /// When to decide again if no answer arrives before.
    absl::Time nextAt = absl::InfiniteFuture();

    friend auto operator==(const GatherDecision &, const GatherDecision &) -> bool = default;
};

/// Returns whether answers from `answered` of `total` shards reach the coverage floor; false without any answer.
[[nodiscard]] auto reachesFloor(std::size_t answered, std::size_t total, double coverageFloor) noexcept -> bool;

/// Returns the first time at which enough services accept requests to reach the coverage floor, given from when on each of them does; infinite if that never
/// happens.
[[nodiscard]] auto servableFrom(std::span<const absl::Time> acceptTimes, double coverageFloor) -> absl::Time;

/// Decides the next step of a query over shards: it waits for the most complete answer until the objective, and from then on answers with the shards that have
/// answered, since a missing shard costs the caller less than a late answer. Guards against one or two of many shards that pause or are slow at any moment.
[[nodiscard]] auto decideGather(const GatherOptions &options, std::span<const ShardView> shards, absl::Time now) -> GatherDecision;

} // namespace tamarackspan::gateway
