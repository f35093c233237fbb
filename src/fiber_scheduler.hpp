/// Boost.Fiber scheduling on a thread that also runs an asio io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <chrono>
#include <cstdint>

namespace arbutusgate {

/// Round-robin order; waits for I/O when no fiber is ready. Handlers of the
/// io_context run between fibers and must not block.
class fiber_scheduler final : public boost::fibers::algo::algorithm
{
public:
    /// \param io outlives the thread's fibers and is run by this thread only.
    explicit fiber_scheduler(boost::asio::io_context& io) : io_(io) {}

    void awakened(boost::fibers::context* it) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool                    has_ready_fibers() const noexcept override;
    void                    suspend_until(
                           const std::chrono::steady_clock::time_point& until) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context&                   io_;
    boost::fibers::scheduler::ready_queue_type ready_;
    std::uint32_t                              picks_ = 0;
};

} // namespace arbutusgate
