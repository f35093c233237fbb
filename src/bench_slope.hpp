/// Growth of a measured quantity with the size of its input.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// One measured size.
struct slope_point
{
    double size  = 0;
    double value = 0;
};

/// Straight line through the points and the kind of growth.
struct slope_fit
{
    double           base  = 0; ///< Value at size 0.
    double           slope = 0; ///< Growth for each unit of size.
    std::string_view growth;    ///< "constant", "logarithmic", "linear", ...
};

/// Least squares over at least two points.
slope_fit fit_slope(const std::vector<slope_point>& points);

} // namespace arbutusgate
