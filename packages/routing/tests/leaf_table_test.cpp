#include "tamarackspan/routing/leaf_table.h"

#include <gtest/gtest.h>

#include <array>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::routing;

const auto a = base::LeafId{"a"};
const auto b = base::LeafId{"b"};
const auto shard = base::ShardId{0};
const auto replicas = std::array{a, b};
constexpr auto start = absl::UnixEpoch();

/// Returns how many of 1,000 choices select the leaf while nothing is in flight.
auto choicesOf(LeafTable &table, const base::LeafId &leaf, absl::Time now) -> int
{
    auto random = base::Random{5};
    auto count = 0;
    for (auto i = 0; i < 1000; ++i) {
        count += chooseReplica(table, replicas, {}, now, random) == leaf ? 1 : 0;
    }
    return count;
}

auto answer(LeafTable &table, const base::LeafId &leaf, absl::Duration latency, absl::Time now) -> void
{
    noteSent(table, leaf, now);
    noteAnswered(table, leaf, shard, latency, now);
}

auto fail(LeafTable &table, const base::LeafId &leaf, absl::Time now) -> void
{
    noteSent(table, leaf, now);
    noteFailed(table, leaf, shard, absl::Milliseconds(1), now);
}

TEST(LatencyHistogram, QuantileIsRightToWithinABucket)
{
    auto histogram = LatencyHistogram{};
    for (auto i = 1; i <= 1000; ++i) {
        histogram.add(absl::Milliseconds(i));
    }
    EXPECT_NEAR(absl::ToDoubleMilliseconds(histogram.quantile(0.5)), 500, 100);
    EXPECT_NEAR(absl::ToDoubleMilliseconds(histogram.quantile(0.95)), 950, 190);
    EXPECT_EQ(LatencyHistogram{}.quantile(0.5), absl::ZeroDuration());
}

TEST(LatencyHistogram, CensoredSamplesRaiseTheQuantile)
{
    auto histogram = LatencyHistogram{};
    for (auto i = 0; i < 100; ++i) {
        histogram.add(absl::Milliseconds(i < 50 ? 1 : 10));
    }
    EXPECT_LT(histogram.quantile(0.4), absl::Milliseconds(2));
    for (auto i = 0; i < 100; ++i) {
        histogram.addCensored(absl::Milliseconds(2));
    }
    EXPECT_GT(histogram.quantile(0.4), absl::Milliseconds(8));
}

TEST(LeafTable, PrefersTheFasterAndTheLessLoaded)
{
    auto table = LeafTable{};
    answer(table, a, absl::Milliseconds(2), start);
    answer(table, b, absl::Milliseconds(20), start);
    EXPECT_EQ(choicesOf(table, a, start), 1000);
    for (auto i = 0; i < 20; ++i) {
        noteSent(table, a, start);
    }
    EXPECT_EQ(choicesOf(table, a, start), 0);
}

TEST(LeafTable, ForgetsAnOldLatencySoThatARecoveredLeafIsTriedAgain)
{
    auto table = LeafTable{};
    for (auto i = 0; i < 100; ++i) {
        answer(table, a, absl::Milliseconds(2), start);
    }
    answer(table, b, absl::Milliseconds(20), start);
    const auto later = start + absl::Minutes(10);
    noteSent(table, a, later);
    EXPECT_EQ(choicesOf(table, b, later), 1000);
}

TEST(LeafTable, EjectsAfterFailuresInARowAndProbesWithGrowingDelay)
{
    auto table = LeafTable{};
    answer(table, a, absl::Milliseconds(1), start);
    for (auto i = 0; i < 3; ++i) {
        fail(table, b, start);
    }
    EXPECT_EQ(choicesOf(table, b, start + absl::Milliseconds(999)), 0);
    const auto probe = start + absl::Seconds(1);
    EXPECT_EQ(choicesOf(table, b, probe), 1000);
    noteSent(table, b, probe);
    EXPECT_EQ(choicesOf(table, b, probe), 0);
    noteFailed(table, b, shard, absl::Milliseconds(1), probe);
    EXPECT_EQ(choicesOf(table, b, probe + absl::Milliseconds(1999)), 0);
    EXPECT_EQ(choicesOf(table, b, probe + absl::Seconds(2)), 1000);
}

TEST(LeafTable, NeverEjectsMoreThanHalfOfTheReplicas)
{
    auto table = LeafTable{};
    for (auto i = 0; i < 3; ++i) {
        fail(table, a, start);
        fail(table, b, start);
    }
    EXPECT_EQ(choicesOf(table, a, start) + choicesOf(table, b, start), 1000);
}

TEST(LeafTable, EjectsALeafWhoseAnswersAreAlwaysOverdue)
{
    auto table = LeafTable{};
    for (auto i = 0; i < 5; ++i) {
        noteSent(table, b, start);
        noteCancelled(table, b, shard, absl::Milliseconds(9), true, start);
    }
    EXPECT_EQ(choicesOf(table, b, start), 0);
}

TEST(LeafTable, ReturningLeafStartsSlowly)
{
    auto table = LeafTable{};
    answer(table, a, absl::Milliseconds(1), start);
    for (auto i = 0; i < 3; ++i) {
        fail(table, b, start);
    }
    const auto back = start + absl::Seconds(2);
    answer(table, b, absl::Milliseconds(1), back);
    EXPECT_EQ(choicesOf(table, b, back), 0);
    for (auto i = 0; i < 30; ++i) {
        noteSent(table, a, back);
    }
    EXPECT_EQ(choicesOf(table, b, back), 1000);
}

TEST(LeafTable, ReportedDrainingTakesEffectAtOnceAndStatusRevokesItOnlyLate)
{
    auto table = LeafTable{};
    noteReplyStatus(table, b, true, {}, start);
    noteReplyStatus(table, b, false, {}, start);
    noteEndpointStatus(table, b, false, false, start + absl::Seconds(1));
    EXPECT_EQ(choicesOf(table, b, start + absl::Seconds(1)), 0);
    noteEndpointStatus(table, b, false, false, start + absl::Seconds(31));
    EXPECT_FALSE(isLeaving(table, b));
}

TEST(LeafTable, PublishedLeavingAndExcludedLeafsAreNeverChosen)
{
    auto service = contracts::Service{};
    service.leafs.emplace(a, contracts::Leaf{a, "127.0.0.1", 1, 2, 25, true});
    service.leafs.emplace(b, contracts::Leaf{b, "127.0.0.1", 2, 2, 25, false});
    auto table = LeafTable{};
    updateService(table, service, start);
    EXPECT_EQ(choicesOf(table, a, start), 0);
    auto random = base::Random{1};
    EXPECT_EQ(chooseReplica(table, replicas, std::array{b}, start, random), std::nullopt);
}

TEST(LeafTable, HealthHintAloneNeitherExcludesNorAdmits)
{
    auto table = LeafTable{};
    answer(table, a, absl::Milliseconds(20), start);
    answer(table, b, absl::Milliseconds(2), start);
    noteEndpointStatus(table, b, true, true, start);
    EXPECT_EQ(choicesOf(table, b, start), 1000);
}

} // namespace
