#include "daemon_clock.hpp"

#include <ctime>

namespace arbutusgate {

time_point daemon_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<microseconds>(
        seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace arbutusgate
