#pragma once

#include "tamarackspan/query/query_machine.h"
#include "tamarackspan/routing/leaf_queue.h"
#include "tamarackspan/routing/ownership.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackspan::query::bench {

/// What goes wrong with one leaf, or with many.
enum class Fault {
    None,
    /// One leaf takes ten times as long.
    SlowLeaf,
    /// One request in a hundred takes ten times as long.
    RandomStragglers,
    /// One in four requests to one leaf gets no reply.
    SilentConnection,
    /// One leaf is gone: nothing sent to it gets a reply.
    LostReplica,
    /// One leaf starts cold: eight times as slow at first, and warm after five seconds.
    ColdLeaf,
    /// One leaf declares itself well and fails each request at once.
    FailingLeaf,
};

/// A service and the load on it.
struct Scenario
{
    std::string name;
    std::uint32_t shards = 20;
    std::uint32_t replicas = 2;
    std::uint32_t slots = 2;
    /// Leaf i holds the shards i and i+1 instead of one shard.
    bool chained = false;
    Fault fault = Fault::None;
    /// Offered load as a part of what the leafs can serve.
    double load = 0.4;
    double urgentPart = 0.3;
    absl::Duration deadline = absl::Milliseconds(250);
    absl::Duration length = absl::Seconds(20);
    std::uint64_t seed = 20261204;
    std::uint32_t coverageFloorPermille = 1000;
    contracts::BelowFloor belowFloor = contracts::BelowFloor::Label;
};

/// How an entry chooses among the owners of a leaf.
enum class OwnerChoice {
    /// One draw for the whole query.
    Draw,
    /// The owner with the fewest own requests in flight for each of its slots.
    LeastInFlight,
};

/// The policy under test.
struct Step
{
    std::string name;
    QueryPolicy query;
    routing::RoutingPolicy routing;
    routing::QueuePolicy queue;
    std::uint32_t extraLoadPermille = 50;
    std::uint32_t ownersPerLeaf = routing::maxOwnersPerLeaf;
    OwnerChoice ownerChoice = OwnerChoice::Draw;
};

/// What one run showed; latencies in milliseconds.
struct Outcome
{
    std::uint32_t queries = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double urgentP99 = 0;
    /// Shards answered, of all shards asked for.
    double coverage = 0;
    /// Queries whose answer was whole.
    double whole = 0;
    double urgentWhole = 0;
    /// Leaf requests beyond one for each shard.
    double extra = 0;
    /// Whole answers per second.
    double goodput = 0;
};

/// Plays the scenario on a virtual clock against fake leafs and returns what the callers saw.
[[nodiscard]] auto play(const Scenario &scenario, const Step &step) -> Outcome;

} // namespace tamarackspan::query::bench
