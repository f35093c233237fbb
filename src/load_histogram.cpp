#include "load_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusgate {

namespace {

constexpr double   min_us    = 10;
constexpr double   max_us    = 1e9;
constexpr unsigned bin_count = 1852; // ln(1e8) / ln(1.01), rounded up

} // namespace

load_histogram::load_histogram()
    : bins_(boost::histogram::make_histogram(axis(bin_count, min_us, max_us)))
{
}

void load_histogram::add(microseconds time)
{
    bins_(
        std::clamp(static_cast<double>(time.count()), min_us, max_us * 0.999));
    ++count_;
}

microseconds load_histogram::quantile(double share) const
{
    const auto target = std::max(1.0, share * static_cast<double>(count_));
    double     sum    = 0;
    for (const auto& it : boost::histogram::indexed(bins_)) {
        sum += *it;
        if (*it > 0 && sum >= target)
            return microseconds{std::llround(it.bin().upper())};
    }
    return microseconds{0};
}

std::vector<std::pair<double, double>>
load_histogram::cumulative_distribution() const
{
    std::vector<std::pair<double, double>> points;
    double                                 sum = 0;
    for (const auto& it : boost::histogram::indexed(bins_)) {
        sum += *it;
        if (*it > 0)
            points.emplace_back(it.bin().upper() / 1000,
                                sum / static_cast<double>(count_));
    }
    return points;
}

} // namespace arbutusgate
