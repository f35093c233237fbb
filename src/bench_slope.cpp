#include "bench_slope.hpp"

#include <cmath>

namespace arbutusgate {

namespace {

// Upper bounds of the growth classes: the exponent k of value ~ size^k between
// the first and the last point.
constexpr double max_constant_exponent    = 0.1;
constexpr double max_logarithmic_exponent = 0.5;
constexpr double max_linear_exponent      = 1.3;

std::string_view classify_growth(const std::vector<slope_point>& points)
{
    const auto& first = points.front();
    const auto& last  = points.back();
    const auto  exponent =
        std::log(last.value / first.value) / std::log(last.size / first.size);
    if (!(exponent >= max_constant_exponent))
        return "constant";
    if (exponent < max_logarithmic_exponent)
        return "logarithmic";
    return exponent < max_linear_exponent ? "linear" : "more than linear";
}

} // namespace

slope_fit fit_slope(const std::vector<slope_point>& points)
{
    const auto n  = static_cast<double>(points.size());
    double     sx = 0, sy = 0, sxx = 0, sxy = 0;
    for (const auto& it : points) {
        sx += it.size;
        sy += it.value;
        sxx += it.size * it.size;
        sxy += it.size * it.value;
    }
    slope_fit out;
    out.slope  = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    out.base   = (sy - out.slope * sx) / n;
    out.growth = classify_growth(points);
    return out;
}

} // namespace arbutusgate
