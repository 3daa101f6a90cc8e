#pragma once

#include "tamarackspan/costs/cost_archive.h"
#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/wire/inner_generated.h"

#include "absl/time/time.h"

#include <functional>
#include <vector>

namespace tamarackspan::daemon {

/// Keeps the cost reports of other incarnations, so that the sum stays right when a host is lost, and gives this host's own to those that keep it. On the
/// control thread only.
class CostKeeper
{
public:
    /// What a host spends on its own cost reports; long reports are sent less often.
    static constexpr auto maxReportBytesPerSecond = 1000.0;

    using Sender = std::function<void(const base::HostId &, const wire::CostReportT &)>;

    CostKeeper(base::HostId self, const Accounting &accounting, Sender sender);

    /// Takes in a report of another incarnation, from itself or passed on.
    auto onReport(const wire::CostReportT &report, absl::Time now) -> void;

    /// Sends this host's report to its holders among `hosts`, and passes the reports of incarnations that have ended on to theirs when the hosts have changed.
    /// Returns how long to wait before the next call, so that the reports take no more than maxReportBytesPerSecond in the long run.
    auto tick(const std::vector<base::HostId> &hosts, absl::Time now) -> absl::Duration;

    /// Passes everything held on, before this process ends.
    auto handOver(const std::vector<base::HostId> &hosts, absl::Time now) -> void;

    /// Returns this host's own report and all that it holds.
    [[nodiscard]] auto reports(absl::Time now) const -> std::vector<costs::CostReport>;

private:
    auto passOn(const std::vector<base::HostId> &hosts, absl::Time now) -> void;

    base::HostId self;
    const Accounting &accounting;
    Sender sender;
    costs::CostArchive archive;
    std::vector<base::HostId> lastHosts;
};

/// Returns a report as it goes over the inner protocol, and back.
[[nodiscard]] auto toWire(const costs::CostReport &report) -> wire::CostReportT;
[[nodiscard]] auto fromWire(const wire::CostReportT &report) -> costs::CostReport;

} // namespace tamarackspan::daemon
