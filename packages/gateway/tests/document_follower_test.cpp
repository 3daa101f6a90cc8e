#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/document_follower.h"

#include <gtest/gtest.h>

#include <optional>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

auto catalogue(std::uint64_t version, const std::vector<std::string> &services) -> Catalogue
{
    auto made = Catalogue{.version = version};
    for (const auto &service : services) {
        made.operations.push_back({.name = "op-" + service, .services = {{.service = service, .weight = 1.0}}});
    }
    return made;
}

auto leafOf(const std::string &service) -> LeafEntry
{
    return {.id = "i-" + service, .service = service, .startedAt = 1, .sequence = 1};
}

/// A store whose cheap reads have lost their history and are stale: only fresh listings show the leafs of the service "new".
struct StaleStore
{
    std::optional<DocumentCalls::Callback> watch{};

    [[nodiscard]] auto calls() -> DocumentCalls
    {
        constexpr auto ok = DocumentReply::Outcome::Ok;
        return {.catalogue =
                    [](absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = ok, .changes = {catalogue(1, {"old"})}, .revision = 10});
                    },
                .catalogueChanges =
                    [this](std::uint64_t, absl::Duration, absl::Duration, DocumentCalls::Callback callback) {
                        this->watch = std::move(callback);
                    },
                .leafs =
                    [](const std::string &, bool fresh, absl::Duration, const DocumentCalls::Callback &callback) {
                        auto reply = DocumentReply{.outcome = ok, .changes = {leafOf("old")}, .revision = 10};
                        if (fresh) {
                            reply.changes.emplace_back(leafOf("new"));
                            reply.revision = 20;
                        }
                        callback(reply);
                    },
                .changes =
                    [](std::uint64_t, bool, absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = ok, .revision = 10});
                    }};
    }
};

/// A store at an address of its own, with one leaf.
struct StoreAt
{
    Catalogue newest{};
    std::uint64_t revision = 10;
    std::string leaf = "old";
    int listings = 0;

    [[nodiscard]] auto catalogueReply() const -> DocumentReply
    {
        return {.outcome = DocumentReply::Outcome::Ok, .changes = {this->newest}, .revision = this->revision};
    }
};

auto storedCatalogue(std::uint64_t version, std::uint64_t created, std::uint64_t written) -> Catalogue
{
    auto made = catalogue(version, {"old"});
    made.createdRevision = created;
    made.writtenRevision = written;
    return made;
}

/// A follower whose store moves from one address to another.
struct MovedStore
{
    transport::EventLoop loop{};
    StoreAt before{.newest = storedCatalogue(4, 2, 8)};
    StoreAt after{.newest = storedCatalogue(4, 2, 8)};
    StoreAt *current = &before;
    std::vector<std::uint64_t> versions{};
    LeafDirectory directory{[](const DirectoryEvent &) {}};
    logging::Logger log{"test"};
    DocumentFollower follower{loop,
                              calls(),
                              directory,
                              {.interval = absl::Milliseconds(100)},
                              {},
                              [this](const std::shared_ptr<const Catalogue> &next) {
                                  this->versions.push_back(next->version);
                              },
                              log};

    [[nodiscard]] auto calls() -> DocumentCalls
    {
        return {.catalogue =
                    [this](absl::Duration, const DocumentCalls::Callback &callback) {
                        callback(this->current->catalogueReply());
                    },
                .catalogueChanges = [](std::uint64_t, absl::Duration, absl::Duration, const DocumentCalls::Callback &) {},
                .leafs =
                    [this](const std::string &, bool, absl::Duration, const DocumentCalls::Callback &callback) {
                        ++this->current->listings;
                        auto entry = leafOf("old");
                        entry.id = this->current->leaf;
                        callback({.outcome = DocumentReply::Outcome::Ok, .changes = {entry}, .revision = this->current->revision});
                    },
                .changes =
                    [this](std::uint64_t, bool, absl::Duration, const DocumentCalls::Callback &callback) {
                        callback({.outcome = DocumentReply::Outcome::Ok, .revision = this->current->revision});
                    }};
    }

    /// Returns the id of the only leaf that is known.
    [[nodiscard]] auto leaf() -> std::string
    {
        const auto &leafs = this->directory.service("old").leafs;
        return leafs.size() == 1 ? leafs.front()->entry.id : std::string();
    }

    auto runFor(absl::Duration time) -> void
    {
        this->loop.runAt(base::monotonicNow() + time, [this] {
            this->loop.stop();
        });
        this->loop.run();
    }

    auto move() -> void
    {
        this->follower.start();
        this->runFor(absl::Milliseconds(250));
        this->current = &this->after;
        this->follower.onStoreMoved();
        this->runFor(absl::Milliseconds(350));
    }
};

TEST(DocumentFollower, ANewAddressOfTheSameStoreIsReadOnWithoutAListing)
{
    auto moved = MovedStore();
    moved.after.revision = 12;
    moved.move();
    EXPECT_EQ(moved.after.listings, 0);
    EXPECT_EQ(moved.leaf(), "old");
    EXPECT_EQ(moved.versions, std::vector<std::uint64_t>{4});
}

TEST(DocumentFollower, ANewAddressWithALaterCatalogueOfTheSameStoreIsReadOn)
{
    auto moved = MovedStore();
    moved.after.newest = storedCatalogue(6, 2, 11);
    moved.after.revision = 12;
    moved.move();
    EXPECT_EQ(moved.after.listings, 0);
    EXPECT_EQ(moved.versions, (std::vector<std::uint64_t>{4, 6}));
}

TEST(DocumentFollower, AnotherStoreIsListedAnew)
{
    for (const auto &[created, written] : {std::pair(3U, 8U), std::pair(2U, 9U)}) {
        auto moved = MovedStore();
        moved.after.newest = storedCatalogue(4, created, written);
        moved.after.revision = 12;
        moved.after.leaf = "new";
        moved.move();
        EXPECT_EQ(moved.after.listings, 1);
        EXPECT_EQ(moved.leaf(), "new");
    }
}

TEST(DocumentFollower, AStoreThatIsBehindWhatIsKnownChangesNothing)
{
    auto moved = MovedStore();
    moved.after.newest = storedCatalogue(2, 2, 5);
    moved.after.revision = 6;
    moved.after.leaf = "new";
    moved.move();
    EXPECT_EQ(moved.after.listings, 0);
    EXPECT_EQ(moved.leaf(), "old");
    EXPECT_EQ(moved.versions, std::vector<std::uint64_t>{4});
    // Once it has caught up it is followed.
    moved.after.newest = storedCatalogue(4, 2, 8);
    moved.after.revision = 11;
    moved.runFor(absl::Milliseconds(350));
    EXPECT_EQ(moved.after.listings, 0);
    EXPECT_EQ(moved.leaf(), "old");
}

TEST(DocumentFollower, ListsTheLeafsOfANewCatalogueAtOnce)
{
    constexpr auto interval = absl::Seconds(2);
    constexpr auto catalogueAt = absl::Milliseconds(100);
    auto loop = transport::EventLoop();
    const auto log = logging::Logger("test");
    auto store = StaleStore();
    auto directory = LeafDirectory([](const DirectoryEvent &) {});
    auto follower = DocumentFollower(
        loop, store.calls(), directory, {.interval = interval}, {}, [](const std::shared_ptr<const Catalogue> &) {}, log);
    follower.start();
    ASSERT_TRUE(follower.complete());
    auto known = false;
    const auto begin = base::monotonicNow();
    loop.runAt(begin + catalogueAt, [&store] {
        (*store.watch)({.outcome = DocumentReply::Outcome::Ok, .changes = {catalogue(2, {"old", "new"})}, .revision = 15});
    });
    loop.runAt(begin + catalogueAt * 3, [&] {
        known = !directory.service("new").leafs.empty();
        loop.stop();
    });
    loop.run();
    EXPECT_TRUE(known);
    EXPECT_FALSE(directory.service("old").leafs.empty());
}

/// Timings of the tests below, a part of the usual ones.
constexpr auto shortInterval = absl::Milliseconds(150);
const auto shortSettings = FollowerSettings{.interval = shortInterval,
                                            .currentReads = {.interval = shortInterval, .standInDelay = shortInterval * 0.3, .maxAge = shortInterval * 2.1},
                                            .timeout = shortInterval * 1.5,
                                            .retryDelay = shortInterval * 0.3};
/// The time in which a change must be known.
const auto bound = shortInterval * 3;
/// When the state of the store changes, from the start of a test.
const auto changeAfter = shortInterval * 4;

/// A store whose cheap reads lag. The leaf "i-old" starts to drain, and a second catalogue comes, at `changeAt`; each read that waits for a catalogue is
/// silent. The revision advances once a millisecond.
struct LaggingStore
{
    absl::Duration lag{};
    absl::Time begin = base::monotonicNow() - absl::Minutes(1);
    absl::Time changeAt = absl::InfiniteFuture();
    /// Whether the changes since any revision are gone.
    bool historyLost = false;
    int catalogueReads = 0;
    int currentReads = 0;
    int cheapReads = 0;

    [[nodiscard]] auto stateAt(absl::Time at) const -> DocumentReply
    {
        auto leaf = leafOf("old");
        leaf.sequence = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(at - this->begin)) + 1000;
        leaf.draining = at >= this->changeAt;
        return {.outcome = DocumentReply::Outcome::Ok, .changes = {leaf, catalogue(at >= this->changeAt ? 2 : 1, {"old"})}, .revision = leaf.sequence};
    }

    [[nodiscard]] auto calls() -> DocumentCalls
    {
        return {.catalogue =
                    [this](absl::Duration, const DocumentCalls::Callback &callback) {
                        ++this->catalogueReads;
                        callback(this->stateAt(base::monotonicNow()));
                    },
                .catalogueChanges = [](std::uint64_t, absl::Duration, absl::Duration, const DocumentCalls::Callback &) {},
                .leafs =
                    [this](const std::string &, bool fresh, absl::Duration, const DocumentCalls::Callback &callback) {
                        callback(this->stateAt(base::monotonicNow() - (fresh ? absl::ZeroDuration() : this->lag)));
                    },
                .changes =
                    [this](std::uint64_t, bool fresh, absl::Duration, const DocumentCalls::Callback &callback) {
                        ++(fresh ? this->currentReads : this->cheapReads);
                        if (this->historyLost) {
                            callback({.outcome = DocumentReply::Outcome::HistoryLost});
                            return;
                        }
                        callback(this->stateAt(base::monotonicNow() - (fresh ? absl::ZeroDuration() : this->lag)));
                    }};
    }
};

/// A follower of a lagging store, run for a while.
struct Following
{
    transport::EventLoop loop{};
    logging::Logger log{"test"};
    LaggingStore store{};
    LeafDirectory directory{[](const DirectoryEvent &) {}};
    std::uint64_t version = 0;
    std::uint64_t statedReads = 0;

    /// Tells the follower each interval what another host reads from the store, until the loop stops.
    auto stateEachInterval(DocumentFollower &follower) -> void
    {
        const auto now = base::monotonicNow();
        follower.noteStatement({.reader = 7, .read = ++this->statedReads, .position = {.revision = this->store.stateAt(now).revision}, .currentAt = now});
        this->loop.runAt(now + shortInterval, [this, &follower] {
            this->stateEachInterval(follower);
        });
    }

    auto run(FollowerPeers peers, absl::Duration span, const std::function<void(DocumentFollower &)> &atStart = {}) -> void
    {
        auto follower = DocumentFollower(
            this->loop, this->store.calls(), this->directory, shortSettings, std::move(peers),
            [this](const std::shared_ptr<const Catalogue> &next) {
                this->version = next->version;
            },
            this->log);
        follower.start();
        if (atStart) {
            atStart(follower);
        }
        this->loop.runAt(base::monotonicNow() + span, [this] {
            this->loop.stop();
        });
        this->loop.run();
    }
};

// Cheap reads that were seconds old made a host send requests to a leaf that had left (review/2).
TEST(DocumentFollower, KnowsOfADrainingLeafInTimeWhenCheapReadsAreStale)
{
    for (const auto rank : {std::optional<std::size_t>(0), std::optional<std::size_t>(9), std::optional<std::size_t>()}) {
        auto following = Following();
        following.store.lag = absl::Seconds(10);
        following.store.changeAt = base::monotonicNow() + changeAfter;
        following.run({.rank =
                           [rank] {
                               return rank;
                           }},
                      changeAfter + bound);
        ASSERT_EQ(following.directory.service("old").leafs.size(), 1);
        EXPECT_TRUE(following.directory.service("old").leafs.front()->entry.draining);
    }
}

// With the connection of the waiting read silent, a configuration came only with the next cheap read, which was seconds old (review/5).
TEST(DocumentFollower, KnowsOfACatalogueInTimeWhenTheWaitingReadIsSilentAndCheapReadsAreStale)
{
    auto following = Following();
    following.store.lag = absl::Seconds(10);
    following.store.changeAt = base::monotonicNow() + changeAfter;
    following.run({}, changeAfter + bound);
    EXPECT_EQ(following.version, 2);
}

TEST(DocumentFollower, StatementsOfOtherHostsSpareCurrentReads)
{
    auto following = Following();
    following.run({}, shortInterval * 20, [&following](DocumentFollower &follower) {
        following.stateEachInterval(follower);
    });
    EXPECT_LE(following.store.currentReads, 2);
    EXPECT_GE(following.store.cheapReads, 10);
}

TEST(DocumentFollower, StatementsThatCheapReadsDoNotReachAreNoKnowledge)
{
    auto following = Following();
    following.store.lag = absl::Seconds(10);
    following.store.changeAt = base::monotonicNow() + changeAfter;
    following.run({}, changeAfter + bound, [&following](DocumentFollower &follower) {
        following.stateEachInterval(follower);
    });
    EXPECT_TRUE(following.directory.service("old").leafs.front()->entry.draining);
}

TEST(DocumentFollower, AnnouncesEachOwnCurrentReadOnce)
{
    auto following = Following();
    auto announced = std::vector<census::RevisionStatement>();
    following.run({.reader = 5,
                   .rank =
                       [] {
                           return std::optional<std::size_t>(0);
                       },
                   .spread =
                       [&announced](const census::RevisionStatement &statement, bool ownRead) {
                           EXPECT_TRUE(ownRead);
                           announced.push_back(statement);
                       }},
                  shortInterval * 10.4);
    EXPECT_GE(announced.size(), 5);
    EXPECT_LE(announced.size(), 11);
    for (auto at = std::size_t{1}; at < announced.size(); ++at) {
        EXPECT_GT(announced[at].read, announced[at - 1].read);
        EXPECT_GT(announced[at].currentAt, announced[at - 1].currentAt);
    }
}

// Without history each read of changes leads to a new listing, and a listing that is stale to the next read of changes.
TEST(DocumentFollower, LostHistoryAndStaleListingsDoNotMakeItReadWithoutPause)
{
    auto following = Following();
    following.store.lag = absl::Seconds(10);
    following.store.historyLost = true;
    following.store.changeAt = base::monotonicNow() + changeAfter;
    const auto span = changeAfter + bound;
    following.run({}, span);
    EXPECT_TRUE(following.directory.service("old").leafs.front()->entry.draining);
    EXPECT_LE(following.store.catalogueReads, 2 * (span / shortInterval) + 2);
}

} // namespace
