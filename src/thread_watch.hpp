/// Detects that a thread does not run its fibers.
#pragma once

#include "arbutusgate/types.hpp"

#include <atomic>
#include <memory>
#include <optional>

namespace arbutusgate {

class io_thread;

/// Used by one other thread.
class thread_watch
{
public:
    /// \param thread must outlive the watch.
    explicit thread_watch(io_thread& thread) : thread_(thread) {}

    /// Has the thread run a fiber, unless that of an earlier call is pending.
    /// \return how long an earlier one has been pending.
    std::optional<milliseconds> check();

private:
    io_thread&                         thread_;
    std::shared_ptr<std::atomic<bool>> pending_ =
        std::make_shared<std::atomic<bool>>(false);
    time_point asked_at_{};
};

} // namespace arbutusgate
