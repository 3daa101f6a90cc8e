#pragma once

namespace tamarackspan::metrics {

class LatencyHistogram;
class MetricRegistry;
class MetricShard;
struct MetricSnapshot;
struct SeriesName;

} // namespace tamarackspan::metrics
