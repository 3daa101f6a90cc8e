#include "tamarackspan/gateway/leaf_directory.h"

#include "tamarackspan/gateway/decisions/store_era.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace tamarackspan::gateway {

namespace {

/// How long what a removed leaf stated, and that it was removed, is kept: neither a listing of the store nor a copy of it is that old.
constexpr auto removalMemory = absl::Hours(1);
/// The removed leafs that are kept at most: several times as many as the largest deployment has leafs.
constexpr auto maxRemovedLeafs = std::size_t{4096};

} // namespace

auto acceptsRequests(const KnownLeaf &leaf, absl::Time now) noexcept -> bool
{
    return !leaf.entry.draining && !leaf.saidLeaving && now >= leaf.backoffUntil;
}

auto positionOf(const LeafEntry &entry) noexcept -> census::StoreRevision
{
    return {.era = entry.era, .revision = entry.revision};
}

auto isCold(const KnownLeaf &leaf, absl::Time now) noexcept -> bool
{
    return now < leaf.warmingUpUntil || now < leaf.coldAssumedUntil;
}

auto isSameStart(const LeafEntry &one, const LeafEntry &other) -> bool
{
    // Reports count anew from each start, so that a later entry with a lower number is another start's, whatever the clocks say.
    const auto countsOn = positionOf(one) <= positionOf(other) ? one.sequence <= other.sequence : other.sequence <= one.sequence;
    return one.startedAt == other.startedAt && one.service == other.service && one.endpoint == other.endpoint && countsOn;
}

LeafDirectory::LeafDirectory(Listener listener)
    : listener(std::move(listener))
{
}

auto LeafDirectory::beginEra(std::uint64_t next) -> void
{
    if (next <= this->era) {
        const auto restamp = [next](LeafEntry &entry) {
            entry.era = next == 0 ? 0 : next - 1;
            entry.revision = next == 0 ? 0 : entry.revision;
        };
        for (const auto &[id, leaf] : this->byId) {
            restamp(leaf->entry);
            leaf->missingEra = leaf->entry.era;
        }
        for (auto &[id, start] : this->statedStarts) {
            restamp(start.entry);
        }
        for (auto &[id, removed] : this->removedLeafs) {
            restamp(removed.entry);
            removed.era = removed.entry.era;
        }
    }
    this->era = next;
    this->unconfirmedEntries.clear();
}

auto LeafDirectory::put(const LeafEntry &entry, absl::Time now) -> void
{
    const auto found = this->byId.find(entry.id);
    if (found != this->byId.end() && positionOf(entry) < positionOf(found->second->entry)) {
        // From a stale read.
        return;
    }
    if (!this->isConfirmed(entry, found == this->byId.end() ? nullptr : found->second.get())) {
        return;
    }
    if (found != this->byId.end() && isSameStart(found->second->entry, entry)) {
        const auto leaf = found->second;
        const auto changed = leaf->entry.slots != entry.slots || leaf->removeAt != absl::InfiniteFuture();
        const auto startsDraining = entry.draining && !leaf->entry.draining;
        const auto becomesCold = entry.warmUp > absl::ZeroDuration() && leaf->entry.warmUp <= absl::ZeroDuration();
        if (positionOf(entry) > positionOf(leaf->entry) && now >= leaf->coldAssumedAt + maxEntryDelay) {
            leaf->coldAssumedUntil = absl::InfinitePast();
        }
        leaf->entry = entry;
        leaf->warmingUpUntil = now + entry.warmUp;
        leaf->removeAt = absl::InfiniteFuture();
        if (startsDraining) {
            this->listener({.kind = DirectoryEvent::Kind::LeafDraining, .leaf = leaf});
        } else if (changed) {
            this->listener({.kind = DirectoryEvent::Kind::LeafChanged, .leaf = leaf});
        }
        if (becomesCold) {
            this->reportCold(leaf);
        }
        return;
    }
    if (found != this->byId.end()) {
        const auto before = found->second;
        this->byId.erase(found);
        this->detach(before);
    }
    auto leaf = std::make_shared<KnownLeaf>();
    leaf->entry = entry;
    leaf->pool = absl::StrCat(entry.id, "/", entry.startedAt, "/", transport::toString(entry.endpoint));
    leaf->warmingUpUntil = now + entry.warmUp;
    this->applyStatements(*leaf);
    this->byId.emplace(entry.id, leaf);
    this->service(entry.service).leafs.push_back(leaf);
    this->listener({.kind = DirectoryEvent::Kind::LeafAdded, .leaf = leaf});
    if (entry.warmUp > absl::ZeroDuration()) {
        this->reportCold(leaf);
    }
}

auto LeafDirectory::remove(const std::string &id, absl::Time now, absl::Time removalTime) -> void
{
    this->unconfirmedEntries.erase(id);
    const auto found = this->byId.find(id);
    if (found == this->byId.end()) {
        return;
    }
    const auto leaf = found->second;
    leaf->missingEra = this->era;
    if (removalTime > now) {
        if (leaf->removeAt == absl::InfiniteFuture()) {
            leaf->removeAt = removalTime;
            this->listener({.kind = DirectoryEvent::Kind::LeafMissing, .leaf = leaf});
        }
        return;
    }
    this->recordRemoval(*leaf, now);
    this->byId.erase(found);
    this->detach(leaf);
}

auto LeafDirectory::keepOnly(const std::vector<std::string> &ids, absl::Time now, absl::Time removalTime) -> void
{
    const auto kept = std::unordered_set<std::string_view>(ids.begin(), ids.end());
    absl::erase_if(this->unconfirmedEntries, [&kept](const auto &entry) {
        return !kept.contains(entry.first);
    });
    auto missing = std::vector<std::string>();
    for (const auto &[id, leaf] : this->byId) {
        if (!kept.contains(id)) {
            missing.push_back(id);
        }
    }
    std::ranges::sort(missing);
    for (const auto &id : missing) {
        this->remove(id, now, removalTime);
    }
}

auto LeafDirectory::expire(absl::Time now) -> void
{
    auto expired = std::vector<std::string>();
    for (const auto &[id, leaf] : this->byId) {
        if (leaf->removeAt <= now) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        // An entry that doesn't count yet, and the era in which the leaf was found missing, must not be lost with it.
        const auto leaf = this->byId.at(id);
        this->recordRemoval(*leaf, now);
        this->byId.erase(id);
        this->detach(leaf);
    }
    absl::erase_if(this->removedLeafs, [now](const auto &leaf) {
        return now - leaf.second.at > removalMemory;
    });
    absl::erase_if(this->statedStarts, [this, now](const auto &start) {
        return now - start.second.notedAt > removalMemory && !this->byId.contains(start.first);
    });
}

auto LeafDirectory::markReplaced(const std::shared_ptr<KnownLeaf> &leaf) -> void
{
    leaf->gone = true;
    auto &leafs = this->service(leaf->entry.service).leafs;
    std::erase(leafs, leaf);
    this->listener({.kind = DirectoryEvent::Kind::LeafGone, .leaf = leaf});
}

auto LeafDirectory::markLeaving(const std::shared_ptr<KnownLeaf> &leaf, absl::Time now) -> bool
{
    if (std::exchange(leaf->saidLeaving, true)) {
        return false;
    }
    this->recordStatements(*leaf, now);
    this->listener({.kind = DirectoryEvent::Kind::LeafDraining, .leaf = leaf});
    return true;
}

auto LeafDirectory::backOff(const std::shared_ptr<KnownLeaf> &leaf, absl::Time until, absl::Time now) -> bool
{
    if (until <= leaf->backoffUntil) {
        return false;
    }
    leaf->backoffUntil = until;
    this->recordStatements(*leaf, now);
    return true;
}

auto LeafDirectory::assumeCold(const std::shared_ptr<KnownLeaf> &leaf, absl::Time now) -> void
{
    const auto limit = this->service(leaf->entry.service).warmUp;
    if (limit.perSecond <= 0.0 || leaf->gone) {
        return;
    }
    const auto wasAssumed = now < leaf->coldAssumedUntil;
    leaf->coldAssumedAt = now;
    leaf->coldAssumedUntil = limit.duration > absl::ZeroDuration() ? now + limit.duration : absl::InfiniteFuture();
    if (!wasAssumed) {
        this->reportCold(leaf);
    }
}

auto LeafDirectory::reportCold(const std::shared_ptr<KnownLeaf> &leaf) -> void
{
    if (this->service(leaf->entry.service).warmUp.perSecond > 0.0) {
        this->listener({.kind = DirectoryEvent::Kind::LeafCold, .leaf = leaf});
    }
}

auto LeafDirectory::recordStatements(const KnownLeaf &leaf, absl::Time now) -> void
{
    auto &start = this->statedStarts[leaf.entry.id];
    if (positionOf(leaf.entry) >= positionOf(start.entry)) {
        start = StatedStart{.entry = leaf.entry, .notedAt = now, .leaving = leaf.saidLeaving, .backoffUntil = leaf.backoffUntil};
    }
}

auto LeafDirectory::applyStatements(KnownLeaf &leaf) const -> void
{
    const auto found = this->statedStarts.find(leaf.entry.id);
    if (found == this->statedStarts.end()) {
        return;
    }
    const auto &start = found->second;
    const auto same = isSameStart(start.entry, leaf.entry);
    leaf.saidLeaving = start.leaving && (same || positionOf(leaf.entry) < positionOf(start.entry));
    leaf.backoffUntil = same ? start.backoffUntil : absl::InfinitePast();
}

auto LeafDirectory::service(const std::string &name) -> KnownService &
{
    auto &service = this->services[name];
    if (service == nullptr) {
        service = std::make_unique<KnownService>();
        service->name = name;
    }
    return *service;
}

auto LeafDirectory::inDataCentre(std::string_view dataCentre) const -> std::vector<std::shared_ptr<KnownLeaf>>
{
    auto found = std::vector<std::shared_ptr<KnownLeaf>>();
    for (const auto &[id, leaf] : this->byId) {
        if (leaf->entry.dataCentre == dataCentre) {
            found.push_back(leaf);
        }
    }
    return found;
}

auto LeafDirectory::size() const noexcept -> std::size_t
{
    return this->byId.size();
}

auto LeafDirectory::unconfirmed() const noexcept -> std::size_t
{
    return this->unconfirmedEntries.size();
}

auto LeafDirectory::isConfirmed(const LeafEntry &entry, const KnownLeaf *leaf) -> bool
{
    const auto removed = this->removedLeafs.find(entry.id);
    const auto isRemoved = leaf == nullptr && removed != this->removedLeafs.end() && removed->second.era < entry.era;
    if (isRemoved || (leaf != nullptr && leaf->entry.era < entry.era)) {
        const auto &known = isRemoved ? removed->second.entry : leaf->entry;
        const auto seen = this->unconfirmedEntries.find(entry.id);
        if (!entryCounts(known, isRemoved, seen == this->unconfirmedEntries.end() ? nullptr : &seen->second, entry)) {
            if (seen == this->unconfirmedEntries.end() || positionOf(seen->second) <= positionOf(entry)) {
                this->unconfirmedEntries[entry.id] = entry;
            }
            return false;
        }
    }
    this->unconfirmedEntries.erase(entry.id);
    this->removedLeafs.erase(entry.id);
    return true;
}

auto LeafDirectory::recordRemoval(const KnownLeaf &leaf, absl::Time now) -> void
{
    if (this->removedLeafs.size() >= maxRemovedLeafs) {
        this->removedLeafs.erase(std::ranges::min_element(this->removedLeafs, {}, [](const auto &removed) {
            return removed.second.at;
        }));
    }
    this->removedLeafs[leaf.entry.id] = {.entry = leaf.entry, .era = leaf.missingEra, .at = now};
}

auto LeafDirectory::detach(const std::shared_ptr<KnownLeaf> &leaf) -> void
{
    if (std::exchange(leaf->gone, true)) {
        return;
    }
    std::erase(this->service(leaf->entry.service).leafs, leaf);
    this->listener({.kind = DirectoryEvent::Kind::LeafGone, .leaf = leaf});
}

} // namespace tamarackspan::gateway
