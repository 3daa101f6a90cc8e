#include "tamarackspan/configuration/exchange.h"

#include <algorithm>

namespace tamarackspan::configuration {

namespace {

constexpr auto sameDifferencePause = absl::Seconds(5);

auto isIn(ExchangeScope scope, const std::string &key) -> bool
{
    return scope == ExchangeScope::Everything || key.starts_with("contracts/");
}

auto listed(const std::string &key, const StoredDocument &stored) -> ListedVersions
{
    auto versions = ListedVersions{key, std::nullopt, std::nullopt};
    if (stored.accepted) {
        versions.accepted = stored.accepted->version;
    }
    if (stored.rejected) {
        versions.rejected = stored.rejected->version;
    }
    return versions;
}

/// Returns whether the store would accept the version.
auto lacks(const StoredDocument &stored, const std::optional<DocumentVersion> &version, bool rejectedByPeer) -> bool
{
    if (!version || (stored.accepted && *version <= stored.accepted->version)) {
        return false;
    }
    if (!stored.rejected) {
        return true;
    }
    return rejectedByPeer ? *version > stored.rejected->version : *version != stored.rejected->version;
}

} // namespace

auto differingScope(const DocumentStore &store, const ConfigDigest &peer) -> std::optional<ExchangeScope>
{
    const auto sameDataCentre = peer.dataCentre == store.dataCentre;
    if (sameDataCentre && peer.digest.local != store.digest.local) {
        return ExchangeScope::Everything;
    }
    return peer.digest.contracts == store.digest.contracts ? std::nullopt : std::optional(ExchangeScope::Contracts);
}

auto listPage(const DocumentStore &store, const ConfigListRequest &request) -> ConfigList
{
    auto page = ConfigList{};
    for (auto place = store.documents.upper_bound(request.after); place != store.documents.end(); ++place) {
        if (!isIn(request.scope, place->first)) {
            continue;
        }
        if (page.documents.size() == maxListedKeys) {
            page.next = page.documents.back().key;
            break;
        }
        page.documents.push_back(listed(place->first, place->second));
    }
    return page;
}

auto wantedKeys(const DocumentStore &store, const ConfigList &list) -> ConfigFetch
{
    static const auto nothing = StoredDocument{};
    auto fetch = ConfigFetch{};
    for (const auto &versions : list.documents) {
        const auto key = parseDocumentKey(versions.key);
        if (!key || !isNeeded(*key, store.dataCentre) || fetch.keys.size() == maxFetchedKeys) {
            continue;
        }
        const auto place = store.documents.find(versions.key);
        const auto &stored = place == store.documents.end() ? nothing : place->second;
        if (lacks(stored, versions.accepted, false) || lacks(stored, versions.rejected, true)) {
            fetch.keys.push_back(versions.key);
        }
    }
    return fetch;
}

auto documentsFor(const DocumentStore &store, const ConfigFetch &fetch) -> ConfigDocuments
{
    auto answer = ConfigDocuments{};
    auto bytes = std::size_t{0};
    for (const auto &key : fetch.keys) {
        const auto place = store.documents.find(key);
        if (place == store.documents.end()) {
            continue;
        }
        const auto &[accepted, rejected] = place->second;
        bytes += (accepted ? accepted->text.size() : 0) + (rejected ? rejected->text.size() : 0);
        if (!answer.documents.empty() && bytes > maxAnswerBytes) {
            break;
        }
        if (accepted) {
            answer.documents.push_back({key, accepted->version.revision, accepted->text});
        }
        if (rejected) {
            answer.documents.push_back({key, rejected->version.revision, rejected->text});
        }
    }
    return answer;
}

auto shouldRequestList(ExchangePacer &pacer, const DocumentStore &store, const ConfigDigest &peer, absl::Time now) -> bool
{
    if (!differingScope(store, peer)) {
        return false;
    }
    const auto sameDifference = pacer.ownDigest == store.digest && pacer.peerDigest == peer.digest;
    if (sameDifference && now < pacer.nextRequestAt) {
        return false;
    }
    pacer = {store.digest, peer.digest, now + sameDifferencePause};
    return true;
}

} // namespace tamarackspan::configuration
