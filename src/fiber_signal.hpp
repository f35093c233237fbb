/// Condition variable for fibers of one thread.
#pragma once

#include "daemon_clock.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <mutex>

namespace arbutusgate {

/// All calls come from fibers of one thread.
class fiber_signal
{
public:
    void notify() { changed_.notify_all(); }

    /// Waits until the condition holds or the deadline has passed.
    /// notify() has the condition checked again.
    /// \return whether the condition holds.
    template <class Condition>
    bool wait_until(time_point deadline, Condition condition)
    {
        std::unique_lock lock(mutex_);
        while (!condition()) {
            const auto remaining = deadline - daemon_now();
            if (remaining <= microseconds{0})
                return false;
            changed_.wait_until(lock,
                                std::chrono::steady_clock::now() + remaining);
        }
        return true;
    }

private:
    boost::fibers::mutex              mutex_;
    boost::fibers::condition_variable changed_;
};

} // namespace arbutusgate
