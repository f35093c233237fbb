/// Histogram of durations for reports.
#pragma once

#include "arbutusgate/types.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace arbutusgate {

/// Logarithmic bins, each 1 % wide, from 10 us to 1000 s. Durations outside
/// this range are counted in the first or the last bin.
class load_histogram
{
public:
    load_histogram();

    void          add(microseconds time);
    std::uint64_t count() const { return count_; }
    /// Returns the upper bound of the bin that contains the quantile; zero
    /// without samples.
    /// \param share of the samples that are at most this long, from 0 to 1.
    microseconds quantile(double share) const;
    /// Returns points (duration in ms, share of samples up to it) in rising
    /// order, one for each bin that is not empty.
    std::vector<std::pair<double, double>> cumulative_distribution() const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    decltype(boost::histogram::make_histogram(std::declval<axis>())) bins_;
    std::uint64_t                                                    count_ = 0;
};

} // namespace arbutusgate
