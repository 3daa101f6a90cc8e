#include "query_world.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::query;

constexpr auto start = absl::UnixEpoch();

/// A query over a small service; the test calls the state machine step by step.
struct Fixture
{
    explicit Fixture(std::uint32_t shards, std::uint32_t replicas = 2)
    {
        this->request.view = std::make_shared<const ServiceView>(
            ServiceView{base::Revision{7}, tests::makeService(shards, replicas, {base::IndexVersion{42}, base::IndexVersion{41}})});
        this->request.deadline = start + absl::Milliseconds(90);
    }

    auto begin() -> void
    {
        this->state = startQuery(this->request, this->context, start, this->actions);
    }

    auto reply(std::uint32_t attempt, LeafOutcome outcome, std::vector<base::IndexVersion> held = {}) -> void
    {
        const auto shard = this->state.attempts[attempt].shardIndex;
        auto message = LeafReply{base::AttemptId{attempt}, base::ShardId{shard}, outcome, this->state.pin, std::move(held), false};
        onReply(this->state, this->context, message, this->now, this->actions);
    }

    auto timer(absl::Time at) -> void
    {
        this->now = at;
        onTimer(this->state, this->context, at, this->actions);
    }

    /// The last action, which must be the Finish.
    [[nodiscard]] auto end() const -> const Finish &
    {
        return std::get<Finish>(this->actions.back());
    }

    routing::LeafTable leafs;
    ExtraLoadBudget budget = makeExtraLoadBudget(1000, 10);
    base::Random random{1};
    QueryContext context{leafs, budget, random, nullptr};
    QueryRequest request;
    std::vector<Action> actions;
    QueryState state;
    absl::Time now = start;
};

TEST(QueryMachine, AnswersCompletelyWhenEachShardAnswered)
{
    auto query = Fixture{2};
    query.begin();
    EXPECT_EQ(query.actions.size(), 2U);
    query.reply(1, LeafOutcome::Complete);
    EXPECT_EQ(query.actions.size(), 2U);
    query.reply(0, LeafOutcome::Complete);
    EXPECT_EQ(query.end(), (Finish{{base::IndexVersion{42}, base::Revision{7}}, {base::AttemptId{0}, base::AttemptId{1}}, 2, {}, false}));
    EXPECT_EQ(nextWake(query.state), absl::InfiniteFuture());
}

TEST(QueryMachine, ServiceWithoutShardsFinishesAtOnce)
{
    auto query = Fixture{0};
    query.begin();
    EXPECT_EQ(query.end().shardsTotal, 0U);
    EXPECT_FALSE(query.end().refused);
}

TEST(QueryMachine, HedgesOnAnotherReplicaAndCancelsTheLoser)
{
    auto query = Fixture{1};
    query.begin();
    query.timer(nextWake(query.state));
    const auto &hedge = std::get<SendAttempt>(query.actions.back());
    EXPECT_TRUE(hedge.extra);
    EXPECT_NE(hedge.leaf, query.state.attempts[0].leaf);
    query.reply(1, LeafOutcome::Complete);
    EXPECT_EQ(query.actions[2], Action(CancelAttempt{base::AttemptId{0}, query.state.attempts[0].leaf}));
    EXPECT_EQ(query.end().accepted, std::vector{base::AttemptId{1}});
    EXPECT_EQ(query.leafs.leafs[query.state.attempts[0].leaf].inFlight, 0U);
}

TEST(QueryMachine, HedgesAtTheLearnedQuantileOfTheShard)
{
    auto query = Fixture{1};
    for (auto i = 0; i < 100; ++i) {
        query.leafs.shards[base::ShardId{0}].add(absl::Milliseconds(i < 96 ? 2 : 30));
    }
    query.begin();
    EXPECT_GT(nextWake(query.state), start + absl::Milliseconds(1.9));
    EXPECT_LT(nextWake(query.state), start + absl::Milliseconds(2.5));
}

TEST(QueryMachine, PartialAnswerIsRetriedAndElseCountsAsMissing)
{
    auto query = Fixture{1};
    query.begin();
    query.reply(0, LeafOutcome::Partial);
    EXPECT_TRUE(std::get<SendAttempt>(query.actions.back()).extra);
    query.reply(1, LeafOutcome::Partial);
    EXPECT_EQ(query.end().missing, std::vector{base::ShardId{0}});
    EXPECT_TRUE(query.end().accepted.empty());
}

TEST(QueryMachine, RetriesOnlyWithinTheBudget)
{
    auto query = Fixture{1};
    query.budget = makeExtraLoadBudget(0, 10);
    query.begin();
    query.reply(0, LeafOutcome::Shed);
    EXPECT_EQ(query.end().missing.size(), 1U);
}

TEST(QueryMachine, LabelsAnIncompleteAnswerAtTheDeadline)
{
    auto query = Fixture{2};
    query.begin();
    query.reply(0, LeafOutcome::Complete);
    query.timer(query.request.deadline);
    EXPECT_EQ(query.end().missing, std::vector{base::ShardId{1}});
    EXPECT_FALSE(query.end().refused);
}

TEST(QueryMachine, RefusesAtOnceWhenTheFloorIsOutOfReach)
{
    auto query = Fixture{3, 1};
    query.request.belowFloor = contracts::BelowFloor::Refuse;
    query.request.coverageFloorPermille = 600;
    query.begin();
    query.reply(0, LeafOutcome::Shed);
    EXPECT_FALSE(query.state.over);
    query.reply(1, LeafOutcome::Shed);
    EXPECT_TRUE(query.end().refused);
    EXPECT_EQ(query.end().missing.size(), 3U);
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(query.actions[query.actions.size() - 2]));
}

TEST(QueryMachine, StartsAgainOnceOnASnapshotThatLeafsSayTheyHold)
{
    auto query = Fixture{2};
    query.begin();
    EXPECT_EQ(query.state.pin.indexVersion, base::IndexVersion{42});
    query.reply(1, LeafOutcome::Complete);
    query.reply(0, LeafOutcome::NotHeld, {base::IndexVersion{41}});
    query.reply(2, LeafOutcome::NotHeld, {base::IndexVersion{41}});
    EXPECT_EQ(query.state.pin.indexVersion, base::IndexVersion{41});
    EXPECT_EQ(query.state.counters.restartRequests, 2U);
    query.reply(3, LeafOutcome::Complete);
    query.reply(4, LeafOutcome::Complete);
    EXPECT_EQ(query.end().pin.indexVersion, base::IndexVersion{41});
    EXPECT_EQ(query.end().accepted, (std::vector{base::AttemptId{3}, base::AttemptId{4}}));
}

TEST(QueryMachine, LateReplyOfAnEarlierSnapshotIsIgnored)
{
    auto query = Fixture{2};
    query.begin();
    query.reply(0, LeafOutcome::NotHeld, {base::IndexVersion{41}});
    query.reply(2, LeafOutcome::NotHeld, {base::IndexVersion{41}});
    query.reply(1, LeafOutcome::Complete);
    EXPECT_EQ(query.state.counters.attemptOver, 1U);
    EXPECT_EQ(query.state.covered, 0U);
}

TEST(QueryMachine, CallerThatLeftEndsAllAttempts)
{
    auto query = Fixture{2};
    query.begin();
    onCallerDisconnected(query.state, query.context, start, query.actions);
    EXPECT_EQ(query.actions.size(), 5U);
    EXPECT_EQ(query.end().missing.size(), 2U);
    query.timer(query.request.deadline);
    EXPECT_EQ(query.actions.size(), 5U);
}

TEST(QueryMachine, LeafThatReportsDrainingGetsNoNewRequests)
{
    auto query = Fixture{1};
    query.begin();
    const auto leaving = query.state.attempts[0].leaf;
    query.reply(0, LeafOutcome::Draining);
    query.reply(1, LeafOutcome::Complete);
    for (auto i = 0; i < 50; ++i) {
        query.begin();
        EXPECT_NE(query.state.attempts[0].leaf, leaving);
    }
}

TEST(ChoosePin, TakesTheNewestThatCoversTheMost)
{
    const auto view = ServiceView{base::Revision{7}, tests::makeService(2, 1, {base::IndexVersion{42}, base::IndexVersion{41}})};
    auto leafs = routing::LeafTable{};
    EXPECT_EQ(choosePin(view, leafs), (PinChoice{{base::IndexVersion{42}, base::Revision{7}}, 2}));
    leafs.leafs[base::LeafId{"leaf-0-0"}].heldVersions = {base::IndexVersion{41}};
    EXPECT_EQ(choosePin(view, leafs), (PinChoice{{base::IndexVersion{41}, base::Revision{7}}, 2}));
    leafs.leafs[base::LeafId{"leaf-1-0"}].heldVersions = {base::IndexVersion{42}};
    EXPECT_EQ(choosePin(view, leafs), (PinChoice{{base::IndexVersion{42}, base::Revision{7}}, 1}));
}

TEST(ExtraLoad, RestartMayOverdrawTheBudgetOnce)
{
    auto budget = makeExtraLoadBudget(50, 2);
    EXPECT_TRUE(spendRestart(budget, 20));
    EXPECT_FALSE(spendRestart(budget, 20));
    EXPECT_FALSE(spendExtraLoad(budget));
    creditExtraLoad(budget, 380);
    EXPECT_TRUE(spendExtraLoad(budget));
}

} // namespace
