#include "tamarackspan/metrics/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::metrics {

namespace {

constexpr auto decades = 6U;
constexpr auto bucketsPerDecade = 10U;
constexpr auto leastSeconds = 1e-4;
constexpr auto mostSeconds = 100.0;

} // namespace

LatencyHistogram::LatencyHistogram()
    : histogram(std::tuple(Axis(decades * bucketsPerDecade, leastSeconds, mostSeconds)))
{
}

auto LatencyHistogram::observe(absl::Duration latency) -> void
{
    const auto counted = std::max(latency, absl::ZeroDuration());
    this->histogram(absl::ToDoubleSeconds(counted));
    this->total += counted;
    ++this->observed;
}

auto LatencyHistogram::merge(const LatencyHistogram &other) -> void
{
    this->histogram += other.histogram;
    this->total += other.total;
    this->observed += other.observed;
}

auto LatencyHistogram::count() const noexcept -> std::uint64_t
{
    return this->observed;
}

auto LatencyHistogram::sum() const noexcept -> absl::Duration
{
    return this->total;
}

auto LatencyHistogram::buckets() const noexcept -> std::size_t
{
    return decades * bucketsPerDecade + 1;
}

auto LatencyHistogram::upperBound(std::size_t bucket) const -> absl::Duration
{
    const auto seconds = leastSeconds * std::pow(10.0, static_cast<double>(bucket) / bucketsPerDecade);
    return absl::Seconds(seconds);
}

auto LatencyHistogram::countIn(std::size_t bucket) const -> std::uint64_t
{
    return this->histogram.at(static_cast<int>(bucket) - 1);
}

auto LatencyHistogram::quantile(double fraction) const -> absl::Duration
{
    if (this->observed == 0) {
        return absl::ZeroDuration();
    }
    const auto rank = std::max(1.0, std::ceil(fraction * static_cast<double>(this->observed)));
    auto seen = std::uint64_t{0};
    for (auto bucket = std::size_t{0}; bucket < this->buckets(); ++bucket) {
        seen += this->countIn(bucket);
        if (static_cast<double>(seen) >= rank) {
            return this->upperBound(bucket);
        }
    }
    return absl::InfiniteDuration();
}

} // namespace tamarackspan::metrics
