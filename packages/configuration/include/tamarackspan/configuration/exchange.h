#pragma once

#include "tamarackspan/configuration/document_store.h"

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::configuration {

/// The prefixes that a host needs, as indices: contracts, services and hosts of its data centre.
inline constexpr std::size_t prefixCount = 3;

/// How long ago the platform's list of each prefix was known to agree with what a host holds; nothing where it never did.
using ConfirmedAges = std::array<std::optional<absl::Duration>, prefixCount>;

/// The most keys in one list or fetch, and the most bytes of texts in one answer. A single key's texts are always answered.
inline constexpr std::size_t maxListedKeys = 2000;
inline constexpr std::size_t maxFetchedKeys = 500;
inline constexpr std::size_t maxAnswerBytes = 4'194'304;

/// Which documents two hosts compare: all, or the contracts alone if they are in different data centres.
enum class ExchangeScope {
    Contracts,
    Everything,
};

/// Goes with every heartbeat.
struct ConfigDigest
{
    base::DataCentre dataCentre;
    StoreDigest digest;
    /// The highest revision that the platform was seen to list, by the sender or whoever told it.
    base::Revision platformRevision;
    ConfirmedAges confirmed;

    friend auto operator==(const ConfigDigest &, const ConfigDigest &) -> bool = default;
};

/// Asks for the versions held under keys greater than `after`.
struct ConfigListRequest
{
    ExchangeScope scope = ExchangeScope::Everything;
    std::string after;

    friend auto operator==(const ConfigListRequest &, const ConfigListRequest &) -> bool = default;
};

/// The versions held under one key.
struct ListedVersions
{
    std::string key;
    std::optional<DocumentVersion> accepted;
    std::optional<DocumentVersion> rejected;

    friend auto operator==(const ListedVersions &, const ListedVersions &) -> bool = default;
};

/// One page of the versions held, in ascending order of the key.
struct ConfigList
{
    std::vector<ListedVersions> documents;
    /// Where the next page starts; empty on the last page.
    std::string next;

    friend auto operator==(const ConfigList &, const ConfigList &) -> bool = default;
};

/// Asks for the documents under some keys.
struct ConfigFetch
{
    std::vector<std::string> keys;

    friend auto operator==(const ConfigFetch &, const ConfigFetch &) -> bool = default;
};

/// The documents asked for, accepted and rejected ones, as far as they fit.
struct ConfigDocuments
{
    std::vector<Document> documents;

    friend auto operator==(const ConfigDocuments &, const ConfigDocuments &) -> bool = default;
};

/// Returns what the store and a peer must compare, or nothing if their digests agree.
[[nodiscard]] auto differingScope(const DocumentStore &store, const ConfigDigest &peer) -> std::optional<ExchangeScope>;

/// Returns the page that a request asks for.
[[nodiscard]] auto listPage(const DocumentStore &store, const ConfigListRequest &request) -> ConfigList;

/// Returns the keys of a page under which the peer holds what this store lacks, at most maxFetchedKeys.
[[nodiscard]] auto wantedKeys(const DocumentStore &store, const ConfigList &list) -> ConfigFetch;

/// Returns the documents under the keys of a fetch, at most maxAnswerBytes of texts but always those of the first key held.
[[nodiscard]] auto documentsFor(const DocumentStore &store, const ConfigFetch &fetch) -> ConfigDocuments;

/// Keeps a host from asking a peer again and again for a difference that doesn't go away, as between two releases that judge a document differently.
struct ExchangePacer
{
    StoreDigest ownDigest;
    StoreDigest peerDigest;
    absl::Time askAgainAt = absl::InfinitePast();
};

/// True if a peer with this digest should be asked for its list now; notes that it was.
[[nodiscard]] auto shouldAsk(ExchangePacer &pacer, const DocumentStore &store, const ConfigDigest &peer, absl::Time now) -> bool;

} // namespace tamarackspan::configuration
