#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/costs/cost_ledger.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace tamarackspan::costs {

/// Limits on the reports of other hosts that one host stores.
struct CostArchiveLimits
{
    /// A report expires this long after its incarnation made it.
    absl::Duration retention = absl::Hours(24);
    /// The most rows (one for each customer and operation) over all reports; the oldest reports are evicted first.
    std::size_t rows = 50'000;
    /// The most rows of one report; further ones are dropped and counted.
    std::size_t rowsPerReport = 10'000;
};

/// The merged reports of one incarnation.
struct StoredReport
{
    /// When the incarnation made the newest report that changed the table, by this host's clock.
    absl::Time madeAt;
    CostTable table;
};

/// The reports of other hosts, running and lost, that one host stores.
struct CostArchive
{
    CostArchiveLimits limits;
    std::map<base::Incarnation, StoredReport> reports;
    std::size_t rows = 0;
    /// Reports evicted for lack of room, before their retention ended. A sum taken from this host alone may lack them.
    std::uint64_t forgotten = 0;
    /// Rows dropped from reports that had too many.
    std::uint64_t droppedRows = 0;
    /// False only in tests: adds the counters of repeated reports instead of keeping the greater ones.
    bool mergesByMaximum = true;
};

/// Merges a report that came from the incarnation itself or was relayed by another host. Reports may come in any order and repeatedly: each stored counter is
/// the greatest one seen.
auto mergeReport(CostArchive &archive, const CostReport &report, absl::Time now) -> void;

/// Removes the reports whose retention has ended.
auto expireReports(CostArchive &archive, absl::Time now) -> void;

/// Returns every stored report with its age, for a reader or to relay.
[[nodiscard]] auto storedReports(const CostArchive &archive, absl::Time now) -> std::vector<CostReport>;

/// The number of hosts that hold the reports of one incarnation.
inline constexpr std::size_t holdersPerIncarnation = 3;

/// Returns the hosts that hold the reports of an incarnation, by rendezvous hashing: those with the `holdersPerIncarnation` highest hashes of incarnation and
/// host.
[[nodiscard]] auto chooseHolders(base::Incarnation incarnation, const std::vector<base::HostId> &hosts) -> std::vector<base::HostId>;

/// Returns the reports to relay to a host that became reachable: those of which it is a holder.
[[nodiscard]] auto reportsForHolder(const CostArchive &archive, const base::HostId &host, const std::vector<base::HostId> &hosts, absl::Time now)
    -> std::vector<CostReport>;

} // namespace tamarackspan::costs
