#include "run_registry.hpp"

#include "daemon_clock.hpp"
#include "fiber_token.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace arbutusgate {

void run_waiter::wait_until(time_point at)
{
    const auto remaining = at - daemon_now();
    if (!std::exchange(woken_, false) && remaining > microseconds{0}) {
        boost::system::error_code ec;
        timer_.expires_after(remaining);
        timer_.async_wait(fiber_token{ec});
        woken_ = false;
    }
}

void run_waiter::wake()
{
    boost::asio::post(
        io_, [self = shared_from_this()] { self->wake_on_io_thread(); });
}

void run_waiter::wake_on_io_thread()
{
    woken_ = true;
    timer_.cancel();
}

void run_registry::add(std::uint64_t run, std::weak_ptr<run_waiter> waiter)
{
    auto&           it = shard_of(run);
    std::lock_guard lock(it.mutex);
    it.waiters[run] = std::move(waiter);
}

void run_registry::remove(std::uint64_t run)
{
    auto&           it = shard_of(run);
    std::lock_guard lock(it.mutex);
    it.waiters.erase(run);
}

void run_registry::wake(std::uint64_t run)
{
    std::shared_ptr<run_waiter> waiter;
    {
        auto&           it = shard_of(run);
        std::lock_guard lock(it.mutex);
        const auto      found = it.waiters.find(run);
        if (found != it.waiters.end())
            waiter = found->second.lock();
    }
    if (waiter)
        waiter->wake();
}

} // namespace arbutusgate
