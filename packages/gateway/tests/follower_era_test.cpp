#include "tamarackspan/base/clock.h"
#include "tamarackspan/gateway/document_follower.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace tamarackspan;
using namespace tamarackspan::gateway;

constexpr auto interval = absl::Milliseconds(30);
/// Longer than a busy machine delays the steps of a test.
constexpr auto grace = absl::Milliseconds(1200);
constexpr auto validity = absl::Milliseconds(500);
/// Time in which a change is known, and well within the two above.
constexpr auto soon = absl::Milliseconds(250);
const auto settings = FollowerSettings{.interval = interval,
                                       .currentReads = {.interval = interval, .standInDelay = interval, .maxAge = interval * 2},
                                       .timeout = interval * 5,
                                       .retryDelay = interval / 2,
                                       .republishGrace = interval,
                                       .eras = {.restoreGrace = grace, .heardValidity = validity, .replacedAfter = validity}};

/// What a store contains at one revision.
struct Contents
{
    std::map<std::string, LeafEntry> leafs{};
    Catalogue catalogue{.version = 1};
    std::uint64_t revision = 10;
    std::vector<std::pair<std::uint64_t, DocumentChange>> events{};
};

/// A store that can be restored from a copy, and the follower of one host.
struct RestoredStore
{
    std::optional<std::uint64_t> era = 1;
    Contents contents{};
    Contents copy{};
    bool everyReport = false;
    /// Whether listings have a second page; called before its reply.
    std::function<void()> beforeSecondPage{};
    std::optional<DocumentCalls::Callback> watch{};
    int listings = 0;
    std::vector<std::uint64_t> versions{};
    std::vector<EvacuationReading> evacuationListings{};
    std::vector<census::RevisionStatement> announced{};
    transport::EventLoop loop{};
    logging::Logger log{"test"};
    LeafDirectory directory{[](const DirectoryEvent &) {}};
    DocumentFollower follower{loop,
                              calls(),
                              directory,
                              settings,
                              {.spread =
                                   [this](const census::RevisionStatement &statement, bool) {
                                       this->announced.push_back(statement);
                                   }},
                              [this](const std::shared_ptr<const Catalogue> &next) {
                                  this->versions.push_back(next->version);
                              },
                              log,
                              [this](const EvacuationReading &reading) {
                                  if (reading.listedAt.has_value()) {
                                      this->evacuationListings.push_back(reading);
                                  }
                              }};

    [[nodiscard]] auto reply(std::vector<DocumentChange> changes) const -> DocumentReply
    {
        return {.outcome = DocumentReply::Outcome::Ok, .changes = std::move(changes), .revision = this->contents.revision, .era = this->era};
    }

    auto calls() -> DocumentCalls
    {
        return {.catalogue =
                    [this](absl::Duration, const DocumentCalls::Callback &callback) {
                        callback(this->reply({this->contents.catalogue}));
                    },
                .catalogueChanges =
                    [this](std::uint64_t, absl::Duration, absl::Duration, DocumentCalls::Callback callback) {
                        this->watch = std::move(callback);
                    },
                .leafs =
                    [this](const std::string &after, bool, absl::Duration, const DocumentCalls::Callback &callback) {
                        this->listings += after.empty() ? 1 : 0;
                        if (after.empty() && this->beforeSecondPage) {
                            auto first = this->reply({});
                            first.nextPage = "page";
                            callback(first);
                            return;
                        }
                        if (!after.empty()) {
                            this->beforeSecondPage();
                        }
                        auto page = this->reply({});
                        for (const auto &[id, entry] : this->contents.leafs) {
                            page.changes.emplace_back(entry);
                        }
                        callback(page);
                    },
                .changes =
                    [this](std::uint64_t after, bool, absl::Duration, const DocumentCalls::Callback &callback) {
                        if (after > this->contents.revision) {
                            callback({.outcome = DocumentReply::Outcome::HistoryLost, .era = this->era});
                            return;
                        }
                        auto changes = this->reply({});
                        for (const auto &[revision, change] : this->contents.events) {
                            if (revision > after) {
                                changes.changes.push_back(change);
                            }
                        }
                        callback(changes);
                    },
                .setEveryReport =
                    [this](bool every) {
                        this->everyReport = every;
                    }};
    }

    /// A leaf writes its next report.
    auto report(const std::string &id, std::uint64_t sequence, bool draining = false) -> void
    {
        const auto entry =
            LeafEntry{.id = id, .service = "s", .draining = draining, .startedAt = 7, .sequence = sequence, .revision = ++this->contents.revision};
        this->contents.leafs[id] = entry;
        this->contents.events.emplace_back(entry.revision, entry);
    }

    auto remove(const std::string &id) -> void
    {
        this->contents.leafs.erase(id);
        this->contents.events.emplace_back(++this->contents.revision, LeafRemoved{.id = id});
    }

    auto publish(std::uint64_t version) -> void
    {
        this->contents.catalogue = {.version = version, .writtenRevision = ++this->contents.revision};
        this->contents.events.emplace_back(this->contents.revision, this->contents.catalogue);
    }

    auto restore() -> void
    {
        this->contents = this->copy;
        this->era = this->era.value_or(0) + 1;
    }

    auto runFor(absl::Duration time) -> void
    {
        this->loop.runAt(base::monotonicNow() + time, [this] {
            this->loop.stop();
        });
        this->loop.run();
    }

    /// Returns the leafs that are known, those that drain with a mark.
    auto known() -> std::vector<std::string>
    {
        auto ids = std::vector<std::string>();
        for (const auto &leaf : this->directory.service("s").leafs) {
            ids.push_back(leaf->entry.id + (leaf->entry.draining ? " drains" : ""));
        }
        std::ranges::sort(ids);
        return ids;
    }
};

using Leafs = std::vector<std::string>;

// A restored store made hosts use leafs that had left, and ignore for good what was written at revisions that had been assigned before.
TEST(FollowerEra, NothingIsRolledBackByARestoreAndWhatIsWrittenAfterItIsSeen)
{
    for (const auto firstEra : {std::optional<std::uint64_t>(4), std::optional<std::uint64_t>()}) {
        auto store = RestoredStore{.era = firstEra};
        for (const auto *const id : {"drains", "leaves", "stays"}) {
            store.report(id, 5);
        }
        store.follower.start();
        store.runFor(soon);
        store.copy = store.contents;
        store.report("drains", 8, true);
        store.remove("leaves");
        store.publish(3);
        store.report("late", 1);
        store.report("lost", 1);
        for (auto count = std::uint64_t{1}; count <= 20; ++count) {
            store.report("stays", 5 + count);
        }
        store.runFor(soon);
        EXPECT_EQ(store.known(), (Leafs{"drains drains", "late", "lost", "stays"}));
        store.restore();
        store.runFor(soon);
        EXPECT_EQ(store.known(), (Leafs{"drains drains", "late", "lost", "stays"}));
        EXPECT_EQ(store.follower.era(), firstEra.value_or(0) + 1);
        EXPECT_TRUE(store.everyReport);
        // The leaf "late" is missing from the copy, "stays" has a greater sequence than in the copy; both drain at revisions that had been assigned before.
        store.report("late", 2, true);
        store.report("stays", 30, true);
        store.publish(5);
        store.runFor(soon);
        EXPECT_EQ(store.known(), (Leafs{"drains drains", "late drains", "lost", "stays drains"}));
        store.report("drains", 9, true);
        store.report("leaves", 6);
        store.runFor(grace);
        EXPECT_EQ(store.known(), (Leafs{"drains drains", "late drains", "leaves", "stays drains"}));
        EXPECT_EQ(store.versions, (std::vector<std::uint64_t>{1, 3, 5}));
        store.runFor(soon);
        EXPECT_FALSE(store.everyReport);
        EXPECT_EQ(store.announced.back().position.era, firstEra.value_or(0) + 1);
        EXPECT_LT(base::monotonicNow() - store.follower.knownUntil(), soon);
    }
}

// The copy of a leaf that crashed is never written again, and expires.
TEST(FollowerEra, SeveralRestoresInARowBringNoLeafBack)
{
    auto store = RestoredStore();
    store.report("crashed", 5);
    store.report("stays", 5);
    store.follower.start();
    store.runFor(soon);
    store.copy = store.contents;
    store.remove("crashed");
    store.runFor(soon);
    for (auto count = 0; count < 3; ++count) {
        store.restore();
        store.runFor(soon / 2);
        EXPECT_EQ(store.known(), Leafs{"stays"});
    }
    store.remove("crashed");
    store.runFor(grace + soon);
    EXPECT_EQ(store.known(), Leafs{"stays"});
}

TEST(FollowerEra, AListingWhosePagesAreOfDifferentErasIsStartedAgain)
{
    auto store = RestoredStore();
    store.report("a", 5);
    auto secondPages = 0;
    store.beforeSecondPage = [&store, &secondPages] {
        *store.era += ++secondPages == 1 ? 1 : 0;
    };
    store.follower.start();
    store.runFor(soon);
    EXPECT_EQ(store.listings, 2);
    EXPECT_EQ(store.known(), Leafs{"a"});
    EXPECT_EQ(store.follower.era(), 2);
}

TEST(FollowerEra, TheReadThatWaitsForACatalogueShowsALaterEraAtOnce)
{
    auto store = RestoredStore();
    store.follower.start();
    auto waiting = *std::exchange(store.watch, std::nullopt);
    store.restore();
    store.contents.catalogue.version = 9;
    waiting({.outcome = DocumentReply::Outcome::HistoryLost, .era = store.era});
    EXPECT_EQ(store.follower.era(), 2);
    EXPECT_EQ(store.versions, (std::vector<std::uint64_t>{1, 9}));
    EXPECT_TRUE(store.watch.has_value());
}

TEST(FollowerEra, AnswersOfAnEraBeforeTheOneHeardDoNotCountUntilThatIsForgotten)
{
    auto store = RestoredStore();
    store.report("a", 5);
    store.follower.start();
    store.runFor(soon);
    store.follower.noteStatement({.reader = 9, .read = 1, .position = {.era = 6, .revision = 3}, .currentAt = base::monotonicNow()});
    store.report("a", 6, true);
    store.runFor(soon);
    EXPECT_EQ(store.known(), Leafs{"a"});
    EXPECT_EQ(store.follower.era(), 1);
    // Nothing that the discarded answers contained is missed afterwards, although the store's client has seen it.
    store.runFor(validity);
    EXPECT_EQ(store.known(), Leafs{"a drains"});
    store.follower.noteStatement({.reader = 9, .read = 2, .position = {.era = 7, .revision = 3}, .currentAt = base::monotonicNow()});
    store.report("b", 1);
    store.runFor(soon);
    EXPECT_EQ(store.known(), (Leafs{"a drains", "b"}));
}

TEST(FollowerEra, LowerErasAreDiscardedUntilTheStoreCountsAsReplaced)
{
    auto store = RestoredStore{.era = 5};
    store.report("a", 5);
    store.follower.start();
    store.runFor(soon);
    store.contents = {.catalogue = {.version = 1}, .revision = 2};
    store.era = 2;
    store.report("b", 1);
    store.runFor(soon);
    EXPECT_EQ(store.known(), Leafs{"a"});
    EXPECT_EQ(store.listings, 1);
    store.runFor(validity);
    EXPECT_EQ(store.known(), (Leafs{"a", "b"}));
    EXPECT_EQ(store.follower.era(), 2);
    store.runFor(grace);
    EXPECT_EQ(store.known(), Leafs{"b"});
    store.report("b", 2, true);
    store.runFor(soon);
    EXPECT_EQ(store.known(), Leafs{"b drains"});
}

TEST(FollowerEra, AnswersWithoutTheEraCountAsBeingOfTheKnownOne)
{
    auto store = RestoredStore{.era = 5};
    store.report("a", 5);
    store.follower.start();
    store.runFor(soon);
    store.era.reset();
    store.report("a", 6, true);
    store.runFor(soon);
    EXPECT_EQ(store.known(), Leafs{"a drains"});
    EXPECT_EQ(store.follower.era(), 5);
    EXPECT_EQ(store.listings, 1);
}

// A copy doesn't contain the evacuations that the operator demanded after it was made: only a listing after the grace period may withdraw them.
TEST(FollowerEra, AnEvacuationIsJudgedByAListingAfterTheGracePeriod)
{
    auto store = RestoredStore{};
    store.follower.start();
    store.runFor(soon);
    ASSERT_EQ(store.evacuationListings.size(), 1);
    EXPECT_FALSE(store.evacuationListings.back().fromCopy);
    store.copy = store.contents;
    store.restore();
    store.runFor(soon);
    ASSERT_EQ(store.evacuationListings.size(), 2);
    EXPECT_TRUE(store.evacuationListings.back().fromCopy);
    store.runFor(grace + soon);
    ASSERT_EQ(store.evacuationListings.size(), 3);
    EXPECT_FALSE(store.evacuationListings.back().fromCopy);
    EXPECT_EQ(store.evacuationListings.back().listedAt->era, 2);
}

} // namespace
