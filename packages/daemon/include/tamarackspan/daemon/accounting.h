#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/costs/cost_ledger.h"
#include "tamarackspan/daemon/caller_reply.h"
#include "tamarackspan/daemon/leaf_work.h"
#include "tamarackspan/metrics/metric_registry.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace tamarackspan::daemon {

/// Records costs and metrics. Callable from any thread.
class Accounting
{
public:
    explicit Accounting(base::Incarnation incarnation);

    /// Charges one request that reached a leaf, with the processor time that the leaf reported, in microseconds.
    auto chargeLeafRequest(const costs::CostKey &account, AttemptKind kind, bool cancelled, std::uint64_t costMicros) -> void;

    /// Charges one admitted request of a caller.
    auto chargeRequest(const costs::CostKey &account) -> void;

    /// Records the latency and the coverage of an answered request.
    auto countAnswer(const costs::CostKey &account, absl::Duration latency, std::uint32_t shards, std::uint32_t covered) -> void;

    /// Counts a refused request.
    auto countRefusal(const costs::CostKey &account, RefusalKind kind) -> void;

    /// Counts an event of the given name, such as "crossed_replies".
    auto countEvent(std::string_view name, std::uint64_t times = 1) -> void;

    /// Sets a gauge, such as "control_links".
    auto setGauge(std::string_view name, double value) -> void;

    /// Returns what was charged since the start of the process.
    [[nodiscard]] auto costReport() const -> costs::CostReport;

    /// Returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] auto metricsText() const -> std::string;

private:
    /// The series of one customer's operation.
    struct Series
    {
        metrics::HistogramId latency;
        metrics::CounterId shards;
        metrics::CounterId covered;
        metrics::CounterId partial;
        metrics::CounterId leafRequests;
        metrics::CounterId extraLeafRequests;
        metrics::CounterId leafMicros;
    };

    auto seriesOf(const costs::CostKey &account) -> const Series &;

    metrics::MetricRegistry registry;
    metrics::MetricShard &shard;
    mutable std::mutex mutex;
    costs::CostLedger ledger;
    absl::flat_hash_map<costs::CostKey, Series> series;
};

} // namespace tamarackspan::daemon
