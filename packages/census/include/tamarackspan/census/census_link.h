#pragma once

#include "tamarackspan/base/random.h"
#include "tamarackspan/census/host_census.h"
#include "tamarackspan/transport/event_loop.h"

#include "absl/status/status.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackspan::census {

/// Settings of the gossip by which hosts learn about each other.
struct CensusSettings
{
    std::string ip{};
    /// The UDP port, the same on all hosts.
    std::uint16_t port = 0;
    GossipSettings reports{};
    /// Records in one report; 10 fit into a datagram of 1200 bytes.
    std::size_t recordsPerReport = 10;

    friend auto operator==(const CensusSettings &, const CensusSettings &) -> bool = default;
};

/// Encodes a report as one datagram that is sent at `now`.
[[nodiscard]] auto encodeReport(const HostReport &report, absl::Time now) -> std::string;

/// Encodes a report as encodeReport() does; records of other hosts are left out, the last ones first, until it fits into `bytes`.
[[nodiscard]] auto encodeWithin(std::size_t bytes, HostReport report, absl::Time now) -> std::string;

/// Decodes a datagram that was received at `now`; returns nothing if it isn't a valid report.
[[nodiscard]] auto decodeReport(std::string_view datagram, absl::Time now) -> std::optional<HostReport>;

/// Sends and receives gossip reports over UDP on the thread of one event loop.
class CensusLink
{
public:
    /// The loop, the census and whatever `onReport` uses must outlive the link. `onReport` is called for each report received; its first record is the
    /// sender's.
    CensusLink(transport::EventLoop &loop, CensusSettings settings, HostCensus &census, std::uint64_t seed, std::function<void(const HostReport &)> onReport);
    ~CensusLink();
    CensusLink(const CensusLink &) = delete;
    auto operator=(const CensusLink &) -> CensusLink & = delete;

    /// Binds the port, sends the first reports and schedules the regular ones. Returns the socket error if the port can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Sets the hosts that are asked for others from now on.
    auto setSeeds(std::vector<std::string> ips) -> void;

    /// Sends one round of reports immediately, in addition to the regular rounds.
    auto sendReports() -> void;

    /// Asks up to three other hosts of a data centre for a report immediately.
    auto probe(std::string_view dataCentre) -> void;

    /// Sets what all reports from now on state. If other data centres are out of reach than before, some hosts of the own data centre are told at once; each
    /// that finds the same tells others, so that all know it after a few steps.
    auto setReach(ReachStatement statement) -> void;

    /// Sets the statement about the document store that all reports from now on carry, and sends it to some hosts at once: to several of the own data centre,
    /// and to some of each other one if this host made the read.
    auto spreadRevision(const RevisionStatement &statement, bool ownRead) -> void;

    /// Sets the evacuations that all reports from now on state. If they differ from before, some hosts are told at once: several of the own data
    /// centre, and one of each other one if this host read them itself.
    auto spreadEvacuations(std::vector<EvacuationStatement> statements, bool ownRead) -> void;

private:
    /// Adds this host's own statements to a report and encodes it.
    [[nodiscard]] auto encodeWithStatements(HostReport report) const -> std::string;
    /// Sends the own record and statements to up to `near` hosts of the own data centre and up to `far` of each other one at once.
    auto announce(std::size_t near, std::size_t far) -> void;
    auto receive() -> void;
    auto sendTo(const std::string &ip, const std::string &datagram) const -> void;
    auto schedule() -> void;

    transport::EventLoop &loop;
    CensusSettings settings;
    HostCensus &census;
    base::Random random;
    std::function<void(const HostReport &)> onReport;
    ReachStatement reach{};
    std::optional<RevisionStatement> revision{};
    std::vector<EvacuationStatement> evacuations{};
    transport::TimerId timer = 0;
    int fd = -1;
};

} // namespace tamarackspan::census
