#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/operation.h"
#include "tamarackspan/daemon/caller_reply.h"
#include "tamarackspan/query/query_actions.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::daemon {

/// How a leaf request ended.
struct LeafWorkReply
{
    query::LeafOutcome outcome = query::LeafOutcome::Failed;
    /// For requests that are not idempotent: whether it was run.
    RunState run = RunState::NotRun;
    /// The leaf examined the request and declined it, changing nothing.
    bool rejected = false;
    /// The request reached a leaf, so that its cost is part of what the leafs measured.
    bool reachedLeaf = false;
    std::optional<query::Pin> pin;
    std::uint64_t costMicros = 0;
    std::vector<base::IndexVersion> heldVersions;
    bool leafDraining = false;
    /// Why there is no answer, for logs and callers; empty with an answer.
    std::string reason;
    std::string body;
};

/// Why a leaf request is sent.
enum class AttemptKind {
    First,
    /// Sent while an earlier request for the same shard is still open.
    Hedge,
    /// Sent after an earlier request for the same shard ended without its rows.
    Retry,
};

/// One request for one leaf, at its owner.
struct LeafWork
{
    /// Unique over all hosts; the leaf echoes it.
    std::string requestName;
    base::ServiceName service;
    base::LeafId leaf;
    base::ShardId shard;
    base::CustomerName customer;
    base::OperationName operation;
    contracts::Priority priority = contracts::Priority::Routine;
    AttemptKind kind = AttemptKind::First;
    absl::Time deadline;
    query::Pin pin;
    std::shared_ptr<const std::string> body;
    /// Set for a request that is not idempotent.
    std::optional<std::string> ticket;
    /// Called once, on the owner's thread.
    std::function<void(LeafWorkReply)> reply;
};

} // namespace tamarackspan::daemon
