#include "tamarackspan/metrics/metric_registry.h"

#include "tamarackspan/base/require.h"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace tamarackspan::metrics {

namespace {

auto isMetricName(const std::string &text) -> bool
{
    const auto isInner = [](unsigned char character) {
        return absl::ascii_isalnum(character) || character == '_';
    };
    return !text.empty() && !absl::ascii_isdigit(static_cast<unsigned char>(text.front())) && std::all_of(text.begin(), text.end(), isInner);
}

auto requireNames(const SeriesName &name) -> void
{
    base::require(isMetricName(name.metric), "a metric's name must be letters, digits and '_'");
    for (const auto &label : name.labels) {
        base::require(isMetricName(label.name) && label.name != "le", "a label's name must be letters, digits and '_', and not 'le'");
    }
}

} // namespace

template<typename T>
auto MetricShard::placeOf(SeriesList<T> &list, const SeriesName &name) -> std::size_t
{
    requireNames(name);
    const auto lock = std::lock_guard(this->mutex);
    const auto full = list.values.size() >= maxSeriesPerShard && !list.places.contains(name);
    const auto &kept = full ? SeriesName{name.metric, {}} : name;
    const auto [place, isNew] = list.places.try_emplace(kept, list.values.size());
    if (isNew) {
        list.values.emplace_back(kept, T{});
    }
    return place->second;
}

auto MetricShard::counter(const SeriesName &name) -> CounterId
{
    return {this->placeOf(this->counters, name)};
}

auto MetricShard::gauge(const SeriesName &name) -> GaugeId
{
    return {this->placeOf(this->gauges, name)};
}

auto MetricShard::histogram(const SeriesName &name) -> HistogramId
{
    return {this->placeOf(this->histograms, name)};
}

auto MetricShard::add(CounterId id, std::uint64_t amount) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->counters.values[id.place].second += amount;
}

auto MetricShard::set(GaugeId id, double value) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->gauges.values[id.place].second = value;
}

auto MetricShard::observe(HistogramId id, absl::Duration latency) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->histograms.values[id.place].second.observe(latency);
}

auto MetricShard::addTo(MetricSnapshot &snapshot) const -> void
{
    const auto lock = std::lock_guard(this->mutex);
    for (const auto &[name, value] : this->counters.values) {
        snapshot.counters[name] += value;
    }
    for (const auto &[name, value] : this->gauges.values) {
        snapshot.gauges[name] += value;
    }
    for (const auto &[name, value] : this->histograms.values) {
        snapshot.histograms[name].merge(value);
    }
}

auto MetricRegistry::makeShard() -> MetricShard &
{
    const auto lock = std::lock_guard(this->mutex);
    this->shards.push_back(std::make_unique<MetricShard>());
    return *this->shards.back();
}

auto MetricRegistry::describe(const std::string &metric, const std::string &help) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->help[metric] = help;
}

auto MetricRegistry::snapshot() const -> MetricSnapshot
{
    auto snapshot = MetricSnapshot{};
    const auto lock = std::lock_guard(this->mutex);
    for (const auto &shard : this->shards) {
        shard->addTo(snapshot);
    }
    snapshot.help = this->help;
    return snapshot;
}

} // namespace tamarackspan::metrics
