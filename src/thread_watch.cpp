#include "thread_watch.hpp"

#include "daemon_clock.hpp"
#include "io_thread.hpp"

namespace arbutusgate {

std::optional<milliseconds> thread_watch::check()
{
    const auto now = daemon_now();
    if (*pending_)
        return std::chrono::duration_cast<milliseconds>(now - asked_at_);
    asked_at_ = now;
    *pending_ = true;
    thread_.spawn([pending = pending_] { *pending = false; });
    return std::nullopt;
}

} // namespace arbutusgate
