#include "standin_slots.hpp"

#include "fiber_token.hpp"
#include "io_thread.hpp"

namespace arbutusgate {

bool work_slots::by_priority::operator()(const waiter* a, const waiter* b) const
{
    return a->priority != b->priority ? a->priority > b->priority
                                      : a->sequence < b->sequence;
}

work_slots::acquire_result work_slots::acquire(http_exchange& exchange,
                                               std::int64_t   priority)
{
    if (closed_)
        return acquire_result::gone;
    if (running_ < capacity_) {
        ++running_;
        return acquire_result::granted;
    }
    if (waiters_.size() >= queue_)
        return acquire_result::full;
    boost::asio::steady_timer wake(
        exchange.thread().io(), boost::asio::steady_timer::time_point::max());
    waiter self{priority, sequence_++, &wake};
    waiters_.insert(&self);
    queued_ = static_cast<std::uint32_t>(waiters_.size());
    exchange.on_client_gone([&wake] { wake.cancel(); });
    boost::system::error_code ec;
    if (!exchange.client_gone())
        wake.async_wait(fiber_token{ec});
    exchange.on_client_gone({});
    waiters_.erase(&self);
    queued_ = static_cast<std::uint32_t>(waiters_.size());
    return self.granted ? acquire_result::granted : acquire_result::gone;
}

void work_slots::release()
{
    if (waiters_.empty() || closed_) {
        --running_;
        return;
    }
    auto* next = *waiters_.begin();
    waiters_.erase(waiters_.begin());
    queued_       = static_cast<std::uint32_t>(waiters_.size());
    next->granted = true;
    next->wake->cancel();
}

void work_slots::close()
{
    closed_ = true;
    for (auto* it : waiters_)
        it->wake->cancel();
}

} // namespace arbutusgate
