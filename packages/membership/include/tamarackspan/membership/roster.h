#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/host_list.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace tamarackspan::membership {

/// How long a host may rely on what it read. The same on every host of a data centre.
struct RosterConfig
{
    /// How long a part stays in force after the read that confirmed the newest list was issued.
    absl::Duration lease = absl::Seconds(6);
    /// How far a read may lag: a read issued this long after any host saw a revision returns that revision or a newer one.
    absl::Duration listLag = absl::Seconds(3);
    /// False lets parts outlive the lease. For tests that show what the lease prevents.
    bool checkLease = true;
    /// False lets parts grow as soon as a list is read. For tests that show what the wait prevents.
    bool waitToGrow = true;
    /// False lets parts grow without witnesses that hold the list. For tests that show what the witnesses prevent.
    bool askWitnesses = true;

    friend auto operator==(const RosterConfig &, const RosterConfig &) -> bool = default;
};

/// A host list as read from the platform, or from a peer that read it.
struct ListReading
{
    /// The revision of the value "hosts/<data centre>".
    base::Revision revision;
    contracts::HostList list;
    /// When the read was issued, on this host's own clock. For a list from a peer: when this host asked the peer, less the age that the peer answered.
    absl::Time confirmedAt;

    friend auto operator==(const ListReading &, const ListReading &) -> bool = default;
};

/// What a witness said about the newest list that it knows.
struct WitnessReport
{
    base::HostId witness;
    /// The newest revision that the witness knows.
    base::Revision revision;
    /// A time on this host's own clock at which the witness surely knew nothing newer: when it was asked, less the age of the answer if a peer passed it on.
    absl::Time at;

    friend auto operator==(const WitnessReport &, const WitnessReport &) -> bool = default;
};

/// One list within the history.
struct SeenList
{
    base::Revision revision;
    contracts::HostList list;
    /// The stable hash of each listed host, in the order of the list.
    std::vector<std::uint64_t> hostHashes;
    /// The witnesses of the list.
    std::vector<base::HostId> witnesses;
    absl::Time firstSeen;
    /// The newest time at which this list was confirmed to be the newest.
    absl::Time confirmedAt;
    /// When enough witnesses were first known to hold this list or a newer one; infinite future before that.
    absl::Time heldByQuorumAt = absl::InfiniteFuture();

    friend auto operator==(const SeenList &, const SeenList &) -> bool = default;
};

/// What one run of the daemon knows about the host list of its data centre. Starts without history, so that a new process has no part until a list has stood
/// for the whole window.
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

/// This host's own part of a limit.
struct PartInForce
{
    std::uint32_t units = 0;
    /// The part is zero from this time on unless the list is confirmed again.
    absl::Time until = absl::InfinitePast();

    friend auto operator==(const PartInForce &, const PartInForce &) -> bool = default;
};

/// Returns how long a list must stand, from its first sight to its last confirmation, before a part may grow to what it gives. `hold` is how long a use of the
/// part goes on after it began: zero for a rate, the longest deadline for concurrency.
[[nodiscard]] auto growthWindow(const RosterConfig &config, absl::Duration hold) -> absl::Duration;

/// Records a list. One older than the newest known is ignored. A reading that leaves a gap of more than the lease since the last confirmation clears the
/// history, as if the process had just started. Lists older than the newest one that has stood for growthWindow(longestHold) are dropped.
auto recordList(RosterState &state, const ListReading &reading, absl::Time now, absl::Duration longestHold) -> void;

/// Records a witness's report. When a majority of the witnesses of the newest list report that they know nothing newer, that confirms the list as a read does:
/// a data centre that is cut off from the platform goes on with the list it has.
auto recordWitness(RosterState &state, const WitnessReport &report, absl::Time now) -> void;

/// Returns the newest revision known; 0 if none.
[[nodiscard]] auto newestRevision(const RosterState &state) noexcept -> base::Revision;

/// Returns the newest list known; null if none. Valid until the state changes.
[[nodiscard]] auto newestList(const RosterState &state) noexcept -> const contracts::HostList *;

/// Returns when the newest list was last confirmed; the infinite past if there is none.
[[nodiscard]] auto confirmedAt(const RosterState &state) noexcept -> absl::Time;

/// Returns this host's own part of `total` units: the least of the parts under all lists seen since the newest that has stood for growthWindow(hold), and 0 if
/// there is no such list or the lease has run out. A part that shrinks does so at once. `key` names the limit: units that don't divide evenly go to the hosts
/// that rank first for it, so that a change of one host moves at most one of them.
[[nodiscard]] auto partInForce(const RosterState &state, std::uint32_t total, std::string_view key, absl::Duration hold, absl::Time now) -> PartInForce;

/// Returns the hosts that rank first for a key, best first: those that hold a part of as many units.
[[nodiscard]] auto partHolders(const contracts::HostList &list, std::uint32_t units, std::string_view key) -> std::vector<base::HostId>;

} // namespace tamarackspan::membership
