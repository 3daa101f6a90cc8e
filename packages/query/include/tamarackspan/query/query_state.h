#pragma once

#include "tamarackspan/contracts/operation.h"
#include "tamarackspan/query/extra_load.h"
#include "tamarackspan/query/query_actions.h"
#include "tamarackspan/query/snapshot.h"
#include "tamarackspan/routing/leaf_table.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace tamarackspan::query {

/// Checks that keep a query's promises; switched off only by tests, which show that each is needed.
struct QueryChecks
{
    /// Replies are held against their attempt: its number, its shard, and that it is still open.
    bool attempt = true;
    /// Rows are taken only from the query's own snapshot.
    bool pin = true;
    /// Hedges and retries are paid for.
    bool extraLoad = true;

    friend auto operator==(const QueryChecks &, const QueryChecks &) -> bool = default;
};

/// How a query deals with slow and failed shards.
struct QueryPolicy
{
    /// Send a second request for a shard to another replica when the first takes long.
    bool hedge = true;
    /// The quantile of the shard's latency after which it is hedged.
    double hedgeQuantile = 0.95;
    /// No shard is hedged earlier than this.
    absl::Duration leastHedgeDelay = absl::Milliseconds(1);
    /// Try a shard on another replica when a request for it ended without its rows.
    bool retry = true;
    /// Leaf requests for one shard on one snapshot, hedges and retries included.
    std::uint32_t maxAttemptsPerShard = 4;
    /// Start the query again on another snapshot, once, if shards don't hold the first.
    bool restart = true;
    QueryChecks checks;

    friend auto operator==(const QueryPolicy &, const QueryPolicy &) -> bool = default;
};

/// What a query is to do.
struct QueryRequest
{
    std::shared_ptr<const ServiceView> view;
    absl::Time deadline;
    std::uint32_t coverageFloorPermille = 1000;
    contracts::BelowFloor belowFloor = contracts::BelowFloor::Label;
    QueryPolicy policy;
};

/// What the queries of one entry thread share. It must outlive the call that it is passed to.
struct QueryContext
{
    /// The leafs of the query's service.
    routing::LeafTable &leafs;
    /// The extra load of the query's customer and operation.
    ExtraLoadBudget &extraLoad;
    base::Random &random;
    /// The service as last published, for a query that starts again; null if there is none.
    std::shared_ptr<const ServiceView> newest;
};

/// A leaf's reply to one attempt, or the shell's word that none will come.
struct LeafReply
{
    base::AttemptId attempt;
    base::ShardId shard;
    LeafOutcome outcome = LeafOutcome::Failed;
    /// The snapshot that the rows come from; needed with Complete and Partial.
    std::optional<Pin> pin;
    /// The index versions that the leaf said it holds, newest first; empty if it said nothing.
    std::vector<base::IndexVersion> held;
    /// The leaf said that it is leaving.
    bool draining = false;

    friend auto operator==(const LeafReply &, const LeafReply &) -> bool = default;
};

/// Whether a reply belongs to an attempt of the query.
enum class ReplyCheck {
    Accepted,
    /// The query made no such attempt.
    UnknownAttempt,
    /// The attempt is over: the reply is late, or comes twice.
    AttemptOver,
    /// The reply names another shard than the attempt: it was crossed with another.
    WrongShard,
    /// The rows come from another snapshot, or from one not named.
    WrongPin,
};

/// Replies that didn't count, by reason, and extra leaf requests, by reason.
struct QueryCounters
{
    std::uint32_t unknownAttempt = 0;
    std::uint32_t attemptOver = 0;
    std::uint32_t wrongShard = 0;
    std::uint32_t wrongPin = 0;
    std::uint32_t firstRequests = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    /// Leaf requests sent because the query started again.
    std::uint32_t restarted = 0;

    friend auto operator==(const QueryCounters &, const QueryCounters &) -> bool = default;
};

/// One leaf request of the query. Its AttemptId is its place in QueryState::attempts.
struct Attempt
{
    std::uint32_t shardIndex = 0;
    base::LeafId leaf;
    absl::Time sentAt;
    /// When the attempt is taken to be slow.
    absl::Time overdueAt;
    bool open = true;
};

/// How far one shard has come on the present snapshot.
struct ShardProgress
{
    /// The attempt whose rows count.
    std::optional<base::AttemptId> accepted;
    std::uint32_t openAttempts = 0;
    std::uint32_t attempts = 0;
    /// When the shard is to be hedged next.
    absl::Time hedgeAt = absl::InfiniteFuture();
    /// Nothing further is tried.
    bool given = false;
    /// A leaf doesn't hold the snapshot.
    bool notHeld = false;
};

/// One running query. Changed only by the functions of query_machine.h.
struct QueryState
{
    QueryRequest request;
    Pin pin;
    std::vector<ShardProgress> shards;
    std::vector<Attempt> attempts;
    /// The first attempt on the present snapshot; earlier ones are over.
    std::uint32_t roundStart = 0;
    /// Shards that are neither covered nor given up.
    std::uint32_t unsettled = 0;
    std::uint32_t covered = 0;
    bool hasRestarted = false;
    bool over = false;
    QueryCounters counters;
};

} // namespace tamarackspan::query
