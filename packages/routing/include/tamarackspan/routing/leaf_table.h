#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/base/random.h"
#include "tamarackspan/contracts/service.h"
#include "tamarackspan/routing/latency_histogram.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace tamarackspan::routing {

/// How an entry chooses among replicas.
enum class ReplicaChoice {
    /// Each in turn, ignoring everything known of them except that they are leaving: the baseline of the benches.
    RoundRobin,
    /// The better of two random replicas by own requests in flight, learned latency and recent failures.
    TwoChoices,
};

/// The settings of replica choice and ejection.
struct RoutingPolicy
{
    ReplicaChoice choice = ReplicaChoice::TwoChoices;
    /// The quantile of a leaf's latency that is used to compare replicas.
    double choiceQuantile = 0.5;
    /// The weight of a leaf's learned latency and failures halves each time this long passes without a sample.
    absl::Duration learnedHalfLife = absl::Seconds(5);
    /// How strongly recent failures worsen a leaf's score: a leaf all of whose recent attempts failed or were overdue scores worse by this factor plus one; 0
    /// ignores them.
    double failureWeight = 10;
    /// Consecutive failures that eject a leaf; 0 never ejects.
    std::uint32_t ejectAfterFailures = 3;
    /// Consecutive overdue attempts without an answer between them that eject a leaf; 0 never ejects.
    std::uint32_t ejectAfterOverdue = 5;
    /// How long the first ejection lasts; each failed probe doubles it.
    absl::Duration firstEjection = absl::Seconds(1);
    absl::Duration maxEjection = absl::Seconds(30);
    /// The fraction of a shard's replicas, in thousandths, that stays in use despite failures; at least one replica does.
    std::uint32_t minInUsePermille = 500;
    /// How long a cold or returning leaf takes to reach its full share of the load; zero gives it the full share at once.
    absl::Duration slowStart = absl::Seconds(5);
    /// A leaf's own report that it is draining holds this long before its status endpoint may revoke it.
    absl::Duration drainReportValidity = absl::Seconds(30);

    friend auto operator==(const RoutingPolicy &, const RoutingPolicy &) -> bool = default;
};

/// What an entry knows of one leaf from its own requests and from the published service.
struct LeafState
{
    LatencyHistogram latency;
    /// The RoutingPolicy::choiceQuantile of `latency` at the time of the last sample.
    absl::Duration typicalLatency;
    absl::Time lastSampleAt = absl::InfinitePast();
    /// Smoothed fraction of recent attempts that failed or were overdue.
    double failureFraction = 0;
    /// Own requests in flight.
    std::uint32_t inFlight = 0;
    std::uint32_t consecutiveFailures = 0;
    /// Attempts cancelled as overdue since the last answer.
    std::uint32_t consecutiveOverdue = 0;
    /// Duration of the current ejection; zero while the leaf is not ejected.
    absl::Duration ejectionDuration;
    absl::Time ejectedUntil = absl::InfinitePast();
    bool probing = false;
    /// When the leaf came into use, or returned to it.
    absl::Time inUseSince = absl::InfinitePast();
    /// When the leaf last reported in a reply that it is draining; the infinite past if it did not.
    absl::Time reportedDrainingAt = absl::InfinitePast();
    bool publishedLeaving = false;
    /// The leaf's status endpoint reports that it is busy or unhealthy: a minor factor in the replica's score, never a reason to exclude it.
    bool unhealthyHint = false;
    /// The index versions that the leaf reported to hold, newest first; empty until it has reported them.
    std::vector<base::IndexVersion> heldVersions;
};

/// What one entry thread knows of the leafs of one service.
struct LeafTable
{
    RoutingPolicy policy;
    absl::flat_hash_map<base::LeafId, LeafState> leafs;
    absl::flat_hash_map<base::ShardId, LatencyHistogram> shards;
    /// Latency over all shards, used for shards with few samples.
    LatencyHistogram service;
    std::uint64_t nextRoundRobin = 0;
};

/// Applies the published service: new leafs start cold unless the table was empty; leafs no longer published are removed once they have no request in flight.
auto updateService(LeafTable &table, const contracts::Service &service, absl::Time now) -> void;

/// Chooses the replica for a new attempt, other than those excluded and those that are leaving. Returns nothing if no replica is left.
[[nodiscard]] auto chooseReplica(LeafTable &table, std::span<const base::LeafId> replicas, std::span<const base::LeafId> excluded, absl::Time now,
                                 base::Random &random) -> std::optional<base::LeafId>;

/// Records an attempt that is sent now; if the leaf is ejected and its ejection time is over, the attempt is its probe.
auto noteSent(LeafTable &table, const base::LeafId &leaf, absl::Time now) -> void;

/// Records an attempt that the leaf answered after `latency`.
auto noteAnswered(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration latency, absl::Time now) -> void;

/// Records an attempt that failed or timed out after `waited`.
auto noteFailed(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration waited, absl::Time now) -> void;

/// Records an attempt that was cancelled after `waited`. If it was `overdue`, that counts against the leaf.
auto noteCancelled(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration waited, bool overdue, absl::Time now) -> void;

/// Records an attempt that the leaf or its owner declined without running it.
auto noteDeclined(LeafTable &table, const base::LeafId &leaf, absl::Time now) -> void;

/// Records what the leaf reported in a reply. A report that it is draining takes effect at once; a report that it is not revokes nothing, since replies may
/// arrive out of order.
auto noteReplyStatus(LeafTable &table, const base::LeafId &leaf, bool draining, std::span<const base::IndexVersion> heldVersions, absl::Time now) -> void;

/// Records what the leaf's status endpoint reports. Since the endpoint lags, its report only makes the leaf slightly less preferred, and revokes the leaf's own
/// report that it is draining only after RoutingPolicy::drainReportValidity.
auto noteEndpointStatus(LeafTable &table, const base::LeafId &leaf, bool draining, bool unhealthy, absl::Time now) -> void;

/// True if the leaf gets no new requests because it reported that it is draining or is published as leaving.
[[nodiscard]] auto isLeaving(const LeafTable &table, const base::LeafId &leaf) -> bool;

/// Returns the learned quantile of the shard's latency; that of the whole service while the shard has few samples; nothing while the service has few samples
/// too.
[[nodiscard]] auto shardLatency(const LeafTable &table, base::ShardId shard, double fraction) -> std::optional<absl::Duration>;

} // namespace tamarackspan::routing
