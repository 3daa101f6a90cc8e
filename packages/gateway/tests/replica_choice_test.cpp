#include "tamarackspan/gateway/decisions/replica_choice.h"

#include <gtest/gtest.h>

#include <vector>

namespace {

using namespace tamarackspan::gateway;

const auto now = absl::UnixEpoch() + absl::Hours(1);

TEST(ReplicaChoice, PrefersTheOwnDataCentreAmongEqualLeafs)
{
    const auto candidates = std::vector<ReplicaCandidate>{{}, {.sameDataCentre = true}};
    EXPECT_EQ(chooseReplica(candidates, 0, now), 1);
}

TEST(ReplicaChoice, UsesARemoteLeafOnlyIfItIsHalfAsBusy)
{
    auto near = ReplicaCandidate{.slots = 2, .sameDataCentre = true};
    auto far = ReplicaCandidate{.slots = 2};
    near.condition.inFlight = 1;
    EXPECT_EQ(chooseReplica(std::vector<ReplicaCandidate>{near, far}, 0, now), 0);
    near.condition.inFlight = 2;
    EXPECT_EQ(chooseReplica(std::vector<ReplicaCandidate>{near, far}, 0, now), 1);
}

TEST(ReplicaChoice, RotatesAmongEqualLeafs)
{
    const auto candidates = std::vector<ReplicaCandidate>(3);
    EXPECT_EQ(chooseReplica(candidates, 0, now), 0);
    EXPECT_EQ(chooseReplica(candidates, 1, now), 1);
    EXPECT_EQ(chooseReplica(candidates, 5, now), 2);
}

TEST(ReplicaChoice, AvoidsAPausedLeafUntilItAnswersAsUsual)
{
    auto paused = ReplicaCandidate{.sameDataCentre = true};
    paused.condition = afterOverdueRequest(paused.condition, 3.0, now);
    auto candidates = std::vector<ReplicaCandidate>{paused, {}};
    EXPECT_EQ(chooseReplica(candidates, 0, now), 1);
    for (auto count = 0; count < 4; ++count) {
        candidates[0].condition = afterAnswer(candidates[0].condition, 1.0, now);
    }
    EXPECT_EQ(chooseReplica(candidates, 0, now), 0);
}

TEST(ReplicaChoice, UsesASuspectedLeafWhenNoOtherIsLeft)
{
    auto paused = ReplicaCandidate{};
    paused.condition = afterOverdueRequest(paused.condition, 3.0, now);
    const auto candidates = std::vector<ReplicaCandidate>{paused, {.excluded = true}};
    EXPECT_EQ(chooseReplica(candidates, 0, now), 0);
}

TEST(ReplicaChoice, ReturnsNothingWhenAllAreExcluded)
{
    const auto candidates = std::vector<ReplicaCandidate>{{.excluded = true}, {.excluded = true}};
    EXPECT_EQ(chooseReplica(candidates, 0, now), std::nullopt);
    EXPECT_EQ(chooseReplica({}, 0, now), std::nullopt);
}

TEST(ReplicaChoice, SendsLessToALeafThatFailsSomeRequests)
{
    auto failing = LeafCondition{};
    for (auto count = 0; count < 4; ++count) {
        failing = afterFailure(failing, now);
        failing = afterAnswer(failing, 1.0, now);
    }
    EXPECT_GT(replicaCost({.condition = failing}, now), replicaCost({}, now) + 0.5);
}

// One of a shard's two leafs was slow or failing for a while and has recovered: only a request can show it.
TEST(ReplicaChoice, ALeafThatWasSlowOrFailedIsAskedAgainAfterSomeSeconds)
{
    auto slow = LeafCondition{};
    auto failing = LeafCondition{};
    for (auto count = 0; count < 12; ++count) {
        slow = afterAnswer(slow, 7.0, now);
        failing = afterFailure(failing, now);
    }
    for (const auto &condition : {slow, failing}) {
        // The other leaf is in another data centre, so that this one is the better choice once its record has faded.
        const auto candidates = std::vector<ReplicaCandidate>{{.condition = condition, .sameDataCentre = true}, {}};
        EXPECT_EQ(chooseReplica(candidates, 0, now), 1);
        EXPECT_EQ(chooseReplica(candidates, 0, now + absl::Seconds(12)), 0);
    }
}

// A host has just restarted: two of a shard's three leafs still count the connections of its previous start and close each new one.
TEST(ReplicaChoice, ALeafThatClosesNewConnectionsIsAvoidedFromTheFirst)
{
    auto candidates = std::vector<ReplicaCandidate>(3);
    auto lost = 0;
    for (auto request = std::size_t{0}; request < 30; ++request) {
        const auto at = now + absl::Milliseconds(20) * static_cast<double>(request);
        const auto chosen = *chooseReplica(candidates, request, at);
        auto &condition = candidates[chosen].condition;
        condition = chosen < 2 ? afterLostConnection(condition, at) : afterAnswer(condition, 1.0, at);
        lost += chosen < 2 ? 1 : 0;
    }
    EXPECT_LE(lost, 5);
    EXPECT_EQ(afterFailure(LeafCondition{}, now).suspectUntil, absl::InfinitePast());
}

TEST(ReplicaChoice, SuspicionGrowsWithEachOverdueRequestAndIsBounded)
{
    auto condition = LeafCondition{};
    auto before = absl::ZeroDuration();
    for (auto count = 0; count < 8; ++count) {
        condition.suspectUntil = absl::InfinitePast();
        condition = afterOverdueRequest(condition, 3.0, now);
        EXPECT_GE(condition.suspectUntil - now, before);
        before = condition.suspectUntil - now;
    }
    EXPECT_EQ(before, absl::Seconds(2));
}

TEST(ReplicaChoice, OneSlowAnswerDoesNotExcludeALeafForGood)
{
    auto condition = afterAnswer(LeafCondition{}, 1e9, now);
    for (auto count = 0; count < 20; ++count) {
        condition = afterAnswer(condition, 1.0, now);
    }
    EXPECT_NEAR(condition.slowness, 1.0, 0.05);
}

} // namespace
