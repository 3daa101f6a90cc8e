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

/// The number of key prefixes that a host needs, indexed in this order: contracts, services of its data centre, host list of its data centre.
inline constexpr std::size_t prefixCount = 3;

/// The age of the last confirmation of each prefix, which is when the platform's list agreed with what the host holds; nothing if it was never confirmed.
using ConfirmedAges = std::array<std::optional<absl::Duration>, prefixCount>;

/// Limits on the keys in one list, the keys in one fetch, and the bytes of text in one answer. The texts of the first key are always sent, whatever their size.
inline constexpr std::size_t maxListedKeys = 2000;
inline constexpr std::size_t maxFetchedKeys = 500;
inline constexpr std::size_t maxAnswerBytes = 4'194'304;

/// Which documents two hosts compare: all of them, or only the contracts if the hosts are in different data centres.
enum class ExchangeScope {
    Contracts,
    Everything,
};

/// Sent with every heartbeat.
struct ConfigDigest
{
    base::DataCentre dataCentre;
    StoreDigest digest;
    /// The highest revision that the platform is known to have listed, to the sender or to any host that it heard from.
    base::Revision platformRevision;
    ConfirmedAges confirmed;

    friend auto operator==(const ConfigDigest &, const ConfigDigest &) -> bool = default;
};

/// Requests the versions held under keys greater than `after`.
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

/// One page of the versions held, in ascending order of the keys.
struct ConfigList
{
    std::vector<ListedVersions> documents;
    /// The key after which the next page starts; empty on the last page.
    std::string next;

    friend auto operator==(const ConfigList &, const ConfigList &) -> bool = default;
};

/// Requests the documents under some keys.
struct ConfigFetch
{
    std::vector<std::string> keys;

    friend auto operator==(const ConfigFetch &, const ConfigFetch &) -> bool = default;
};

/// The requested documents, accepted and rejected, as far as they fit into one answer.
struct ConfigDocuments
{
    std::vector<Document> documents;

    friend auto operator==(const ConfigDocuments &, const ConfigDocuments &) -> bool = default;
};

/// Returns which documents the store and a peer must compare, or nothing if their digests agree.
[[nodiscard]] auto differingScope(const DocumentStore &store, const ConfigDigest &peer) -> std::optional<ExchangeScope>;

/// Returns the requested page.
[[nodiscard]] auto listPage(const DocumentStore &store, const ConfigListRequest &request) -> ConfigList;

/// Returns the keys of a page for which the peer holds a version that this store lacks; at most maxFetchedKeys.
[[nodiscard]] auto wantedKeys(const DocumentStore &store, const ConfigList &list) -> ConfigFetch;

/// Returns the documents under the requested keys, up to maxAnswerBytes of text; those of the first key held are always included.
[[nodiscard]] auto documentsFor(const DocumentStore &store, const ConfigFetch &fetch) -> ConfigDocuments;

/// Limits how often a host requests a peer's list for a difference that persists, as between two releases that validate a document differently.
struct ExchangePacer
{
    StoreDigest ownDigest;
    StoreDigest peerDigest;
    absl::Time nextRequestAt = absl::InfinitePast();
};

/// Returns whether to request the list of a peer with this digest now, and records the request.
[[nodiscard]] auto shouldRequestList(ExchangePacer &pacer, const DocumentStore &store, const ConfigDigest &peer, absl::Time now) -> bool;

} // namespace tamarackspan::configuration
