#include "tamarackspan/configuration/read_plan.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace tamarackspan::configuration {

namespace {

constexpr auto maxBackoffDoublings = std::uint32_t{16};
constexpr auto half = 0.5;
constexpr auto third = 1.0 / 3;

/// Returns a time between that fraction of the whole and the whole, for a jitter from 0 to 1.
auto jitteredBy(double jitter, absl::Duration whole, double minFraction) -> absl::Duration
{
    return whole * (minFraction + (1 - minFraction) * jitter);
}

auto jittered(base::Random &random, absl::Duration whole, double minFraction) -> absl::Duration
{
    return jitteredBy(random.unit(), whole, minFraction);
}

auto backoffAfter(ReadPlan &plan, std::uint32_t failures) -> absl::Duration
{
    const auto doublings = std::min(failures - 1, maxBackoffDoublings);
    const auto whole = std::min(plan.settings.maxBackoff, plan.settings.initialBackoff * static_cast<double>(1U << doublings));
    return jittered(plan.random, whole, half);
}

auto findPrefix(ReadPlan &plan, const std::string &prefix) -> PrefixReading *
{
    const auto place = std::find_if(plan.prefixes.begin(), plan.prefixes.end(), [&prefix](const PrefixReading &reading) {
        return reading.prefix == prefix;
    });
    return place == plan.prefixes.end() ? nullptr : &*place;
}

auto peersUnreachable(const ReadPlan &plan, absl::Time now) -> bool
{
    return now - plan.peerHeardAt.value_or(plan.startedAt) >= plan.settings.peerTimeout;
}

/// Returns when the prefix will have gone unconfirmed for so long that no host seems to watch it.
auto unwatchedFrom(const ReadPlan &plan, const PrefixReading &reading) -> absl::Time
{
    return reading.confirmedAt.value_or(plan.startedAt) + plan.settings.watchWait + plan.settings.callTimeout + plan.unwatchedOffset;
}

auto failPrefix(ReadPlan &plan, PrefixReading &reading, absl::Time now) -> void
{
    reading.calling = false;
    ++reading.failures;
    reading.notBefore = now + backoffAfter(plan, reading.failures);
}

auto failValue(ReadPlan &plan, PendingValue &value, absl::Time now) -> void
{
    value.calling = false;
    ++value.failures;
    value.notBefore = now + backoffAfter(plan, value.failures);
}

auto failOverdue(ReadPlan &plan, absl::Time now) -> void
{
    for (auto &reading : plan.prefixes) {
        if (reading.calling && now >= reading.callDeadline) {
            failPrefix(plan, reading, now);
        }
    }
    for (auto &[key, value] : plan.pending) {
        if (value.calling && now >= value.callDeadline) {
            failValue(plan, value, now);
        }
    }
}

auto holds(const DocumentStore &store, const std::string &key, base::Revision revision) -> bool
{
    const auto highest = highestVersion(store, key);
    return highest && highest->revision >= revision;
}

/// Removes the pending values that arrived by another path, such as from a peer.
auto dropHeldValues(ReadPlan &plan, const DocumentStore &store) -> void
{
    std::erase_if(plan.pending, [&store](const auto &entry) {
        return holds(store, entry.first, entry.second.revision);
    });
}

auto mayCall(ReadPlan &plan, absl::Time now, double reserved = 0) -> bool
{
    return !plan.settings.enforcesBudget || takeRead(plan.budget, now, reserved);
}

/// Returns the calls that a list of this prefix must leave in the budget. The host list is read continuously to renew the lease and would otherwise consume the
/// whole budget.
auto reservedBy(const ReadPlan &plan, const PrefixReading &reading) -> double
{
    return reading.everListed && &reading == &plan.prefixes.back() ? plan.settings.reservedForChanges : 0;
}

auto startList(const ReadPlan &plan, PrefixReading &reading, absl::Time now) -> ListPrefix
{
    const auto waits = reading.watched && reading.everListed && !reading.stale;
    const auto wait = waits ? plan.settings.watchWait : absl::ZeroDuration();
    reading.calling = true;
    reading.callDeadline = now + wait + plan.settings.callTimeout;
    reading.knownRevisionAtCall = plan.platformRevision;
    return {reading.prefix, waits ? std::optional(reading.listedRevision) : std::nullopt, wait};
}

auto planLists(ReadPlan &plan, absl::Time now, std::vector<ReadAction> &actions) -> void
{
    for (auto &reading : plan.prefixes) {
        const auto wanted = reading.watched || !reading.everListed || peersUnreachable(plan, now) || now >= unwatchedFrom(plan, reading);
        if (wanted && !reading.calling && now >= reading.notBefore && mayCall(plan, now, reservedBy(plan, reading))) {
            actions.emplace_back(startList(plan, reading, now));
        }
    }
}

/// Returns whether a listed value is left to a peer that watches its prefix. Decided anew each time, since the watchers may have changed.
auto awaitsPeer(const ReadPlan &plan, const PendingValue &value, absl::Time now) -> bool
{
    const auto &reading = plan.prefixes[value.prefix];
    if (reading.watched || value.failures > 0 || peersUnreachable(plan, now)) {
        return false;
    }
    const auto byPeer = value.listedAt + jitteredBy(value.jitter, plan.settings.peerGrace, third);
    const auto unwatched = std::max(value.listedAt, unwatchedFrom(plan, reading)) + jitteredBy(value.jitter, plan.settings.unwatchedGrace, 0);
    return now < std::min(byPeer, unwatched);
}

auto planFetches(ReadPlan &plan, absl::Time now, std::vector<ReadAction> &actions) -> void
{
    auto running = std::count_if(plan.pending.begin(), plan.pending.end(), [](const auto &entry) {
        return entry.second.calling;
    });
    for (auto &[key, value] : plan.pending) {
        if (running >= plan.settings.maxConcurrentFetches) {
            return;
        }
        const auto due = now >= value.notBefore && !awaitsPeer(plan, value, now);
        if (!value.calling && due && mayCall(plan, now)) {
            value.calling = true;
            value.callDeadline = now + plan.settings.callTimeout;
            actions.emplace_back(FetchValue{key});
            ++running;
        }
    }
}

auto addPending(ReadPlan &plan, std::size_t prefix, const ListedKey &listed, absl::Time now) -> void
{
    auto &value = plan.pending[listed.key];
    if (value.revision >= listed.revision) {
        return;
    }
    if (value.revision == base::Revision()) {
        value.listedAt = now;
        value.jitter = plan.random.unit();
    }
    value.revision = listed.revision;
    value.prefix = prefix;
}

auto hasPending(const ReadPlan &plan, std::size_t prefix) -> bool
{
    return std::any_of(plan.pending.begin(), plan.pending.end(), [prefix](const auto &entry) {
        return entry.second.prefix == prefix;
    });
}

/// Returns the oldest of the prefixes' confirmation times; nothing if a prefix was never confirmed.
auto confirmedAt(const ReadPlan &plan) -> std::optional<absl::Time>
{
    auto oldest = std::optional<absl::Time>(absl::InfiniteFuture());
    for (const auto &reading : plan.prefixes) {
        if (!reading.confirmedAt) {
            return std::nullopt;
        }
        oldest = std::min(*oldest, *reading.confirmedAt);
    }
    return oldest;
}

auto recordStaleList(ReadPlan &plan, PrefixReading &reading, absl::Time now) -> void
{
    reading.stale = true;
    ++reading.failures;
    reading.notBefore = now + backoffAfter(plan, reading.failures);
}

auto recordFreshList(ReadPlan &plan, PrefixReading &reading, base::Revision revision, absl::Time now) -> void
{
    reading.stale = false;
    reading.failures = 0;
    reading.listedRevision = revision;
    plan.platformRevision = std::max(plan.platformRevision, revision);
    reading.notBefore = reading.watched ? now : now + jittered(plan.random, plan.settings.fallbackInterval, half);
}

} // namespace

auto toString(FreshnessLevel level) -> std::string
{
    switch (level) {
    case FreshnessLevel::Confirmed:
        return "confirmed";
    case FreshnessLevel::Unconfirmed:
        return "unconfirmed";
    case FreshnessLevel::StalePlatform:
        return "stale-platform";
    case FreshnessLevel::PlatformOnly:
        return "platform-only";
    case FreshnessLevel::PeersOnly:
        return "peers-only";
    case FreshnessLevel::Unknown:
        return "unknown";
    }
    return "unknown";
}

auto makeReadPlan(const ReadPlanSettings &settings, const base::DataCentre &dataCentre, std::uint64_t seed, absl::Time now) -> ReadPlan
{
    auto plan = ReadPlan{};
    plan.settings = settings;
    plan.dataCentre = dataCentre;
    plan.random = base::Random(seed);
    plan.startedAt = now;
    plan.budget = makeReadBudget(settings.budget, now);
    plan.prefixes[0].prefix = "contracts/";
    plan.prefixes[1].prefix = "services/" + dataCentre.get() + "/";
    plan.prefixes[2].prefix = "hosts/" + dataCentre.get();
    for (auto &reading : plan.prefixes) {
        reading.notBefore = now + jittered(plan.random, settings.startJitter, 0);
    }
    plan.unwatchedOffset = jittered(plan.random, settings.unwatchedAfter, half);
    return plan;
}

auto setHosts(ReadPlan &plan, const std::vector<base::HostId> &hosts, const base::HostId &self) -> void
{
    auto watched = std::size_t{0};
    for (auto &reading : plan.prefixes) {
        const auto watchers = chooseWatchers(reading.prefix, hosts, watchersPerPrefix);
        const auto watchedBefore = std::exchange(reading.watched, std::find(watchers.begin(), watchers.end(), self) != watchers.end());
        if (reading.watched && !watchedBefore && reading.everListed && reading.failures == 0) {
            // The scheduled time was that of a host that isn't a watcher.
            reading.notBefore = absl::InfinitePast();
        }
        watched += reading.watched ? 1 : 0;
    }
    plan.budget.limits.perSecond = readRate(hosts.size(), watchersPerPrefix, watched);
}

auto chooseWatchers(const std::string &prefix, const std::vector<base::HostId> &hosts, std::size_t count) -> std::vector<base::HostId>
{
    auto scored = std::vector<std::pair<std::uint64_t, base::HostId>>{};
    for (const auto &host : hosts) {
        const auto text = prefix + " " + host.get();
        scored.emplace_back(base::stableHash(text.data(), text.size()), host);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    auto watchers = std::vector<base::HostId>{};
    for (auto i = std::size_t{0}; i < std::min(count, scored.size()); ++i) {
        watchers.push_back(scored[i].second);
    }
    return watchers;
}

auto planReads(ReadPlan &plan, const DocumentStore &store, absl::Time now) -> std::vector<ReadAction>
{
    auto actions = std::vector<ReadAction>{};
    failOverdue(plan, now);
    dropHeldValues(plan, store);
    planLists(plan, now, actions);
    planFetches(plan, now, actions);
    return actions;
}

auto onListed(ReadPlan &plan, const DocumentStore &store, const std::string &prefix, base::Revision revision, const std::vector<ListedKey> &keys,
              absl::Time now) -> void
{
    auto *reading = findPrefix(plan, prefix);
    if (reading == nullptr) {
        return;
    }
    const auto index = static_cast<std::size_t>(reading - plan.prefixes.data());
    reading->calling = false;
    reading->everListed = true;
    for (const auto &listed : keys) {
        const auto key = parseDocumentKey(listed.key);
        if (key && isNeeded(*key, plan.dataCentre) && plan.pending.size() < maxDocuments && !holds(store, listed.key, listed.revision)) {
            addPending(plan, index, listed, now);
        }
    }
    if (revision < std::max(reading->listedRevision, reading->knownRevisionAtCall)) {
        recordStaleList(plan, *reading, now);
        return;
    }
    recordFreshList(plan, *reading, revision, now);
    if (!hasPending(plan, index)) {
        reading->confirmedAt = now;
    }
}

auto onListFailed(ReadPlan &plan, const std::string &prefix, absl::Time now) -> void
{
    if (auto *reading = findPrefix(plan, prefix); reading != nullptr && reading->calling) {
        failPrefix(plan, *reading, now);
    }
}

auto onValue(ReadPlan &plan, const DocumentStore &store, const std::string &key, absl::Time now) -> void
{
    const auto place = plan.pending.find(key);
    if (place == plan.pending.end()) {
        return;
    }
    if (!holds(store, key, place->second.revision)) {
        failValue(plan, place->second, now);
        return;
    }
    const auto prefix = place->second.prefix;
    plan.pending.erase(place);
    if (!hasPending(plan, prefix) && !plan.prefixes[prefix].stale) {
        plan.prefixes[prefix].confirmedAt = now;
    }
}

auto onValueFailed(ReadPlan &plan, const std::string &key, absl::Time now) -> void
{
    if (const auto place = plan.pending.find(key); place != plan.pending.end() && place->second.calling) {
        failValue(plan, place->second, now);
    }
}

auto onPeerDigest(ReadPlan &plan, const ConfigDigest &digest, bool same, absl::Time now) -> void
{
    plan.platformRevision = std::max(plan.platformRevision, digest.platformRevision);
    if (digest.dataCentre != plan.dataCentre) {
        return;
    }
    plan.peerHeardAt = now;
    if (!same) {
        return;
    }
    plan.peerCompared = true;
    for (auto i = std::size_t{0}; i < prefixCount; ++i) {
        auto &confirmed = plan.prefixes[i].confirmedAt;
        if (digest.confirmed[i] && *digest.confirmed[i] >= absl::ZeroDuration()) {
            const auto confirmedAtPeer = now - *digest.confirmed[i] - plan.settings.relayMargin;
            confirmed = std::max(confirmed.value_or(absl::InfinitePast()), confirmedAtPeer);
        }
    }
}

auto makeDigest(const ReadPlan &plan, const DocumentStore &store, absl::Time now) -> ConfigDigest
{
    auto digest = ConfigDigest{store.dataCentre, store.digest, plan.platformRevision, {}};
    for (auto i = std::size_t{0}; i < prefixCount; ++i) {
        if (plan.prefixes[i].confirmedAt) {
            digest.confirmed[i] = now - *plan.prefixes[i].confirmedAt;
        }
    }
    return digest;
}

auto mayServe(ReadPlan &plan, const DocumentStore &store, absl::Time now) -> bool
{
    const auto platformAsked = std::all_of(plan.prefixes.begin(), plan.prefixes.end(), [](const PrefixReading &reading) {
        return reading.everListed && !reading.stale;
    });
    const auto complete = platformAsked && plan.pending.empty() && plan.peerCompared;
    const auto waited = now - plan.startedAt >= plan.settings.startWait && !store.documents.empty();
    plan.serving = plan.serving || complete || waited;
    return plan.serving;
}

auto freshness(const ReadPlan &plan, absl::Time now) -> ConfigurationFreshness
{
    const auto confirmed = confirmedAt(plan);
    const auto ago = confirmed ? std::optional(now - *confirmed) : std::nullopt;
    const auto listed = std::any_of(plan.prefixes.begin(), plan.prefixes.end(), [](const PrefixReading &reading) {
        return reading.everListed;
    });
    const auto stale = std::any_of(plan.prefixes.begin(), plan.prefixes.end(), [](const PrefixReading &reading) {
        return reading.stale;
    });
    if (ago && *ago <= plan.settings.confirmedWindow) {
        return {plan.peerCompared ? FreshnessLevel::Confirmed : FreshnessLevel::PlatformOnly, ago};
    }
    if (stale) {
        return {FreshnessLevel::StalePlatform, ago};
    }
    if (ago) {
        return {FreshnessLevel::Unconfirmed, ago};
    }
    if (plan.peerCompared) {
        return {FreshnessLevel::PeersOnly, ago};
    }
    return {listed ? FreshnessLevel::PlatformOnly : FreshnessLevel::Unknown, ago};
}

} // namespace tamarackspan::configuration
