#pragma once

#include <vector>

namespace tamarackspan::benches {

struct Point
{
    double x = 0;
    double y = 0;
};

/// A straight line through measured points.
struct LinearFit
{
    double intercept = 0;
    double slope = 0;
    /// The fraction of the variance that the line explains, from 0 to 1.
    double rSquared = 0;
};

/// Returns the least-squares line; the points must have at least two different values of x.
[[nodiscard]] auto fitLine(const std::vector<Point> &points) -> LinearFit;

} // namespace tamarackspan::benches
