/// Wakes the fibers of requests that wait for the policy.
#pragma once

#include "arbutusgate/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace arbutusgate {

/// Suspends and wakes the fiber of one request.
class run_waiter : public std::enable_shared_from_this<run_waiter>
{
public:
    explicit run_waiter(boost::asio::io_context& io) : io_(io), timer_(io) {}

    /// Suspends the calling fiber until the given time or a wake, which may
    /// come between two waits. Called on the io_context's thread.
    void wait_until(time_point at);
    /// Wakes the fiber from any thread.
    void wake();
    /// As wake, but called on the io_context's thread.
    void wake_on_io_thread();

private:
    boost::asio::io_context&  io_;
    boost::asio::steady_timer timer_;
    bool                      woken_ = false;
};

/// Waiters by run. Thread-safe; each shard has its own lock.
class run_registry
{
public:
    void add(std::uint64_t run, std::weak_ptr<run_waiter> waiter);
    void remove(std::uint64_t run);
    /// Unknown runs are ignored.
    void wake(std::uint64_t run);

private:
    struct shard
    {
        std::mutex                                                   mutex;
        std::unordered_map<std::uint64_t, std::weak_ptr<run_waiter>> waiters;
    };

    shard& shard_of(std::uint64_t run) { return shards_[run % shards_.size()]; }

    std::array<shard, 16> shards_;
};

} // namespace arbutusgate
