/// Thread that runs fibers and their I/O.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace arbutusgate {

/// Starts its thread at construction. A fiber stays on the thread that it was
/// spawned on.
class io_thread
{
public:
    io_thread();
    /// Stops and joins the thread. All fibers must end by themselves; the
    /// owners of their sockets close these.
    ~io_thread();

    io_thread(const io_thread&)            = delete;
    io_thread& operator=(const io_thread&) = delete;

    /// Runs the function on a new fiber of this thread. Thread-safe.
    void                     spawn(std::function<void()> task);
    boost::asio::io_context& io() { return io_; }

private:
    void run();

    boost::asio::io_context io_{1};
    bool                    stopping_ = false; ///< Used only on thread_.
    std::function<void()>   notify_stop_; ///< Wakes run() to check stopping_.
    std::thread             thread_;
};

/// Runs the task on a new fiber of the calling thread.
void spawn_fiber(std::function<void()> task);

/// Suspends the calling fiber for the given time.
/// \return false when the wait was cancelled.
bool fiber_sleep(boost::asio::io_context& io, std::chrono::microseconds time);

} // namespace arbutusgate
