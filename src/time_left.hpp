/// Time that is left of a limit.
#pragma once

#include "daemon_clock.hpp"

#include <algorithm>
#include <chrono>

namespace arbutusgate {

/// \return at least 1 ms, since some calls take zero for no limit.
inline milliseconds left_until(time_point until, time_point now = daemon_now())
{
    return std::max(milliseconds{1},
                    std::chrono::duration_cast<milliseconds>(until - now));
}

} // namespace arbutusgate
