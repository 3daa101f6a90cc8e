#pragma once

#include "tamarackspan/metrics/latency_histogram.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tamarackspan::metrics {

/// One label of a series.
struct Label
{
    std::string name;
    std::string value;

    friend auto operator==(const Label &, const Label &) -> bool = default;
    friend auto operator<=>(const Label &, const Label &) = default;
};

/// The name of a series: metric name and labels, in the order in which they are written.
struct SeriesName
{
    std::string metric;
    std::vector<Label> labels;

    friend auto operator==(const SeriesName &, const SeriesName &) -> bool = default;
    friend auto operator<=>(const SeriesName &, const SeriesName &) = default;
};

/// The most series of one kind in one shard. Further ones of a metric share one series without labels, so that unbounded label values can't exhaust the memory.
inline constexpr std::size_t maxSeriesPerShard = 10'000;

/// All values recorded so far, summed over all shards.
struct MetricSnapshot
{
    std::map<SeriesName, std::uint64_t> counters;
    std::map<SeriesName, double> gauges;
    std::map<SeriesName, LatencyHistogram> histograms;
    /// The help text of each metric.
    std::map<std::string, std::string> help;
};

/// The index of a series in its shard; cheap to copy, valid as long as the shard.
struct CounterId
{
    std::size_t place = 0;
};
struct GaugeId
{
    std::size_t place = 0;
};
struct HistogramId
{
    std::size_t place = 0;
};

/// The series of one thread. Look a series up once and keep its id: recording by id takes one uncontended lock. Also safe to use from several threads.
class MetricShard
{
public:
    /// Returns the series of that name, created at first use. Metric and label names must be valid in Prometheus; label values may be any text.
    [[nodiscard]] auto counter(const SeriesName &name) -> CounterId;
    [[nodiscard]] auto gauge(const SeriesName &name) -> GaugeId;
    [[nodiscard]] auto histogram(const SeriesName &name) -> HistogramId;

    /// Adds to a counter.
    auto add(CounterId id, std::uint64_t amount = 1) -> void;

    /// Sets this shard's value of a gauge; the values of all shards are summed.
    auto set(GaugeId id, double value) -> void;

    /// Counts one latency.
    auto observe(HistogramId id, absl::Duration latency) -> void;

    /// Adds the values of this shard to a snapshot.
    auto addTo(MetricSnapshot &snapshot) const -> void;

private:
    template<typename T>
    struct SeriesList
    {
        std::map<SeriesName, std::size_t> places;
        std::deque<std::pair<SeriesName, T>> values;
    };

    template<typename T>
    [[nodiscard]] auto placeOf(SeriesList<T> &list, const SeriesName &name) -> std::size_t;

    mutable std::mutex mutex;
    SeriesList<std::uint64_t> counters;
    SeriesList<double> gauges;
    SeriesList<LatencyHistogram> histograms;
};

/// Creates shards and sums their values. A shard stays in the sum after its thread has ended.
class MetricRegistry
{
public:
    /// Creates a shard for a thread; it lives as long as the registry.
    [[nodiscard]] auto makeShard() -> MetricShard &;

    /// Sets the help text of a metric.
    auto describe(const std::string &metric, const std::string &help) -> void;

    /// Returns all values recorded so far. Shards are read one after another.
    [[nodiscard]] auto snapshot() const -> MetricSnapshot;

private:
    mutable std::mutex mutex;
    std::vector<std::unique_ptr<MetricShard>> shards;
    std::map<std::string, std::string> help;
};

} // namespace tamarackspan::metrics
