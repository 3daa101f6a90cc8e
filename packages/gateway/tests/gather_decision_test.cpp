#include "tamarackspan/gateway/decisions/gather_decision.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan::gateway;
using Action = GatherDecision::Action;

const auto start = absl::UnixEpoch();

auto at(int millis) -> absl::Time
{
    return start + absl::Milliseconds(millis);
}

auto shardsWith(std::size_t total, std::size_t in) -> std::vector<ShardView>
{
    auto shards = std::vector<ShardView>(total);
    for (auto place = std::size_t{0}; place < in; ++place) {
        shards[place].answered = true;
    }
    return shards;
}

const auto options = GatherOptions{.objectiveAt = at(190), .deadlineAt = at(3000), .coverageFloor = 0.85};

TEST(ServableFrom, IsWhenEnoughServicesAcceptRequestsAgain)
{
    const auto never = absl::InfiniteFuture();
    EXPECT_EQ(servableFrom({}, 0.5), never);
    EXPECT_EQ(servableFrom(std::vector{at(0)}, 1.0), at(0));
    EXPECT_EQ(servableFrom(std::vector{at(900), at(0), at(700), at(800)}, 0.75), at(800));
    EXPECT_EQ(servableFrom(std::vector{never, at(0), never, at(800)}, 0.75), never);
}

TEST(GatherDecision, AnswersOnceAllShardsHaveAnswered)
{
    EXPECT_EQ(decideGather(options, shardsWith(20, 20), at(30)).action, Action::Answer);
}

TEST(GatherDecision, WaitsForAMoreCompleteAnswerBeforeTheObjective)
{
    const auto decision = decideGather(options, shardsWith(20, 19), at(30));
    EXPECT_EQ(decision.action, Action::Wait);
    EXPECT_EQ(decision.nextAt, at(190));
}

TEST(GatherDecision, AnswersIncompletelyAtTheObjective)
{
    EXPECT_EQ(decideGather(options, shardsWith(20, 17), at(190)).action, Action::Answer);
}

TEST(GatherDecision, WaitsBeyondTheObjectiveForTheFloor)
{
    const auto decision = decideGather(options, shardsWith(20, 16), at(190));
    EXPECT_EQ(decision.action, Action::Wait);
    EXPECT_EQ(decision.nextAt, at(3000));
}

TEST(GatherDecision, FailsAtOnceWhenTheFloorCannotBeReached)
{
    auto shards = shardsWith(20, 0);
    for (auto place = std::size_t{0}; place < 4; ++place) {
        shards[place].failed = true;
    }
    EXPECT_EQ(decideGather(options, shards, at(1)).action, Action::Fail);
}

TEST(GatherDecision, TimesOutAtTheDeadline)
{
    EXPECT_EQ(decideGather(options, shardsWith(20, 16), at(3000)).action, Action::TimeOut);
}

TEST(GatherDecision, HedgesOnlyWhatIsDueAndMayBeHedged)
{
    auto shards = shardsWith(20, 17);
    shards[17] = {.canHedge = true, .hedgeAt = at(60)};
    shards[18] = {.canHedge = false, .hedgeAt = at(60)};
    shards[19] = {.canHedge = true, .hedgeAt = at(90)};
    const auto decision = decideGather(options, shards, at(60));
    EXPECT_EQ(decision.hedges, std::vector<std::size_t>{17});
    EXPECT_EQ(decision.nextAt, at(90));
}

TEST(GatherDecision, FloorHoldsForSharesThatRoundBadly)
{
    EXPECT_TRUE(reachesFloor(17, 20, 0.85));
    EXPECT_FALSE(reachesFloor(16, 20, 0.85));
    EXPECT_FALSE(reachesFloor(0, 20, 0.0));
}

} // namespace
