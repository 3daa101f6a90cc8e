#include "adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace tamarackspan::admission::impl {

namespace {

// The weight of the newest request in a smoothed latency.
constexpr auto timeWeight = 0.1;
// The weight of the newest batch of requests in the limit.
constexpr auto limitWeight = 0.3;
// The unloaded latency rises by this factor with each slower request, so that a leaf that has become permanently slower is learned.
constexpr auto unloadedDrift = 1.000002;
// The smallest factor by which one batch of requests lowers the limit.
constexpr auto minFactor = 0.5;
constexpr auto minSamples = std::uint32_t{16};

auto smooth(double known, double value) -> double
{
    return known == 0 ? value : known + (value - known) * timeWeight;
}

auto adjustLimit(AdmissionState &state) -> void
{
    const auto slowness = state.slownessSum / state.sampleCount;
    const auto factor = std::clamp(state.config.latencyTolerance / slowness, minFactor, 1.0);
    const auto target = state.inFlightLimit * factor + std::sqrt(state.inFlightLimit);
    const auto used = static_cast<double>(state.peakInFlight) >= state.inFlightLimit / 2;
    if (used || target < state.inFlightLimit) {
        const auto moved = state.inFlightLimit + (target - state.inFlightLimit) * limitWeight;
        state.inFlightLimit = std::clamp(moved, static_cast<double>(state.config.minInFlight), static_cast<double>(state.config.maxInFlight));
    }
    state.sampleCount = 0;
    state.slownessSum = 0;
    state.peakInFlight = state.running.size();
}

} // namespace

auto learnFromCompletion(AdmissionState &state, OperationTimes &times, absl::Duration latency) -> void
{
    const auto seconds = std::max(absl::ToDoubleSeconds(latency), 1e-6);
    times.typical = smooth(times.typical, seconds);
    times.unloaded = times.unloaded == 0 ? times.typical : std::min(times.typical, times.unloaded * unloadedDrift);
    state.serviceSeconds = smooth(state.serviceSeconds, seconds);
    ++state.sampleCount;
    state.slownessSum += seconds / times.unloaded;
    if (state.sampleCount >= std::max(minSamples, static_cast<std::uint32_t>(state.inFlightLimit / 2))) {
        adjustLimit(state);
    }
}

} // namespace tamarackspan::admission::impl
