/// Distribution of times for reports.
#pragma once

#include "arbutusgate/types.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace arbutusgate {

/// Logarithmic bins of 1 % width from 10 us to 1000 s.
class load_histogram
{
public:
    load_histogram();

    void          add(microseconds time);
    std::uint64_t count() const { return count_; }
    /// Time below which the share of the samples lies, to the bin's width;
    /// zero without samples.
    microseconds quantile(double share) const;
    /// Points (time in ms, share of samples up to it), rising.
    std::vector<std::pair<double, double>> curve() const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    decltype(boost::histogram::make_histogram(std::declval<axis>())) bins_;
    std::uint64_t                                                    count_ = 0;
};

} // namespace arbutusgate
