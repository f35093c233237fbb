/// Learned time of one stage.
#pragma once

#include "arbutusgate/types.hpp"

#include <atomic>
#include <boost/histogram.hpp>
#include <mutex>
#include <tuple>

namespace arbutusgate {

/// Quantiles of the time from sending a stage's work to its result. Recent
/// samples weigh more. Thread-safe; reading takes no lock.
class stage_quantiles
{
public:
    /// \param expected stands for the median until samples replace it; zero:
    /// the quantiles are zero until there are samples.
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

    double quantile(double share) const;
    void   update();

    std::mutex                mutex_; ///< Guards the histogram.
    histogram                 samples_;
    std::uint32_t             since_decay_  = 0;
    std::uint32_t             since_update_ = 0;
    std::atomic<std::int64_t> median_{0}, high_{0};
};

} // namespace arbutusgate
