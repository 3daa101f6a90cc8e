#include "tamarackspan/daemon/accounting.h"

#include "tamarackspan/metrics/prometheus.h"

namespace tamarackspan::daemon {

namespace {

auto seriesName(std::string metric, const costs::CostKey &account) -> metrics::SeriesName
{
    return {std::move(metric), {{"customer", account.customer.get()}, {"operation", account.operation.get()}}};
}

auto describeAll(metrics::MetricRegistry &registry) -> void
{
    registry.describe("tamarackspan_answer_seconds", "Time from a request's arrival to its answer.");
    registry.describe("tamarackspan_shards_total", "Shards that answered queries were to cover.");
    registry.describe("tamarackspan_shards_covered_total", "Shards that answered queries covered.");
    registry.describe("tamarackspan_partial_answers_total", "Answers that lacked a shard.");
    registry.describe("tamarackspan_leaf_requests_total", "Requests that leafs got from this host.");
    registry.describe("tamarackspan_extra_leaf_requests_total", "Hedges and retries among the requests that leafs got from this host.");
    registry.describe("tamarackspan_leaf_micros_total", "Processor time that leafs reported, in microseconds.");
    registry.describe("tamarackspan_refusals_total", "Requests that were refused, by reason.");
    registry.describe("tamarackspan_events_total", "Events that should be rare, by name.");
}

} // namespace

Accounting::Accounting(base::Incarnation incarnation)
    : shard(this->registry.makeShard())
{
    this->ledger.incarnation = incarnation;
    describeAll(this->registry);
}

auto Accounting::chargeLeafRequest(const costs::CostKey &account, AttemptKind kind, bool cancelled, std::uint64_t costMicros) -> void
{
    auto spent = costs::CostCounters();
    spent.firstLeafRequests = kind == AttemptKind::First ? 1 : 0;
    spent.hedges = kind == AttemptKind::Hedge ? 1 : 0;
    spent.retries = kind == AttemptKind::Retry ? 1 : 0;
    spent.cancelled = cancelled ? 1 : 0;
    spent.leafMicros = costMicros;
    const auto lock = std::lock_guard(this->mutex);
    costs::charge(this->ledger, account, spent);
    const auto &ids = this->seriesOf(account);
    this->shard.add(ids.leafRequests);
    this->shard.add(ids.extraLeafRequests, kind == AttemptKind::First ? 0 : 1);
    this->shard.add(ids.leafMicros, costMicros);
}

auto Accounting::chargeRequest(const costs::CostKey &account) -> void
{
    auto spent = costs::CostCounters();
    spent.requests = 1;
    const auto lock = std::lock_guard(this->mutex);
    costs::charge(this->ledger, account, spent);
}

auto Accounting::countAnswer(const costs::CostKey &account, absl::Duration latency, std::uint32_t shards, std::uint32_t covered) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    const auto &ids = this->seriesOf(account);
    this->shard.observe(ids.latency, latency);
    this->shard.add(ids.shards, shards);
    this->shard.add(ids.covered, covered);
    this->shard.add(ids.partial, covered < shards ? 1 : 0);
}

auto Accounting::countRefusal(const costs::CostKey &account, RefusalKind kind) -> void
{
    auto name = seriesName("tamarackspan_refusals_total", account);
    name.labels.push_back({"reason", std::string(toString(kind))});
    this->shard.add(this->shard.counter(name));
}

auto Accounting::countEvent(std::string_view name, std::uint64_t times) -> void
{
    this->shard.add(this->shard.counter({"tamarackspan_events_total", {{"event", std::string(name)}}}), times);
}

auto Accounting::setGauge(std::string_view name, double value) -> void
{
    this->shard.set(this->shard.gauge({"tamarackspan_" + std::string(name), {}}), value);
}

auto Accounting::costReport() const -> costs::CostReport
{
    const auto lock = std::lock_guard(this->mutex);
    return costs::reportOf(this->ledger);
}

auto Accounting::metricsText() const -> std::string
{
    return metrics::toPrometheus(this->registry.snapshot());
}

auto Accounting::seriesOf(const costs::CostKey &account) -> const Series &
{
    const auto known = this->series.find(account);
    if (known != this->series.end()) {
        return known->second;
    }
    auto made = Series();
    made.latency = this->shard.histogram(seriesName("tamarackspan_answer_seconds", account));
    made.shards = this->shard.counter(seriesName("tamarackspan_shards_total", account));
    made.covered = this->shard.counter(seriesName("tamarackspan_shards_covered_total", account));
    made.partial = this->shard.counter(seriesName("tamarackspan_partial_answers_total", account));
    made.leafRequests = this->shard.counter(seriesName("tamarackspan_leaf_requests_total", account));
    made.extraLeafRequests = this->shard.counter(seriesName("tamarackspan_extra_leaf_requests_total", account));
    made.leafMicros = this->shard.counter(seriesName("tamarackspan_leaf_micros_total", account));
    return this->series.emplace(account, made).first->second;
}

} // namespace tamarackspan::daemon
