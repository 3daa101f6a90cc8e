#pragma once

#include "tamarackspan/configuration/audit.h"
#include "tamarackspan/configuration/document.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::configuration {

/// The most keys that one host stores; documents with further keys are not stored.
inline constexpr std::size_t maxDocuments = 100'000;

/// A document that is in force.
struct AcceptedDocument
{
    DocumentVersion version;
    std::string text;
    std::shared_ptr<const DocumentValue> value;
};

/// A rejected document, kept so that peers receive it and operators can see the errors.
struct RejectedDocument
{
    DocumentVersion version;
    std::string text;
    contracts::ConfigErrors errors;
};

/// What is known under one key: the highest accepted version, and the highest rejected version if that is higher still.
struct StoredDocument
{
    std::optional<AcceptedDocument> accepted;
    std::optional<RejectedDocument> rejected;
};

/// A digest of the versions held. Two hosts that hold the same documents have the same digest, whatever the order in which the documents arrived.
struct StoreDigest
{
    /// Over the contracts, which hosts of all data centres store.
    std::uint64_t contracts = 0;
    /// Over the services and the host list of the host's own data centre.
    std::uint64_t local = 0;

    friend auto operator==(const StoreDigest &, const StoreDigest &) -> bool = default;
};

/// The number of documents by decision.
struct StoreCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t stale = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t notNeeded = 0;
};

/// Rules of the store that a test switches off to show that its checks detect it.
struct StoreRules
{
    /// An older version never replaces a newer one.
    bool keepsHighestRevision = true;
    /// Two texts of the same revision are ordered by their digests.
    bool ordersConflicts = true;
};

/// The documents of one host. Two stores that were given the same documents, in any order and any number of times, have the same contents.
struct DocumentStore
{
    base::DataCentre dataCentre;
    StoreRules rules;
    std::map<std::string, StoredDocument> documents;
    StoreDigest digest;
    StoreCounters counters;
    /// Incremented with each document that comes into force.
    std::uint64_t generation = 0;
};

/// The decision on one document, with the entries for the audit trail.
struct ApplyResult
{
    Decision decision = Decision::AlreadyHeld;
    std::vector<AuditEntry> entries;
};

/// Applies a document to the store. `wallNow` is used only for the audit trail.
auto applyDocument(DocumentStore &store, const Document &document, DocumentSource source, absl::Time wallNow) -> ApplyResult;

/// Returns the highest version known under a key, accepted or rejected; nothing if the key is unknown.
[[nodiscard]] auto highestVersion(const DocumentStore &store, const std::string &key) -> std::optional<DocumentVersion>;

} // namespace tamarackspan::configuration
