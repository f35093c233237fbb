/// Concurrency slots of one simulated replica.
#pragma once

#include "http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <set>

namespace arbutusgate {

/// Grants a bounded number of slots: the largest priority first, then in order
/// of arrival. Must be used on one thread; the counts may be read on any
/// thread.
class work_slots
{
public:
    enum class acquire_result
    {
        granted,
        full, ///< The queue is full.
        gone, ///< The client disconnected while waiting, or close() was called.
    };

    /// \param capacity number of calls that run at once.
    /// \param queue    number of calls that may wait.
    work_slots(std::uint32_t capacity, std::uint32_t queue)
        : capacity_(capacity), queue_(queue)
    {
    }

    /// Suspends the calling fiber until a slot is free. Each granted slot must
    /// be freed with release().
    acquire_result acquire(http_exchange& exchange, std::int64_t priority);
    void           release();
    /// Ends all waits with `gone`; later calls of acquire return `gone` at
    /// once.
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
    struct by_priority
    {
        bool operator()(const waiter* a, const waiter* b) const;
    };

    std::uint32_t                  capacity_;
    std::uint32_t                  queue_;
    std::atomic<std::uint32_t>     running_{0};
    std::atomic<std::uint32_t>     queued_{0};
    std::uint64_t                  sequence_ = 0;
    bool                           closed_   = false;
    std::set<waiter*, by_priority> waiters_;
};

} // namespace arbutusgate
