#include "tamarackspan/gateway/decisions/latency_estimate.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// Before any answer, the median and the 95th percentile are assumed to be these shares of the objective.
constexpr auto initialMedian = 0.15;
constexpr auto initialP95 = 0.35;
/// The share by which the median moves with one answer: about 30 answers carry it across a change by half.
constexpr auto medianStep = 0.03;
/// From this many answers on, the step is medianStep.
constexpr auto maxCountedAnswers = static_cast<std::uint32_t>(1.0 / medianStep);
/// The 95th percentile moves up by this share with each answer above it, and down by a nineteenth of that with each below, so that it settles at 95 in 100.
constexpr auto p95Step = 0.06;
constexpr auto p95Quantile = 0.95;
/// Lower limit of the estimates: below this, timers and scheduling hide a leaf's latency.
constexpr auto minEstimate = absl::Milliseconds(1);

} // namespace

auto initialEstimate(absl::Duration objective) -> LatencyEstimate
{
    return {.median = std::max(objective * initialMedian, minEstimate), .p95 = std::max(objective * initialP95, minEstimate)};
}

auto observed(LatencyEstimate estimate, absl::Duration latency) -> LatencyEstimate
{
    const auto step = std::max(medianStep, 1.0 / static_cast<double>(estimate.answers + 2));
    estimate.median *= latency > estimate.median ? 1.0 + step : 1.0 - step;
    estimate.answers = std::min(estimate.answers + 1, maxCountedAnswers);
    estimate.p95 *= latency > estimate.p95 ? 1.0 + p95Step : 1.0 - p95Step * (1.0 - p95Quantile) / p95Quantile;
    estimate.median = std::max(estimate.median, minEstimate);
    estimate.p95 = std::max(estimate.p95, estimate.median);
    return estimate;
}

} // namespace tamarackspan::gateway
