#include "linear_fit.h"

namespace tamarackspan::benches {

auto fitLine(const std::vector<Point> &points) -> LinearFit
{
    const auto count = static_cast<double>(points.size());
    auto meanX = 0.0;
    auto meanY = 0.0;
    for (const auto &point : points) {
        meanX += point.x / count;
        meanY += point.y / count;
    }
    auto xx = 0.0;
    auto xy = 0.0;
    auto yy = 0.0;
    for (const auto &point : points) {
        xx += (point.x - meanX) * (point.x - meanX);
        xy += (point.x - meanX) * (point.y - meanY);
        yy += (point.y - meanY) * (point.y - meanY);
    }
    const auto slope = xy / xx;
    return {meanY - slope * meanX, slope, yy > 0 ? xy * xy / (xx * yy) : 1.0};
}

} // namespace tamarackspan::benches
