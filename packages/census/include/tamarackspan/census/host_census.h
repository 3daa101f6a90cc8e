#pragma once

#include "tamarackspan/base/random.h"
#include "tamarackspan/census/store_revision.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarackspan::census {

/// What a host reports about itself; other hosts pass it on unchanged.
struct HostRecord
{
    std::string name{};
    std::string ip{};
    std::string dataCentre{};
    /// CPU that the host may use, in thousandths of a core.
    std::uint32_t capacity = 0;
    /// True once the host has been told to stop.
    bool stopping = false;
    /// Distinguishes the starts of the host: Unix milliseconds of the process's start by the host's own clock, or more if that clock was set back later.
    std::uint64_t incarnation = 0;
    /// Incremented with each round of reports of the host itself.
    std::uint64_t sequence = 0;

    friend auto operator==(const HostRecord &, const HostRecord &) -> bool = default;
};

/// What a host states about the data centres that it can't reach.
struct ReachStatement
{
    /// Their names; empty if it reaches all.
    std::vector<std::string> outOfReach{};
    /// The weight of its recent requests: of all, and of those that it can serve with the leafs it reaches.
    float asked = 0.0F;
    float served = 0.0F;

    friend auto operator==(const ReachStatement &, const ReachStatement &) -> bool = default;
};

/// A revision of the document store that a current read returned. Whoever knows the changes up to that revision knows all that were accepted before the read.
struct RevisionStatement
{
    /// Identifies one start of the host that made the read, and the read among its reads, which are numbered from 1.
    std::uint64_t reader = 0;
    std::uint64_t read = 0;
    StoreRevision position{};
    /// When the read was sent, by this host's monotonic clock.
    absl::Time currentAt = absl::InfinitePast();

    friend auto operator==(const RevisionStatement &, const RevisionStatement &) -> bool = default;
};

/// Whether the operator has evacuated a data centre: no requests are sent to its leafs until that is taken back.
struct EvacuationStatement
{
    std::string dataCentre{};
    bool evacuated = false;
    /// When the operator's item was written, or removed.
    StoreRevision since{};

    friend auto operator==(const EvacuationStatement &, const EvacuationStatement &) -> bool = default;
};

/// The contents of one gossip report.
struct HostReport
{
    /// The sender's record first, followed by the records of other hosts that it passes on.
    std::vector<HostRecord> records{};
    /// The number of hosts, the sender included, that the sender counts as sharing global limits.
    std::size_t known = 0;
    bool wantsReply = false;
    /// The sender's own statement.
    ReachStatement reach{};
    /// The latest statement about the document store that the sender knows; datagrams carry its age.
    std::optional<RevisionStatement> revision{};
    /// The evacuations that the sender knows, in force or taken back.
    std::vector<EvacuationStatement> evacuations{};

    friend auto operator==(const HostReport &, const HostReport &) -> bool = default;
};

/// What one host knows about another.
struct KnownHost
{
    HostRecord record{};
    /// When a newer record last arrived, directly from the host or through others.
    absl::Time heardAt = absl::InfinitePast();

    friend auto operator==(const KnownHost &, const KnownHost &) -> bool = default;
};

/// The number of hosts in each data centre.
using HostCounts = std::map<std::string, std::size_t, std::less<>>;

/// Which hosts receive gossip reports, and how often.
struct GossipSettings
{
    /// IP addresses of the seed hosts, any of which may be down.
    std::vector<std::string> seeds{};
    /// Time between two gossip rounds.
    absl::Duration interval = absl::Seconds(1);
    /// Time between two rounds while a host has just started. It is shorter since a weak host that doesn't know a stronger one yet must run fan-out queries
    /// itself, which is too slow, and since the first reports to the seeds are lost when all hosts start at once.
    absl::Duration startupInterval = absl::Milliseconds(150);
    /// How long a host counts as just started: by then nearly all hosts know each other.
    absl::Duration startupPeriod = absl::Milliseconds(1500);
    /// Hosts of the own data centre that receive a report in each round. One host of another data centre receives one as well, and only one since traffic
    /// between data centres is paid for. A record reaches a hundred hosts in about five rounds.
    std::size_t fanout = 2;
    /// Rounds between two reports to the same seed, once other hosts are known.
    std::uint64_t roundsBetweenSeedReports = 5;

    friend auto operator==(const GossipSettings &, const GossipSettings &) -> bool = default;
};

/// A report to be sent to one host.
struct PlannedReport
{
    std::string ip{};
    bool wantsReply = false;

    friend auto operator==(const PlannedReport &, const PlannedReport &) -> bool = default;
};

/// How long information about hosts stays valid.
struct CensusOptions
{
    /// A host whose record hasn't advanced for this long is taken as unreachable. Covers a few gossip rounds.
    absl::Duration unreachableAfter = absl::Seconds(5);
    /// With more than this many hosts, unreachableAfter grows in proportion to their number: reports keep their size, so each record is passed on less often.
    std::size_t hostsBeforeScaling = 50;
    /// How long after it was last heard a host still counts among those that a global limit is divided among. Longer than partitions and restarts usually last,
    /// so that no host's share grows while an unreachable host may still be using its own.
    absl::Duration quotaRetention = absl::Seconds(60);
    /// How long after it was last heard a host is still contacted. A data centre may be cut off for an hour, and both sides must find each other again without
    /// seeds.
    absl::Duration forgottenAfter = absl::Hours(1);
    /// How long a host count reported by another host stays valid: until the next report from a seed.
    absl::Duration reportedCountValidity = absl::Seconds(20);
    /// How long after its start a host doesn't rely on its own host count.
    absl::Duration settlingPeriod = absl::Seconds(4);
    /// The least number of hosts assumed during that time: more than there are in deployments of some tens of hosts.
    std::size_t assumedHosts = 64;

    friend auto operator==(const CensusOptions &, const CensusOptions &) -> bool = default;
};

/// The hosts that one host knows of. They aren't listed by the platform: hosts gossip, starting with a few seeds. Uses no clock and no socket of its own.
class HostCensus
{
public:
    /// Starts with the own record only.
    HostCensus(HostRecord self, CensusOptions options, absl::Time now);

    /// Merges a report into the known hosts.
    auto applyReport(const HostReport &report, absl::Time now) -> void;

    /// Merges the record of another host, received directly or through others. If a record of this host itself names a later incarnation, the own incarnation
    /// is raised above it.
    auto applyRecord(const HostRecord &record, absl::Time now) -> void;

    /// Begins a gossip round: increments the own sequence number, removes hosts not heard for forgottenAfter, and returns the own record.
    auto beginRound(absl::Time now) -> const HostRecord &;

    /// Marks this host as stopping in the reports that follow.
    auto announceStop() -> void;

    /// Returns this host's record.
    [[nodiscard]] auto self() const -> const HostRecord &;

    /// Returns the other hosts that are reachable.
    [[nodiscard]] auto alive(absl::Time now) const -> std::vector<HostRecord>;

    /// Returns the other known hosts that aren't reachable: partitioned, stopped or gone, but not forgotten yet.
    [[nodiscard]] auto unreachable(absl::Time now) const -> std::vector<HostRecord>;

    /// Returns whether enough time has passed since the start for all hosts to have been heard. Until then the counts below are at least the assumed one.
    [[nodiscard]] auto isSettled(absl::Time now) const -> bool;

    /// Returns the number of hosts, this one included, that global limits are divided among.
    [[nodiscard]] auto quotaHostCount(absl::Time now) const -> std::size_t;

    /// Returns the number of hosts, this one included, that were heard in the last hour, whether they are reachable or not.
    [[nodiscard]] auto knownHostCount() const noexcept -> std::size_t;

    /// Returns how many of those that global limits are divided among are coordinators; see countCoordinators(). Among hosts that others count and this one
    /// doesn't know yet, the same proportion is assumed.
    [[nodiscard]] auto coordinatorCount(absl::Time now) const -> std::size_t;

    /// Returns whether this host is a coordinator, judged by all hosts that global limits are divided among, whether they are reachable or not.
    [[nodiscard]] auto isCoordinator(absl::Time now) const -> bool;

    /// Returns the hosts that fan-out queries may be forwarded to: reachable hosts of the same data centre that aren't stopping and have at least twice this
    /// host's capacity.
    [[nodiscard]] auto forwardingTargets(absl::Time now) const -> std::vector<HostRecord>;

    /// Returns the reports of one gossip round: to seeds, to one unreachable host, to a few hosts of the own data centre and to one of another.
    [[nodiscard]] auto planReports(const GossipSettings &settings, base::Random &random, absl::Time now) const -> std::vector<PlannedReport>;

    /// Returns reports that request a reply, to up to `count` other hosts that belonged to a data centre when it was last heard, whether reachable now or not.
    [[nodiscard]] auto planProbes(std::string_view dataCentre, std::size_t count, base::Random &random) const -> std::vector<PlannedReport>;

    /// Returns reports to up to `near` reachable hosts of the own data centre and up to `far` of each other one, chosen at random.
    [[nodiscard]] auto planSpread(std::size_t near, std::size_t far, base::Random &random, absl::Time now) const -> std::vector<PlannedReport>;

    /// Returns this host's place in the order of all reachable hosts that aren't stopping, from 0; nothing if this host is stopping or hasn't settled yet.
    /// Hosts that know each other agree on the order.
    [[nodiscard]] auto rank(absl::Time now) const -> std::optional<std::size_t>;

    /// Returns, for each data centre, the number of hosts that global limits are divided among, this one included.
    [[nodiscard]] auto hostsByDataCentre(absl::Time now) const -> HostCounts;

    /// Returns the number of hosts that each data centre had when it was last heard, up to an hour ago, this host included.
    [[nodiscard]] auto lastKnownHostsByDataCentre() const -> HostCounts;

    /// Returns the time from one gossip round to the next. It is shorter just after the start: when all hosts start at once, none knows another while callers
    /// reconnect.
    [[nodiscard]] auto roundInterval(const GossipSettings &settings, absl::Time now) const -> absl::Duration;

    /// Returns a report of up to `count` records.
    [[nodiscard]] auto makeReport(std::size_t count, bool wantsReply, base::Random &random, absl::Time now) const -> HostReport;

    /// Returns whether this host holds a record of the sender with a newer incarnation than the sender's own, as after the sender's clock was set back between
    /// two starts. The sender's reports are ignored until a reply tells it to raise its incarnation.
    [[nodiscard]] auto holdsNewerIncarnation(const HostRecord &sender) const -> bool;

    /// Returns a reply of up to `count` records that names the strongest hosts of the requester's data centre first, plus the requester's own newer incarnation
    /// if holdsNewerIncarnation().
    [[nodiscard]] auto makeReply(const HostRecord &requester, std::size_t count, base::Random &random, absl::Time now) const -> HostReport;

private:
    /// Returns up to `count` records to send: this host's, then the strongest hosts of `dataCentre` unless it is empty, then half of the rest by most recent
    /// contact and the others at random.
    [[nodiscard]] auto recordsToGossip(std::size_t count, const std::string &dataCentre, base::Random &random, absl::Time now) const -> std::vector<HostRecord>;
    /// Returns the hosts, this one included, that each data centre had when it was last heard. Includes the hosts of a data centre that is cut off, but not
    /// those that disappeared before it was.
    [[nodiscard]] auto lastKnownHosts() const -> std::vector<const HostRecord *>;
    /// Returns how many of the known hosts, this one included, global limits are divided among.
    [[nodiscard]] auto knownQuotaHostCount(absl::Time now) const -> std::size_t;
    [[nodiscard]] auto unreachableTimeout(absl::Time now) const -> absl::Duration;
    [[nodiscard]] auto heardWithin(absl::Duration span, absl::Time now) const -> std::vector<const HostRecord *>;

    std::string ownName;
    CensusOptions options;
    absl::Time startedAt;
    std::map<std::string, KnownHost> hosts;
    /// The greatest host count that another host reported lately. The seeds hear from all hosts, and a count that is too low would give this host too large a
    /// share.
    std::size_t reportedCount = 0;
    absl::Time reportedCountAt = absl::InfinitePast();
};

/// Returns how many of the hosts are coordinators, which run fan-out queries themselves: those for which no host of their data centre has at least twice the
/// capacity.
[[nodiscard]] auto countCoordinators(const std::vector<const HostRecord *> &hosts) -> std::size_t;

} // namespace tamarackspan::census
