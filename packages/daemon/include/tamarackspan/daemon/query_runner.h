#pragma once

#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/daemon/caller_query.h"
#include "tamarackspan/daemon/control_view.h"
#include "tamarackspan/daemon/host_identity.h"
#include "tamarackspan/daemon/leaf_dispatcher.h"
#include "tamarackspan/query/query_machine.h"
#include "tamarackspan/transport/event_loop.h"
#include "tamarackspan/transport/peer_links.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace tamarackspan::daemon {

/// The entry role for sharded queries on one traffic thread: fans out, hedges, merges and answers.
class QueryRunner
{
public:
    /// `firstQuery` is the number before that of the first query; numbers are unique within the process.
    QueryRunner(transport::EventLoop &loop, HostIdentity identity, transport::PeerLinks &links, LeafDispatcher leafs, Accounting &accounting,
                std::uint64_t firstQuery);
    ~QueryRunner();
    QueryRunner(const QueryRunner &) = delete;
    auto operator=(const QueryRunner &) -> QueryRunner & = delete;

    /// Uses a new view from now on; running queries keep the snapshot that they pinned.
    auto updateView(ControlViewPtr newView) -> void;

    /// Runs a query and answers its caller.
    auto start(CallerQuery query) -> void;

    /// Handles an owner's reply to one attempt.
    auto onLeafReply(const wire::LeafReplyT &reply) -> void;

    /// Fails the attempts that were sent on a link that was lost.
    auto onLinkDown(const transport::LinkPtr &link) -> void;

    /// Returns how many queries are running.
    [[nodiscard]] auto running() const noexcept -> std::size_t;

private:
    struct ServiceState;
    struct AttemptRecord;
    struct RunningQuery;
    /// One owner of one leaf.
    struct OwnerOfLeaf
    {
        base::LeafId leaf;
        base::HostId owner;

        friend auto operator==(const OwnerOfLeaf &, const OwnerOfLeaf &) -> bool = default;

        template<typename H>
        friend auto AbslHashValue(H state, const OwnerOfLeaf &place) -> H
        {
            return H::combine(std::move(state), place.leaf, place.owner);
        }
    };
    using RunningPtr = std::shared_ptr<RunningQuery>;

    auto serviceState(const base::ServiceName &service) -> ServiceState &;
    auto contextOf(RunningQuery &query) -> query::QueryContext;
    auto perform(const RunningPtr &query, const std::vector<query::Action> &actions) -> void;
    auto send(const RunningPtr &query, const query::SendAttempt &attempt) -> void;
    static auto kindOf(const RunningQuery &query, const query::SendAttempt &attempt) -> AttemptKind;
    [[nodiscard]] auto ownersToTry(const RunningQuery &query, const base::LeafId &leaf) const -> std::vector<base::HostId>;
    auto noteEnded(AttemptRecord &place) -> void;
    auto sendToNextOwner(const RunningPtr &query, base::AttemptId attempt) -> bool;
    auto sendLocal(const RunningPtr &query, base::AttemptId attempt) -> void;
    auto flushBatches(RunningQuery &query) -> void;
    auto failLater(std::uint64_t query, base::AttemptId attempt, base::ShardId shard) -> void;
    auto cancel(RunningQuery &query, const query::CancelAttempt &attempt) -> void;
    auto deliver(std::uint64_t query, base::AttemptId attempt, base::ShardId shard, LeafWorkReply reply) -> void;
    /// Returns, for the log, how each attempt without rows ended.
    [[nodiscard]] static auto describeAttempts(const RunningQuery &query) -> std::string;
    auto finish(const RunningPtr &query, const query::Finish &finish) -> void;
    auto rearm(const RunningPtr &query) -> void;
    auto onTimer(std::uint64_t query) -> void;
    auto onCallerDisconnected(std::uint64_t query) -> void;

    transport::EventLoop &loop;
    HostIdentity identity;
    transport::PeerLinks &links;
    LeafDispatcher leafs;
    Accounting &accounting;
    std::uint64_t lastQuery;
    base::Random random;
    ControlViewPtr view;
    absl::flat_hash_map<base::ServiceName, std::unique_ptr<ServiceState>> services;
    absl::flat_hash_map<costs::CostKey, query::ExtraLoadBudget> extraLoads;
    absl::flat_hash_map<std::uint64_t, RunningPtr> queries;
    /// This thread's requests in flight, by leaf and owner.
    absl::flat_hash_map<OwnerOfLeaf, std::uint32_t> inFlight;
};

} // namespace tamarackspan::daemon
