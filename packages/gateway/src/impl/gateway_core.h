#pragma once

#include "impl/neighbour_message.h"
#include "impl/request_work.h"

#include "tamarackspan/gateway/decisions/admission_decision.h"
#include "tamarackspan/gateway/decisions/connection_share.h"
#include "tamarackspan/gateway/decisions/forwarding_decision.h"
#include "tamarackspan/gateway/decisions/latency_estimate.h"
#include "tamarackspan/gateway/gateway.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::gateway {

namespace impl {

/// Retry time after a refusal for lack of leafs: they are published again, or a configuration names others, within about this time.
inline constexpr auto missingLeafsRetryAfter = absl::Milliseconds(700);
[[nodiscard]] inline auto isHead(const http::StreamMessage &message) -> bool
{
    return message.method == "HEAD";
}
/// Retry time after a refusal by a stopping host: the balancer may still send the caller's next connection to it.
inline constexpr auto stoppingRetryAfter = absl::Milliseconds(50);
/// Retry time after a refusal because the leafs are in evacuated data centres: nothing but the operator changes that.
inline constexpr auto evacuatedRetryAfter = absl::Seconds(2);
/// The reason of a refusal because data centres are cut off, for the log.
inline constexpr auto cutOffReason = std::string_view("data centres that hold its leafs are out of reach");

} // namespace impl

/// The state of a gateway and the steps of a request. The steps are defined by file: request_intake, query_forwarding, leaf_selection, leaf_requests and
/// request_end. What is decided along the way are the free functions in decisions/.
struct Gateway::Core
{
    using ActiveCatalogue = impl::ActiveCatalogue;
    using OperationState = impl::OperationState;
    using ResolvedOperation = impl::ResolvedOperation;
    using SharedWork = impl::SharedWork;
    using Slot = impl::Slot;
    using Work = impl::Work;
    using WorkKey = impl::WorkKey;

    transport::EventLoop &loop;
    GatewaySettings settings;
    CallerProtocol callers;
    LeafProtocol leafs;
    std::function<const Neighbourhood &()> neighbourhood;
    ReachabilityMap &reach;
    const EvacuationTable &evacuations;
    http::StreamClient &client;
    LeafDirectory &directory;
    metrics::MetricShard &metrics;
    const logging::Logger &log;
    std::shared_ptr<const ActiveCatalogue> published{};
    /// When a stopping host ends all requests that are still under way.
    absl::Time stopsAt = absl::InfiniteFuture();
    absl::flat_hash_map<std::string, std::unique_ptr<OperationState>> operationStates{};
    absl::flat_hash_map<WorkKey, SharedWork> works{};
    absl::flat_hash_map<std::string, NeighbourCondition> neighbours{};
    /// Where the next choice among equal hosts begins.
    std::size_t neighbourRoundRobinStart = 0;
    /// How late this host's timers run: a busy processor delays each answer by about as much.
    LatencyEstimate timerDelay{.median = absl::Milliseconds(1), .p95 = absl::Milliseconds(1)};
    metrics::CounterId unknown{};
    metrics::CounterId extraRequests{};
    metrics::CounterId callersDisconnected{};
    metrics::CounterId leavingNotices{};
    metrics::CounterId backoffNotices{};
    metrics::CounterId foreignAnswers{};
    metrics::CounterId cutOffAnswers{};
    metrics::CounterId coldLeafs{};
    metrics::CounterId coldLeafsAvoided{};

    // Takes callers' requests in, with the configuration that is in force when they arrive.
    auto stateOf(const Operation &operation) -> OperationState *;
    auto publish(std::shared_ptr<const Catalogue> catalogue) -> void;
    auto begin(http::StreamServer &server, http::ExchangeId exchange, http::StreamMessage message, const Arrival &arrival) -> void;
    auto askServices(const SharedWork &work) -> void;
    auto chooseServices(Work &work) -> void;

    // Forwarding of queries over shards to stronger hosts.
    /// Forwards a query over shards to a stronger host, so that a few hosts process the queries and collect what is known about leafs. Returns false if no host
    /// is available or the maximum number of hosts has been tried.
    auto forwardQuery(const SharedWork &work) -> bool;
    /// Forwards a query that one host didn't accept to the next; sends it to the leafs from this host if there is none.
    auto forwardOrAskLeafs(const SharedWork &work) -> void;
    [[nodiscard]] static auto forwardedQueryOf(const Work &work) -> ForwardedQuery;
    auto nextNeighbour(const std::vector<census::HostRecord> &hosts) -> std::optional<std::size_t>;
    auto onNeighbourResult(const SharedWork &work, http::CallResult result) -> void;
    auto relayRefusal(const SharedWork &work, http::StreamMessage response) -> void;
    /// Forwards a query elsewhere if a host hasn't acknowledged it in time. If the host has acknowledged it and hasn't answered after the objective, waits on
    /// but sends that host no new queries; at the deadline the query ends.
    auto onNeighbourTimeout(const SharedWork &work) -> void;

    // Choice among leafs, and what may be sent to them.
    /// Returns how this host uses connections to a leaf that accepts `all` from all hosts.
    [[nodiscard]] auto connectionShare(std::uint32_t all, const Work &work) const -> ConnectionShare;
    [[nodiscard]] auto extraRequestOptions(const Work &work) const -> ExtraRequestOptions;
    [[nodiscard]] auto isReachable(const KnownLeaf &leaf) const -> bool;
    /// Returns from when on the evacuations allow requests to a leaf.
    [[nodiscard]] auto evacuatedUntil(const KnownLeaf &leaf) const -> absl::Time;
    [[nodiscard]] auto isUsable(const KnownLeaf &leaf, absl::Time now) const -> bool;
    /// Returns whether this host may send a leaf of a service a request as far as the leaf's warm-up is concerned. A permission is used up by ask().
    [[nodiscard]] auto warmUpPermission(const KnownService &service, const KnownLeaf &leaf, absl::Time now) const -> WarmUpPermission;
    /// Returns whether a service has another usable leaf that gets no request only since it is cold.
    [[nodiscard]] auto avoidsColdLeaf(const Slot &slot, const KnownLeaf &chosen, absl::Time now) const -> bool;
    /// Returns when a service has a leaf that may be asked, as far as its leafs have said: `now` if it has one already, infinite if none is known.
    [[nodiscard]] auto acceptsRequestsFrom(const KnownService &service, absl::Time now) const -> absl::Time;
    /// Returns acceptsRequestsFrom() of each service that a request needs.
    [[nodiscard]] auto acceptTimes(const Work &work, absl::Time now) const -> std::vector<absl::Time>;
    /// Returns the share of an operation's requests that the reachable leafs can serve.
    [[nodiscard]] auto servablePart(const ResolvedOperation &resolved, absl::Time now) const -> double;
    [[nodiscard]] auto demand() const -> RequestDemand;
    /// Returns the queue for the leaf that was chosen for a service of a request; an empty one if there is no leaf.
    [[nodiscard]] auto queueOf(const Work &work, std::size_t at, const std::shared_ptr<KnownLeaf> &leaf) const -> LeafQueue;
    /// Returns the best leaf that a slot's request hasn't been sent to; nullptr if there is none.
    [[nodiscard]] auto chooseLeaf(const Slot &slot, absl::Time now) const -> std::shared_ptr<KnownLeaf>;
    [[nodiscard]] auto candidates(const Slot &slot, absl::Time now) const -> std::vector<ReplicaCandidate>;
    [[nodiscard]] auto hedgeAt(const Work &work, const Slot &slot) const -> absl::Time;
    auto canHedge(const Work &work, Slot &slot, absl::Time now, const ExtraRequestOptions &options) const -> bool;

    // Requests to leafs: first ones, hedges and retries, and their results.
    auto askAll(const SharedWork &work) -> void;
    /// Refuses a request that too few services have usable leafs for, given after which time their leafs accept enough; infinite if they don't say.
    auto refuseUnservable(const SharedWork &work, absl::Duration untilServable) -> void;
    /// Sends a slot's request to a leaf.
    auto ask(const SharedWork &work, std::size_t at, const std::shared_ptr<KnownLeaf> &leaf) -> void;
    /// Returns whether a response is the answer to a request that a leaf was sent.
    auto belongs(const Work &work, const KnownLeaf &leaf, const http::StreamMessage &response) -> bool;
    /// Records what a leaf states about itself. Requests that are queued for a leaf that wants no more are given to other leafs.
    auto noteNotice(const std::shared_ptr<KnownLeaf> &leaf, const LeafNotice &notice) -> void;
    /// Sends a slot's request to one more leaf if attempts and budget allow. Returns whether it did.
    auto askAnother(const SharedWork &work, std::size_t at) -> bool;
    auto onResult(const SharedWork &work, std::size_t at, std::size_t place, http::CallResult result) -> void;
    /// Counts and logs an answer of a leaf whose connection ended before the answer did.
    auto noteCutOffAnswer(const Work &work, const KnownLeaf &leaf, const http::CallResult &result) -> void;
    /// Cancels a slot's open requests at once: a leaf near its capacity still has them in its queue, and a new connection costs it less than the work on them.
    auto cancelOpenAttempts(Slot &slot) -> void;
    /// Assumes that a leaf is cold if the connection to it failed, since it may have started again.
    auto noteConnectionFailure(const std::shared_ptr<KnownLeaf> &leaf, const http::CallResult &result, absl::Time now) -> void;
    auto hedge(const SharedWork &work, std::size_t at, absl::Time now) -> void;
    auto decide(const SharedWork &work) -> void;
    auto setTimer(const SharedWork &work, absl::Time at) -> void;

    // Answers to callers and the end of each request.
    auto answer(const SharedWork &work) -> void;
    auto conclude(const SharedWork &work, RefusalKind kind) -> void;
    [[nodiscard]] auto cutOffNames() const -> std::string;
    /// Refuses a request. If another host had it before, it may have run nevertheless and is then reported as failed.
    auto refuse(const SharedWork &work, absl::Duration retryAfter, std::string_view reason) -> void;
    /// Ends a request without a leaf's answer: as "not run" with a retry time if no leaf may have run it, otherwise as `kind`, which says that it may have run.
    auto endUnanswered(const SharedWork &work, RefusalKind kind, absl::Duration retryAfter, std::string_view reason) -> void;
    auto end(const SharedWork &work, std::string_view outcome, metrics::CounterId counter) -> void;
};

} // namespace tamarackspan::gateway
