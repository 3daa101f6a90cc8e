#include "tamarackspan/daemon/cost_keeper.h"

#include "tamarackspan/daemon/config_wire.h"
#include "tamarackspan/wire/codec.h"

#include <memory>
#include <utility>

namespace tamarackspan::daemon {

auto toWire(const costs::CostReport &report) -> wire::CostReportT
{
    auto result = wire::CostReportT();
    result.incarnation = report.incarnation.get();
    result.ageMicros = toMicros(report.age);
    for (const auto &[key, counters] : report.table) {
        auto row = std::make_unique<wire::CostRowT>();
        row->customer = key.customer.get();
        row->operation = key.operation.get();
        row->requests = counters.requests;
        row->firstLeafRequests = counters.firstLeafRequests;
        row->hedges = counters.hedges;
        row->retries = counters.retries;
        row->cancelled = counters.cancelled;
        row->leafMicros = counters.leafMicros;
        result.rows.push_back(std::move(row));
    }
    return result;
}

auto fromWire(const wire::CostReportT &report) -> costs::CostReport
{
    auto result = costs::CostReport();
    result.incarnation = base::Incarnation(report.incarnation);
    result.age = fromMicros(report.ageMicros);
    for (const auto &row : report.rows) {
        const auto key = costs::CostKey{base::CustomerName(row->customer), base::OperationName(row->operation)};
        result.table[key] = {row->requests, row->firstLeafRequests, row->hedges, row->retries, row->cancelled, row->leafMicros};
    }
    return result;
}

CostKeeper::CostKeeper(base::HostId self, const Accounting &accounting, Sender sender)
    : self(std::move(self)),
      accounting(accounting),
      sender(std::move(sender))
{
}

auto CostKeeper::onReport(const wire::CostReportT &report, absl::Time now) -> void
{
    costs::mergeReport(this->archive, fromWire(report), now);
}

auto CostKeeper::tick(const std::vector<base::HostId> &hosts, absl::Time now) -> absl::Duration
{
    costs::expireReports(this->archive, now);
    const auto own = this->accounting.costReport();
    const auto message = toWire(own);
    const auto bytes = wire::encode(message).size();
    auto sent = std::size_t{0};
    for (const auto &holder : costs::chooseHolders(own.incarnation, hosts)) {
        if (holder != this->self) {
            this->sender(holder, message);
            sent += bytes;
        }
    }
    if (hosts != this->lastHosts) {
        this->lastHosts = hosts;
        this->relayReports(hosts, now);
    }
    return absl::Seconds(static_cast<double>(sent) / maxReportBytesPerSecond);
}

auto CostKeeper::transferReports(const std::vector<base::HostId> &hosts, absl::Time now) -> void
{
    this->lastHosts.clear();
    auto others = std::vector<base::HostId>();
    for (const auto &host : hosts) {
        if (host != this->self) {
            others.push_back(host);
        }
    }
    this->tick(others, now);
}

auto CostKeeper::reports(absl::Time now) const -> std::vector<costs::CostReport>
{
    auto all = costs::storedReports(this->archive, now);
    all.push_back(this->accounting.costReport());
    return all;
}

auto CostKeeper::relayReports(const std::vector<base::HostId> &hosts, absl::Time now) -> void
{
    for (const auto &host : hosts) {
        if (host == this->self) {
            continue;
        }
        for (const auto &report : costs::reportsForHolder(this->archive, host, hosts, now)) {
            this->sender(host, toWire(report));
        }
    }
}

} // namespace tamarackspan::daemon
