#pragma once

#include "tamarackspan/query/query_machine.h"

#include <map>
#include <string>
#include <vector>

namespace tamarackspan::query::tests {

/// Returns a service of `shards` shards with `replicas` leafs each.
[[nodiscard]] inline auto makeService(std::uint32_t shards, std::uint32_t replicas, std::vector<base::IndexVersion> versions) -> contracts::Service
{
    auto service = contracts::Service{base::ServiceName{"s"}, base::DataCentre{"dc"}, "test", std::move(versions), 4, {}, {}};
    for (auto i = std::uint32_t{0}; i < shards; ++i) {
        auto shard = contracts::Shard{base::ShardId{i}, {}};
        for (auto r = std::uint32_t{0}; r < replicas; ++r) {
            const auto id = base::LeafId{"leaf-" + std::to_string(i) + "-" + std::to_string(r)};
            shard.replicas.push_back(id);
            service.leafs.emplace(id, contracts::Leaf{id, "127.0.0.1", 1, 2, 25, false});
        }
        service.shards.push_back(shard);
    }
    return service;
}

/// Number of violated guarantees, by kind.
struct Violations
{
    std::uint32_t snapshot = 0;
    std::uint32_t coverage = 0;
    std::uint32_t finish = 0;
    std::uint32_t attemptIds = 0;
    std::uint32_t extraLoad = 0;

    friend auto operator==(const Violations &, const Violations &) -> bool = default;
};

/// Runs queries against leafs whose replies are late, duplicated, mixed up, partial, from other snapshots or missing, while versions switch and shards move. It
/// keeps its own record of the rows that each reply actually carried, and judges each answer by that record alone.
class QueryWorld
{
public:
    QueryWorld(std::uint64_t seed, QueryChecks checks)
        : random(seed),
          budget(makeExtraLoadBudget(100, 4)),
          checks(checks),
          shardCount(static_cast<std::uint32_t>(1 + random.below(6))),
          replicaCount(static_cast<std::uint32_t>(1 + random.below(3))),
          oldView(makeView(1, shardCount, {base::IndexVersion{2}, base::IndexVersion{1}})),
          newView(makeView(2, shardCount + 1, {base::IndexVersion{3}, base::IndexVersion{2}}))
    {
    }

    /// Runs `queries` queries one after the other and returns the violations.
    auto run(std::uint32_t queries) -> Violations
    {
        for (auto i = std::uint32_t{0}; i < queries; ++i) {
            this->runQuery();
        }
        const auto allowed = 0.1 * this->firsts + 4 + this->shardCount + 1;
        this->found.extraLoad += this->extras > allowed + this->declined ? 1 : 0;
        return this->found;
    }

    std::uint32_t completeAnswers = 0;
    std::uint32_t restarts = 0;

private:
    /// A reply in flight, with the actual origin of its rows.
    struct Pending
    {
        LeafReply reply;
        base::ShardId rowsShard;
        Pin rowsPin;
    };

    [[nodiscard]] auto makeView(std::uint64_t generation, std::uint32_t shards, std::vector<base::IndexVersion> versions) const
        -> std::shared_ptr<const ServiceView>
    {
        return std::make_shared<const ServiceView>(ServiceView{base::Revision{generation}, makeService(shards, this->replicaCount, std::move(versions))});
    }

    auto chance(std::uint32_t percent) -> bool
    {
        return this->random.below(100) < percent;
    }

    auto leafPin(const Pin &asked) -> Pin
    {
        return this->chance(80) ? asked : Pin{base::IndexVersion{1 + this->random.below(3)}, base::Revision{1 + this->random.below(2)}};
    }

    auto schedule(const SendAttempt &sent, const QueryState &state) -> void
    {
        const auto pin = this->leafPin(state.pin);
        auto reply = LeafReply{sent.attempt, sent.shard, LeafOutcome::Complete, pin, {}, this->chance(3)};
        if (this->chance(30)) {
            static constexpr auto outcomes =
                std::array{LeafOutcome::Partial, LeafOutcome::NotHeld, LeafOutcome::Shed, LeafOutcome::Draining, LeafOutcome::TimedOut, LeafOutcome::Failed};
            reply.outcome = outcomes.at(this->random.below(outcomes.size()));
        }
        if (this->chance(50)) {
            reply.heldVersions = {pin.indexVersion};
        }
        auto rowsShard = sent.shard;
        if (this->chance(10)) {
            rowsShard = base::ShardId{static_cast<std::uint32_t>(this->random.below(this->shardCount + 1))};
            reply.shard = rowsShard;
        }
        if (this->chance(5)) {
            reply.attempt = base::AttemptId{static_cast<std::uint32_t>(this->random.below(2 * state.attempts.size()))};
        }
        const auto copies = this->chance(10) ? 0U : (this->chance(15) ? 2U : 1U);
        for (auto i = std::uint32_t{0}; i < copies; ++i) {
            const auto at = this->now + absl::Milliseconds(this->random.below(this->chance(10) ? 200 : 20));
            this->pending.emplace(at, Pending{reply, rowsShard, pin});
        }
    }

    auto take(const std::vector<Action> &actions, const QueryState &state) -> void
    {
        for (const auto &action : actions) {
            this->found.finish += this->finished ? 1 : 0;
            if (const auto *sent = std::get_if<SendAttempt>(&action)) {
                this->found.attemptIds += this->sentShards.emplace(sent->attempt, sent->shard).second ? 0 : 1;
                (sent->extra ? this->extras : this->firsts) += 1;
                this->schedule(*sent, state);
            } else if (const auto *end = std::get_if<Finish>(&action)) {
                this->finished = true;
                this->judge(*end);
            }
        }
    }

    auto judge(const Finish &end) -> void
    {
        const auto &view = end.pin.mapGeneration == this->newView->generation ? this->newView : this->oldView;
        auto accounted = std::map<base::ShardId, std::uint32_t>{};
        for (const auto &shard : end.missing) {
            ++accounted[shard];
        }
        for (const auto &attempt : end.accepted) {
            const auto shard = this->sentShards.at(attempt);
            ++accounted[shard];
            const auto rows = this->delivered.find(attempt);
            this->found.coverage +=
                rows == this->delivered.end() || rows->second.rowsShard != shard || rows->second.reply.outcome != LeafOutcome::Complete ? 1 : 0;
            this->found.snapshot += rows != this->delivered.end() && rows->second.rowsPin != end.pin ? 1 : 0;
        }
        this->found.coverage += accounted.size() != view->service.shards.size() || end.shardsTotal != view->service.shards.size() ? 1 : 0;
        for (const auto &[shard, times] : accounted) {
            this->found.coverage += times != 1 || shard.get() >= view->service.shards.size() ? 1 : 0;
        }
        this->completeAnswers += end.missing.empty() ? 1 : 0;
    }

    auto deliver(QueryState &state, QueryContext &context, std::vector<Action> &actions) -> void
    {
        const auto next = this->pending.begin();
        const auto message = next->second;
        this->pending.erase(next);
        // The real caller keeps the rows of the last reply that it passed on for an attempt, unless the attempt was already over.
        const auto check = acceptReply(state, message.reply);
        const auto &attempt = message.reply.attempt;
        // A draining leaf ran nothing: a request that replaces the declined one adds no load.
        this->declined += check == ReplyCheck::Accepted && message.reply.outcome == LeafOutcome::Draining ? 1 : 0;
        if (check != ReplyCheck::AttemptOver || !this->checks.attempt) {
            this->delivered.insert_or_assign(attempt, message);
        }
        onReply(state, context, message.reply, this->now, actions);
    }

    auto runQuery() -> void
    {
        this->sentShards.clear();
        this->delivered.clear();
        this->pending.clear();
        this->finished = false;
        auto context = QueryContext{this->leafs, this->budget, this->random, this->chance(50) ? this->newView : this->oldView};
        auto request = QueryRequest{};
        request.view = this->oldView;
        request.deadline = this->now + absl::Milliseconds(60);
        request.belowFloor = this->chance(50) ? contracts::BelowFloor::Refuse : contracts::BelowFloor::Label;
        request.policy.checks = this->checks;
        auto actions = std::vector<Action>{};
        auto state = startQuery(request, context, this->now, actions);
        this->take(actions, state);
        while (!this->pending.empty() || !state.over) {
            actions.clear();
            const auto wake = nextWake(state);
            if (!this->pending.empty() && this->pending.begin()->first <= wake) {
                this->now = std::max(this->now, this->pending.begin()->first);
                this->deliver(state, context, actions);
            } else if (this->chance(1)) {
                onCallerDisconnected(state, context, this->now, actions);
            } else {
                this->now = std::max(this->now, wake);
                onTimer(state, context, this->now, actions);
            }
            this->take(actions, state);
        }
        this->found.finish += this->finished ? 0 : 1;
        this->restarts += state.hasRestarted ? 1 : 0;
    }

    base::Random random;
    ExtraLoadBudget budget;
    QueryChecks checks;
    std::uint32_t shardCount;
    std::uint32_t replicaCount;
    std::shared_ptr<const ServiceView> oldView;
    std::shared_ptr<const ServiceView> newView;
    routing::LeafTable leafs;
    absl::Time now = absl::UnixEpoch();
    std::multimap<absl::Time, Pending> pending;
    std::map<base::AttemptId, base::ShardId> sentShards;
    std::map<base::AttemptId, Pending> delivered;
    bool finished = false;
    std::uint32_t firsts = 0;
    std::uint32_t extras = 0;
    std::uint32_t declined = 0;
    Violations found;
};

} // namespace tamarackspan::query::tests
