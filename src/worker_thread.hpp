/// Thread for tasks that block too long or need too much stack for a fiber.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace arbutusgate {

/// Runs tasks in order on a thread with a full-size stack.
class worker_thread
{
public:
    worker_thread();
    /// Runs the queued tasks, then joins the thread.
    ~worker_thread();

    worker_thread(const worker_thread&)            = delete;
    worker_thread& operator=(const worker_thread&) = delete;

    /// Thread-safe.
    void post(std::function<void()> task);

private:
    void run();

    std::mutex                        mutex_;
    std::condition_variable           wake_up_;
    std::deque<std::function<void()>> tasks_;
    bool                              stop_ = false;
    std::thread                       thread_;
};

} // namespace arbutusgate
