#pragma once

#include "tamarackspan/base/random.h"
#include "tamarackspan/configuration/document_store.h"
#include "tamarackspan/configuration/exchange.h"
#include "tamarackspan/configuration/read_budget.h"

#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarackspan::configuration {

/// Timeouts, intervals and limits of the read plan.
struct ReadPlanSettings
{
    /// How long a watch call to the platform waits for a change.
    absl::Duration watchWait = absl::Seconds(5);
    /// A call fails if it takes this much longer than its wait.
    absl::Duration callTimeout = absl::Milliseconds(1500);
    /// The backoff after the first failure. Doubles with each further failure, and is jittered between half and the whole.
    absl::Duration initialBackoff = absl::Milliseconds(500);
    absl::Duration maxBackoff = absl::Seconds(30);
    /// If no peer of its data centre was heard for this long, a host reads the platform even if it isn't a watcher.
    absl::Duration peerTimeout = absl::Seconds(3);
    /// The interval at which such a host reads, jittered between half and the whole. It also delays a host that must read in place of the watchers; then a
    /// change published between two of its lists has to be in force within 15 s. It is therefore shorter than the time after which a prefix counts as
    /// unwatched.
    absl::Duration fallbackInterval = absl::Seconds(10);
    /// How long a host that doesn't watch a prefix waits for a peer to send a document that the platform lists before it fetches the document itself; jittered
    /// between a third and the whole. Ends early once the host watches the prefix, or nobody does.
    absl::Duration peerGrace = absl::Seconds(30);
    /// The first list calls of a starting host are spread over this time, so that hosts started together don't call the platform at the same moment.
    absl::Duration startJitter = absl::Seconds(2);
    /// Added to the age of a confirmation relayed by a peer, for the time that the message may have been in transit.
    absl::Duration relayMargin = absl::Milliseconds(250);
    /// A prefix not confirmed for the time of a watch call plus this is considered unwatched, and every host reads it. Each host uses its own jittered value
    /// between half and the whole.
    absl::Duration unwatchedAfter = absl::Seconds(4);
    /// Replaces peerGrace for unwatched prefixes, from when they became so; jittered between zero and the whole.
    absl::Duration unwatchedGrace = absl::Seconds(1);
    /// How long a starting host waits for the platform and for peers before it serves with the configuration that it has.
    absl::Duration startWait = absl::Seconds(5);
    /// The greatest age of a confirmation at which the configuration counts as confirmed.
    absl::Duration confirmedWindow = absl::Seconds(30);
    ReadBudgetLimits budget;
    /// Calls that the watch of the host list must leave in the budget for other lists and for fetches.
    double reservedForChanges = 32;
    /// The most fetches in flight at once.
    std::uint32_t maxConcurrentFetches = 8;
    /// False only in tests: calls are then limited only by the waits.
    bool enforcesBudget = true;
};

/// How up to date a host's configuration is known to be; reported with its status and answers.
enum class FreshnessLevel {
    /// The platform's lists agreed with the configuration within the window, at this host or at a peer with the same documents, and documents were compared
    /// with a peer.
    Confirmed,
    /// Confirmed earlier, but not within the window: the platform is unreachable.
    Unconfirmed,
    /// The platform returns older revisions than are known, so it is stale. The documents in force stay in force.
    StalePlatform,
    /// Only the platform was reached, so it isn't known whether the platform is stale.
    PlatformOnly,
    /// Only peers were reached.
    PeersOnly,
    /// Neither was reached.
    Unknown,
};

/// The freshness of a host's configuration, and the age of its last confirmation.
struct ConfigurationFreshness
{
    FreshnessLevel level = FreshnessLevel::Unknown;
    /// Time since the last confirmation; nothing if there was none.
    std::optional<absl::Duration> confirmedAgo;

    friend auto operator==(const ConfigurationFreshness &, const ConfigurationFreshness &) -> bool = default;
};

/// Returns "confirmed", "unconfirmed", "stale-platform", "platform-only", "peers-only" or "unknown".
[[nodiscard]] auto toString(FreshnessLevel level) -> std::string;

/// The read state of one prefix.
struct PrefixReading
{
    std::string prefix;
    /// Whether this host is one of the watchers of the prefix.
    bool watched = false;
    bool calling = false;
    absl::Time callDeadline;
    absl::Time notBefore;
    std::uint32_t failures = 0;
    /// The highest revision that the platform listed for this prefix.
    base::Revision listedRevision;
    /// The highest revision known when the call in flight was sent.
    base::Revision knownRevisionAtCall;
    bool everListed = false;
    /// The last list had a lower revision than was already known.
    bool stale = false;
    /// When the platform's list last agreed with what this host holds, as seen by this host or by a peer with the same documents.
    std::optional<absl::Time> confirmedAt;
};

/// One value that the platform listed and this host doesn't hold.
struct PendingValue
{
    base::Revision revision;
    std::size_t prefix = 0;
    /// When the platform listed the revision for the first time.
    absl::Time listedAt;
    /// Jitters how long a peer may take to send the value: from 0 to 1.
    double jitter = 0;
    bool calling = false;
    absl::Time callDeadline;
    /// The end of the backoff after a failed fetch.
    absl::Time notBefore = absl::InfinitePast();
    std::uint32_t failures = 0;
};

/// The reads of one host from the platform: their schedule, state and budget.
struct ReadPlan
{
    ReadPlanSettings settings;
    base::DataCentre dataCentre;
    base::Random random{0};
    absl::Time startedAt;
    std::array<PrefixReading, prefixCount> prefixes;
    std::map<std::string, PendingValue> pending;
    ReadBudget budget;
    /// The highest revision that the platform is known to have listed, to this host or to a peer.
    base::Revision platformRevision;
    std::optional<absl::Time> peerHeardAt;
    /// This host's documents were compared with a peer's, and the missing ones were applied.
    bool peerCompared = false;
    bool serving = false;
    /// This host's jittered value of unwatchedAfter.
    absl::Duration unwatchedOffset;
};

/// Calls "GET /v1/list".
struct ListPrefix
{
    std::string prefix;
    /// Nothing if the platform is to answer immediately.
    std::optional<base::Revision> after;
    absl::Duration wait;

    friend auto operator==(const ListPrefix &, const ListPrefix &) -> bool = default;
};

/// Calls "GET /v1/values/KEY".
struct FetchValue
{
    std::string key;

    friend auto operator==(const FetchValue &, const FetchValue &) -> bool = default;
};

using ReadAction = std::variant<ListPrefix, FetchValue>;

/// One key of a list, with its revision.
struct ListedKey
{
    std::string key;
    base::Revision revision;
};

/// Creates a plan. The seed jitters the waits and must differ between hosts.
[[nodiscard]] auto makeReadPlan(const ReadPlanSettings &settings, const base::DataCentre &dataCentre, std::uint64_t seed, absl::Time now) -> ReadPlan;

/// The number of hosts of a data centre that watch each prefix.
inline constexpr std::size_t watchersPerPrefix = 2;

/// Sets which prefixes this host watches, and its share of the read budget accordingly. `hosts` are the reachable hosts of its data centre, including this
/// host; all hosts that see the same hosts choose the same watchers.
auto setHosts(ReadPlan &plan, const std::vector<base::HostId> &hosts, const base::HostId &self) -> void;

/// Returns the watchers of a prefix: the `count` hosts with the highest hashes of prefix and host, in descending order.
[[nodiscard]] auto chooseWatchers(const std::string &prefix, const std::vector<base::HostId> &hosts, std::size_t count) -> std::vector<base::HostId>;

/// Returns the calls to send now. A call without a reported result by its deadline counts as failed. Must be called after every event and about every 100 ms.
[[nodiscard]] auto planReads(ReadPlan &plan, const DocumentStore &store, absl::Time now) -> std::vector<ReadAction>;

/// Applies the answer to a ListPrefix call.
auto onListed(ReadPlan &plan, const DocumentStore &store, const std::string &prefix, base::Revision revision, const std::vector<ListedKey> &keys,
              absl::Time now) -> void;

/// Records that a ListPrefix call failed.
auto onListFailed(ReadPlan &plan, const std::string &prefix, absl::Time now) -> void;

/// Records that a FetchValue call was answered, after its document was applied to the store. If the answer is older than the listed revision, the fetch is
/// retried later.
auto onValue(ReadPlan &plan, const DocumentStore &store, const std::string &key, absl::Time now) -> void;

/// Records that a FetchValue call failed.
auto onValueFailed(ReadPlan &plan, const std::string &key, absl::Time now) -> void;

/// Applies a peer's digest; `same` says whether it agrees with this host's store.
auto onPeerDigest(ReadPlan &plan, const ConfigDigest &digest, bool same, absl::Time now) -> void;

/// Returns the digest to send with this host's heartbeats.
[[nodiscard]] auto makeDigest(const ReadPlan &plan, const DocumentStore &store, absl::Time now) -> ConfigDigest;

/// Returns whether the host may serve: it has read the platform's lists, was compared with a peer and holds all documents that they named, or the start wait
/// has passed and it holds any document. Once true, it stays true.
auto mayServe(ReadPlan &plan, const DocumentStore &store, absl::Time now) -> bool;

/// Returns the freshness of the host's configuration.
[[nodiscard]] auto freshness(const ReadPlan &plan, absl::Time now) -> ConfigurationFreshness;

} // namespace tamarackspan::configuration
