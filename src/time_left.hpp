/// Remaining time until a deadline.
#pragma once

#include "daemon_clock.hpp"

#include <algorithm>
#include <chrono>

namespace arbutusgate {

/// \return at least 1 ms, since some calls take zero as "no limit".
inline milliseconds remaining_until(time_point deadline,
                                    time_point now = daemon_now())
{
    return std::max(milliseconds{1},
                    std::chrono::duration_cast<milliseconds>(deadline - now));
}

} // namespace arbutusgate
