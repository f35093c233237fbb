/// Concurrency slots of one simulated replica.
#pragma once

#include "http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <set>

namespace arbutusgate {

/// Grants a bounded number of slots, larger priority first, then in order of
/// arrival. Used on one thread; the counts may be read on any.
class work_slots
{
public:
    enum class entry
    {
        granted,
        full, ///< The queue has no room.
        gone, ///< The client closed its connection while waiting.
    };

    /// \param capacity calls that run at once.
    /// \param queue    calls that may wait.
    work_slots(std::uint32_t capacity, std::uint32_t queue)
        : capacity_(capacity), queue_(queue)
    {
    }

    /// Suspends the calling fiber until a slot is free. Each grant is given
    /// back by leave.
    entry enter(http_exchange& exchange, std::int64_t priority);
    void  leave();
    /// Wakes all waiters as gone; later calls are refused.
    void close();

    std::uint32_t capacity() const { return capacity_; }
    std::uint32_t in_flight() const { return running_; }
    std::uint32_t queued() const { return queued_; }

private:
    struct waiter
    {
        std::int64_t               priority;
        std::uint64_t              sequence;
        boost::asio::steady_timer* wake;
        bool                       granted = false;
    };
    struct runs_first
    {
        bool operator()(const waiter* a, const waiter* b) const;
    };

    std::uint32_t                 capacity_;
    std::uint32_t                 queue_;
    std::atomic<std::uint32_t>    running_{0};
    std::atomic<std::uint32_t>    queued_{0};
    std::uint64_t                 sequence_ = 0;
    bool                          closed_   = false;
    std::set<waiter*, runs_first> waiters_;
};

} // namespace arbutusgate
