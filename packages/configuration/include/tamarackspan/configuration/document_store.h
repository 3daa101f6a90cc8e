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

/// The most keys that one host holds; documents under further keys are not taken.
inline constexpr std::size_t maxDocuments = 100'000;

/// A document that is in force.
struct AcceptedDocument
{
    DocumentVersion version;
    std::string text;
    std::shared_ptr<const DocumentValue> value;
};

/// A faulty document, kept so that peers learn of it and operators see why.
struct RejectedDocument
{
    DocumentVersion version;
    std::string text;
    contracts::ConfigErrors errors;
};

/// What is known under one key: the highest version that was accepted, and the highest that was rejected if it is higher still.
struct StoredDocument
{
    std::optional<AcceptedDocument> accepted;
    std::optional<RejectedDocument> rejected;
};

/// A digest of the versions held: equal on two hosts that hold the same documents, whatever the order in which they came.
struct StoreDigest
{
    /// Over the contracts, which hosts of all data centres hold.
    std::uint64_t contracts = 0;
    /// Over the services and hosts of the host's own data centre.
    std::uint64_t local = 0;

    friend auto operator==(const StoreDigest &, const StoreDigest &) -> bool = default;
};

/// How many documents came to each decision.
struct StoreCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t stale = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t notNeeded = 0;
};

/// Parts of the store that a test switches off to see its checks fail.
struct StoreRules
{
    /// An older document never replaces a newer one.
    bool keepsHighestRevision = true;
    /// Two texts of one revision are put in the order of their digests.
    bool ordersConflicts = true;
};

/// The documents of one host. Two stores that were given the same documents, in any order and any number of times, hold the same.
struct DocumentStore
{
    base::DataCentre dataCentre;
    StoreRules rules;
    std::map<std::string, StoredDocument> documents;
    StoreDigest digest;
    StoreCounters counters;
    /// Goes up with each document that comes into force.
    std::uint64_t generation = 0;
};

/// What became of one document, and the entries for the audit trail.
struct ApplyResult
{
    Decision decision = Decision::AlreadyHeld;
    std::vector<AuditEntry> entries;
};

/// Takes in a document. `wallNow` is for the audit trail alone.
auto applyDocument(DocumentStore &store, const Document &document, DocumentSource source, absl::Time wallNow) -> ApplyResult;

/// Returns the highest version known under a key, in force or rejected; nothing if the key is unknown.
[[nodiscard]] auto highestVersion(const DocumentStore &store, const std::string &key) -> std::optional<DocumentVersion>;

} // namespace tamarackspan::configuration
