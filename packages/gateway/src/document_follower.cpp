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

auto DocumentFollower::era() const noexcept -> std::uint64_t
{
    return this->storeEra.known.value_or(0);
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
    return this->statements.knownUntil(this->position);
}

auto DocumentFollower::noteStatement(const census::RevisionStatement &statement) -> void
{
    if (noteHeardEra(this->storeEra, statement.position.era, base::monotonicNow())) {
        this->log.warning("another host states a later era of the store; answers of earlier ones don't count until the store confirms it",
                          {{"era", statement.position.era}, {"known", this->era()}, {"reader", statement.reader}});
    }
    this->record(statement, false);
}

auto DocumentFollower::noteCurrentRead(const census::StoreRevision &at, absl::Time sentAt) -> void
{
    this->record({.reader = this->peers.reader, .read = ++this->ownReads, .position = at, .currentAt = sentAt}, true);
}

auto DocumentFollower::positionOf(const DocumentReply &reply) const -> census::StoreRevision
{
    return {.era = this->era(), .revision = reply.revision};
}

auto DocumentFollower::replyTo(Step again, std::function<void(const DocumentReply &)> onReply) -> DocumentCalls::Callback
{
    return [this, alive = this->alive, callRound = this->round, again, onReply = std::move(onReply)](const DocumentReply &reply) {
        if (!*alive || callRound != this->round) {
            return;
        }
        if (this->isOfKnownEra(reply)) {
            onReply(reply);
        } else if (callRound == this->round) {
            this->directory.expire(base::monotonicNow());
            this->scheduleStep(this->settings.retryDelay, again);
        }
    };
}

auto DocumentFollower::isOfKnownEra(const DocumentReply &reply) -> bool
{
    if (reply.outcome == DocumentReply::Outcome::Unavailable && !reply.era.has_value()) {
        return true;
    }
    const auto now = base::monotonicNow();
    this->checkEra(now);
    const auto before = this->era();
    const auto isFirst = !this->storeEra.known.has_value();
    if (!reply.era.has_value() && (before != 0 || reply.hasUnreadableEra) && !std::exchange(this->warnedOfMissingEra, true)) {
        this->log.warning("an answer of the store states no era that can be read; it counts as being of the known one",
                          {{"known", before}, {"stated", reply.hasUnreadableEra}});
    }
    const auto verdict = judgeAnswer(this->storeEra, reply.era, now, this->settings.eras);
    switch (verdict) {
    case EraVerdict::Accept:
        this->warnedOfLowerEra = false;
        if (isFirst) {
            this->directory.beginEra(this->era());
        }
        return true;
    case EraVerdict::Unconfirmed:
        this->haveDiscarded = true;
        this->noteFailure("its era is earlier than another host states");
        return false;
    case EraVerdict::Lower:
        this->haveDiscarded = true;
        if (!std::exchange(this->warnedOfLowerEra, true)) {
            this->log.warning("an answer of the store is of an earlier era and is discarded", {{"era", reply.era.value_or(0)}, {"known", before}});
        }
        return false;
    case EraVerdict::Later:
    case EraVerdict::Replaced:
        this->beginEra(before, verdict == EraVerdict::Replaced);
        return false;
    }
    return false;
}

auto DocumentFollower::beginEra(std::uint64_t before, bool isReplaced) -> void
{
    this->log.warning(isReplaced ? "the store counts as replaced; everything is read again"
                                 : "the store is restored from an older copy; everything is read again",
                      {{"era", this->era()}, {"before", before}, {"revision", this->position.revision}, {"leafs", this->directory.size()}});
    this->inGrace = true;
    this->warnedOfLowerEra = false;
    this->directory.beginEra(this->era());
    if (isReplaced) {
        this->position = {};
        if (this->onEvacuations) {
            this->onEvacuations({.storeReplaced = true});
        }
    }
    this->catalogueRevision = 0;
    this->listingFresh = true;
    // Whatever call or step is under way no longer counts.
    ++this->round;
    if (this->plannedRead != 0) {
        this->loop.cancelTimer(std::exchange(this->plannedRead, 0));
    }
    this->readCatalogue();
}

auto DocumentFollower::checkEra(absl::Time now) -> void
{
    if (forgetUnconfirmed(this->storeEra, now, this->settings.eras)) {
        this->log.warning("an era that another host stated wasn't confirmed by the store and is forgotten", {{"known", this->era()}});
    }
    if (this->inGrace && this->knownUntil() >= this->storeEra.changedAt + this->settings.eras.restoreGrace) {
        this->inGrace = false;
        this->relistsAfterGrace = true;
        this->log.info("the grace period after the store's new era has ended",
                       {{"era", this->era()}, {"leafs", this->directory.size()}, {"unconfirmed", this->directory.unconfirmed()}});
    }
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

auto DocumentFollower::scheduleStep(absl::Duration delay, Step step) -> void
{
    this->loop.runAt(base::monotonicNow() + delay, [this, alive = this->alive, stepRound = this->round, step] {
        if (*alive && stepRound == this->round) {
            (this->*step)();
        }
    });
}

auto DocumentFollower::readCatalogue() -> void
{
    ++this->callsMade;
    this->store.catalogue(
        this->settings.timeout,
        this->replyTo(&DocumentFollower::readCatalogue, [this, sentAt = base::monotonicNow(), moves = this->storeMoves](const DocumentReply &reply) {
            if (reply.outcome == DocumentReply::Outcome::Ok && this->positionOf(reply) >= this->position) {
                this->noteCurrentRead(this->positionOf(reply), sentAt);
            }
            this->onCatalogueReply(reply, moves);
        }));
}

auto DocumentFollower::readLeafs() -> void
{
    ++this->callsMade;
    this->store.leafs(this->page, this->listingFresh, this->settings.timeout, this->replyTo(&DocumentFollower::readLeafs, [this](const DocumentReply &reply) {
        this->onLeafsReply(reply);
    }));
}

auto DocumentFollower::watchCatalogue() -> void
{
    if (std::exchange(this->watching, true)) {
        return;
    }
    ++this->callsMade;
    this->store.catalogueChanges(this->catalogueRevision, this->settings.catalogueWait, this->settings.timeout,
                                 [this, alive = this->alive, callRound = this->round](const DocumentReply &reply) {
                                     if (*alive) {
                                         this->onCatalogueChanges(reply, callRound);
                                     }
                                 });
}

auto DocumentFollower::readChanges(bool fresh) -> void
{
    ++this->callsMade;
    this->currentReadsMade += fresh ? 1 : 0;
    const auto sentAt = base::monotonicNow();
    this->directory.expire(sentAt);
    if (this->store.setEveryReport) {
        // Reports that repeat the one before show that a leaf has written its entry in the new era.
        this->store.setEveryReport(this->haveDiscarded || this->inGrace || this->directory.unconfirmed() > 0);
    }
    this->store.changes(this->position.revision, fresh, this->settings.timeout,
                        this->replyTo(&DocumentFollower::readNext, [this, fresh, sentAt](const DocumentReply &reply) {
                            if (fresh && reply.outcome == DocumentReply::Outcome::Ok) {
                                this->noteCurrentRead(this->positionOf(reply), sentAt);
                            } else if (fresh && reply.outcome == DocumentReply::Outcome::HistoryLost) {
                                // A cheap listing may be older than the history reaches: the current read after it would fail in the same way.
                                this->listingFresh = true;
                            }
                            this->onChangesReply(reply);
                        }));
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
    if (moved && this->positionOf(reply) < this->position) {
        this->log.warning("the store's new address is behind what is known, which stays in use",
                          {{"revision", reply.revision}, {"known", this->position.revision}});
        this->scheduleStep(this->settings.interval, &DocumentFollower::readCatalogue);
        return;
    }
    this->noteContact();
    const auto continues = this->position.era == this->era() && this->isSameStore(reply);
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
                       {{"version", this->version}, {"revision", reply.revision}, {"known", this->position.revision}});
        if (continues && this->haveLeafs) {
            this->watchCatalogue();
            this->readChanges(true);
            return;
        }
        // A cheap listing may be older than the catalogue.
        this->listingFresh = true;
    }
    this->listingFresh = this->listingFresh || this->position.era != this->era();
    this->catalogueRevision = std::max(this->catalogueRevision, reply.revision);
    this->listingRevision = reply.revision;
    this->watchCatalogue();
    this->page.clear();
    this->listedIds.clear();
    this->readLeafs();
}

auto DocumentFollower::onCatalogueChanges(const DocumentReply &reply, std::uint64_t callRound) -> void
{
    this->watching = false;
    const auto isUsable = this->isOfKnownEra(reply);
    if (callRound != this->round) {
        // It waited for a revision of an earlier era. The reads of changes have delivered or will deliver what it contains.
        if (this->catalogueRevision > 0) {
            this->watchCatalogue();
        }
        return;
    }
    if (!isUsable) {
        this->scheduleStep(this->settings.interval, &DocumentFollower::watchCatalogue);
        return;
    }
    if (reply.outcome != DocumentReply::Outcome::Ok) {
        // The reads of changes detect an unreachable store and deliver catalogues meanwhile; after lost history they read the newest one.
        if (reply.outcome == DocumentReply::Outcome::HistoryLost) {
            this->catalogueRevision = std::max(this->catalogueRevision, this->position.revision);
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
    if (!this->listingFresh && this->positionOf(reply) < this->position) {
        // Older than what is known already: it would add leafs again that have been removed since.
        this->log.info("a listing is behind what is known", {{"revision", reply.revision}, {"known", this->position.revision}});
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
    this->directory.keepOnly(std::exchange(this->listedIds, {}), now, this->missingRemovalTime(now));
    this->position = {.era = this->era(), .revision = this->listingRevision};
    if (!std::exchange(this->haveLeafs, true)) {
        this->log.info("all leafs have been listed", {{"leafs", this->directory.size()}, {"revision", this->position.revision}});
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
    if (this->checkedMoves != this->storeMoves || std::exchange(this->relistsAfterGrace, false)) {
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
                                {"revision", this->position.revision}});
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
            this->log.warning("everything is read again", {{"reason", lost ? "history lost" : "no reply for too long"}, {"revision", this->position.revision}});
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
    this->position = std::max(this->position, this->positionOf(reply));
    this->haveDiscarded = false;
    this->checkEra(base::monotonicNow());
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
        auto read = *entry;
        read.era = this->era();
        this->directory.put(read, now);
    } else if (const auto *const removed = std::get_if<LeafRemoved>(&change)) {
        this->directory.remove(removed->id, now, this->removalTime(now));
    } else if (const auto *const unreadable = std::get_if<UnreadableEntry>(&change)) {
        this->log.warning("an entry of the store can't be used", {{"key", unreadable->key}, {"reason", unreadable->reason}});
    }
}

auto DocumentFollower::noteEvacuations(const DocumentReply &reply, bool listing) const -> void
{
    auto reading = EvacuationReading{.fromCopy = listing && this->inGrace};
    for (const auto &change : reply.changes) {
        if (const auto *const item = std::get_if<EvacuationItem>(&change)) {
            reading.items.push_back({.dataCentre = item->dataCentre, .evacuated = item->evacuated, .since = {.era = this->era(), .revision = item->revision}});
        }
    }
    if (listing) {
        reading.listedAt = this->positionOf(reply);
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
    // Entries of a copy may expire before their leafs had time to write them again. Longer than this time the removal of a leaf must not stay unknown.
    return std::max({now, settled, this->storeEra.changedAt + this->settings.republishGrace});
}

auto DocumentFollower::missingRemovalTime(absl::Time now) const -> absl::Time
{
    return std::max(this->removalTime(now), this->storeEra.changedAt + this->settings.eras.restoreGrace);
}

} // namespace tamarackspan::gateway
