#pragma once

#include "tamarackspan/gateway/catalogue.h"
#include "tamarackspan/gateway/decisions/evacuation_table.h"
#include "tamarackspan/gateway/decisions/revision_history.h"
#include "tamarackspan/gateway/decisions/store_era.h"
#include "tamarackspan/gateway/leaf_directory.h"
#include "tamarackspan/gateway/ports.h"
#include "tamarackspan/logging/logger.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::gateway {

/// Timing of a host's reads from the document store.
struct FollowerSettings
{
    /// Time between two reads of changes. Leafs report all the time, so a read that waits for the next change would return at once. The interval is a third of
    /// the time within which a leaf's departure must be known; the rest allows for a store that answers late.
    absl::Duration interval = absl::Milliseconds(1000);
    /// When a read of changes must be current instead of cheap, so that the age of what is known has a bound.
    CurrentReadSettings currentReads{};
    /// How long a read waits for the next catalogue. Changes also deliver catalogues, so a lost read costs one interval.
    absl::Duration catalogueWait = absl::Seconds(25);
    /// If no leafs are known for services that a new catalogue adds, fresh listings are read this often, until `freshWindow` after the catalogue: leafs start
    /// before a catalogue names them, so a listing that lacks them is stale.
    absl::Duration freshInterval = absl::Milliseconds(1500);
    absl::Duration freshWindow = absl::Seconds(15);
    /// After this time without a reply everything is listed again: the changes since then would be more than a listing.
    absl::Duration relistAfter = absl::Seconds(4);
    /// Timeout for a reply.
    absl::Duration timeout = absl::Milliseconds(1500);
    /// Delay before a failed call is retried.
    absl::Duration retryDelay = absl::Milliseconds(300);
    /// Entries that expired while the store was unreachable may still be published again for this long after its return before their leafs are removed.
    absl::Duration republishGrace = absl::Milliseconds(2500);
    /// What is done when the store comes back from an older copy.
    EraSettings eras{};

    friend auto operator==(const FollowerSettings &, const FollowerSettings &) -> bool = default;
};

/// How a follower shares current reads with the followers of other hosts.
struct FollowerPeers
{
    /// Identifies this start of the host in its statements.
    std::uint64_t reader = 0;
    /// Returns this host's place among all hosts, from 0; nothing if it isn't known or the host is about to stop. May be empty: then this host reads for itself
    /// only.
    std::function<std::optional<std::size_t>()> rank{};
    /// Tells other hosts of a statement, which this host's own read brought if `ownRead`. May be empty.
    std::function<void(const census::RevisionStatement &, bool ownRead)> spread{};
};

/// Keeps the catalogue, the evacuations and the leafs' entries of a host up to date from a read-only document store, which may be unreachable and may lose its
/// history of changes. The last known state stays in use while the store is unreachable. When the store comes back from an older copy, which its era shows,
/// everything is read again, and nothing that is known is rolled back before leafs and operator had time to write it again.
class DocumentFollower
{
public:
    using OnCatalogue = std::function<void(std::shared_ptr<const Catalogue>)>;
    using OnEvacuations = std::function<void(const EvacuationReading &)>;

    /// Objects passed by reference must outlive the follower. `onEvacuations` is called for each read that says something about evacuations; may be empty.
    DocumentFollower(transport::EventLoop &loop, DocumentCalls calls, LeafDirectory &directory, FollowerSettings settings, FollowerPeers peers,
                     OnCatalogue onCatalogue, const logging::Logger &log, OnEvacuations onEvacuations = {});
    ~DocumentFollower();
    DocumentFollower(const DocumentFollower &) = delete;
    auto operator=(const DocumentFollower &) -> DocumentFollower & = delete;

    /// Begins with the catalogue and a full listing of the leafs.
    auto start() -> void;

    /// Sets the timing of the reads from now on.
    auto setSettings(const FollowerSettings &next) -> void;

    /// Must be called once calls go to another address. What is known stays in use: a current read of the catalogue shows whether the new address serves the
    /// same store, from which the changes are then read on. Otherwise everything is listed. Revision and catalogue never go back: a store that is behind what
    /// is known is asked again until it isn't.
    auto onStoreMoved() -> void;

    /// Returns whether the catalogue and a complete listing of the leafs have been read.
    [[nodiscard]] auto complete() const noexcept -> bool;

    /// Records what another host states about the store's revision. It confirms what is known here, or shows that cheap reads are stale.
    auto noteStatement(const census::RevisionStatement &statement) -> void;

    /// Returns up to when all changes of the store are known; the infinite past before the first reads.
    [[nodiscard]] auto knownUntil() const -> absl::Time;

    /// Returns the store's era; 0 before the first reply, and if the store states none.
    [[nodiscard]] auto era() const noexcept -> std::uint64_t;

    /// Returns how many calls were made to the store.
    [[nodiscard]] auto calls() const noexcept -> std::uint64_t;

    /// Returns how many of them were current reads of changes.
    [[nodiscard]] auto currentReads() const noexcept -> std::uint64_t;

private:
    using Step = void (DocumentFollower::*)();

    auto readCatalogue() -> void;
    auto watchCatalogue() -> void;
    auto readLeafs() -> void;
    /// Reads the changes with a current read if `fresh`, else with a cheap one.
    auto readChanges(bool fresh) -> void;
    /// Handles the reply to a call that was made after that many moves of the store.
    auto onCatalogueReply(const DocumentReply &reply, std::uint64_t callMoves) -> void;
    /// Returns whether a reply with the newest catalogue comes from the store whose state is known.
    [[nodiscard]] auto isSameStore(const DocumentReply &reply) const -> bool;
    /// Handles the reply to a call that was made in that round.
    auto onCatalogueChanges(const DocumentReply &reply, std::uint64_t callRound) -> void;
    auto onLeafsReply(const DocumentReply &reply) -> void;
    auto onChangesReply(const DocumentReply &reply) -> void;
    auto apply(const DocumentChange &change) -> void;
    /// Passes on what a reply says about evacuations; a `listing` contains all that exist.
    auto noteEvacuations(const DocumentReply &reply, bool listing) const -> void;
    auto noteContact() -> void;
    auto noteFailure(const std::string &error) -> void;
    /// Makes a step after a delay, unless everything is read again before.
    auto scheduleStep(absl::Duration delay, Step step) -> void;
    /// Returns the callback of a call in the sequence of listings and reads of changes. It passes the reply to `onReply`, unless everything is read again
    /// meanwhile. If the reply doesn't count because of its era, it makes the step `again` after a delay.
    auto replyTo(Step again, std::function<void(const DocumentReply &)> onReply) -> DocumentCalls::Callback;
    /// Returns whether a reply counts, by its era. Begins to read everything again if its era is a new one.
    auto isOfKnownEra(const DocumentReply &reply) -> bool;
    /// Reads everything again in the era that is the known one from now on; `before` was it until now.
    auto beginEra(std::uint64_t before, bool isReplaced) -> void;
    /// Forgets an era that another host stated and the store didn't confirm, and logs the end of the grace period after a new era.
    auto checkEra(absl::Time now) -> void;
    /// Returns the point that a reply of the known era states.
    [[nodiscard]] auto positionOf(const DocumentReply &reply) const -> census::StoreRevision;
    /// Returns whether a service that the newest catalogue has added has no known leafs and a fresh listing, which may show some, is due.
    [[nodiscard]] auto lacksLeafs(absl::Time now) const -> bool;
    /// Makes the next read of changes or leafs if one is due.
    auto readNext() -> void;
    [[nodiscard]] auto currentReadView() const -> CurrentReadView;
    /// Records the point of the store's history that a current read, sent at `sentAt`, returned.
    auto noteCurrentRead(const census::StoreRevision &at, absl::Time sentAt) -> void;
    /// Records a statement, and tells other hosts if it is new to this one.
    auto record(const census::RevisionStatement &statement, bool ownRead) -> void;
    /// Schedules the next read of changes or leafs: at once if a service lacks leafs.
    auto scheduleNextRead() -> void;
    /// Runs a scheduled read at once if a service lacks leafs. Otherwise, when a new set of shards comes into force while cheap reads are stale, each query for
    /// it would be refused until the next read.
    auto expediteRead() -> void;
    /// Returns when a leaf is removed whose entry was removed.
    [[nodiscard]] auto removalTime(absl::Time now) const -> absl::Time;
    /// Returns when a leaf is removed that a listing lacks: a copy of the store may lack it too.
    [[nodiscard]] auto missingRemovalTime(absl::Time now) const -> absl::Time;

    transport::EventLoop &loop;
    DocumentCalls store;
    LeafDirectory &directory;
    FollowerSettings settings;
    FollowerPeers peers;
    OnCatalogue onCatalogue;
    const logging::Logger &log;
    OnEvacuations onEvacuations;
    RevisionHistory statements;
    std::uint64_t ownReads = 0;
    std::uint64_t currentReadsMade = 0;
    /// When the last read of changes or leafs ended.
    absl::Time lastReadAt = absl::InfinitePast();
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::uint64_t version = 0;
    /// Of the newest catalogue: see Catalogue::createdRevision and Catalogue::writtenRevision.
    std::uint64_t catalogueCreated = 0;
    std::uint64_t catalogueWritten = 0;
    /// How often the store's address has changed, and how many of these changes have been checked.
    std::uint64_t storeMoves = 0;
    std::uint64_t checkedMoves = 0;
    /// Up to where all changes are known. Stays in the era before while everything is read again.
    census::StoreRevision position{};
    StoreEra storeEra{};
    /// Counts the times at which everything began to be read again because of a new era.
    std::uint64_t round = 0;
    /// Whether replies were discarded since the last read of changes that counted: what they contained isn't known.
    bool haveDiscarded = false;
    bool inGrace = false;
    /// Whether the listing that the end of the grace period calls for is still to be made: it shows which evacuations the operator hasn't written again.
    bool relistsAfterGrace = false;
    bool warnedOfMissingEra = false;
    bool warnedOfLowerEra = false;
    std::uint64_t callsMade = 0;
    std::string page;
    std::vector<std::string> listedIds;
    std::uint64_t listingRevision = 0;
    /// Whether the listing in progress must be up to date.
    bool listingFresh = false;
    /// The services that the newest catalogue names and its predecessor didn't; below, all services that it names.
    std::vector<std::string> newServices;
    std::vector<std::string> services;
    absl::Time newServicesAt = absl::InfinitePast();
    absl::Time lastFreshListingAt = absl::InfinitePast();
    std::uint64_t catalogueRevision = 0;
    /// Whether a read that waits for the next catalogue is in flight.
    bool watching = false;
    /// Timer of the next read; 0 while a read is in flight.
    transport::TimerId plannedRead = 0;
    bool haveCatalogue = false;
    bool haveLeafs = false;
    bool reachable = true;
    absl::Time lastContact = absl::InfinitePast();
    absl::Time reachableSince = absl::InfinitePast();
};

} // namespace tamarackspan::gateway
