#pragma once

#include "tamarackspan/base/random.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackspan::census {

/// What a host says about itself; passed on by others as it is.
struct HostRecord
{
    std::string name{};
    std::string ip{};
    std::string dataCentre{};
    /// Thousandths of a core that the host may use.
    std::uint32_t capacity = 0;
    /// True once the host is told to stop.
    bool stopping = false;
    /// Unix milliseconds of the process's start, by the host's own clock, or more after that clock was set back; tells its starts apart.
    std::uint64_t incarnation = 0;
    /// Grows with each report of the host itself.
    std::uint64_t sequence = 0;

    friend auto operator==(const HostRecord &, const HostRecord &) -> bool = default;
};

/// What one host tells another.
struct HostReport
{
    /// The sender's record first, then others' that it passes on.
    std::vector<HostRecord> records{};
    /// How many hosts the sender counts.
    std::size_t known = 0;
    bool wantsReply = false;

    friend auto operator==(const HostReport &, const HostReport &) -> bool = default;
};

/// A host as another one knows it.
struct KnownHost
{
    HostRecord record{};
    /// When a newer record last came, from the host itself or through others.
    absl::Time heardAt = absl::InfinitePast();

    friend auto operator==(const KnownHost &, const KnownHost &) -> bool = default;
};

/// Numbers of hosts by data centre.
using HostCounts = std::map<std::string, std::size_t, std::less<>>;

/// Whom a host tells about hosts, and how often.
struct ReportTerms
{
    /// IP addresses of hosts that may be alive.
    std::vector<std::string> seeds{};
    /// From one round of reports to the next.
    absl::Duration interval = absl::Seconds(1);
    /// The same for a host that has just started: queries that come before it knows a stronger host are gathered here, too slowly. When all hosts start at
    /// once, the first reports to the seeds are lost.
    absl::Duration quickInterval = absl::Milliseconds(150);
    /// How long a host counts as just started: by then nearly all hosts know each other.
    absl::Duration quickFor = absl::Milliseconds(1500);
    /// Hosts of the own data centre that a report is sent to, besides one elsewhere: bytes between data centres are paid for. A record reaches a hundred hosts
    /// in about five rounds.
    std::size_t fanout = 2;
    /// Rounds between two reports to a seed, once other hosts are known.
    std::uint64_t seedRounds = 5;

    friend auto operator==(const ReportTerms &, const ReportTerms &) -> bool = default;
};

/// A report to be sent.
struct PlannedReport
{
    std::string ip{};
    bool wantsReply = false;

    friend auto operator==(const PlannedReport &, const PlannedReport &) -> bool = default;
};

/// How long what is known counts.
struct CensusTerms
{
    /// A host whose record hasn't advanced for so long is taken as unreachable: a few rounds of passing on.
    absl::Duration aliveFor = absl::Seconds(5);
    /// Beyond this many hosts that time grows with their number: reports keep their size, so that each record comes round less often.
    std::size_t roundedHosts = 50;
    /// A host counts among those that share a limit for so long after it was heard last: longer than partitions and restarts usually last, so that a share
    /// never grows on behalf of hosts that may still use theirs.
    absl::Duration sharesFor = absl::Seconds(60);
    /// A host is tried for so long after it was heard last: a data centre may be cut off for an hour, and both sides find each other again without seeds.
    absl::Duration forgottenAfter = absl::Hours(1);
    /// How long another host's count of hosts is believed: until the next report from a seed.
    absl::Duration claimFor = absl::Seconds(20);
    /// After a start the count of hosts isn't trusted for so long.
    absl::Duration settleFor = absl::Seconds(4);
    /// The hosts that are assumed until then: more than the deployments of some tens of hosts have.
    std::size_t assumedHosts = 64;

    friend auto operator==(const CensusTerms &, const CensusTerms &) -> bool = default;
};

/// The hosts that one host knows of. The platform doesn't list them: they tell each other, beginning with a few seeds. Holds no clock and no socket.
class HostCensus
{
public:
    /// Begins with the host itself.
    HostCensus(HostRecord self, CensusTerms terms, absl::Time now);

    /// Takes in a report.
    auto take(const HostReport &report, absl::Time now) -> void;

    /// Takes in what another host said of itself or passed on. If a record names a later start of this very host, the host's own start is moved behind it.
    auto note(const HostRecord &record, absl::Time now) -> void;

    /// Counts one more report of this host and returns its record.
    auto advance(absl::Time now) -> const HostRecord &;

    /// Tells the others that this host is about to stop.
    auto announceStop() -> void;

    /// Returns this host's record.
    [[nodiscard]] auto self() const -> const HostRecord &;

    /// Returns the other hosts that are alive.
    [[nodiscard]] auto alive(absl::Time now) const -> std::vector<HostRecord>;

    /// Returns the other hosts that aren't alive and aren't forgotten: partitioned, stopped or gone.
    [[nodiscard]] auto silent(absl::Time now) const -> std::vector<HostRecord>;

    /// Returns how many hosts, this one included, share the limits that hold over all hosts.
    [[nodiscard]] auto sharers(absl::Time now) const -> std::size_t;

    /// Returns how many of those hosts take queries over shards; see countStrong(). Of hosts that others count and this one doesn't know yet, as large a part
    /// is taken for strong.
    [[nodiscard]] auto strongSharers(absl::Time now) const -> std::size_t;

    /// Returns whether this host is one of those that take queries over shards, however many are alive.
    [[nodiscard]] auto isStrong(absl::Time now) const -> bool;

    /// Returns the hosts of this host's data centre that have at least twice its capacity, are alive and aren't stopping.
    [[nodiscard]] auto strongerNeighbours(absl::Time now) const -> std::vector<HostRecord>;

    /// Returns the reports of one round: to seeds, to a host that fell silent, to a few of the own data centre and one elsewhere.
    [[nodiscard]] auto planReports(const ReportTerms &terms, base::Random &random, absl::Time now) const -> std::vector<PlannedReport>;

    /// Returns reports that ask for a reply, to up to `count` other hosts that a data centre had when it was heard last, whether they are alive or not.
    [[nodiscard]] auto planProbes(std::string_view dataCentre, std::size_t count, base::Random &random) const -> std::vector<PlannedReport>;

    /// Returns how many of the hosts that share limits, this one included, each data centre has.
    [[nodiscard]] auto hostsByDataCentre(absl::Time now) const -> HostCounts;

    /// Returns how many hosts, this one included, each data centre had when it was heard last, up to an hour ago.
    [[nodiscard]] auto lastHostsByDataCentre() const -> HostCounts;

    /// Returns how long after a round the next one follows. Answers the load pattern of all hosts starting at once, which know nobody while callers return.
    [[nodiscard]] auto nextRoundAfter(const ReportTerms &terms, absl::Time now) const -> absl::Duration;

    /// Returns a report of up to `count` records.
    [[nodiscard]] auto makeReport(std::size_t count, bool wantsReply, base::Random &random, absl::Time now) const -> HostReport;

    /// Tells whether an earlier start of the sender is taken for newer than the one that its record names, since the sender's clock was set back meanwhile. The
    /// sender has to be told: until then its reports count for nothing.
    [[nodiscard]] auto holdsEarlierStart(const HostRecord &sender) const -> bool;

    /// Returns a report of up to `count` records in reply to a host, which names first the strongest hosts of its data centre; besides the host's own earlier
    /// start, if holdsEarlierStart().
    [[nodiscard]] auto makeReply(const HostRecord &asker, std::size_t count, base::Random &random, absl::Time now) const -> HostReport;

private:
    /// Returns up to `count` records to pass on: this host's, the strongest of a data centre if one is named, half of the rest those heard last, the others
    /// drawn at random.
    [[nodiscard]] auto recordsToPassOn(std::size_t count, const std::string &dataCentre, base::Random &random, absl::Time now) const -> std::vector<HostRecord>;
    /// Returns the hosts, this one included, that each data centre had when it was heard last: those of a data centre that is cut off, but none that left
    /// before.
    [[nodiscard]] auto lastKnown() const -> std::vector<const HostRecord *>;
    /// Returns how many of the known hosts, this one included, share limits.
    [[nodiscard]] auto countSharers(absl::Time now) const -> std::size_t;
    [[nodiscard]] auto aliveSpan(absl::Time now) const -> absl::Duration;
    [[nodiscard]] auto within(absl::Duration span, absl::Time now) const -> std::vector<const HostRecord *>;

    std::string ownName;
    CensusTerms terms;
    absl::Time startedAt;
    std::map<std::string, KnownHost> hosts;
    /// The greatest count that another host has claimed lately: the seeds hear from all, and a count that is too low would take more than a share.
    std::size_t claimed = 0;
    absl::Time claimedAt = absl::InfinitePast();
};

/// Returns how many of the hosts take queries over shards themselves: those for which none of the others in their data centre has twice the capacity.
[[nodiscard]] auto countStrong(const std::vector<const HostRecord *> &hosts) -> std::size_t;

} // namespace tamarackspan::census
