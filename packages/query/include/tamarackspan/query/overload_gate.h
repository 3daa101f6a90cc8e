#pragma once

#include "tamarackspan/contracts/operation.h"

#include "absl/time/time.h"

#include <array>
#include <cstdint>

namespace tamarackspan::query {

/// Settings of an OverloadGate.
struct GatePolicy
{
    /// Initial concurrency limit, in queries.
    double initialLimit = 64;
    double minLimit = 2;
    /// Factor by which a cut reduces the limit.
    double cutFactor = 0.7;
    /// A query that took more than this fraction of the time until its deadline indicates overload.
    double slowFraction = 0.5;

    friend auto operator==(const GatePolicy &, const GatePolicy &) -> bool = default;
};

/// Limits how many queries of one service one entry thread runs at once. A query over many shards is worth its load only if all its shards are served. Leafs
/// that each shed a few requests spoil many queries, so the entry rejects whole queries instead, routine ones first. The limit falls while queries end
/// incomplete or slow; it rises while it is in use and they end complete and in time.
struct OverloadGate
{
    GatePolicy policy;
    double limit = GatePolicy{}.initialLimit;
    /// Running queries, by priority.
    std::array<std::uint32_t, 2> running{};
    absl::Time lastCutAt = absl::InfinitePast();
};

/// How an admitted query ended.
struct GateReport
{
    contracts::Priority priority = contracts::Priority::Routine;
    /// From its start to its Finish.
    absl::Duration latency;
    /// From its start to its deadline.
    absl::Duration timeLimit;
    bool complete = false;

    friend auto operator==(const GateReport &, const GateReport &) -> bool = default;
};

/// Admits a query, or rejects it before it runs. All running queries count against the limit for a routine query, only urgent ones for an urgent query.
[[nodiscard]] auto enterGate(OverloadGate &gate, contracts::Priority priority) -> bool;

/// Records the end of an admitted query; to be called once for each.
auto leaveGate(OverloadGate &gate, const GateReport &report, absl::Time now) -> void;

} // namespace tamarackspan::query
