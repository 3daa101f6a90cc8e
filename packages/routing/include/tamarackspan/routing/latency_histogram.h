#pragma once

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarackspan::routing {

/// Learns the distribution of a latency from a stream of samples. Older samples lose weight as newer ones come. Buckets grow by a fixed ratio, so a quantile
/// is right to within one bucket: 19%. A sample may be censored: its end wasn't seen, only that it took at least so long.
class LatencyHistogram
{
public:
    /// Adds a latency whose end was seen.
    auto add(absl::Duration latency) noexcept -> void;

    /// Adds a latency that was at least `atLeast` when it was given up.
    auto addCensored(absl::Duration atLeast) noexcept -> void;

    /// Returns the latency that the given part of the samples doesn't exceed (Kaplan-Meier estimate), the upper edge of its bucket. Zero without samples.
    [[nodiscard]] auto quantile(double part) const noexcept -> absl::Duration;

    /// Returns how many samples the histogram stands for, with their lessened weights.
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
