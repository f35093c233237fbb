#include "worker_thread.hpp"

#include <utility>

namespace arbutusgate {

worker_thread::worker_thread() : thread_([this] { run(); }) {}

worker_thread::~worker_thread()
{
    {
        std::lock_guard lock(mutex_);
        stop_ = true;
    }
    wake_up_.notify_all();
    thread_.join();
}

void worker_thread::post(std::function<void()> task)
{
    {
        std::lock_guard lock(mutex_);
        tasks_.push_back(std::move(task));
    }
    wake_up_.notify_all();
}

void worker_thread::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_up_.wait(lock, [this] { return stop_ || !tasks_.empty(); });
        if (tasks_.empty())
            return;
        const auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace arbutusgate
