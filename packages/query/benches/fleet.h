#pragma once

#include "tamarackspan/query/overload_gate.h"
#include "tamarackspan/query/query_machine.h"
#include "tamarackspan/routing/leaf_queue.h"
#include "tamarackspan/routing/ownership.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarackspan::query::bench {

/// The fault of one leaf, or of some requests to all leafs.
enum class Fault {
    None,
    /// One leaf takes ten times as long.
    SlowLeaf,
    /// One request in a hundred takes ten times as long.
    RandomStragglers,
    /// One in four requests to one leaf gets no reply.
    SilentConnection,
    /// One leaf is lost: requests to it get no reply.
    LostReplica,
    /// One leaf starts cold: eight times slower at first, and at normal speed after five seconds.
    ColdLeaf,
    /// One leaf reports itself healthy and fails each request immediately.
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
    /// Offered load as a fraction of the capacity of the leafs.
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
    /// One random draw for the whole query.
    Draw,
    /// The owner with the fewest own requests in flight per slot.
    LeastInFlight,
};

/// The policy to benchmark.
struct Step
{
    std::string name;
    QueryPolicy query;
    routing::RoutingPolicy routing;
    routing::QueuePolicy queue;
    std::uint32_t extraLoadPermille = 50;
    std::uint32_t ownersPerLeaf = routing::maxOwnersPerLeaf;
    OwnerChoice ownerChoice = OwnerChoice::Draw;
    /// Whether entries reject whole queries under overload.
    bool gate = false;
};

/// Results of one run; latencies in milliseconds.
struct Outcome
{
    /// Queries offered.
    std::uint32_t queries = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double urgentP99 = 0;
    /// Fraction of the requested shards that were answered.
    double coverage = 0;
    /// Complete answers as a fraction of the queries offered.
    double whole = 0;
    double urgentWhole = 0;
    /// Extra leaf requests as a fraction of the first requests.
    double extra = 0;
    /// Complete answers per second.
    double goodput = 0;
};

/// Simulates the scenario on a virtual clock against fake leafs and returns what the callers observed.
[[nodiscard]] auto simulate(const Scenario &scenario, const Step &step) -> Outcome;

} // namespace tamarackspan::query::bench
