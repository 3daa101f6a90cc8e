#pragma once

#include "tamarackspan/metrics/metric_registry.h"

#include <string>

namespace tamarackspan::metrics {

/// The media type of the text form.
inline constexpr auto prometheusContentType = "text/plain; version=0.0.4; charset=utf-8";

/// Returns a snapshot in the text form of Prometheus, in ascending order of metric and labels. Latencies are in seconds. Label values and help are escaped;
/// bytes that aren't UTF-8 are left as they are.
[[nodiscard]] auto toPrometheus(const MetricSnapshot &snapshot) -> std::string;

} // namespace tamarackspan::metrics
