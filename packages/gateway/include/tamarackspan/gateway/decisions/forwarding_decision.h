#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace tamarackspan::gateway {

/// How another host has handled the queries that were forwarded to it.
struct NeighbourCondition
{
    /// Queries that were forwarded to it and that it hasn't answered.
    std::uint32_t inFlight = 0;
    absl::Time avoidUntil = absl::InfinitePast();
    /// The start of the host to which its connections were opened.
    std::uint64_t incarnation = 0;

    friend auto operator==(const NeighbourCondition &, const NeighbourCondition &) -> bool = default;
};

/// Returns, of the hosts that needn't be avoided, the one with the fewest queries in flight; among equals the first from `start` on. Nothing if all are to be
/// avoided.
[[nodiscard]] auto chooseNeighbour(std::span<const NeighbourCondition> hosts, std::size_t start, absl::Time now) -> std::optional<std::size_t>;

/// A query that was forwarded to another host.
struct ForwardedQuery
{
    /// When it was given to a connection to that host.
    std::optional<absl::Time> sentAt{};
    /// Whether that host has acknowledged that it has read it.
    bool acknowledged = false;
    /// Whether leafs may run the operation more than once; below, how many leafs of each shard may be asked at most.
    bool repeatable = false;
    std::uint32_t attempts = 1;
    /// How many of these attempts may have been used by hosts that had the query before.
    std::uint32_t attemptsUsed = 0;

    friend auto operator==(const ForwardedQuery &, const ForwardedQuery &) -> bool = default;
};

/// Returns whether a query may be forwarded to the next host although the current one hasn't answered and may still send it to one leaf of each shard. Guards
/// against half of the hosts being lost at once while queries are still forwarded to them.
[[nodiscard]] auto mayForwardAgain(const ForwardedQuery &query, absl::Time now) -> bool;

} // namespace tamarackspan::gateway
