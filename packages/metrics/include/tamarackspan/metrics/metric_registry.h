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

/// The name of a series: metric and labels, in the order in which they are written.
struct SeriesName
{
    std::string metric;
    std::vector<Label> labels;

    friend auto operator==(const SeriesName &, const SeriesName &) -> bool = default;
    friend auto operator<=>(const SeriesName &, const SeriesName &) = default;
};

/// The most series of one kind in one shard. Further ones share a last one without labels, so that a flood of names can't use up the memory.
inline constexpr std::size_t maxSeriesPerShard = 10'000;

/// Everything counted so far, added up over all shards.
struct MetricSnapshot
{
    std::map<SeriesName, std::uint64_t> counters;
    std::map<SeriesName, double> gauges;
    std::map<SeriesName, LatencyHistogram> histograms;
    /// What each metric means.
    std::map<std::string, std::string> help;
};

/// A place of a series in its shard; cheap to copy, valid as long as the shard.
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

/// The series of one thread. Look a series up once and keep its id: recording by id takes one uncontended lock. Safe to use from several threads all the same.
class MetricShard
{
public:
    /// Returns the series of that name, made at first use. Metric and label names must be those that Prometheus allows; values may be anything.
    [[nodiscard]] auto counter(const SeriesName &name) -> CounterId;
    [[nodiscard]] auto gauge(const SeriesName &name) -> GaugeId;
    [[nodiscard]] auto histogram(const SeriesName &name) -> HistogramId;

    /// Adds to a counter.
    auto add(CounterId id, std::uint64_t amount = 1) -> void;

    /// Sets this shard's part of a gauge; the parts of all shards are added up.
    auto set(GaugeId id, double value) -> void;

    /// Counts one latency.
    auto observe(HistogramId id, absl::Duration latency) -> void;

    /// Adds what was counted here to a snapshot.
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

/// Hands out shards and adds them up. A shard stays in the sum after its thread has ended.
class MetricRegistry
{
public:
    /// Makes a shard for a thread; it lives as long as the registry.
    [[nodiscard]] auto makeShard() -> MetricShard &;

    /// Says what a metric means, for the text form.
    auto describe(const std::string &metric, const std::string &help) -> void;

    /// Returns everything counted so far. Shards are read one after another.
    [[nodiscard]] auto snapshot() const -> MetricSnapshot;

private:
    mutable std::mutex mutex;
    std::vector<std::unique_ptr<MetricShard>> shards;
    std::map<std::string, std::string> help;
};

} // namespace tamarackspan::metrics
