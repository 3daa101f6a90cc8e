#pragma once

#include "tamarackspan/query/query_actions.h"
#include "tamarackspan/query/query_state.h"

#include "absl/time/time.h"

#include <vector>

namespace tamarackspan::query {

/// Starts a query: pins a snapshot and sends the first request for each shard. Appends the actions to take to `actions`, in order. A query emits exactly one
/// Finish, as its last action; it may be emitted immediately.
[[nodiscard]] auto startQuery(const QueryRequest &request, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> QueryState;

/// Handles a reply. One that fails acceptReply is counted and otherwise ignored, except for rows of another snapshot, which count as NotHeld.
auto onReply(QueryState &state, QueryContext &context, const LeafReply &reply, absl::Time now, std::vector<Action> &actions) -> void;

/// Sends hedged requests that are due and finishes the query at its deadline. To be called at nextWake; earlier or additional calls are harmless.
auto onTimer(QueryState &state, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> void;

/// Ends the query because its caller has disconnected: cancels all open attempts and finishes.
auto onCallerDisconnected(QueryState &state, QueryContext &context, absl::Time now, std::vector<Action> &actions) -> void;

/// Returns when onTimer is due; the infinite future once the query is over.
[[nodiscard]] auto nextWake(const QueryState &state) -> absl::Time;

/// Checks that a reply belongs to an open attempt of the query, names that attempt's shard and, if it has rows, comes from the query's snapshot.
[[nodiscard]] auto acceptReply(const QueryState &state, const LeafReply &reply) -> ReplyCheck;

} // namespace tamarackspan::query
