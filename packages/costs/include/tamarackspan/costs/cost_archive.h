#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/costs/cost_ledger.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace tamarackspan::costs {

/// How much of other hosts' reports one host keeps.
struct CostArchiveLimits
{
    /// A report is forgotten when its incarnation made it so long ago.
    absl::Duration retention = absl::Hours(24);
    /// The most rows (customer and operation) over all reports; the oldest reports are forgotten first.
    std::size_t rows = 50'000;
    /// The most rows of one report; further ones are dropped and counted.
    std::size_t rowsPerReport = 10'000;
};

/// The last report of one incarnation.
struct HeldReport
{
    /// When the incarnation made it, by this host's clock.
    absl::Time madeAt;
    CostTable table;
};

/// The reports of other hosts, running and lost, on one host.
struct CostArchive
{
    CostArchiveLimits limits;
    std::map<base::Incarnation, HeldReport> reports;
    std::size_t rows = 0;
    /// Reports forgotten for lack of room, before their retention ended. A sum taken from this host alone may lack them.
    std::uint64_t forgotten = 0;
    /// Rows dropped from reports that were too long.
    std::uint64_t droppedRows = 0;
    /// False only in tests: adds reports up in place of taking the greater counters.
    bool takesMaximum = true;
};

/// Takes in a report, from the incarnation itself or passed on. In any order, any number of times: the counters held are the greatest ones seen.
auto takeReport(CostArchive &archive, const CostReport &report, absl::Time now) -> void;

/// Forgets the reports whose retention has ended.
auto expireReports(CostArchive &archive, absl::Time now) -> void;

/// Returns every report held with its age, for a reader or for passing on.
[[nodiscard]] auto heldReports(const CostArchive &archive, absl::Time now) -> std::vector<CostReport>;

/// The hosts that hold each incarnation's reports.
inline constexpr std::size_t reportHolders = 3;

/// Returns the hosts that hold the reports of an incarnation: the highest `reportHolders` by a hash of incarnation and host.
[[nodiscard]] auto chooseHolders(base::Incarnation incarnation, const std::vector<base::HostId> &hosts) -> std::vector<base::HostId>;

/// Returns the reports to pass on to a host that became reachable: those it is a holder of.
[[nodiscard]] auto reportsFor(const CostArchive &archive, const base::HostId &host, const std::vector<base::HostId> &hosts, absl::Time now)
    -> std::vector<CostReport>;

} // namespace tamarackspan::costs
