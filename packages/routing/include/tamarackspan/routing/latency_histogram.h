#pragma once

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarackspan::routing {

/// Estimates the distribution of a latency from a stream of samples; older samples lose weight as new ones arrive. Bucket bounds grow by a fixed ratio, so a
/// quantile is accurate to within one bucket: 19%. A sample may be censored: its end was not observed, only that it took at least a given time.
class LatencyHistogram
{
public:
    /// Adds a latency whose end was observed.
    auto add(absl::Duration latency) noexcept -> void;

    /// Adds a request that was abandoned after `atLeast` without an answer.
    auto addCensored(absl::Duration atLeast) noexcept -> void;

    /// Returns the latency that the given fraction of the samples does not exceed (Kaplan-Meier estimate), as the upper bound of its bucket. Zero without
    /// samples.
    [[nodiscard]] auto quantile(double fraction) const noexcept -> absl::Duration;

    /// Returns the total weight of the samples, aged ones at their reduced weight.
    [[nodiscard]] auto weight() const noexcept -> double
    {
        return static_cast<double>(this->total);
    }

private:
    static constexpr auto bucketCount = std::size_t{80};

    [[nodiscard]] static auto bucketOf(absl::Duration latency) noexcept -> std::size_t;
    auto addTo(std::array<float, bucketCount> &buckets, absl::Duration latency) noexcept -> void;
    auto halve() noexcept -> void;

    std::array<float, bucketCount> seen{};
    std::array<float, bucketCount> censored{};
    float total = 0;
};

} // namespace tamarackspan::routing
