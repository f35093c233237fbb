#include "daemon_clock.hpp"

#include <ctime>

namespace arbutusgate {

time_point daemon_now()
{
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return time_point(std::chrono::duration_cast<microseconds>(
        seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec)));
}

} // namespace arbutusgate
