#pragma once

#include "tamarackspan/metrics/metric_registry.h"

#include <string>

namespace tamarackspan::metrics {

/// The media type of the text exposition format.
inline constexpr auto prometheusContentType = "text/plain; version=0.0.4; charset=utf-8";

/// Returns a snapshot in the text exposition format of Prometheus, in ascending order of metric and labels. Latencies are in seconds. Label values and help
/// texts are escaped; bytes that aren't UTF-8 stay unchanged.
[[nodiscard]] auto toPrometheus(const MetricSnapshot &snapshot) -> std::string;

} // namespace tamarackspan::metrics
