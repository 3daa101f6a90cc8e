#pragma once

#include "tamarackspan/gateway/catalogue.h"
#include "tamarackspan/gateway/decisions/admission_decision.h"
#include "tamarackspan/gateway/decisions/latency_estimate.h"
#include "tamarackspan/gateway/decisions/weighted_choice.h"
#include "tamarackspan/gateway/leaf_directory.h"
#include "tamarackspan/gateway/ports.h"
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
    /// The leaf has stated that it did not run it.
    bool notRun = false;
    bool open = true;
    bool overdueNoted = false;
};

/// One service that a request is sent to: a shard, or the only service.
struct Slot
{
    KnownService *service = nullptr;
    std::vector<Attempt> attempts{};
    bool answered = false;
    bool failed = false;
    http::StreamMessage response{};
    std::string signature{};
    /// Whether `response` is a leaf's own failure, passed on if no leaf succeeds.
    bool hasFailure = false;
};

/// State of an operation that is kept across configurations.
struct OperationState
{
    LatencyEstimate estimate;
    WeightedRoundRobin roundRobin{};
    /// Number of recent requests, older ones with less weight, as of `demandAt`.
    double demand = 0.0;
    absl::Time demandAt = absl::InfinitePast();
    RetrySchedule retrySchedule{};
    metrics::CounterId answered{};
    metrics::CounterId incomplete{};
    metrics::CounterId refused{};
    metrics::CounterId failed{};
    metrics::HistogramId latency{};
};

/// An operation with its services looked up.
struct ResolvedOperation
{
    const Operation *operation = nullptr;
    OperationState *state = nullptr;
    std::vector<KnownService *> services{};
    /// Maximum number of connections to a leaf of each service, of all hosts together.
    std::vector<std::uint32_t> connections{};
    std::vector<double> weights{};
};

/// A catalogue in force, with its operations resolved.
struct ActiveCatalogue
{
    std::shared_ptr<const Catalogue> catalogue;
    CatalogueIndex index;
    absl::flat_hash_map<const Operation *, ResolvedOperation> resolved{};

    explicit ActiveCatalogue(std::shared_ptr<const Catalogue> given)
        : catalogue(std::move(given)),
          index(*this->catalogue)
    {
    }
};

/// A caller's request in flight.
struct Work
{
    http::StreamServer *server = nullptr;
    http::ExchangeId exchange = 0;
    CallerRequest request{};
    http::StreamMessage message{};
    std::string common{};
    std::shared_ptr<const ActiveCatalogue> published;
    const ResolvedOperation *resolved = nullptr;
    absl::Time arrivedAt;
    absl::Time objectiveAt;
    absl::Time deadlineAt;
    std::vector<Slot> slots{};
    std::vector<std::uint32_t> connections{};
    std::size_t answeredCount = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    bool ended = false;
    /// The last failure of a leaf or another host, for the log.
    std::string lastFailure{};
    absl::Duration retryAfter = absl::ZeroDuration();
    /// The part of the caller's time that had passed when the request arrived, or is reserved for sending the answer.
    absl::Duration timeReserve = absl::ZeroDuration();
    /// The call to the host that the query was forwarded to; below, that host's name.
    http::CallId forwardCall = 0;
    std::string forwardedTo{};
    std::uint32_t forwardCount = 0;
    /// When the query was given to a connection to that host; below, whether that host has acknowledged that it has read it.
    std::optional<absl::Time> forwardedAt{};
    bool acknowledged = false;
    /// Before this time no leaf of a shard is asked after another one that may have run the request.
    absl::Time secondRequestsFrom = absl::InfinitePast();
    /// How many attempts at leafs other hosts may have used.
    std::uint32_t attemptsElsewhere = 0;
    /// Whether a host that the query was forwarded to before may have sent it to leafs.
    bool mayHaveRunElsewhere = false;
    transport::TimerId timer = 0;
    absl::Time timerAt = absl::InfiniteFuture();
    /// Whether another host forwarded the query to this one.
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
/// Exchange ids are unique only within one server.
using WorkKey = std::pair<const http::StreamServer *, http::ExchangeId>;

/// Returns the number of an operation's recent requests, older ones with less weight.
[[nodiscard]] auto demandOf(const OperationState &state, absl::Time now) -> double;

/// Returns how many of a slot's attempts were sent to their leafs.
[[nodiscard]] auto sentCount(const Slot &slot) -> std::size_t;

/// Returns whether any leaf may have run a request because of this host: it was sent to a leaf or to another host, and no reply stated that it was not run.
[[nodiscard]] auto mayHaveRun(const Work &work) -> bool;

/// Returns whether a leaf may still answer for this slot.
[[nodiscard]] auto hasOpenAttempt(const Slot &slot) -> bool;

/// Describes for the log the slots that weren't answered by the first leaf, with the leafs asked; at most a few slots.
[[nodiscard]] auto describeSlots(const Work &work) -> std::string;

} // namespace tamarackspan::gateway::impl
