/// Thread for work that is too long or too deep for a fiber.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace arbutusgate {

/// Runs tasks one after the other on a thread with a full-size stack.
class worker_thread
{
public:
    worker_thread();
    /// Runs the queued tasks, then joins.
    ~worker_thread();

    worker_thread(const worker_thread&)            = delete;
    worker_thread& operator=(const worker_thread&) = delete;

    /// Thread-safe.
    void post(std::function<void()> task);

private:
    void run();

    std::mutex                        mutex_;
    std::condition_variable           changed_;
    std::deque<std::function<void()>> tasks_;
    bool                              stop_ = false;
    std::thread                       thread_;
};

} // namespace arbutusgate
