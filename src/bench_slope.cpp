#include "bench_slope.hpp"

#include <cmath>

namespace arbutusgate {

namespace {

// Exponent of the growth between the smallest and the largest size, below
// which the growth has the name.
constexpr double constant_exponent    = 0.1;
constexpr double logarithmic_exponent = 0.5;
constexpr double linear_exponent      = 1.3;

std::string_view growth_of(const std::vector<slope_point>& points)
{
    const auto& first = points.front();
    const auto& last  = points.back();
    const auto  exponent =
        std::log(last.value / first.value) / std::log(last.size / first.size);
    if (!(exponent >= constant_exponent))
        return "constant";
    if (exponent < logarithmic_exponent)
        return "logarithmic";
    return exponent < linear_exponent ? "linear" : "more than linear";
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
    out.growth = growth_of(points);
    return out;
}

} // namespace arbutusgate
