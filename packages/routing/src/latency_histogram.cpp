#include "tamarackspan/routing/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::routing {

namespace {

/// Upper bound of the first bucket.
constexpr auto smallestMicros = 50.0;
/// Buckets per doubling of the latency.
constexpr auto bucketsPerOctave = 4.0;
/// All weights are halved when their sum reaches this.
constexpr auto fullWeight = 1024.0F;

} // namespace

auto LatencyHistogram::bucketOf(absl::Duration latency) noexcept -> std::size_t
{
    const auto micros = absl::ToDoubleMicroseconds(latency);
    if (!(micros > smallestMicros)) {
        return 0;
    }
    const auto bucket = std::ceil(std::log2(micros / smallestMicros) * bucketsPerOctave);
    return std::min(static_cast<std::size_t>(std::min(bucket, static_cast<double>(bucketCount))), bucketCount - 1);
}

auto LatencyHistogram::add(absl::Duration latency) noexcept -> void
{
    this->addTo(this->seen, latency);
}

auto LatencyHistogram::addCensored(absl::Duration atLeast) noexcept -> void
{
    this->addTo(this->censored, atLeast);
}

auto LatencyHistogram::addTo(std::array<float, bucketCount> &buckets, absl::Duration latency) noexcept -> void
{
    buckets.at(bucketOf(latency)) += 1;
    this->total += 1;
    if (this->total >= fullWeight) {
        this->halve();
    }
}

auto LatencyHistogram::halve() noexcept -> void
{
    for (auto i = std::size_t{0}; i < bucketCount; ++i) {
        this->seen.at(i) /= 2;
        this->censored.at(i) /= 2;
    }
    this->total /= 2;
}

auto LatencyHistogram::quantile(double fraction) const noexcept -> absl::Duration
{
    auto atRisk = static_cast<double>(this->total);
    if (atRisk <= 0) {
        return absl::ZeroDuration();
    }
    auto surviving = 1.0;
    auto last = std::size_t{0};
    for (auto i = std::size_t{0}; i < bucketCount && atRisk > 0; ++i) {
        const auto ended = static_cast<double>(this->seen[i]);
        const auto gone = ended + static_cast<double>(this->censored[i]);
        if (gone > 0) {
            last = i;
        }
        surviving *= 1.0 - std::min(1.0, ended / atRisk);
        if (1.0 - surviving >= fraction) {
            break;
        }
        atRisk -= gone;
    }
    return absl::Microseconds(smallestMicros * std::exp2(static_cast<double>(last) / bucketsPerOctave));
}

} // namespace tamarackspan::routing
