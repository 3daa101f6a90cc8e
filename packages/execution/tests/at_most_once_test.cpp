#include "at_most_once_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using namespace tamarackspan::execution;
using test::Placement;
using test::simulateRequests;
using test::Verdict;

constexpr auto steps = 400;
constexpr auto seeds = std::uint64_t{200};

/// Sums the results of the model over a fixed range of seeds.
auto playAll(Placement placement, const Safeguards &safeguards) -> Verdict
{
    auto sum = Verdict();
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        const auto one = simulateRequests(placement, safeguards, seed, steps);
        sum.requests += one.requests;
        sum.ranOnce += one.ranOnce;
        sum.ranTwice += one.ranTwice;
        sum.falseNotRun += one.falseNotRun;
        sum.wrongBody += one.wrongBody;
        sum.unknownOutcomes += one.unknownOutcomes;
    }
    return sum;
}

TEST(AtMostOnce, HoldsUnderRetriesLostRepliesKillsPausesAndTwoViews)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        const auto verdict = simulateRequests(Placement::Tickets, {}, seed, steps);
        RC_ASSERT(verdict.ranTwice == 0U);
        RC_ASSERT(verdict.falseNotRun == 0U);
        RC_ASSERT(verdict.wrongBody == 0U);
    }));
    const auto sum = playAll(Placement::Tickets, {});
    EXPECT_EQ(sum.ranTwice + sum.falseNotRun + sum.wrongBody, 0U);
    EXPECT_GT(sum.ranOnce, sum.requests / 2);
}

TEST(AtMostOnce, FailsWhenOtherHostsTakeOverTickets)
{
    EXPECT_GT(playAll(Placement::Tickets, {.onlyIssuerRuns = false}).ranTwice, 0U);
}

TEST(AtMostOnce, FailsWhenTicketsAreNotVerified)
{
    EXPECT_GT(playAll(Placement::Tickets, {.verifyTickets = false}).ranTwice, 0U);
}

TEST(AtMostOnce, FailsWhenTheBodyIsNotPinned)
{
    EXPECT_GT(playAll(Placement::Tickets, {.pinBody = false}).wrongBody, 0U);
}

TEST(NotRun, IsFalseWhenTimeMayStepBack)
{
    EXPECT_GT(playAll(Placement::Tickets, {.monotonicTime = false}).falseNotRun, 0U);
}

TEST(NotRun, IsFalseWhenOutcomesAreForgottenBeforeTheirTicketsAre)
{
    EXPECT_GT(playAll(Placement::Tickets, {.retainPastExpiry = false}).falseNotRun, 0U);
}

TEST(HashedKey, RunsTwiceUnderTwoViewsOfTheHostList)
{
    EXPECT_GT(playAll(Placement::HashedKey, {}).ranTwice, 0U);
}

} // namespace
