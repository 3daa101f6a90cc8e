#include "tamarackspan/gateway/decisions/forwarding_decision.h"

#include <gtest/gtest.h>

#include <vector>

namespace {

using namespace tamarackspan::gateway;

const auto now = absl::UnixEpoch() + absl::Hours(1);

TEST(Forwarding, GoesToTheHostWithTheFewestQueriesInTurn)
{
    auto hosts = std::vector<NeighbourCondition>(3);
    EXPECT_EQ(chooseNeighbour(hosts, 0, now), 0);
    EXPECT_EQ(chooseNeighbour(hosts, 4, now), 1);
    hosts[1].inFlight = 2;
    hosts[2].inFlight = 1;
    EXPECT_EQ(chooseNeighbour(hosts, 1, now), 0);
}

TEST(Forwarding, AvoidsHostsThatDidNotAnswer)
{
    auto hosts = std::vector<NeighbourCondition>(2);
    hosts[0].avoidUntil = now + absl::Milliseconds(1);
    EXPECT_EQ(chooseNeighbour(hosts, 0, now), 1);
    hosts[1].avoidUntil = now + absl::Seconds(1);
    EXPECT_EQ(chooseNeighbour(hosts, 0, now), std::nullopt);
    EXPECT_EQ(chooseNeighbour(hosts, 0, now + absl::Milliseconds(1)), 0);
    EXPECT_EQ(chooseNeighbour({}, 0, now), std::nullopt);
}

TEST(Forwarding, MayBeRepeatedIfTheQueryWasNeverSent)
{
    EXPECT_TRUE(mayForwardAgain({}, now));
}

TEST(Forwarding, MayBeRepeatedEarlyAndWithinTheAttempts)
{
    const auto query = ForwardedQuery{.sentAt = now, .repeatable = true, .attempts = 2};
    EXPECT_TRUE(mayForwardAgain(query, now + absl::Milliseconds(20)));
    EXPECT_FALSE(mayForwardAgain(query, now + absl::Milliseconds(21)));
    auto used = query;
    used.attemptsUsed = 1;
    EXPECT_FALSE(mayForwardAgain(used, now));
    auto once = query;
    once.repeatable = false;
    EXPECT_FALSE(mayForwardAgain(once, now));
}

TEST(Forwarding, IsNotRepeatedOnceAcknowledged)
{
    EXPECT_FALSE(mayForwardAgain({.acknowledged = true, .repeatable = true, .attempts = 5}, now));
}

} // namespace
