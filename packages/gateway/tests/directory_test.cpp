#include "tamarackspan/gateway/catalogue.h"
#include "tamarackspan/gateway/leaf_directory.h"

#include "tamarackspan/base/random.h"

#include "absl/strings/str_cat.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

const auto now = absl::UnixEpoch() + absl::Hours(1);

/// Returns an entry that is written at the revision of the same number as its start.
auto entryOf(const std::string &id, std::int64_t startedAt = 1) -> LeafEntry
{
    return {.id = id,
            .service = "shard-1",
            .endpoint = {.ip = "10.0.0.1", .port = 80},
            .startedAt = startedAt,
            .sequence = 1,
            .revision = static_cast<std::uint64_t>(startedAt)};
}

struct Fixture : ::testing::Test
{
    std::vector<DirectoryEvent::Kind> events;
    LeafDirectory directory{[this](const DirectoryEvent &event) {
        this->events.push_back(event.kind);
    }};
};

using LeafDirectoryTest = Fixture;
using Kind = DirectoryEvent::Kind;

TEST_F(LeafDirectoryTest, RemovesALeafWhoseEntryIsGone)
{
    this->directory.put(entryOf("a"), now);
    this->directory.remove("a", now, now);
    EXPECT_TRUE(this->directory.service("shard-1").leafs.empty());
    EXPECT_EQ(this->events, (std::vector{Kind::LeafAdded, Kind::LeafGone}));
}

TEST_F(LeafDirectoryTest, KeepsALeafWhoseEntryExpiredWhileTheStoreWasUnreachable)
{
    this->directory.put(entryOf("a"), now);
    this->directory.remove("a", now, now + absl::Seconds(2));
    this->directory.expire(now + absl::Seconds(1));
    EXPECT_EQ(this->directory.size(), 1);
    this->directory.put(entryOf("a"), now + absl::Seconds(1));
    this->directory.expire(now + absl::Seconds(3));
    EXPECT_EQ(this->directory.size(), 1);
    this->directory.remove("a", now + absl::Seconds(3), now + absl::Seconds(4));
    this->directory.expire(now + absl::Seconds(4));
    EXPECT_EQ(this->directory.size(), 0);
}

TEST_F(LeafDirectoryTest, ReplacesALeafThatStartedAgainUnderItsId)
{
    this->directory.put(entryOf("a", 1), now);
    const auto first = this->directory.service("shard-1").leafs.front();
    this->directory.put(entryOf("a", 2), now);
    EXPECT_TRUE(first->gone);
    ASSERT_EQ(this->directory.service("shard-1").leafs.size(), 1);
    EXPECT_NE(this->directory.service("shard-1").leafs.front()->pool, first->pool);
}

TEST_F(LeafDirectoryTest, IgnoresAReportOfAnEarlierStart)
{
    this->directory.put(entryOf("a", 2), now);
    this->directory.put(entryOf("a", 1), now);
    EXPECT_EQ(this->directory.service("shard-1").leafs.front()->entry.startedAt, 2);
}

TEST_F(LeafDirectoryTest, IgnoresAStaleReport)
{
    auto draining = entryOf("a");
    draining.sequence = 5;
    draining.revision = 5;
    draining.draining = true;
    this->directory.put(draining, now);
    this->directory.put(entryOf("a"), now);
    EXPECT_TRUE(this->directory.service("shard-1").leafs.front()->entry.draining);
}

TEST_F(LeafDirectoryTest, AListingRemovesLeafsThatItLacks)
{
    this->directory.put(entryOf("a"), now);
    this->directory.put(entryOf("b"), now);
    this->directory.keepOnly({"b"}, now, now);
    EXPECT_EQ(this->directory.size(), 1);
}

TEST_F(LeafDirectoryTest, AReplacedLeafIsNotUsedUntilItsEntryChanges)
{
    this->directory.put(entryOf("a"), now);
    const auto leaf = this->directory.service("shard-1").leafs.front();
    this->directory.markReplaced(leaf);
    this->directory.put(entryOf("a"), now);
    EXPECT_TRUE(this->directory.service("shard-1").leafs.empty());
    this->directory.put(entryOf("a", 2), now);
    EXPECT_EQ(this->directory.service("shard-1").leafs.size(), 1);
}

TEST_F(LeafDirectoryTest, ALeafThatSaidThatItLeavesStaysSoUntilItStartsAgain)
{
    this->directory.put(entryOf("a", 5), now);
    const auto leaf = this->directory.service("shard-1").leafs.front();
    EXPECT_TRUE(acceptsRequests(*leaf, now));
    EXPECT_TRUE(this->directory.markLeaving(leaf, now));
    EXPECT_FALSE(this->directory.markLeaving(leaf, now));
    EXPECT_FALSE(acceptsRequests(*leaf, now));
    // Neither a later report of that start, nor one from an older document after the leaf was removed, undoes it.
    auto later = entryOf("a", 5);
    later.sequence = 9;
    later.revision = 5;
    this->directory.put(later, now);
    EXPECT_FALSE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), now));
    this->directory.remove("a", now, now);
    this->directory.expire(now);
    for (const auto startedAt : {5, 4}) {
        this->directory.put(entryOf("a", startedAt), now);
        EXPECT_FALSE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), now)) << startedAt;
        this->directory.remove("a", now, now);
    }
    this->directory.put(entryOf("a", 6), now);
    EXPECT_TRUE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), now));
}

TEST_F(LeafDirectoryTest, ALeafThatWantsNoRequestsGetsNoneAlsoAfterItWasListedAnew)
{
    const auto until = now + absl::Seconds(3);
    this->directory.put(entryOf("a", 5), now);
    const auto leaf = this->directory.service("shard-1").leafs.front();
    EXPECT_TRUE(this->directory.backOff(leaf, until, now));
    EXPECT_FALSE(this->directory.backOff(leaf, until - absl::Seconds(1), now));
    this->directory.remove("a", now, now);
    this->directory.expire(now);
    this->directory.put(entryOf("a", 5), now + absl::Seconds(1));
    EXPECT_FALSE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), until - absl::Milliseconds(1)));
    EXPECT_TRUE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), until));
    // A process that started later hasn't asked for it, whatever a late response of the earlier one says.
    this->directory.put(entryOf("a", 6), now + absl::Seconds(1));
    const auto later = this->directory.service("shard-1").leafs.front();
    EXPECT_TRUE(acceptsRequests(*later, now + absl::Seconds(1)));
    EXPECT_TRUE(this->directory.markLeaving(later, now + absl::Seconds(1)));
    EXPECT_TRUE(this->directory.backOff(leaf, until + absl::Seconds(1), now + absl::Seconds(1)));
    this->directory.remove("a", now + absl::Seconds(1), now + absl::Seconds(1));
    this->directory.put(entryOf("a", 6), now + absl::Seconds(1));
    EXPECT_FALSE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), now + absl::Seconds(1)));
}

// Such a leaf was taken for an earlier start of itself and never used again.
TEST_F(LeafDirectoryTest, FollowsALeafThatStartedAgainWithItsClockSetBack)
{
    this->directory.put(entryOf("a", 100), now);
    EXPECT_TRUE(this->directory.markLeaving(this->directory.service("shard-1").leafs.front(), now));
    auto again = entryOf("a", 50);
    again.revision = 200;
    this->directory.put(again, now);
    EXPECT_EQ(this->directory.service("shard-1").leafs.front()->entry.startedAt, 50);
    EXPECT_TRUE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), now));
    this->directory.put(entryOf("a", 100), now);
    EXPECT_EQ(this->directory.service("shard-1").leafs.front()->entry.startedAt, 50);
}

TEST_F(LeafDirectoryTest, TellsStartsApartThatHaveTheSameTime)
{
    auto before = entryOf("a", 5);
    before.sequence = 7;
    this->directory.put(before, now);
    const auto first = this->directory.service("shard-1").leafs.front();
    EXPECT_TRUE(this->directory.markLeaving(first, now));
    auto again = entryOf("a", 5);
    again.revision = 9;
    this->directory.put(again, now);
    EXPECT_TRUE(first->gone);
    EXPECT_TRUE(acceptsRequests(*this->directory.service("shard-1").leafs.front(), now));
}

/// Returns an entry as it is read in an era.
auto entryIn(std::uint64_t era, std::uint64_t revision, std::uint64_t sequence) -> LeafEntry
{
    auto entry = entryOf("a", 1);
    entry.era = era;
    entry.revision = revision;
    entry.sequence = sequence;
    return entry;
}

// A copy that predates a drain made the leaf ready again.
TEST_F(LeafDirectoryTest, ADrainingLeafIsNotReadyAgainByAnEntryOfACopy)
{
    this->directory.beginEra(1);
    auto draining = entryIn(1, 100, 9);
    draining.draining = true;
    this->directory.put(draining, now);
    this->directory.beginEra(2);
    this->directory.put(entryIn(2, 80, 7), now);
    this->directory.put(entryIn(2, 80, 7), now);
    EXPECT_TRUE(this->directory.service("shard-1").leafs.front()->entry.draining);
    EXPECT_EQ(this->directory.unconfirmed(), 1);
    // The leaf has written its entry since.
    auto again = entryIn(2, 81, 10);
    again.draining = true;
    this->directory.put(again, now);
    EXPECT_EQ(this->directory.unconfirmed(), 0);
    EXPECT_EQ(this->directory.service("shard-1").leafs.front()->entry, again);
    EXPECT_EQ(this->events, std::vector{Kind::LeafAdded});
}

// By revision alone, a drain that was written at a revision that had been assigned before was ignored for good.
TEST_F(LeafDirectoryTest, ADrainThatIsWrittenAtALowerRevisionOfALaterEraCounts)
{
    this->directory.put(entryIn(0, 100, 9), now);
    this->directory.beginEra(1);
    auto draining = entryIn(1, 90, 10);
    draining.draining = true;
    this->directory.put(draining, now);
    EXPECT_TRUE(this->directory.service("shard-1").leafs.front()->entry.draining);
    // What is read late of the era before is older.
    this->directory.put(entryIn(0, 120, 9), now);
    EXPECT_TRUE(this->directory.service("shard-1").leafs.front()->entry.draining);
}

// The entry of a leaf that has crashed or left came back with the copy.
TEST_F(LeafDirectoryTest, ARemovedLeafIsNotAddedFromACopyUntilItHasWrittenAgain)
{
    this->directory.beginEra(1);
    this->directory.put(entryIn(1, 20, 2), now);
    this->directory.remove("a", now, now);
    this->directory.beginEra(2);
    this->directory.put(entryIn(2, 80, 48), now);
    EXPECT_EQ(this->directory.size(), 0);
    EXPECT_EQ(this->directory.unconfirmed(), 1);
    this->directory.keepOnly({"a"}, now, now);
    this->directory.expire(now + absl::Minutes(59));
    this->directory.put(entryIn(2, 90, 48), now);
    EXPECT_EQ(this->directory.size(), 0);
    this->directory.put(entryIn(2, 91, 49), now);
    EXPECT_EQ(this->directory.size(), 1);
    EXPECT_EQ(this->directory.unconfirmed(), 0);
}

TEST_F(LeafDirectoryTest, ALeafThatIsRemovedWhileItsCopiedEntryIsKeptAsideStaysRemoved)
{
    this->directory.beginEra(1);
    this->directory.put(entryIn(1, 20, 9), now);
    this->directory.remove("a", now, now + absl::Seconds(2));
    this->directory.beginEra(2);
    this->directory.put(entryIn(2, 80, 8), now + absl::Seconds(1));
    this->directory.expire(now + absl::Seconds(2));
    this->directory.put(entryIn(2, 80, 8), now + absl::Seconds(3));
    EXPECT_EQ(this->directory.size(), 0);
    this->directory.put(entryIn(2, 81, 10), now + absl::Seconds(3));
    EXPECT_EQ(this->directory.size(), 1);
}

// Whoever is removed and added again within one era is known by its entry alone, as without eras.
TEST_F(LeafDirectoryTest, ALeafThatIsRemovedAndAddedWithinOneEraNeedsNoConfirmation)
{
    this->directory.beginEra(2);
    this->directory.put(entryIn(2, 20, 9), now);
    this->directory.remove("a", now, now);
    this->directory.put(entryIn(2, 21, 1), now);
    EXPECT_EQ(this->directory.size(), 1);
}

TEST_F(LeafDirectoryTest, ALeafThatACopyLacksStaysUntilTheEndOfTheGracePeriod)
{
    this->directory.beginEra(1);
    this->directory.put(entryIn(1, 100, 3), now);
    this->directory.beginEra(2);
    this->directory.keepOnly({}, now, now + absl::Seconds(5));
    this->directory.expire(now + absl::Seconds(4));
    EXPECT_EQ(this->directory.size(), 1);
    this->directory.put(entryIn(2, 81, 4), now + absl::Seconds(4));
    this->directory.expire(now + absl::Seconds(6));
    EXPECT_EQ(this->directory.size(), 1);
}

TEST_F(LeafDirectoryTest, EntriesOfAReplacedStoreCountAsThoseOfALaterEra)
{
    for (const auto era : {std::uint64_t{3}, std::uint64_t{0}}) {
        auto replaced = LeafDirectory([](const DirectoryEvent &) {});
        replaced.beginEra(7);
        auto known = entryIn(7, 900, 5);
        known.draining = true;
        replaced.put(known, now);
        replaced.beginEra(era);
        replaced.put(entryIn(era, 10, 6), now);
        EXPECT_EQ(replaced.service("shard-1").leafs.front()->entry, entryIn(era, 10, 6));
    }
}

/// Leafs that start, report, drain and end while their clocks jump, the store that records it, and a directory that reads the store late and out of order.
struct SteppedClocks
{
    base::Random random;
    LeafDirectory directory{[](const DirectoryEvent &) {}};
    absl::Time at = now;
    std::uint64_t revision = 0;
    /// The entries in force, and all entries that a stale read can return.
    std::map<std::string, LeafEntry> current{};
    std::vector<LeafEntry> written{};

    auto write(LeafEntry entry) -> void
    {
        entry.revision = ++this->revision;
        this->current[entry.id] = entry;
        this->written.push_back(entry);
    }

    auto step() -> void
    {
        const auto id = absl::StrCat("leaf-", this->random.below(4));
        const auto found = this->current.find(id);
        const auto action = this->random.below(4);
        switch (action) {
        case 0: {
            // The clock differs from the true time by up to 10 s either way, anew at each start; addresses are reused, also by other leafs.
            auto entry = entryOf(id, absl::ToUnixMillis(this->at) + static_cast<std::int64_t>(this->random.below(20'000)) - 10'000);
            entry.endpoint.port = static_cast<std::uint16_t>(80 + this->random.below(3));
            this->write(entry);
            break;
        }
        case 1:
        case 2:
            if (found != this->current.end()) {
                auto entry = found->second;
                ++entry.sequence;
                entry.draining = entry.draining || action == 2;
                this->write(entry);
            }
            break;
        default:
            this->current.erase(id);
            ++this->revision;
            break;
        }
        this->at += absl::Milliseconds(this->random.below(2'000));
    }

    /// Reads some entry that was ever written, as a stale read can.
    auto readStale() -> void
    {
        if (!this->written.empty()) {
            this->directory.put(this->written[this->random.below(this->written.size())], this->at);
        }
    }

    /// Lists the entries in force, and then reads stale ones.
    auto readCurrent() -> void
    {
        auto ids = std::vector<std::string>();
        for (const auto &[id, entry] : this->current) {
            this->directory.put(entry, this->at);
            ids.push_back(id);
        }
        this->directory.keepOnly(ids, this->at, this->at);
    }
};

TEST(LeafDirectoryProperty, AfterACurrentReadExactlyTheStartsInForceAreUsedWhateverTheirClocksSay)
{
    for (auto seed = std::uint64_t{1}; seed <= 200; ++seed) {
        auto world = SteppedClocks{.random = base::Random(seed)};
        for (auto round = 0; round < 60; ++round) {
            world.step();
            world.readStale();
            world.readCurrent();
            // Entries that stale reads return afterwards are older than those in force.
            for (const auto &[id, entry] : world.current) {
                for (const auto &old : world.written) {
                    if (old.id == id) {
                        world.directory.put(old, world.at);
                    }
                }
            }
            ASSERT_EQ(world.directory.size(), world.current.size()) << seed;
            for (const auto &leaf : world.directory.service("shard-1").leafs) {
                const auto &entry = world.current.at(leaf->entry.id);
                ASSERT_EQ(leaf->entry.startedAt, entry.startedAt) << seed;
                ASSERT_EQ(leaf->entry.endpoint, entry.endpoint) << seed;
                ASSERT_EQ(acceptsRequests(*leaf, world.at), !entry.draining) << seed;
            }
            ASSERT_EQ(world.directory.service("shard-1").leafs.size(), world.current.size()) << seed;
        }
    }
}

TEST(Catalogue, NamesEachServiceOnce)
{
    const auto catalogue = Catalogue{.operations = {{.shards = {"b", "a"}}, {.services = {{.service = "c"}, {.service = "a"}}}}};
    EXPECT_EQ(servicesNamed(catalogue), (std::vector<std::string>{"a", "b", "c"}));
}

TEST(CatalogueIndex, LongestPrefixOfTheHostWins)
{
    const auto catalogue = Catalogue{.operations = {{.name = "short", .hostName = "h", .prefix = "/a/"},
                                                    {.name = "long", .hostName = "h", .prefix = "/a/b/"},
                                                    {.name = "other", .hostName = "g", .prefix = "/"}}};
    const auto index = CatalogueIndex(catalogue);
    EXPECT_EQ(index.find("h", "/a/b/c")->name, "long");
    EXPECT_EQ(index.find("h", "/a/bc")->name, "short");
    EXPECT_EQ(index.find("h", "/x"), nullptr);
    EXPECT_EQ(index.find("unknown", "/a/"), nullptr);
    EXPECT_EQ(index.find("g", "/a/b/c")->name, "other");
}

/// Leafs of a service that limits the requests to cold leafs.
struct ColdLeafTest : Fixture
{
    ColdLeafTest()
    {
        this->directory.service("shard-1").warmUp = {.perSecond = 4.0, .duration = absl::Seconds(20)};
    }

    auto putRevision(std::uint64_t revision, absl::Duration warmUp, absl::Time at) -> std::shared_ptr<KnownLeaf>
    {
        auto entry = entryOf("a");
        entry.revision = revision;
        entry.sequence = revision;
        entry.warmUp = warmUp;
        this->directory.put(entry, at);
        return this->directory.service("shard-1").leafs.front();
    }
};

TEST_F(ColdLeafTest, EachTimeThatALeafBecomesColdIsReportedOnce)
{
    const auto leaf = this->putRevision(1, absl::Seconds(2), now);
    EXPECT_TRUE(isCold(*leaf, now + absl::Seconds(1)));
    this->putRevision(2, absl::Seconds(1), now + absl::Seconds(1));
    this->putRevision(3, absl::ZeroDuration(), now + absl::Seconds(3));
    EXPECT_FALSE(isCold(*leaf, now + absl::Seconds(3)));
    this->putRevision(4, absl::Seconds(5), now + absl::Seconds(4));
    EXPECT_EQ(this->events, (std::vector{Kind::LeafAdded, Kind::LeafCold, Kind::LeafCold}));
}

// A leaf that had crashed and started again got its full share until its entry said that it was cold.
TEST_F(ColdLeafTest, ALeafWhoseConnectionsFailIsColdUntilALaterEntryStatesOtherwise)
{
    const auto leaf = this->putRevision(1, absl::ZeroDuration(), now);
    this->directory.assumeCold(leaf, now);
    this->directory.assumeCold(leaf, now + absl::Milliseconds(100));
    EXPECT_EQ(this->events, (std::vector{Kind::LeafAdded, Kind::LeafCold}));
    // The same entry, read again, and one that may have been written before the connection failed.
    this->putRevision(1, absl::ZeroDuration(), now + absl::Seconds(3));
    this->putRevision(2, absl::ZeroDuration(), now + absl::Seconds(1));
    EXPECT_TRUE(isCold(*leaf, now + absl::Seconds(3)));
    this->putRevision(3, absl::ZeroDuration(), now + absl::Seconds(3));
    EXPECT_FALSE(isCold(*leaf, now + absl::Seconds(3)));
}

// A restored store assigns revisions again: an entry with a lower one kept the leaf cold.
TEST_F(ColdLeafTest, TheAssumptionEndsWithAnEntryOfALaterEra)
{
    const auto leaf = this->putRevision(50, absl::ZeroDuration(), now);
    this->directory.assumeCold(leaf, now);
    this->directory.beginEra(1);
    auto entry = entryOf("a");
    entry.era = 1;
    entry.revision = 7;
    entry.sequence = 51;
    this->directory.put(entry, now + absl::Seconds(3));
    EXPECT_FALSE(isCold(*leaf, now + absl::Seconds(3)));
}

// Without entries, as while the store doesn't answer, a wrong assumption must end too.
TEST_F(ColdLeafTest, TheAssumptionEndsWhenNoLeafOfTheServiceIsColdForSoLong)
{
    const auto leaf = this->putRevision(1, absl::ZeroDuration(), now);
    this->directory.assumeCold(leaf, now);
    EXPECT_TRUE(isCold(*leaf, now + absl::Seconds(19)));
    EXPECT_FALSE(isCold(*leaf, now + absl::Seconds(20)));
}

// Guards against limits that no configuration sets.
TEST_F(LeafDirectoryTest, ALeafOfAServiceWithoutALimitIsNeverAssumedToBeCold)
{
    auto entry = entryOf("a");
    entry.warmUp = absl::Seconds(1);
    this->directory.put(entry, now);
    const auto leaf = this->directory.service("shard-1").leafs.front();
    this->directory.assumeCold(leaf, now + absl::Seconds(2));
    EXPECT_FALSE(isCold(*leaf, now + absl::Seconds(2)));
    EXPECT_EQ(this->events, (std::vector{Kind::LeafAdded}));
}

} // namespace
