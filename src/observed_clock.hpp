/// Process time that excludes pauses and clock jumps.
#pragma once

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include <algorithm>

namespace arbutusgate {

/// Sums the gaps between calls. A negative gap adds nothing, and a gap over
/// limits::pause_threshold adds that threshold, so that neither a pause nor a
/// clock jump ages the state of the process. A negative gap is reported as a
/// pause because the clock may have been set back while the process was paused.
class observed_clock
{
public:
    struct reading
    {
        time_point at;
        bool paused = false; ///< The gap was negative or over the threshold.
    };

    /// \param limited If false, long gaps count in full.
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

    /// Returns the process time at \p now without advancing the clock.
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
