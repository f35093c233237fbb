/// One thread that runs fibers and their I/O.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace arbutusgate {

/// Starts its thread at construction. Fibers stay on the thread they were
/// spawned on.
class io_thread
{
public:
    io_thread();
    /// Stops and joins. All fibers must end by themselves; their sockets
    /// are closed by their owners.
    ~io_thread();

    io_thread(const io_thread&)            = delete;
    io_thread& operator=(const io_thread&) = delete;

    /// Runs the function on a new fiber of this thread. Thread-safe.
    void                     spawn(std::function<void()> task);
    boost::asio::io_context& io() { return io_; }

private:
    void run();

    boost::asio::io_context io_{1};
    bool                    stop_ = false; ///< Used on the thread only.
    std::function<void()>   wake_;
    std::thread             thread_;
};

/// Runs the task on a new fiber of the calling thread.
void spawn_fiber(std::function<void()> task);

/// Suspends the calling fiber. \return false when the wait was cancelled.
bool fiber_sleep(boost::asio::io_context& io, std::chrono::microseconds time);

} // namespace arbutusgate
