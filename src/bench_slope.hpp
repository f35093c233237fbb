/// Fits how a measured quantity grows with the size of its input.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Value measured at one input size.
struct slope_point
{
    double size  = 0;
    double value = 0;
};

/// Straight line fitted to the points, and the class of their growth.
struct slope_fit
{
    double base  = 0; ///< Fitted value at size 0.
    double slope = 0; ///< Increase per unit of size.
    std::string_view
        growth; ///< "constant", "logarithmic", "linear" or "more than linear".
};

/// Least-squares fit; requires at least two points.
slope_fit fit_slope(const std::vector<slope_point>& points);

} // namespace arbutusgate
