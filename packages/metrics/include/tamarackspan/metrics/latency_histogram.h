#pragma once

#include "absl/time/time.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace tamarackspan::metrics {

/// A histogram of latencies with logarithmic buckets: ten per decade from 0.1 ms to 100 s, one below that range and one above. Merging is exact.
class LatencyHistogram
{
public:
    /// Starts empty.
    LatencyHistogram();

    /// Counts one latency; a negative one counts as 0.
    auto observe(absl::Duration latency) -> void;

    /// Adds the counts of another histogram.
    auto merge(const LatencyHistogram &other) -> void;

    /// Returns the number of latencies counted.
    [[nodiscard]] auto count() const noexcept -> std::uint64_t;

    /// Returns the sum of the latencies.
    [[nodiscard]] auto sum() const noexcept -> absl::Duration;

    /// Returns the number of buckets with an upper bound: those of the range and the one below it.
    [[nodiscard]] auto buckets() const noexcept -> std::size_t;

    /// Returns the upper bound of a bucket.
    [[nodiscard]] auto upperBound(std::size_t bucket) const -> absl::Duration;

    /// Returns the number of latencies in a bucket; the index `buckets()` is the bucket above the range.
    [[nodiscard]] auto countIn(std::size_t bucket) const -> std::uint64_t;

    /// Returns the upper bound of the bucket that contains the quantile `fraction` (from 0 to 1), so that the result is never below the exact quantile within
    /// the range; infinite above the range, 0 if no latency was counted.
    [[nodiscard]] auto quantile(double fraction) const -> absl::Duration;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram;
    std::uint64_t observed = 0;
    absl::Duration total;
};

} // namespace tamarackspan::metrics
