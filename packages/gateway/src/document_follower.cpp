#include "tamarackspan/gateway/document_follower.h"

#include "tamarackspan/base/clock.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace tamarackspan::gateway {

DocumentFollower::DocumentFollower(transport::EventLoop &loop, DocumentCalls calls, LeafDirectory &directory, FollowerSettings settings, FollowerPeers peers,
                                   OnCatalogue onCatalogue, const logging::Logger &log, OnEvacuations onEvacuations)
    : loop(loop),
      store(std::move(calls)),
      directory(directory),
      settings(settings),
      peers(std::move(peers)),
      onCatalogue(std::move(onCatalogue)),
      log(log),
      onEvacuations(std::move(onEvacuations))
{
}

DocumentFollower::~DocumentFollower()
{
    *this->alive = false;
}

auto DocumentFollower::start() -> void
{
    this->readCatalogue();
}

auto DocumentFollower::setSettings(const FollowerSettings &next) -> void
{
    this->settings = next;
}

auto DocumentFollower::onStoreMoved() -> void
{
    ++this->storeMoves;
    if (this->plannedRead != 0) {
        this->loop.cancelTimer(std::exchange(this->plannedRead, 0));
        this->readNext();
    }
}

auto DocumentFollower::complete() const noexcept -> bool
{
    return this->haveCatalogue && this->haveLeafs;
}

auto DocumentFollower::calls() const noexcept -> std::uint64_t
{
    return this->callsMade;
}

auto DocumentFollower::currentReads() const noexcept -> std::uint64_t
{
    return this->currentReadsMade;
}

auto DocumentFollower::knownUntil() const -> absl::Time
{
    return this->statements.knownUntil({.revision = this->revision});
}

auto DocumentFollower::noteStatement(const census::RevisionStatement &statement) -> void
{
    this->record(statement, false);
}

auto DocumentFollower::noteCurrentRead(std::uint64_t revision, absl::Time sentAt) -> void
{
    this->record({.reader = this->peers.reader, .read = ++this->ownReads, .position = {.revision = revision}, .currentAt = sentAt}, true);
}

auto DocumentFollower::record(const census::RevisionStatement &statement, bool ownRead) -> void
{
    if (this->statements.record(statement, this->settings.currentReads.interval / 2) && this->peers.spread) {
        this->peers.spread(statement, ownRead);
    }
}

auto DocumentFollower::currentReadView() const -> CurrentReadView
{
    const auto latest = this->statements.latest();
    return {.knownUntil = this->knownUntil(),
            .statedAt = latest.has_value() ? latest->currentAt : absl::InfinitePast(),
            .rank = this->peers.rank ? this->peers.rank() : std::nullopt};
}

auto DocumentFollower::scheduleStep(absl::Duration delay, void (DocumentFollower::*step)()) -> void
{
    this->loop.runAt(base::monotonicNow() + delay, [this, alive = this->alive, step] {
        if (*alive) {
            (this->*step)();
        }
    });
}

auto DocumentFollower::readCatalogue() -> void
{
    ++this->callsMade;
    this->store.catalogue(this->settings.timeout,
                          [this, alive = this->alive, sentAt = base::monotonicNow(), moves = this->storeMoves](const DocumentReply &reply) {
                              if (!*alive) {
                                  return;
                              }
                              if (reply.outcome == DocumentReply::Outcome::Ok && reply.revision >= this->revision) {
                                  this->noteCurrentRead(reply.revision, sentAt);
                              }
                              this->onCatalogueReply(reply, moves);
                          });
}

auto DocumentFollower::readLeafs() -> void
{
    ++this->callsMade;
    this->store.leafs(this->page, this->listingFresh, this->settings.timeout, [this, alive = this->alive](const DocumentReply &reply) {
        if (*alive) {
            this->onLeafsReply(reply);
        }
    });
}

auto DocumentFollower::watchCatalogue() -> void
{
    if (std::exchange(this->watching, true)) {
        return;
    }
    ++this->callsMade;
    this->store.catalogueChanges(this->catalogueRevision, this->settings.catalogueWait, this->settings.timeout,
                                 [this, alive = this->alive](const DocumentReply &reply) {
                                     if (*alive) {
                                         this->onCatalogueChanges(reply);
                                     }
                                 });
}

auto DocumentFollower::readChanges(bool fresh) -> void
{
    ++this->callsMade;
    this->currentReadsMade += fresh ? 1 : 0;
    const auto sentAt = base::monotonicNow();
    this->directory.expire(sentAt);
    this->store.changes(this->revision, fresh, this->settings.timeout, [this, alive = this->alive, fresh, sentAt](const DocumentReply &reply) {
        if (!*alive) {
            return;
        }
        if (fresh && reply.outcome == DocumentReply::Outcome::Ok) {
            this->noteCurrentRead(reply.revision, sentAt);
        } else if (fresh && reply.outcome == DocumentReply::Outcome::HistoryLost) {
            // A cheap listing may be older than the history reaches: the current read after it would fail in the same way.
            this->listingFresh = true;
        }
        this->onChangesReply(reply);
    });
}

auto DocumentFollower::isSameStore(const DocumentReply &reply) const -> bool
{
    return std::ranges::any_of(reply.changes, [this](const DocumentChange &change) {
        const auto *const catalogue = std::get_if<Catalogue>(&change);
        if (catalogue == nullptr || catalogue->createdRevision != this->catalogueCreated) {
            return false;
        }
        return catalogue->version == this->version ? catalogue->writtenRevision == this->catalogueWritten
                                                   : catalogue->version > this->version && catalogue->writtenRevision > this->catalogueWritten;
    });
}

auto DocumentFollower::onCatalogueReply(const DocumentReply &reply, std::uint64_t callMoves) -> void
{
    if (reply.outcome != DocumentReply::Outcome::Ok) {
        this->noteFailure(reply.error);
        this->directory.expire(base::monotonicNow());
        this->scheduleStep(this->settings.retryDelay, &DocumentFollower::readCatalogue);
        return;
    }
    const auto moved = this->checkedMoves != callMoves;
    if (moved && reply.revision < this->revision) {
        this->log.warning("the store's new address is behind what is known, which stays in use", {{"revision", reply.revision}, {"known", this->revision}});
        this->scheduleStep(this->settings.interval, &DocumentFollower::readCatalogue);
        return;
    }
    this->noteContact();
    const auto continues = this->isSameStore(reply);
    for (const auto &change : reply.changes) {
        this->apply(change);
    }
    this->noteEvacuations(reply, true);
    if (!this->haveCatalogue) {
        this->scheduleStep(this->settings.retryDelay, &DocumentFollower::readCatalogue);
        return;
    }
    if (moved) {
        this->checkedMoves = callMoves;
        this->log.info(continues ? "the store's new address serves the same store" : "the store's new address serves another store; all is listed anew",
                       {{"version", this->version}, {"revision", reply.revision}, {"known", this->revision}});
        if (continues && this->haveLeafs) {
            this->watchCatalogue();
            this->readChanges(true);
            return;
        }
        // A cheap listing may be older than the catalogue.
        this->listingFresh = true;
    }
    this->catalogueRevision = std::max(this->catalogueRevision, reply.revision);
    this->listingRevision = reply.revision;
    this->watchCatalogue();
    this->page.clear();
    this->listedIds.clear();
    this->readLeafs();
}

auto DocumentFollower::onCatalogueChanges(const DocumentReply &reply) -> void
{
    this->watching = false;
    if (reply.outcome != DocumentReply::Outcome::Ok) {
        // The reads of changes detect an unreachable store and deliver catalogues meanwhile; after lost history they read the newest one.
        if (reply.outcome == DocumentReply::Outcome::HistoryLost) {
            this->catalogueRevision = std::max(this->catalogueRevision, this->revision);
        }
        this->scheduleStep(this->settings.interval, &DocumentFollower::watchCatalogue);
        return;
    }
    for (const auto &change : reply.changes) {
        this->apply(change);
    }
    this->noteEvacuations(reply, false);
    this->catalogueRevision = std::max(this->catalogueRevision, reply.revision);
    this->watchCatalogue();
    this->expediteRead();
}

auto DocumentFollower::onLeafsReply(const DocumentReply &reply) -> void
{
    if (reply.outcome != DocumentReply::Outcome::Ok) {
        this->noteFailure(reply.error);
        this->scheduleStep(this->settings.retryDelay, &DocumentFollower::readLeafs);
        return;
    }
    this->noteContact();
    if (!this->listingFresh && reply.revision < this->revision) {
        // Older than what is known already: it would add leafs again that have been removed since.
        this->log.info("a listing is behind what is known", {{"revision", reply.revision}, {"known", this->revision}});
        this->listingFresh = true;
        this->lastFreshListingAt = base::monotonicNow();
        this->page.clear();
        this->listedIds.clear();
        this->readLeafs();
        return;
    }
    // Pages may be of different revisions: changes are read from the oldest on, so that none between them is missed.
    this->listingRevision = std::min(this->listingRevision, reply.revision);
    for (const auto &change : reply.changes) {
        if (const auto *const entry = std::get_if<LeafEntry>(&change)) {
            this->listedIds.push_back(entry->id);
        }
        this->apply(change);
    }
    if (!reply.nextPage.empty()) {
        this->page = reply.nextPage;
        this->readLeafs();
        return;
    }
    const auto now = base::monotonicNow();
    this->directory.keepOnly(std::exchange(this->listedIds, {}), now, this->removalTime(now));
    this->revision = this->listingRevision;
    if (!std::exchange(this->haveLeafs, true)) {
        this->log.info("all leafs have been listed", {{"leafs", this->directory.size()}, {"revision", this->revision}});
    }
    this->listingFresh = false;
    this->lastReadAt = now;
    this->scheduleNextRead();
}

auto DocumentFollower::lacksLeafs(absl::Time now) const -> bool
{
    if (now - this->newServicesAt > this->settings.freshWindow || now - this->lastFreshListingAt < this->settings.freshInterval) {
        return false;
    }
    return std::ranges::any_of(this->newServices, [this](const std::string &service) {
        return this->directory.service(service).leafs.empty();
    });
}

auto DocumentFollower::scheduleNextRead() -> void
{
    const auto now = base::monotonicNow();
    const auto readAt = std::min(this->lastReadAt + this->settings.interval, currentReadDueAt(this->currentReadView(), this->settings.currentReads));
    this->plannedRead = this->loop.runAt(this->lacksLeafs(now) ? now : std::max(readAt, now), [this, alive = this->alive] {
        if (*alive) {
            this->plannedRead = 0;
            this->readNext();
        }
    });
}

auto DocumentFollower::expediteRead() -> void
{
    if (this->plannedRead != 0 && this->lacksLeafs(base::monotonicNow())) {
        this->loop.cancelTimer(std::exchange(this->plannedRead, 0));
        this->readNext();
    }
}

auto DocumentFollower::readNext() -> void
{
    const auto now = base::monotonicNow();
    if (this->checkedMoves != this->storeMoves) {
        this->readCatalogue();
        return;
    }
    if (!this->lacksLeafs(now)) {
        const auto view = this->currentReadView();
        if (now >= currentReadDueAt(view, this->settings.currentReads)) {
            if (now - view.knownUntil >= this->settings.currentReads.maxAge) {
                this->log.info("what is known of the store is old; its current state is read",
                               {{"age_ms", absl::ToInt64Milliseconds(now - view.knownUntil)},
                                {"stated_ms_ago", absl::ToInt64Milliseconds(now - view.statedAt)},
                                {"revision", this->revision}});
            }
            this->readChanges(true);
        } else if (now >= this->lastReadAt + this->settings.interval) {
            this->readChanges(false);
        } else {
            this->scheduleNextRead();
        }
        return;
    }
    this->log.info("a service has no leafs; they are listed afresh", {{"version", this->version}});
    this->listingFresh = true;
    this->lastFreshListingAt = now;
    this->listingRevision = std::numeric_limits<std::uint64_t>::max();
    this->page.clear();
    this->listedIds.clear();
    this->readLeafs();
}

auto DocumentFollower::onChangesReply(const DocumentReply &reply) -> void
{
    if (reply.outcome != DocumentReply::Outcome::Ok) {
        const auto lost = reply.outcome == DocumentReply::Outcome::HistoryLost;
        if (lost) {
            this->noteContact();
        } else {
            this->noteFailure(reply.error);
        }
        if (lost || base::monotonicNow() - this->lastContact > this->settings.relistAfter) {
            this->log.warning("everything is read again", {{"reason", lost ? "history lost" : "no reply for too long"}, {"revision", this->revision}});
            this->scheduleStep(lost ? absl::ZeroDuration() : this->settings.retryDelay, &DocumentFollower::readCatalogue);
            return;
        }
        this->scheduleStep(this->settings.retryDelay, &DocumentFollower::readNext);
        return;
    }
    this->noteContact();
    for (const auto &change : reply.changes) {
        this->apply(change);
    }
    this->noteEvacuations(reply, false);
    this->revision = std::max(this->revision, reply.revision);
    this->lastReadAt = base::monotonicNow();
    this->scheduleNextRead();
}

auto DocumentFollower::apply(const DocumentChange &change) -> void
{
    const auto now = base::monotonicNow();
    if (const auto *const catalogue = std::get_if<Catalogue>(&change)) {
        if (this->haveCatalogue && catalogue->version <= this->version) {
            return;
        }
        this->log.info("a configuration is in force",
                       {{"version", catalogue->version}, {"before", this->version}, {"operations", catalogue->operations.size()}});
        this->version = catalogue->version;
        this->catalogueCreated = catalogue->createdRevision;
        this->catalogueWritten = catalogue->writtenRevision;
        this->haveCatalogue = true;
        auto named = servicesNamed(*catalogue);
        auto added = std::vector<std::string>();
        std::ranges::set_difference(named, this->services, std::back_inserter(added));
        this->services = std::move(named);
        if (!added.empty()) {
            this->newServices = std::move(added);
            this->newServicesAt = now;
        }
        this->onCatalogue(std::make_shared<const Catalogue>(*catalogue));
    } else if (const auto *const entry = std::get_if<LeafEntry>(&change)) {
        this->directory.put(*entry, now);
    } else if (const auto *const removed = std::get_if<LeafRemoved>(&change)) {
        this->directory.remove(removed->id, now, this->removalTime(now));
    } else if (const auto *const unreadable = std::get_if<UnreadableEntry>(&change)) {
        this->log.warning("an entry of the store can't be used", {{"key", unreadable->key}, {"reason", unreadable->reason}});
    }
}

auto DocumentFollower::noteEvacuations(const DocumentReply &reply, bool listing) const -> void
{
    const auto era = reply.era.value_or(0);
    auto reading = EvacuationReading();
    for (const auto &change : reply.changes) {
        if (const auto *const item = std::get_if<EvacuationItem>(&change)) {
            reading.items.push_back({.dataCentre = item->dataCentre, .evacuated = item->evacuated, .since = {.era = era, .revision = item->revision}});
        }
    }
    if (listing) {
        reading.listedAt = census::StoreRevision{.era = era, .revision = reply.revision};
    }
    if (this->onEvacuations && (listing || !reading.items.empty())) {
        this->onEvacuations(reading);
    }
}

auto DocumentFollower::noteContact() -> void
{
    const auto now = base::monotonicNow();
    if (!std::exchange(this->reachable, true)) {
        this->reachableSince = now;
        this->log.info("the store answers again", {{"away_ms", absl::ToInt64Milliseconds(now - this->lastContact)}});
    }
    this->lastContact = now;
}

auto DocumentFollower::noteFailure(const std::string &error) -> void
{
    if (std::exchange(this->reachable, false)) {
        this->log.warning("the store doesn't answer; what is known stays in use", {{"error", error}});
    }
}

auto DocumentFollower::removalTime(absl::Time now) const -> absl::Time
{
    const auto settled = this->reachableSince + this->settings.republishGrace;
    return now < settled ? settled : now;
}

} // namespace tamarackspan::gateway
