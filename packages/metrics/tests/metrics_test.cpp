#include "tamarackspan/metrics/prometheus.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <thread>

namespace {

using namespace tamarackspan::metrics;

TEST(LatencyHistogram, QuantileIsAtMostOneBucketAboveTheTrueOneAndMergingIsExact)
{
    EXPECT_TRUE(rc::check("quantile", [] {
        auto latencies = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 90'000)));
        auto whole = LatencyHistogram();
        auto parts = std::vector<LatencyHistogram>(2);
        for (auto i = std::size_t{0}; i < latencies.size(); ++i) {
            whole.observe(absl::Milliseconds(latencies[i]));
            parts[i % 2].observe(absl::Milliseconds(latencies[i]));
        }
        parts[0].merge(parts[1]);
        std::sort(latencies.begin(), latencies.end());
        for (const auto part : {0.0, 0.5, 0.99, 1.0}) {
            const auto rank = std::max(1.0, std::ceil(part * static_cast<double>(latencies.size())));
            const auto exact = absl::Milliseconds(latencies[static_cast<std::size_t>(rank) - 1]);
            const auto found = whole.quantile(part);
            RC_ASSERT(found >= exact - absl::Nanoseconds(100));
            RC_ASSERT(found <= exact * std::pow(10.0, 0.1001));
            RC_ASSERT(parts[0].quantile(part) == found);
        }
        RC_ASSERT(parts[0].count() == whole.count());
        RC_ASSERT(parts[0].sum() == whole.sum());
    }));
}

TEST(LatencyHistogram, EndsOfTheRange)
{
    auto histogram = LatencyHistogram();
    EXPECT_EQ(histogram.quantile(0.5), absl::ZeroDuration());
    histogram.observe(absl::Seconds(-1));
    EXPECT_EQ(histogram.countIn(0), 1U);
    histogram.observe(absl::Hours(1));
    EXPECT_EQ(histogram.quantile(1), absl::InfiniteDuration());
    EXPECT_EQ(histogram.countIn(histogram.buckets()), 1U);
}

TEST(MetricRegistry, AddsUpWhatSeveralThreadsRecordWhileItIsRead)
{
    constexpr auto threads = 4;
    constexpr auto records = 5000;
    auto registry = MetricRegistry();
    auto workers = std::vector<std::thread>{};
    for (auto i = 0; i < threads; ++i) {
        workers.emplace_back([&shard = registry.makeShard()] {
            const auto counter = shard.counter({"requests_total", {{"customer", "a"}}});
            const auto histogram = shard.histogram({"latency_seconds", {}});
            for (auto record = 0; record < records; ++record) {
                shard.add(counter);
                shard.observe(histogram, absl::Milliseconds(record));
            }
        });
    }
    auto last = std::uint64_t{0};
    for (auto read = 0; read < 20; ++read) {
        const auto seen = registry.snapshot().counters[{"requests_total", {{"customer", "a"}}}];
        EXPECT_GE(seen, last);
        last = seen;
    }
    for (auto &worker : workers) {
        worker.join();
    }
    const auto snapshot = registry.snapshot();
    EXPECT_EQ(snapshot.counters.begin()->second, threads * records);
    EXPECT_EQ(snapshot.histograms.begin()->second.count(), threads * records);
}

TEST(MetricShard, AFloodOfNamesSharesOneSeries)
{
    auto registry = MetricRegistry();
    auto &shard = registry.makeShard();
    for (auto i = std::size_t{0}; i < maxSeriesPerShard + 50; ++i) {
        shard.add(shard.counter({"x_total", {{"customer", std::to_string(i)}}}));
    }
    const auto snapshot = registry.snapshot();
    EXPECT_EQ(snapshot.counters.size(), maxSeriesPerShard + 1);
    EXPECT_EQ(snapshot.counters.at({"x_total", {}}), 50U);
}

TEST(Prometheus, EscapesLabelsAndHelpAndKeepsOneHeadAMetric)
{
    auto registry = MetricRegistry();
    auto &shard = registry.makeShard();
    registry.describe("x_total", "first\nsecond \\");
    shard.add(shard.counter({"x_total", {{"customer", "a\"b\\c\nd"}, {"operation", "o"}}}), 3);
    shard.add(shard.counter({"x_total", {{"customer", "e"}}}));
    shard.set(shard.gauge({"open", {}}), 1.5);
    EXPECT_EQ(toPrometheus(registry.snapshot()),
              "# HELP x_total first\\nsecond \\\\\n"
              "# TYPE x_total counter\n"
              "x_total{customer=\"a\\\"b\\\\c\\nd\",operation=\"o\"} 3\n"
              "x_total{customer=\"e\"} 1\n"
              "# TYPE open gauge\n"
              "open 1.5\n");
}

TEST(Prometheus, HistogramBucketsAreCumulative)
{
    auto registry = MetricRegistry();
    auto &shard = registry.makeShard();
    const auto id = shard.histogram({"latency_seconds", {{"operation", "o"}}});
    shard.observe(id, absl::Milliseconds(5));
    shard.observe(id, absl::Milliseconds(50));
    const auto text = toPrometheus(registry.snapshot());
    for (const auto *line : {"# TYPE latency_seconds histogram\n", "latency_seconds_bucket{operation=\"o\",le=\"0.0001\"} 0\n",
                             "latency_seconds_bucket{operation=\"o\",le=\"0.01\"} 1\n", "latency_seconds_bucket{operation=\"o\",le=\"0.1\"} 2\n",
                             "latency_seconds_bucket{operation=\"o\",le=\"100\"} 2\n", "latency_seconds_bucket{operation=\"o\",le=\"+Inf\"} 2\n",
                             "latency_seconds_sum{operation=\"o\"} 0.055\n", "latency_seconds_count{operation=\"o\"} 2\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
}

} // namespace
