/// Quantiles of a measured time.
#pragma once

#include "arbutusgate/types.hpp"

#include <atomic>
#include <boost/histogram.hpp>
#include <mutex>
#include <tuple>

namespace arbutusgate {

/// Estimates the median and the 95th percentile of the time of a stage, or of a
/// token. Recent samples weigh more. Thread-safe; reads take no lock.
class stage_quantiles
{
public:
    /// \param expected initial estimate, which samples gradually replace; zero:
    /// none, and the quantiles are zero until samples are added.
    explicit stage_quantiles(microseconds expected);

    void add(microseconds sample);

    microseconds median() const { return microseconds{median_.load()}; }
    /// 95th percentile.
    microseconds high() const { return microseconds{high_.load()}; }

private:
    using log_axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using histogram =
        boost::histogram::histogram<std::tuple<log_axis>,
                                    boost::histogram::dense_storage<double>>;

    double quantile(double probability) const;
    void   update();

    std::mutex                mutex_; ///< Guards samples_ and the counts.
    histogram                 samples_;
    std::uint32_t             since_decay_  = 0;
    std::uint32_t             since_update_ = 0;
    std::atomic<std::int64_t> median_{0}, high_{0};
};

} // namespace arbutusgate
