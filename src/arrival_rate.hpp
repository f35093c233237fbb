/// Rate of arrivals in the last second.
#pragma once

#include "arbutusgate/types.hpp"

#include <cmath>

namespace arbutusgate::gateway {

/// Exponentially weighted count of arrivals. Belongs to one thread.
class arrival_rate
{
public:
    void add(std::size_t n, time_point now)
    {
        count_ = faded(now) + static_cast<double>(n);
        at_    = now;
    }

    double per_second(time_point now) const { return faded(now) / memory; }

private:
    /// Seconds; follows a burst and outlasts the gaps between calls.
    static constexpr double memory = 1;

    double faded(time_point now) const
    {
        const std::chrono::duration<double> age = now - at_;
        return count_ * std::exp(-age.count() / memory);
    }

    double     count_ = 0;
    time_point at_{};
};

} // namespace arbutusgate::gateway
