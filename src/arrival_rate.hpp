/// Exponentially weighted rate of arrivals.
#pragma once

#include "arbutusgate/types.hpp"

#include <cmath>

namespace arbutusgate::gateway {

/// Estimates how many items arrive per second. Belongs to one thread.
class arrival_rate
{
public:
    void add(std::size_t n, time_point now)
    {
        count_      = decayed_count(now) + static_cast<double>(n);
        updated_at_ = now;
    }

    double per_second(time_point now) const
    {
        return decayed_count(now) / time_constant_s;
    }

private:
    /// Seconds. Short enough to follow a burst, long enough to bridge the gaps
    /// between calls.
    static constexpr double time_constant_s = 1;

    double decayed_count(time_point now) const
    {
        const std::chrono::duration<double> age = now - updated_at_;
        return count_ * std::exp(-age.count() / time_constant_s);
    }

    double     count_ = 0;
    time_point updated_at_{};
};

} // namespace arbutusgate::gateway
