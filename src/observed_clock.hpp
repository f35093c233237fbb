/// Time as a process observed it: pauses and clock jumps do not count.
#pragma once

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include <algorithm>

namespace arbutusgate {

/// Sums the gaps between calls. A negative gap counts as none, a gap over
/// limits::pause_threshold as that threshold, so that neither a pause nor a
/// jump ages anything that the process keeps. A clock that goes back may have
/// gone back across a pause, so a negative gap counts as a pause.
class observed_clock
{
public:
    struct reading
    {
        time_point at;
        bool       paused = false; ///< Gap negative or over the threshold.
    };

    observed_clock(time_point now, bool limited) : last_(now), limited_(limited)
    {
    }

    reading advance(time_point now)
    {
        const bool paused =
            now < last_ || now - last_ > limits::pause_threshold;
        time_ = at(now);
        last_ = now;
        return {time_, paused};
    }

    time_point at(time_point now) const
    {
        const auto gap = std::max(now - last_, microseconds{0});
        if (!limited_)
            return time_ + gap;
        return time_ + std::min<microseconds>(gap, limits::pause_threshold);
    }

private:
    time_point last_;
    time_point time_;
    bool       limited_;
};

} // namespace arbutusgate
