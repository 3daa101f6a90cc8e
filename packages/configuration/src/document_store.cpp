#include "tamarackspan/configuration/document_store.h"

#include "tamarackspan/base/random.h"
#include "tamarackspan/contracts/toml_value.h"

#include <algorithm>
#include <utility>

namespace tamarackspan::configuration {

namespace {

constexpr auto acceptedSalt = std::uint64_t{0x61};
constexpr auto rejectedSalt = std::uint64_t{0x72};

auto versionDigest(std::uint64_t keyDigest, const DocumentVersion &version, std::uint64_t salt) -> std::uint64_t
{
    return base::mixBits(base::mixBits(keyDigest + salt) ^ base::mixBits(version.revision.get() + salt) ^ version.textDigest);
}

/// Returns the contribution of one key to the store's digest.
auto documentDigest(const std::string &key, const StoredDocument &stored) -> std::uint64_t
{
    const auto keyDigest = base::stableHash(key.data(), key.size());
    auto digest = std::uint64_t{0};
    if (stored.accepted) {
        digest += versionDigest(keyDigest, stored.accepted->version, acceptedSalt);
    }
    if (stored.rejected) {
        digest += versionDigest(keyDigest, stored.rejected->version, rejectedSalt);
    }
    return digest;
}

auto makeEntry(const Document &document, Decision decision, DocumentSource source, absl::Time wallNow) -> AuditEntry
{
    auto entry = AuditEntry{};
    entry.when = wallNow;
    entry.key = document.key;
    entry.revision = document.revision;
    entry.decision = decision;
    entry.source = source;
    return entry;
}

template<typename T>
auto truncateTo(std::vector<T> &lines, std::size_t maxLines) -> std::size_t
{
    const auto omitted = lines.size() > maxLines ? lines.size() - maxLines : 0;
    lines.resize(lines.size() - omitted);
    return omitted;
}

/// A document about to be applied to the store.
struct Arrival
{
    const Document &document;
    DocumentVersion version;
    DocumentSource source;
    absl::Time wallNow;
};

auto isBelow(const StoreRules &rules, const DocumentVersion &version, const DocumentVersion &held) -> bool
{
    if (version.revision == held.revision) {
        return !rules.ordersConflicts || version < held;
    }
    return rules.keepsHighestRevision && version < held;
}

/// Returns whether a different text of the same revision is already held.
auto isConflict(const StoredDocument &stored, const DocumentVersion &version) -> bool
{
    const auto sameRevision = [&version](const auto &held) {
        return held && held->version.revision == version.revision && held->version != version;
    };
    return sameRevision(stored.accepted) || sameRevision(stored.rejected);
}

auto accept(StoredDocument &stored, const Arrival &arrival, DocumentValue value) -> std::vector<AuditEntry>
{
    auto entries = std::vector<AuditEntry>{};
    auto entry = makeEntry(arrival.document, Decision::Accepted, arrival.source, arrival.wallNow);
    entry.publishedBy = publisherOf(value);
    entry.diff = diffValues(stored.accepted ? stored.accepted->value.get() : nullptr, value);
    entry.omitted = truncateTo(entry.diff, maxAuditLines);
    entries.push_back(std::move(entry));
    if (stored.accepted) {
        auto old = makeEntry(arrival.document, Decision::Superseded, arrival.source, arrival.wallNow);
        old.revision = stored.accepted->version.revision;
        old.publishedBy = publisherOf(*stored.accepted->value);
        entries.push_back(std::move(old));
    }
    stored.accepted = AcceptedDocument{arrival.version, arrival.document.text, std::make_shared<const DocumentValue>(std::move(value))};
    if (stored.rejected && stored.rejected->version < arrival.version) {
        stored.rejected.reset();
    }
    return entries;
}

auto reject(StoredDocument &stored, const Arrival &arrival, const contracts::ConfigErrors &errors) -> AuditEntry
{
    auto entry = makeEntry(arrival.document, Decision::Rejected, arrival.source, arrival.wallNow);
    for (const auto &error : errors) {
        entry.errors.push_back(toString(error));
    }
    entry.omitted = truncateTo(entry.errors, maxAuditLines);
    stored.rejected = RejectedDocument{arrival.version, arrival.document.text, errors};
    return entry;
}

auto holds(const StoredDocument &stored, const DocumentVersion &version) -> bool
{
    return (stored.accepted && stored.accepted->version == version) || (stored.rejected && stored.rejected->version == version);
}

auto ignoreStale(DocumentStore &store, const Arrival &arrival) -> ApplyResult
{
    ++store.counters.stale;
    return {Decision::IgnoredStale, {makeEntry(arrival.document, Decision::IgnoredStale, arrival.source, arrival.wallNow)}};
}

/// Validates and stores a version that is neither held nor below the accepted one.
auto decide(DocumentStore &store, StoredDocument &stored, const Arrival &arrival) -> ApplyResult
{
    auto parsed = parseDocument(arrival.document.key, arrival.document.text);
    if (parsed.ok()) {
        ++store.counters.accepted;
        ++store.generation;
        return {Decision::Accepted, accept(stored, arrival, std::move(parsed).value())};
    }
    if (stored.rejected && isBelow(store.rules, arrival.version, stored.rejected->version)) {
        return ignoreStale(store, arrival);
    }
    ++store.counters.rejected;
    return {Decision::Rejected, {reject(stored, arrival, parsed.error())}};
}

auto applyNeeded(DocumentStore &store, const DocumentKey &key, const Arrival &arrival) -> ApplyResult
{
    auto &stored = store.documents[arrival.document.key];
    if (holds(stored, arrival.version)) {
        return {Decision::AlreadyHeld, {}};
    }
    const auto conflict = isConflict(stored, arrival.version);
    const auto before = documentDigest(arrival.document.key, stored);
    const auto isOlder = stored.accepted && isBelow(store.rules, arrival.version, stored.accepted->version);
    auto result = isOlder ? ignoreStale(store, arrival) : decide(store, stored, arrival);
    if (conflict) {
        ++store.counters.conflicts;
        result.entries.insert(result.entries.begin(), makeEntry(arrival.document, Decision::Conflict, arrival.source, arrival.wallNow));
    }
    auto &digest = key.kind == DocumentKind::Contract ? store.digest.contracts : store.digest.local;
    digest += documentDigest(arrival.document.key, stored) - before;
    return result;
}

} // namespace

auto applyDocument(DocumentStore &store, const Document &document, DocumentSource source, absl::Time wallNow) -> ApplyResult
{
    const auto key = parseDocumentKey(document.key);
    const auto isNew = !store.documents.contains(document.key);
    if (!key || !isNeeded(*key, store.dataCentre) || document.text.size() > contracts::maxDocumentBytes || (isNew && store.documents.size() >= maxDocuments)) {
        ++store.counters.notNeeded;
        return {Decision::NotNeeded, {}};
    }
    return applyNeeded(store, *key, {document, versionOf(document), source, wallNow});
}

auto highestVersion(const DocumentStore &store, const std::string &key) -> std::optional<DocumentVersion>
{
    const auto place = store.documents.find(key);
    if (place == store.documents.end()) {
        return std::nullopt;
    }
    const auto &stored = place->second;
    auto highest = stored.accepted ? std::optional(stored.accepted->version) : std::nullopt;
    if (stored.rejected && (!highest || stored.rejected->version > *highest)) {
        highest = stored.rejected->version;
    }
    return highest;
}

} // namespace tamarackspan::configuration
