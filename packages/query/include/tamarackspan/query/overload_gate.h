#pragma once

#include "tamarackspan/contracts/operation.h"

#include "absl/time/time.h"

#include <array>
#include <cstdint>

namespace tamarackspan::query {

/// The settings of an OverloadGate.
struct GatePolicy
{
    /// Queries that may run at once at the start.
    double firstLimit = 64;
    double leastLimit = 2;
    /// What is left of the limit after a cut.
    double cut = 0.7;
    /// A query that took more than this part of its deadline is a sign of overload.
    double slowPart = 0.5;

    friend auto operator==(const GatePolicy &, const GatePolicy &) -> bool = default;
};

/// How many queries of one service one entry thread runs at once. A query over many shards is worth its load only if all its shards are served; leafs that each
/// shed a few spoil many queries, so the entry turns away whole ones instead, routine ones first. The limit falls while queries come back thin or slow, and
/// rises while it is in use and they don't.
struct OverloadGate
{
    GatePolicy policy;
    double limit = GatePolicy{}.firstLimit;
    /// Queries that run, by priority.
    std::array<std::uint32_t, 2> running{};
    absl::Time lastCut = absl::InfinitePast();
};

/// How a query that was let in ended.
struct GateReport
{
    contracts::Priority priority = contracts::Priority::Routine;
    /// From its start to its Finish.
    absl::Duration latency;
    /// From its start to its deadline.
    absl::Duration allowed;
    bool whole = false;

    friend auto operator==(const GateReport &, const GateReport &) -> bool = default;
};

/// Lets a query in, or turns it away as not run. A routine query counts all that run, an urgent one only the urgent ones.
[[nodiscard]] auto enterGate(OverloadGate &gate, contracts::Priority priority) -> bool;

/// Takes down the end of a query that was let in; to be called once for each.
auto leaveGate(OverloadGate &gate, const GateReport &report, absl::Time now) -> void;

} // namespace tamarackspan::query
