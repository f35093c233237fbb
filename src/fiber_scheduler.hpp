/// Boost.Fiber scheduler for a thread that also runs an Asio io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <chrono>
#include <cstdint>

namespace arbutusgate {

/// Runs ready fibers in round-robin order and waits for I/O when none is ready.
/// Handlers of the io_context run on the dispatcher's context, between fibers.
/// They may notify fibers, but must neither block nor suspend.
class fiber_scheduler final : public boost::fibers::algo::algorithm
{
public:
    /// \param io must outlive the thread's fibers; no other thread may run it.
    explicit fiber_scheduler(boost::asio::io_context& io) : io_(io) {}

    void awakened(boost::fibers::context* it) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool                    has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point&
                           deadline) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context&                   io_;
    boost::fibers::scheduler::ready_queue_type ready_;
    std::uint32_t                              picks_ = 0;
};

} // namespace arbutusgate
