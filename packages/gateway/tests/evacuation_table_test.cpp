#include "tamarackspan/gateway/decisions/evacuation_table.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

const auto start = absl::UnixEpoch() + absl::Hours(1);
constexpr auto second = absl::Seconds(1);
const auto options = EvacuationOptions();

auto item(const std::string &dataCentre, bool evacuated, std::uint64_t revision, std::uint64_t era = 0) -> census::EvacuationStatement
{
    return {.dataCentre = dataCentre, .evacuated = evacuated, .since = {.era = era, .revision = revision}};
}

auto listing(std::uint64_t revision, const std::vector<census::EvacuationStatement> &items = {}) -> EvacuationReading
{
    return {.items = items, .listedAt = census::StoreRevision{.revision = revision}};
}

/// A host's table, with the inputs applied one after the other.
struct EvacuationTableTest : ::testing::Test
{
    EvacuationTable table{};
    std::vector<EvacuationChange> changes{};

    auto apply(EvacuationStep step) -> void
    {
        this->table = std::move(step.next);
        this->changes = std::move(step.changes);
    }

    auto read(const EvacuationReading &reading, absl::Time at = start) -> void
    {
        this->apply(afterReading(this->table, reading, at));
    }

    auto hear(const census::EvacuationStatement &statement, absl::Time at = start, const std::string &host = "h2") -> void
    {
        this->apply(afterStatements(this->table, host, std::vector{statement}, at));
    }

    [[nodiscard]] auto evacuated(const std::string &dataCentre) const -> bool
    {
        return usableFrom(this->table, dataCentre, "h1", "leaf", options) == absl::InfiniteFuture();
    }
};

// A cheap read that is seconds old must neither undo an evacuation nor repeat one that was withdrawn.
TEST_F(EvacuationTableTest, AnOlderPositionChangesNothing)
{
    this->read({.items = {item("a", true, 10)}});
    EXPECT_TRUE(this->evacuated("a"));
    EXPECT_EQ(this->changes, (std::vector<EvacuationChange>{{.dataCentre = "a", .state = {.evacuated = true, .since = {.revision = 10}}}}));
    this->read({.items = {item("a", false, 9)}});
    this->read(listing(8));
    EXPECT_TRUE(this->evacuated("a"));
    this->read({.items = {item("a", false, 12)}});
    this->read({.items = {item("a", true, 10)}});
    this->read(listing(11, {item("a", true, 10)}));
    this->hear(item("a", true, 11));
    EXPECT_FALSE(this->evacuated("a"));
    EXPECT_TRUE(this->changes.empty());
}

// Without the listing's position, a host that missed the removal of an item would keep the data centre evacuated forever.
TEST_F(EvacuationTableTest, AnEvacuationThatALaterListingLacksIsWithdrawn)
{
    this->read(listing(20, {item("a", true, 10), item("b", true, 11)}));
    this->hear(item("c", true, 25));
    this->read(listing(24, {item("b", true, 11)}));
    EXPECT_FALSE(this->evacuated("a"));
    EXPECT_TRUE(this->evacuated("b"));
    EXPECT_TRUE(this->evacuated("c")) << "newer than the listing";
    this->read(listing(25, {item("b", true, 11)}));
    EXPECT_FALSE(this->evacuated("c"));
    EXPECT_EQ(evacuatedCount(this->table), 1);
}

// The item of another store may have an earlier revision than the withdrawal that was read from the store before.
TEST_F(EvacuationTableTest, ALaterListingOfAnotherStoreCounts)
{
    this->read({.items = {item("a", true, 40)}});
    this->read({.items = {item("a", false, 50)}});
    this->read(listing(60, {item("a", true, 5)}));
    EXPECT_TRUE(this->evacuated("a"));
}

TEST_F(EvacuationTableTest, ALaterEraComesBeforeAHigherRevision)
{
    this->read({.items = {item("a", true, 100, 1)}});
    this->read({.items = {item("a", false, 7, 2)}});
    this->read({.items = {item("a", true, 101, 1)}});
    EXPECT_FALSE(this->evacuated("a"));
}

TEST_F(EvacuationTableTest, HostsThatCannotReachTheStoreFollowStatements)
{
    this->hear(item("a", true, 10));
    EXPECT_TRUE(this->evacuated("a"));
    EXPECT_EQ(this->changes.front().host, "h2");
    this->apply(afterOwnReads(this->table, start - second, start + absl::Hours(1)));
    EXPECT_TRUE(this->evacuated("a"));
    this->hear(item("a", false, 12));
    EXPECT_FALSE(this->evacuated("a"));
    EXPECT_EQ(this->changes.size(), 1);
}

// A forged statement with a high revision must not keep a data centre out of use, also if other hosts repeat it.
TEST_F(EvacuationTableTest, AStatementThatOwnReadsDoNotConfirmLosesItsEffect)
{
    this->read(listing(20));
    this->hear(item("a", true, 1'000'000));
    EXPECT_TRUE(this->evacuated("a"));
    this->apply(afterOwnReads(this->table, start, start + second));
    EXPECT_TRUE(this->evacuated("a")) << "the read may be older than the statement";
    this->apply(afterOwnReads(this->table, start + second, start + second * 2));
    EXPECT_FALSE(this->evacuated("a"));
    EXPECT_EQ(this->changes.size(), 1);
    this->hear(item("a", true, 1'000'000), start + second * 3, "h3");
    EXPECT_FALSE(this->evacuated("a"));
    EXPECT_TRUE(statementsOf(this->table, 8).empty());
    // What was refuted doesn't hide a later change that others state truly.
    this->hear(item("a", true, 30), start + second * 3, "h3");
    EXPECT_TRUE(this->evacuated("a"));
    this->read({.items = {item("a", true, 30)}}, start + second * 4);
    this->apply(afterOwnReads(this->table, start + second * 5, start + second * 5));
    EXPECT_TRUE(this->evacuated("a"));
}

// A forged withdrawal must not bring requests to an evacuated data centre for long either.
TEST_F(EvacuationTableTest, AForgedWithdrawalLastsUntilTheNextOwnRead)
{
    this->read({.items = {item("a", true, 10)}});
    this->hear(item("a", false, 1'000'000));
    this->apply(afterOwnReads(this->table, start + second, start + second));
    EXPECT_TRUE(this->evacuated("a"));
}

TEST_F(EvacuationTableTest, StatementsOfMadeUpDataCentresStayBounded)
{
    this->read({.items = {item("real", true, 1)}});
    for (auto count = 0; count < 1000; ++count) {
        this->hear(item(absl::StrCat("made-up-", count), true, 10));
        this->apply(afterOwnReads(this->table, start + second, start + second));
        this->hear(item(absl::StrCat("kept-", count), true, 10), start + second * 2);
    }
    EXPECT_LE(this->table.size(), maxEvacuationRecords);
    EXPECT_TRUE(this->evacuated("real"));
    EXPECT_LE(statementsOf(this->table, 8).size(), 8);
}

TEST_F(EvacuationTableTest, TwoDataCentresAreIndependent)
{
    this->read({.items = {item("a", true, 10)}});
    this->read({.items = {item("b", true, 12)}});
    this->read({.items = {item("a", false, 14)}});
    EXPECT_FALSE(this->evacuated("a"));
    EXPECT_TRUE(this->evacuated("b"));
    EXPECT_EQ(statementsOf(this->table, 8), (std::vector{item("b", true, 12), item("a", false, 14)}));
}

// If all leafs returned at once, all hosts would move their load at the same moment.
TEST_F(EvacuationTableTest, LeafsReturnOneByOneAndNotAtTheSameTimeOnAllHosts)
{
    this->read({.items = {item("a", true, 10)}});
    this->read({.items = {item("a", false, 12)}}, start + second);
    auto quarters = std::vector<int>(4);
    for (auto host = 0; host < 40; ++host) {
        for (auto leaf = 0; leaf < 40; ++leaf) {
            const auto from = usableFrom(this->table, "a", absl::StrCat("h", host), absl::StrCat("i-", leaf), options);
            ASSERT_GE(from, start + second);
            ASSERT_LE(from, start + second + options.returnSpread);
            ++quarters[static_cast<std::size_t>(std::min(absl::FDivDuration(from - start - second, options.returnSpread) * 4.0, 3.0))];
        }
    }
    for (const auto count : quarters) {
        EXPECT_NEAR(count, 400, 80);
    }
    EXPECT_FALSE(distanceCounts(this->table, options, start + second));
    EXPECT_TRUE(distanceCounts(this->table, options, start + second + options.returnSpread));
    // A withdrawal without a known evacuation delays nothing: a host that has just started uses all leafs.
    this->hear(item("b", false, 3));
    EXPECT_EQ(usableFrom(this->table, "b", "h1", "i-1", options), absl::InfinitePast());
}

TEST_F(EvacuationTableTest, DistanceCountsOnlyWithoutEvacuations)
{
    EXPECT_TRUE(distanceCounts(this->table, options, start));
    this->read({.items = {item("a", true, 10)}});
    EXPECT_FALSE(distanceCounts(this->table, options, start + absl::Hours(1)));
}

// A restored store would end an evacuation that its copy lacks, or repeat one that was withdrawn after the copy was made.
TEST_F(EvacuationTableTest, ACopyAddsWhatIsNotKnownAndChangesNothingElse)
{
    this->read({.items = {item("a", true, 10), item("b", true, 11)}});
    this->read({.items = {item("b", false, 12)}});
    const auto at = census::StoreRevision{.era = 1, .revision = 5};
    const auto copied = [&at](const std::string &dataCentre) {
        return census::EvacuationStatement{.dataCentre = dataCentre, .evacuated = true, .since = at};
    };
    this->read({.items = {copied("b"), copied("c")}, .listedAt = at, .fromCopy = true});
    EXPECT_TRUE(this->evacuated("a"));
    EXPECT_FALSE(this->evacuated("b"));
    EXPECT_TRUE(this->evacuated("c"));
    // After the grace period the same listing counts in full.
    this->read({.items = {copied("b"), copied("c")}, .listedAt = at});
    EXPECT_FALSE(this->evacuated("a"));
    EXPECT_TRUE(this->evacuated("b"));
    EXPECT_TRUE(this->evacuated("c"));
}

// The positions of a replaced store may all be lower, so that its withdrawals would be ignored for good.
TEST_F(EvacuationTableTest, AReplacedStoreIsBelievedWhateverItsPositions)
{
    this->read({.items = {item("a", true, 1000)}});
    this->read({.storeReplaced = true});
    EXPECT_TRUE(this->evacuated("a"));
    this->read({.items = {item("a", false, 3)}});
    EXPECT_FALSE(this->evacuated("a"));
}

} // namespace
