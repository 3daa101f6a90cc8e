#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/host_list.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace tamarackspan::membership {

/// How long a host may rely on a list that it read. Must be the same on all hosts of a data centre.
struct RosterConfig
{
    /// How long a share stays valid after the issue of the read that last confirmed the newest list.
    absl::Duration lease = absl::Seconds(6);
    /// The greatest staleness of a read: a read issued this long after any host saw a revision returns that revision or a newer one.
    absl::Duration maxListLag = absl::Seconds(3);
    /// False lets shares outlive the lease. For tests that show what the lease prevents.
    bool checkLease = true;
    /// False lets shares grow as soon as a list is read. For tests that show what the wait prevents.
    bool waitToGrow = true;
    /// False lets shares grow without a quorum of witnesses that hold the list. For tests that show what the witnesses prevent.
    bool askWitnesses = true;

    friend auto operator==(const RosterConfig &, const RosterConfig &) -> bool = default;
};

/// A host list read from the platform, or received from a peer that read it.
struct ListReading
{
    /// The revision of the value "hosts/<data centre>".
    base::Revision revision;
    contracts::HostList list;
    /// When the read was issued, on this host's clock. For a list from a peer: when this host sent its request, minus the age that the peer reported.
    absl::Time confirmedAt;

    friend auto operator==(const ListReading &, const ListReading &) -> bool = default;
};

/// A witness's report about the newest list that it knows.
struct WitnessReport
{
    base::HostId witness;
    /// The newest revision that the witness knows.
    base::Revision revision;
    /// A time on this host's clock at which the witness certainly knew no newer list: when the request was sent, minus the age of the answer if a peer relayed
    /// it.
    absl::Time at;

    friend auto operator==(const WitnessReport &, const WitnessReport &) -> bool = default;
};

/// One list of the history.
struct SeenList
{
    base::Revision revision;
    contracts::HostList list;
    /// The stable hash of each listed host, in the order of the list.
    std::vector<std::uint64_t> hostHashes;
    /// The witnesses of the list.
    std::vector<base::HostId> witnesses;
    absl::Time firstSeen;
    /// The latest time at which this list was confirmed to be the newest.
    absl::Time confirmedAt;
    /// When a quorum of witnesses was first known to hold this list or a newer one; the infinite future before that.
    absl::Time heldByQuorumAt = absl::InfiniteFuture();

    friend auto operator==(const SeenList &, const SeenList &) -> bool = default;
};

/// What one daemon process knows about the host list of its data centre. The history starts empty, so a new process has no share until a list has been
/// confirmed for the whole growth window.
struct RosterState
{
    base::HostId self;
    RosterConfig config;
    /// The lists seen since the newest settled one, oldest first.
    std::vector<SeenList> history;
    /// The newest report of each witness.
    std::map<base::HostId, WitnessReport> witnessReports;

    friend auto operator==(const RosterState &, const RosterState &) -> bool = default;
};

/// This host's own share of a global limit.
struct QuotaShare
{
    std::uint32_t units = 0;
    /// The share is zero from this time on unless the list is confirmed again.
    absl::Time validUntil = absl::InfinitePast();

    friend auto operator==(const QuotaShare &, const QuotaShare &) -> bool = default;
};

/// Returns how long a list must have been known, from its first sight to its last confirmation, before a share may grow to what the list gives. `hold` is how
/// long the use of a share lasts once begun: zero for a rate, the longest deadline for concurrency.
[[nodiscard]] auto growthWindow(const RosterConfig &config, absl::Duration hold) -> absl::Duration;

/// Records a list. A list older than the newest known one is ignored. A reading more than one lease after the last confirmation clears the history, as if the
/// process had just started. Lists older than the newest one that has been confirmed for growthWindow(longestHold) are dropped.
auto recordList(RosterState &state, const ListReading &reading, absl::Time now, absl::Duration longestHold) -> void;

/// Records a witness's report. Reports from a majority of the newest list's witnesses that they know no newer list confirm the list like a read does, so that a
/// data centre cut off from the platform continues with the list it has.
auto recordWitness(RosterState &state, const WitnessReport &report, absl::Time now) -> void;

/// Returns the newest revision known; 0 if none.
[[nodiscard]] auto newestRevision(const RosterState &state) noexcept -> base::Revision;

/// Returns the newest list known; null if none. The pointer is valid until the state changes.
[[nodiscard]] auto newestList(const RosterState &state) noexcept -> const contracts::HostList *;

/// Returns when the newest list was last confirmed; the infinite past if there is no list.
[[nodiscard]] auto confirmedAt(const RosterState &state) noexcept -> absl::Time;

/// Returns this host's own share of `total` units: the least of its shares under all lists from the newest one that has been confirmed for growthWindow(hold)
/// on, or 0 if there is no such list or the lease has expired. A share shrinks immediately. `key` names the limit: units that don't divide evenly go to the
/// hosts that rank highest for the key, so that adding or removing one host moves at most one of them.
[[nodiscard]] auto currentShare(const RosterState &state, std::uint32_t total, std::string_view key, absl::Duration hold, absl::Time now) -> QuotaShare;

/// Returns the `units` hosts that rank highest for a key, highest first: those that hold a share when there are only that many units.
[[nodiscard]] auto shareHolders(const contracts::HostList &list, std::uint32_t units, std::string_view key) -> std::vector<base::HostId>;

} // namespace tamarackspan::membership
