#include "tamarackspan/gateway/decisions/store_era.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

const auto start = absl::UnixEpoch() + absl::Hours(1);
const auto settings = EraSettings();

// A store of a deployment without eras must be followed as before.
TEST(StoreEra, AStoreThatStatesNoEraIsAlwaysOfTheKnownOne)
{
    auto state = StoreEra();
    EXPECT_EQ(judgeAnswer(state, std::nullopt, start, settings), EraVerdict::Accept);
    EXPECT_EQ(judgeAnswer(state, std::nullopt, start + absl::Hours(1), settings), EraVerdict::Accept);
    EXPECT_EQ(state, StoreEra{.known = 0});
    state = {.known = 4};
    EXPECT_EQ(judgeAnswer(state, std::nullopt, start, settings), EraVerdict::Accept);
    EXPECT_EQ(state.known, 4);
}

TEST(StoreEra, ALaterEraIsSeenOnce)
{
    auto state = StoreEra{.known = 1};
    EXPECT_EQ(judgeAnswer(state, 2, start, settings), EraVerdict::Later);
    EXPECT_EQ(judgeAnswer(state, 2, start + absl::Seconds(1), settings), EraVerdict::Accept);
    EXPECT_EQ(state, (StoreEra{.known = 2, .changedAt = start}));
}

// Answers of a replica that lags behind the restore would take back what is known.
TEST(StoreEra, LowerErasAreDiscardedUntilNothingElseHasComeForLong)
{
    auto state = StoreEra{.known = 5};
    EXPECT_EQ(judgeAnswer(state, 2, start, settings), EraVerdict::Lower);
    EXPECT_EQ(judgeAnswer(state, 5, start + absl::Seconds(9), settings), EraVerdict::Accept);
    EXPECT_EQ(judgeAnswer(state, 2, start + absl::Seconds(11), settings), EraVerdict::Lower);
    EXPECT_EQ(judgeAnswer(state, 3, start + absl::Seconds(20), settings), EraVerdict::Lower);
    EXPECT_EQ(judgeAnswer(state, 2, start + absl::Seconds(21), settings), EraVerdict::Replaced);
    EXPECT_EQ(state.known, 2);
    EXPECT_EQ(state.changedAt, start + absl::Seconds(21));
    // Other hosts that haven't noticed yet still state the era of the store before.
    EXPECT_FALSE(noteHeardEra(state, 5, start + absl::Seconds(22)));
    EXPECT_EQ(judgeAnswer(state, 2, start + absl::Seconds(23), settings), EraVerdict::Accept);
}

TEST(StoreEra, AnEraThatAnotherHostStatesRulesOutEarlierAnswersUntilTheStoreConfirmsIt)
{
    auto state = StoreEra{.known = 1};
    EXPECT_FALSE(noteHeardEra(state, 1, start));
    EXPECT_TRUE(noteHeardEra(state, 2, start));
    EXPECT_FALSE(noteHeardEra(state, 2, start));
    EXPECT_EQ(judgeAnswer(state, 1, start + absl::Seconds(1), settings), EraVerdict::Unconfirmed);
    EXPECT_EQ(judgeAnswer(state, std::nullopt, start + absl::Seconds(1), settings), EraVerdict::Unconfirmed);
    EXPECT_EQ(judgeAnswer(state, 2, start + absl::Seconds(2), settings), EraVerdict::Later);
    EXPECT_EQ(judgeAnswer(state, 2, start + absl::Seconds(3), settings), EraVerdict::Accept);
    EXPECT_FALSE(state.heard.has_value());
}

// A forged era, or one after the other, would otherwise make a host ignore the store for good.
TEST(StoreEra, AnUnconfirmedEraIsForgottenAndNoneIsBelievedSoonAfter)
{
    auto state = StoreEra{.known = 1};
    auto ignored = 0;
    for (auto second = 0; second < 600; ++second) {
        const auto now = start + absl::Seconds(second);
        std::ignore = noteHeardEra(state, 100 + static_cast<std::uint64_t>(second), now);
        std::ignore = forgetUnconfirmed(state, now, settings);
        ignored += judgeAnswer(state, 1, now, settings) == EraVerdict::Accept ? 0 : 1;
    }
    EXPECT_GE(ignored, 10);
    EXPECT_LE(ignored, 90);
}

auto entry(std::uint64_t era, std::uint64_t revision, std::uint64_t sequence, std::int64_t startedAt = 7) -> LeafEntry
{
    return {.id = "a", .service = "s", .startedAt = startedAt, .sequence = sequence, .revision = revision, .era = era};
}

// A draining leaf was ready in the copy.
TEST(EntryCounts, AnEntryOfTheCopyWaitsUntilItsLeafHasWrittenAgain)
{
    const auto known = entry(1, 100, 50);
    const auto copied = entry(2, 80, 48);
    EXPECT_FALSE(entryCounts(known, false, nullptr, copied));
    EXPECT_FALSE(entryCounts(known, false, &copied, copied));
    EXPECT_FALSE(entryCounts(known, false, nullptr, entry(2, 80, 50)));
    EXPECT_TRUE(entryCounts(known, false, nullptr, entry(2, 90, 51)));
    EXPECT_TRUE(entryCounts(known, false, nullptr, entry(2, 90, 1, 8)));
    // Its sequence is less than known, but has risen in the new era.
    EXPECT_TRUE(entryCounts(known, false, &copied, entry(2, 90, 49)));
    EXPECT_FALSE(entryCounts(known, false, &copied, entry(2, 80, 49)));
    // Another start, whose clock was set back, written after the copy.
    EXPECT_FALSE(entryCounts(known, false, nullptr, entry(2, 90, 1, 3)));
    EXPECT_TRUE(entryCounts(known, false, &copied, entry(2, 90, 1, 3)));
    // What was seen in an era before tells nothing.
    const auto before = entry(1, 70, 47);
    EXPECT_FALSE(entryCounts(known, false, &before, copied));
}

// The sequence that is known of a leaf is that of its last change, so that the copy's may be greater although the leaf has been removed since.
TEST(EntryCounts, ARemovedLeafIsNotTakenFromTheCopyByItsSequence)
{
    const auto known = entry(1, 20, 5);
    const auto copied = entry(2, 80, 48);
    EXPECT_FALSE(entryCounts(known, true, nullptr, copied));
    EXPECT_TRUE(entryCounts(known, true, &copied, entry(2, 90, 49)));
    EXPECT_TRUE(entryCounts(known, true, nullptr, entry(2, 80, 1, 8)));
}

} // namespace
