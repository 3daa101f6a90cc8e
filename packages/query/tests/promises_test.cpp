#include "query_world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace {

using tamarackspan::query::QueryChecks;
using tamarackspan::query::tests::QueryWorld;
using tamarackspan::query::tests::Violations;

constexpr auto worlds = std::uint64_t{500};
constexpr auto queriesPerWorld = std::uint32_t{20};

/// Sums up the violations over 500 simulated deployments with the given checks.
auto violationsOf(QueryChecks checks) -> Violations
{
    auto sum = Violations{};
    for (auto seed = std::uint64_t{0}; seed < worlds; ++seed) {
        const auto found = QueryWorld{seed, checks}.run(queriesPerWorld);
        sum.snapshot += found.snapshot;
        sum.coverage += found.coverage;
        sum.finish += found.finish;
        sum.attemptIds += found.attemptIds;
        sum.extraLoad += found.extraLoad;
    }
    return sum;
}

TEST(QueryPromises, HoldInAnyOrderOfReplies)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        const auto queries = *rc::gen::inRange<std::uint32_t>(1, 100);
        RC_ASSERT(QueryWorld(seed, {}).run(queries) == Violations{});
    }));
    EXPECT_EQ(violationsOf({}), Violations{});
}

TEST(QueryPromises, AreExercised)
{
    auto complete = std::uint32_t{0};
    auto restarts = std::uint32_t{0};
    for (auto seed = std::uint64_t{0}; seed < worlds; ++seed) {
        auto world = QueryWorld{seed, {}};
        static_cast<void>(world.run(queriesPerWorld));
        complete += world.completeAnswers;
        restarts += world.restarts;
    }
    EXPECT_GT(complete, 1000U);
    EXPECT_GT(restarts, 100U);
}

TEST(QueryPromises, SnapshotIsMixedWithoutThePinCheck)
{
    auto checks = QueryChecks{};
    checks.pin = false;
    EXPECT_GT(violationsOf(checks).snapshot, 0U);
}

TEST(QueryPromises, CoverageIsFalseWithoutTheAttemptCheck)
{
    auto checks = QueryChecks{};
    checks.attempt = false;
    EXPECT_GT(violationsOf(checks).coverage, 0U);
}

TEST(QueryPromises, ExtraLoadIsExceededWithoutTheBudget)
{
    auto checks = QueryChecks{};
    checks.extraLoad = false;
    EXPECT_GT(violationsOf(checks).extraLoad, 0U);
}

} // namespace
