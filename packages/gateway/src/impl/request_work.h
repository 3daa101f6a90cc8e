#pragma once

#include "tamarackspan/gateway/admission_decision.h"
#include "tamarackspan/gateway/catalogue.h"
#include "tamarackspan/gateway/latency_estimate.h"
#include "tamarackspan/gateway/leaf_directory.h"
#include "tamarackspan/gateway/ports.h"
#include "tamarackspan/gateway/weighted_choice.h"
#include "tamarackspan/http/stream_client.h"
#include "tamarackspan/http/stream_server.h"
#include "tamarackspan/metrics/metric_registry.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarackspan::gateway::impl {

/// One request to one leaf.
struct Attempt
{
    std::shared_ptr<KnownLeaf> leaf;
    http::CallId call = 0;
    absl::Time calledAt;
    bool sent = false;
    /// The leaf has said that it did not run it.
    bool refused = false;
    bool open = true;
    bool silenceNoted = false;
};

/// One service that a request asks: a shard, or the only one.
struct Slot
{
    KnownService *service = nullptr;
    std::vector<Attempt> attempts{};
    bool in = false;
    bool failed = false;
    http::StreamMessage response{};
    std::string signature{};
    /// A leaf's own failure, passed on if nothing better comes.
    bool hasFailure = false;
};

/// What is kept about an operation across configurations.
struct OperationMemory
{
    LatencyEstimate estimate;
    WeightedTurns turns{};
    /// Recent requests, those further back counting less, as of the last one.
    double demand = 0.0;
    absl::Time demandAt = absl::InfinitePast();
    ReturnPlaces returnPlaces{};
    metrics::CounterId answered{};
    metrics::CounterId thin{};
    metrics::CounterId refused{};
    metrics::CounterId failed{};
    metrics::HistogramId latency{};
};

/// An operation with its services looked up.
struct Resolved
{
    const Operation *operation = nullptr;
    OperationMemory *memory = nullptr;
    std::vector<KnownService *> services{};
    /// The most connections to a leaf of each service, of all hosts together.
    std::vector<std::uint32_t> connections{};
    std::vector<double> weights{};
};

/// A catalogue in force.
struct Published
{
    std::shared_ptr<const Catalogue> catalogue;
    CatalogueIndex index;
    absl::flat_hash_map<const Operation *, Resolved> resolved{};

    explicit Published(std::shared_ptr<const Catalogue> given)
        : catalogue(std::move(given)),
          index(*this->catalogue)
    {
    }
};

/// A caller's request under way.
struct Work
{
    http::StreamServer *server = nullptr;
    http::ExchangeId exchange = 0;
    CallerRequest request{};
    http::StreamMessage message{};
    std::string common{};
    std::shared_ptr<const Published> published;
    const Resolved *resolved = nullptr;
    absl::Time arrivedAt;
    absl::Time objectiveAt;
    absl::Time deadlineAt;
    std::vector<Slot> slots{};
    std::vector<std::uint32_t> connections{};
    std::size_t in = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    bool ended = false;
    /// What went wrong last with a leaf, for the log.
    std::string lastFailure{};
    absl::Duration comeBack = absl::ZeroDuration();
    /// The part of the caller's time that had passed, or is kept for the way back, when the request came.
    absl::Duration reserve = absl::ZeroDuration();
    /// The call to the host that the query was handed to, and that host's name.
    http::CallId handedCall = 0;
    std::string handedTo{};
    std::uint32_t handOvers = 0;
    /// When the request was given to a connection to that host, and whether that host has said that it has read it.
    std::optional<absl::Time> handedAt{};
    bool acknowledged = false;
    /// No leaf of a shard is asked after another one that may have run the request before this time.
    absl::Time secondRequestsFrom = absl::InfinitePast();
    /// How many attempts at leafs other hosts may have used up.
    std::uint32_t attemptsElsewhere = 0;
    /// A host that the query was handed to before may have asked leafs.
    bool askedElsewhere = false;
    transport::TimerId timer = 0;
    absl::Time timerAt = absl::InfiniteFuture();
    /// Another host handed it on.
    bool fromNeighbour = false;

    [[nodiscard]] auto operation() const -> const Operation &
    {
        return *this->resolved->operation;
    }
    [[nodiscard]] auto isGather() const -> bool
    {
        return !this->operation().shards.empty();
    }
};
using SharedWork = std::shared_ptr<Work>;
/// Exchanges are counted by each server for itself.
using WorkKey = std::pair<const http::StreamServer *, http::ExchangeId>;

/// Returns how many recent requests an operation has had.
[[nodiscard]] auto demandOf(const OperationMemory &memory, absl::Time now) -> double;

/// Returns how many of a slot's attempts were sent to their leafs.
[[nodiscard]] auto sentCount(const Slot &slot) -> std::size_t;

/// Returns whether any leaf may have run a request because of this host: it was sent there, or to another host, and nobody has said that it was not run.
[[nodiscard]] auto mayHaveRun(const Work &work) -> bool;

/// Returns whether a leaf may still answer for this slot.
[[nodiscard]] auto hasOpenAttempt(const Slot &slot) -> bool;

/// Returns the slots whose leafs didn't answer at once, with the leafs asked, for the log; a few of them.
[[nodiscard]] auto describeSlots(const Work &work) -> std::string;

} // namespace tamarackspan::gateway::impl
