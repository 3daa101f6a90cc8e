#pragma once

#include "tamarackspan/query/query_actions.h"
#include "tamarackspan/query/query_state.h"

#include "absl/time/time.h"

#include <vector>

namespace tamarackspan::query {

/// Starts a query: pins a snapshot and sends the first request for each shard. Appends what is to be done to `actions`, in order. Exactly one Finish comes over
/// the life of the query, as the last action; it may come at once.
[[nodiscard]] auto startQuery(const QueryRequest &request, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> QueryState;

/// Takes in a reply. One that fails acceptReply is counted and otherwise ignored, but for rows of another snapshot, which count as NotHeld.
auto onReply(QueryState &state, QueryContext &context, const LeafReply &reply, absl::Time now, std::vector<Action> &actions) -> void;

/// Hedges what is due and finishes the query at its deadline. To be called at nextWake; earlier or more often does no harm.
auto onTimer(QueryState &state, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> void;

/// Ends the query because nobody waits for its answer: cancels what is open and finishes.
auto onCallerLeft(QueryState &state, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> void;

/// Returns when onTimer is due; the infinite future once the query is over.
[[nodiscard]] auto nextWake(const QueryState &state) -> absl::Time;

/// Tells whether a reply belongs to an attempt of the query that is still open, names its shard, and if it has rows, comes from its snapshot.
[[nodiscard]] auto acceptReply(const QueryState &state, const LeafReply &reply) -> ReplyCheck;

} // namespace tamarackspan::query
