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
    /// Each in turn, whatever is known of them but for leaving: the baseline of the benches.
    RoundRobin,
    /// The better of two random replicas by own requests in flight and learned latency.
    TwoChoices,
};

/// The settings of replica choice and ejection.
struct RoutingPolicy
{
    ReplicaChoice choice = ReplicaChoice::TwoChoices;
    /// The quantile of a leaf's latency that stands for it when replicas are compared.
    double choiceQuantile = 0.5;
    /// What is known of a leaf's latency counts half after this long without a sample.
    absl::Duration forgetHalfLife = absl::Seconds(5);
    /// How much worse a leaf counts all of whose recent attempts failed or were overdue; 0 doesn't look at that.
    double troubleWeight = 10;
    /// Failures in a row that eject a leaf; 0 never ejects.
    std::uint32_t ejectAfterFailures = 3;
    /// Overdue attempts in a row, with no answer between them, that eject a leaf; 0 never ejects.
    std::uint32_t ejectAfterOverdue = 5;
    /// How long the first ejection lasts; doubled by each failed probe.
    absl::Duration firstEjection = absl::Seconds(1);
    absl::Duration longestEjection = absl::Seconds(30);
    /// The part of a shard's replicas, in thousandths, that stays in use whatever their failures; at least one replica does.
    std::uint32_t leastInUsePermille = 500;
    /// How long a cold or returning leaf takes to come to its full part of the load; zero for at once.
    absl::Duration slowStart = absl::Seconds(5);
    /// How long a leaf's word that it is leaving holds before its status endpoint may take it back.
    absl::Duration drainMemory = absl::Seconds(30);

    friend auto operator==(const RoutingPolicy &, const RoutingPolicy &) -> bool = default;
};

/// What an entry knows of one leaf from its own requests and from what is published.
struct LeafState
{
    LatencyHistogram latency;
    /// The quantile of `latency` at the time of the last sample.
    absl::Duration learned;
    absl::Time lastSample = absl::InfinitePast();
    /// The part of the recent attempts that failed or were overdue.
    double trouble = 0;
    /// Own requests sent and not yet over.
    std::uint32_t inFlight = 0;
    std::uint32_t consecutiveFailures = 0;
    /// Attempts given up as overdue since the last answer.
    std::uint32_t consecutiveOverdue = 0;
    /// How long the present ejection lasts; zero while the leaf isn't ejected.
    absl::Duration ejection;
    absl::Time ejectedUntil = absl::InfinitePast();
    bool probing = false;
    /// When the leaf first came into use, or came back.
    absl::Time inUseSince = absl::InfinitePast();
    /// When the leaf last said itself that it is leaving; the infinite past if it didn't.
    absl::Time saidDraining = absl::InfinitePast();
    bool publishedLeaving = false;
    /// The leaf's status endpoint says that it is busy or unwell: breaks ties, decides nothing else.
    bool unwellHint = false;
    /// The versions that the leaf said it holds, newest first; none until it said so.
    std::vector<base::IndexVersion> held;
};

/// What one entry thread knows of the leafs of one service.
struct LeafTable
{
    RoutingPolicy policy;
    absl::flat_hash_map<base::LeafId, LeafState> leafs;
    absl::flat_hash_map<base::ShardId, LatencyHistogram> shards;
    /// The latency over all shards, for shards of which little is known.
    LatencyHistogram service;
    std::uint64_t turn = 0;
};

/// Takes up the published service: new leafs start cold unless the table was empty, missing ones are forgotten once nothing of theirs is in flight.
auto takeUpService(LeafTable &table, const contracts::Service &service, absl::Time now) -> void;

/// Chooses the replica for a new attempt, other than those excluded. Never one that is leaving. None if no replica is left.
[[nodiscard]] auto chooseReplica(LeafTable &table, std::span<const base::LeafId> replicas, std::span<const base::LeafId> excluded, absl::Time now,
                                 base::Random &random) -> std::optional<base::LeafId>;

/// Counts an attempt that goes out now; if the leaf is ejected, it is its probe.
auto noteSent(LeafTable &table, const base::LeafId &leaf, absl::Time now) -> void;

/// Counts an attempt that the leaf answered in `latency`.
auto noteAnswered(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration latency, absl::Time now) -> void;

/// Counts an attempt that failed or timed out after `waited`.
auto noteFailed(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration waited, absl::Time now) -> void;

/// Counts an attempt that was cancelled after `waited`. If it was `overdue`, that is a sign that the leaf doesn't work.
auto noteGivenUp(LeafTable &table, const base::LeafId &leaf, base::ShardId shard, absl::Duration waited, bool overdue, absl::Time now) -> void;

/// Counts an attempt that the leaf or its owner declined without running it.
auto noteDeclined(LeafTable &table, const base::LeafId &leaf, absl::Time now) -> void;

/// Takes down what the leaf said of itself in a reply. That it is leaving counts at once; that it isn't takes nothing back, as replies overtake each other.
auto noteSaid(LeafTable &table, const base::LeafId &leaf, bool draining, std::span<const base::IndexVersion> held, absl::Time now) -> void;

/// Takes down what the leaf's status endpoint says. Since that lags, it only breaks ties, and takes back the leaf's own word that it is leaving after
/// RoutingPolicy::drainMemory.
auto noteStatus(LeafTable &table, const base::LeafId &leaf, bool draining, bool unwell, absl::Time now) -> void;

/// True if the leaf gets no new work, by its own word or as published.
[[nodiscard]] auto isLeaving(const LeafTable &table, const base::LeafId &leaf) -> bool;

/// Returns the learned quantile of the shard's latency; that of the whole service while little is known of the shard; none while little is known of either.
[[nodiscard]] auto shardLatency(const LeafTable &table, base::ShardId shard, double part) -> std::optional<absl::Duration>;

} // namespace tamarackspan::routing
