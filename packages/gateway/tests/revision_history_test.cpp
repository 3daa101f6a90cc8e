#include "tamarackspan/gateway/decisions/pause_detector.h"
#include "tamarackspan/gateway/decisions/revision_history.h"

#include <gtest/gtest.h>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

const auto start = absl::UnixEpoch() + absl::Hours(1);
constexpr auto step = absl::Milliseconds(500);

TEST(RevisionHistory, KnowsChangesUpToTheLatestReadThatItsRevisionCovers)
{
    auto history = RevisionHistory();
    EXPECT_EQ(history.knownUntil({.revision = 1000}), absl::InfinitePast());
    EXPECT_TRUE(history.record({.reader = 1, .read = 1, .position = {.revision = 10}, .currentAt = start}, step));
    EXPECT_TRUE(history.record({.reader = 1, .read = 2, .position = {.revision = 20}, .currentAt = start + absl::Seconds(1)}, step));
    EXPECT_EQ(history.knownUntil({.revision = 9}), absl::InfinitePast());
    EXPECT_EQ(history.knownUntil({.revision = 10}), start);
    EXPECT_EQ(history.knownUntil({.revision = 19}), start);
    EXPECT_EQ(history.knownUntil({.revision = 20}), start + absl::Seconds(1));
}

// A copy of a statement that was held up must not make the read look newer than it was.
TEST(RevisionHistory, KeepsTheEarliestTimeOfAStatement)
{
    auto history = RevisionHistory();
    const auto late = census::RevisionStatement{.reader = 1, .read = 1, .position = {.revision = 10}, .currentAt = start + absl::Seconds(2)};
    auto early = late;
    early.currentAt = start;
    std::ignore = history.record(late, step);
    EXPECT_FALSE(history.record(early, step));
    EXPECT_EQ(history.knownUntil({.revision = 10}), start);
    EXPECT_FALSE(history.record(late, step));
    EXPECT_EQ(history.knownUntil({.revision = 10}), start);
}

TEST(RevisionHistory, TellsOthersOnlyOfStatementsThatAreLaterByAStep)
{
    auto history = RevisionHistory();
    EXPECT_TRUE(history.record({.reader = 1, .read = 1, .position = {.revision = 10}, .currentAt = start}, step));
    EXPECT_FALSE(history.record({.reader = 2, .read = 1, .position = {.revision = 10}, .currentAt = start + step / 2}, step));
    EXPECT_FALSE(history.record({.reader = 3, .read = 1, .position = {.revision = 9}, .currentAt = start - step}, step));
    EXPECT_TRUE(history.record({.reader = 1, .read = 2, .position = {.revision = 11}, .currentAt = start + step * 2}, step));
}

// After a restore revisions are assigned again: a greater one of an earlier era tells nothing about the later era.
TEST(RevisionHistory, OrdersByEraBeforeRevision)
{
    auto history = RevisionHistory();
    EXPECT_TRUE(history.record({.reader = 1, .read = 1, .position = {.era = 2, .revision = 10}, .currentAt = start}, step));
    EXPECT_EQ(history.knownUntil({.era = 1, .revision = 1000}), absl::InfinitePast());
    EXPECT_EQ(history.knownUntil({.era = 2, .revision = 10}), start);
    EXPECT_EQ(history.knownUntil({.era = 3, .revision = 1}), start);
}

TEST(RevisionHistory, StaysBounded)
{
    auto history = RevisionHistory();
    for (auto read = std::uint64_t{1}; read <= 1000; ++read) {
        std::ignore = history.record(
            {.reader = 1, .read = read, .position = {.revision = read}, .currentAt = start + absl::Seconds(1) * static_cast<double>(read)}, step);
    }
    EXPECT_EQ(history.knownUntil({.revision = 1000}), start + absl::Seconds(1000));
    EXPECT_EQ(history.knownUntil({.revision = 900}), absl::InfinitePast());
}

TEST(CurrentRead, OneHostReadsForAllAndOthersOnlyIfItDoesNot)
{
    const auto settings = CurrentReadSettings();
    auto view = CurrentReadView{.knownUntil = start, .statedAt = start, .rank = 0};
    EXPECT_EQ(currentReadDueAt(view, settings), start + settings.interval);
    view.rank = 2;
    EXPECT_EQ(currentReadDueAt(view, settings), start + settings.interval + settings.standInDelay * 2);
    view.rank = 3;
    EXPECT_EQ(currentReadDueAt(view, settings), start + settings.maxAge);
    view.rank = std::nullopt;
    EXPECT_EQ(currentReadDueAt(view, settings), start + settings.maxAge);
    // Statements that the own reads don't reach confirm nothing.
    view.statedAt = start + absl::Seconds(60);
    EXPECT_EQ(currentReadDueAt(view, settings), start + settings.maxAge);
    EXPECT_EQ(currentReadDueAt({.rank = 7}, settings), absl::InfinitePast());
}

TEST(PauseDetector, DistrustsDatagramsReadAfterAPause)
{
    auto pauses = PauseDetector();
    EXPECT_TRUE(pauses.mayBeDelayed(start));
    pauses.tick(start);
    EXPECT_TRUE(pauses.mayBeDelayed(start));
    auto now = start;
    for (auto count = 0; count < 10; ++count) {
        now += absl::Milliseconds(50);
        pauses.tick(now);
    }
    EXPECT_FALSE(pauses.mayBeDelayed(now));
    const auto woken = now + absl::Seconds(3);
    EXPECT_TRUE(pauses.mayBeDelayed(woken));
    pauses.tick(woken);
    EXPECT_TRUE(pauses.mayBeDelayed(woken + absl::Milliseconds(1)));
    pauses.tick(woken + PauseDetector::recovery);
    EXPECT_FALSE(pauses.mayBeDelayed(woken + PauseDetector::recovery));
}

} // namespace
