#pragma once

#include "tamarackspan/costs/cost_archive.h"
#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/wire/inner_generated.h"

#include "absl/time/time.h"

#include <functional>
#include <vector>

namespace tamarackspan::daemon {

/// Stores the cost reports of other incarnations, so that the sum stays right when a host is lost, and sends this host's own report to the hosts that store it.
/// On the control thread only.
class CostKeeper
{
public:
    /// The most bytes of its own cost reports that a host sends each second on average; long reports are sent less often.
    static constexpr auto maxReportBytesPerSecond = 1000.0;

    using Sender = std::function<void(const base::HostId &, const wire::CostReportT &)>;

    CostKeeper(base::HostId self, const Accounting &accounting, Sender sender);

    /// Merges a report of another incarnation, received from that incarnation or relayed by another host.
    auto onReport(const wire::CostReportT &report, absl::Time now) -> void;

    /// Sends this host's report to its holders among `hosts`. If the hosts have changed, also relays the reports of incarnations that have ended to the holders
    /// of those reports. Returns how long to wait before the next call, so that this host's own reports take no more than maxReportBytesPerSecond in the long
    /// run.
    auto tick(const std::vector<base::HostId> &hosts, absl::Time now) -> absl::Duration;

    /// Sends this host's own report and relays all stored reports, before this process ends.
    auto transferReports(const std::vector<base::HostId> &hosts, absl::Time now) -> void;

    /// Returns this host's own report and all stored ones.
    [[nodiscard]] auto reports(absl::Time now) const -> std::vector<costs::CostReport>;

private:
    auto relayReports(const std::vector<base::HostId> &hosts, absl::Time now) -> void;

    base::HostId self;
    const Accounting &accounting;
    Sender sender;
    costs::CostArchive archive;
    std::vector<base::HostId> lastHosts;
};

/// Convert a cost report to and from the inner protocol.
[[nodiscard]] auto toWire(const costs::CostReport &report) -> wire::CostReportT;
[[nodiscard]] auto fromWire(const wire::CostReportT &report) -> costs::CostReport;

} // namespace tamarackspan::daemon
