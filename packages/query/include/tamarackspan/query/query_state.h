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

/// Checks that enforce a query's guarantees; switched off only by tests, which show that each is needed.
struct QueryChecks
{
    /// Replies are checked against their attempt: its number, its shard, and that it is still open.
    bool attempt = true;
    /// Rows are accepted only from the query's own snapshot.
    bool pin = true;
    /// Hedges, retries and restarts are charged to the extra-load budget.
    bool extraLoad = true;

    friend auto operator==(const QueryChecks &, const QueryChecks &) -> bool = default;
};

/// How a query handles slow and failed shards.
struct QueryPolicy
{
    /// Send a hedged request for a shard to another replica if the first takes long.
    bool hedge = true;
    /// The quantile of the shard's latency after which a hedged request is sent.
    double hedgeQuantile = 0.95;
    /// Minimum delay before a hedged request.
    absl::Duration minHedgeDelay = absl::Milliseconds(1);
    /// Retry a shard on another replica if a request for it ended without its rows.
    bool retry = true;
    /// Maximum number of leaf requests for one shard on one snapshot, including hedges and retries.
    std::uint32_t maxAttemptsPerShard = 4;
    /// Restart the query once, on another snapshot, if leafs do not hold the first.
    bool restart = true;
    QueryChecks checks;

    friend auto operator==(const QueryPolicy &, const QueryPolicy &) -> bool = default;
};

/// Input of a query.
struct QueryRequest
{
    std::shared_ptr<const ServiceView> view;
    absl::Time deadline;
    std::uint32_t coverageFloorPermille = 1000;
    contracts::BelowFloor belowFloor = contracts::BelowFloor::Label;
    QueryPolicy policy;
};

/// State that the queries of one entry thread share. Must outlive the call that it is passed to.
struct QueryContext
{
    /// The leafs of the query's service.
    routing::LeafTable &leafs;
    /// The extra-load budget of the query's customer and operation.
    ExtraLoadBudget &extraLoad;
    base::Random &random;
    /// The service as last published, for a query that restarts; null if there is none.
    std::shared_ptr<const ServiceView> newest;
};

/// A leaf's reply to one attempt, or the caller's notice that there will be none.
struct LeafReply
{
    base::AttemptId attempt;
    base::ShardId shard;
    LeafOutcome outcome = LeafOutcome::Failed;
    /// The snapshot that the rows come from; required with Complete and Partial.
    std::optional<Pin> pin;
    /// The index versions that the leaf reported to hold, newest first; empty if it reported none.
    std::vector<base::IndexVersion> heldVersions;
    /// The leaf reported that it is draining.
    bool draining = false;

    friend auto operator==(const LeafReply &, const LeafReply &) -> bool = default;
};

/// Whether a reply belongs to an attempt of the query.
enum class ReplyCheck {
    Accepted,
    /// The query made no such attempt.
    UnknownAttempt,
    /// The attempt is over: the reply is late or a duplicate.
    AttemptOver,
    /// The reply names another shard than the attempt: replies were mixed up.
    WrongShard,
    /// The rows come from another snapshot, or the reply names none.
    WrongPin,
};

/// Numbers of ignored replies, by reason, and of leaf requests, by kind.
struct QueryCounters
{
    std::uint32_t unknownAttempt = 0;
    std::uint32_t attemptOver = 0;
    std::uint32_t wrongShard = 0;
    std::uint32_t wrongPin = 0;
    std::uint32_t firstRequests = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    /// Leaf requests sent because the query restarted.
    std::uint32_t restartRequests = 0;

    friend auto operator==(const QueryCounters &, const QueryCounters &) -> bool = default;
};

/// One leaf request of the query. Its AttemptId is its index in QueryState::attempts.
struct Attempt
{
    std::uint32_t shardIndex = 0;
    base::LeafId leaf;
    absl::Time sentAt;
    /// When the attempt counts as overdue.
    absl::Time overdueAt;
    bool open = true;
};

/// Progress of one shard on the current snapshot.
struct ShardProgress
{
    /// The attempt whose rows count.
    std::optional<base::AttemptId> accepted;
    std::uint32_t openAttempts = 0;
    std::uint32_t attempts = 0;
    /// When the next hedged request for the shard is due.
    absl::Time hedgeAt = absl::InfiniteFuture();
    /// The shard is given up: no further attempt is made.
    bool givenUp = false;
    /// A leaf reported that it does not hold the snapshot.
    bool notHeld = false;
};

/// One running query. Modified only by the functions of query_machine.h.
struct QueryState
{
    QueryRequest request;
    Pin pin;
    std::vector<ShardProgress> shards;
    std::vector<Attempt> attempts;
    /// Index of the first attempt on the current snapshot; earlier ones are over.
    std::uint32_t roundStart = 0;
    /// Number of shards that are neither covered nor given up.
    std::uint32_t unsettled = 0;
    std::uint32_t covered = 0;
    bool hasRestarted = false;
    bool over = false;
    QueryCounters counters;
};

} // namespace tamarackspan::query
