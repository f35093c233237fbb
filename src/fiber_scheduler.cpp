#include "fiber_scheduler.hpp"

#include <boost/asio/post.hpp>

namespace arbutusgate {

namespace {

// Least number of fiber switches between two polls for I/O while fibers are
// ready.
constexpr std::uint32_t min_picks_per_poll = 16;
// Largest number of handlers that run before the ready fibers have their turn.
// A connection that always has data starts its next read in the handler of the
// previous one, so there may always be a ready handler.
constexpr int max_handlers_per_poll = 64;

bool on_dispatcher() noexcept
{
    return boost::fibers::context::active()->is_context(
        boost::fibers::type::dispatcher_context);
}

} // namespace

void fiber_scheduler::awakened(boost::fibers::context* it) noexcept
{
    it->ready_link(ready_);
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept
{
    // A fiber that suspends itself calls this function while it still holds the
    // spinlock of the object that it waits for. A handler that notifies that
    // object would spin forever. The dispatcher holds no lock, and has its turn
    // among the ready fibers.
    if (++picks_ >= min_picks_per_poll && on_dispatcher()) {
        picks_ = 0;
        for (int n = 0; n < max_handlers_per_poll && io_.poll_one() > 0; ++n)
            continue;
    }
    if (ready_.empty())
        return nullptr;
    auto* it = &ready_.front();
    ready_.pop_front();
    return it;
}

bool fiber_scheduler::has_ready_fibers() const noexcept
{
    return !ready_.empty();
}

void fiber_scheduler::suspend_until(
    const std::chrono::steady_clock::time_point& deadline) noexcept
{
    if (deadline == std::chrono::steady_clock::time_point::max())
        io_.run_one();
    else
        io_.run_one_until(deadline);
}

void fiber_scheduler::notify() noexcept
{
    boost::asio::post(io_, [] {});
}

} // namespace arbutusgate
