#include "tamarackspan/gateway/latency_estimate.h"

#include <algorithm>

namespace tamarackspan::gateway {

namespace {

/// Before any answer, the median is taken as this part of the objective and the slow end as that part.
constexpr auto initialMedian = 0.15;
constexpr auto initialSlow = 0.35;
/// The part by which the median moves with one answer: about 30 answers carry it across a change by half.
constexpr auto medianStep = 0.03;
/// Answers beyond these change nothing in the step: from here on it is medianStep.
constexpr auto countedAnswers = static_cast<std::uint32_t>(1.0 / medianStep);
/// The slow end moves up by this part with each answer above it, and down by a nineteenth of that with each below, so that it stands still at 95 in 100.
constexpr auto slowStep = 0.06;
constexpr auto slowQuantile = 0.95;
/// Below this, timers and scheduling hide what a leaf does.
constexpr auto least = absl::Milliseconds(1);

} // namespace

auto initialEstimate(absl::Duration objective) -> LatencyEstimate
{
    return {.median = std::max(objective * initialMedian, least), .slow = std::max(objective * initialSlow, least)};
}

auto observed(LatencyEstimate estimate, absl::Duration latency) -> LatencyEstimate
{
    const auto step = std::max(medianStep, 1.0 / static_cast<double>(estimate.answers + 2));
    estimate.median *= latency > estimate.median ? 1.0 + step : 1.0 - step;
    estimate.answers = std::min(estimate.answers + 1, countedAnswers);
    estimate.slow *= latency > estimate.slow ? 1.0 + slowStep : 1.0 - slowStep * (1.0 - slowQuantile) / slowQuantile;
    estimate.median = std::max(estimate.median, least);
    estimate.slow = std::max(estimate.slow, estimate.median);
    return estimate;
}

} // namespace tamarackspan::gateway
