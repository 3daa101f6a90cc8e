#pragma once

#include "absl/time/time.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace tamarackspan::metrics {

/// How often each latency was seen, in buckets that grow by the same factor from 0.1 ms to 100 s, ten a decade, with one below and one above. Merging is exact.
class LatencyHistogram
{
public:
    /// Starts empty.
    LatencyHistogram();

    /// Counts one latency; a negative one counts as none.
    auto observe(absl::Duration latency) -> void;

    /// Adds the counts of another histogram.
    auto merge(const LatencyHistogram &other) -> void;

    /// Returns how many latencies were counted.
    [[nodiscard]] auto count() const noexcept -> std::uint64_t;

    /// Returns the sum of the latencies.
    [[nodiscard]] auto sum() const noexcept -> absl::Duration;

    /// Returns the number of buckets below the upper bound, the one below the range included.
    [[nodiscard]] auto buckets() const noexcept -> std::size_t;

    /// Returns the upper bound of a bucket.
    [[nodiscard]] auto upperBound(std::size_t bucket) const -> absl::Duration;

    /// Returns how many latencies lie in a bucket; the index `buckets()` is that above the range.
    [[nodiscard]] auto countIn(std::size_t bucket) const -> std::uint64_t;

    /// Returns the upper bound of the bucket that holds the quantile (from 0 to 1), so it is never below the true one within the range; infinite above the
    /// range, 0 without latencies.
    [[nodiscard]] auto quantile(double part) const -> absl::Duration;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram;
    std::uint64_t observed = 0;
    absl::Duration total;
};

} // namespace tamarackspan::metrics
