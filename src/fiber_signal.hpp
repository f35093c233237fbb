/// Wakes fibers of the same thread.
#pragma once

#include "daemon_clock.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <mutex>

namespace arbutusgate {

/// Belongs to one thread.
class fiber_signal
{
public:
    void notify() { changed_.notify_all(); }

    /// Waits until the condition holds or the time has come.
    /// \return the condition at the end.
    template <class Condition>
    bool wait_until(time_point until, Condition condition)
    {
        std::unique_lock lock(mutex_);
        while (!condition()) {
            const auto left = until - daemon_now();
            if (left <= microseconds{0})
                return false;
            changed_.wait_until(lock, std::chrono::steady_clock::now() + left);
        }
        return true;
    }

private:
    boost::fibers::mutex              mutex_;
    boost::fibers::condition_variable changed_;
};

} // namespace arbutusgate
