/// Concurrency limit and wait queues of one pool.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace arbutusgate {

/// A run that waits for a pool. Guarded by the lock of the pool.
struct pool_waiter
{
    std::uint64_t run        = 0;
    std::int32_t  priority   = 0;
    bool          over_share = false; ///< The account exceeds its share.
    time_point    wait_deadline;      ///< End of the wait.
    std::uint64_t arrival_number = 0; ///< Numbers runs by arrival.
    /// Expected time of the stages before the one that uses this pool.
    microseconds upstream{0};
    bool for_admission = true; ///< Waits for admission; else for a slot.
    bool queued        = false;
    bool granted       = false; ///< Its admission or slot is reserved.
};

/// Orders waiters: accounts within their share first, then by larger priority,
/// earlier end of the wait, and arrival.
struct waiter_order
{
    bool operator()(const pool_waiter* a, const pool_waiter* b) const;
};

/// Runs that may continue; their drivers have to be notified.
using ready_runs = std::vector<std::uint64_t>;

/// Load of a pool as a finished attempt shows it.
enum class load_signal
{
    free,   ///< The target had no queue.
    queued, ///< The target had a queue, or it responded late.
    refused ///< The target refused or did not respond in time.
};

/// This daemon's share of a pool. It limits the attempts in flight; this limit
/// grows while targets have no queue and shrinks otherwise. It also limits the
/// admitted runs, so that they get a slot when they reach their stage. Runs
/// over the limits wait here, at no cost, in the order of waiter_order. Guarded
/// by the lock of the pool.
class pool_admission
{
public:
    /// \param slots concurrent calls of all targets that may get work.
    /// \param daemons number of daemons that share the slots.
    void set_share(std::uint32_t slots, std::uint32_t daemons);

    /// Counts the run as admitted if the limit allows it and no waiter precedes
    /// it.
    bool try_admit(const pool_waiter& it);
    void release_admission(ready_runs& ready);
    /// Counts an attempt as in flight if the limit allows it and no waiter
    /// precedes it.
    bool try_acquire_slot(const pool_waiter& it);
    void release_slot(ready_runs& ready);

    void enqueue(pool_waiter& it);
    /// Removes the waiter and releases its reservation.
    void remove(pool_waiter& it, ready_runs& ready);
    /// Expected wait of a new waiter for admission; zero if it can be admitted
    /// now.
    microseconds expected_wait(const pool_waiter& it) const;

    /// Adapts the limit to the result of an attempt.
    void on_result(load_signal signal, microseconds elapsed, time_point now,
                   ready_runs& ready);

    double limit() const;
    /// Attempts per second at the limit; 0 before the first result.
    double rate() const
    {
        return mean_time_us_ > 0 ? 1e6 * limit() / mean_time_us_ : 0;
    }

private:
    using queue = std::set<pool_waiter*, waiter_order>;

    bool   has_free_slot() const;
    bool   can_admit(const pool_waiter& it) const;
    void   grant_waiters(ready_runs& ready);
    queue& queue_of(const pool_waiter& it);

    double daemon_slots_ = 1; ///< Slots of this daemon.
    double total_slots_  = 1; ///< Slots of all daemons.
    /// Limit as a multiple of this daemon's slots, so that it follows them.
    double        limit_ratio_      = 0;
    double        mean_time_us_     = 0; ///< Mean time of an attempt.
    std::uint32_t running_attempts_ = 0;
    std::uint32_t admitted_         = 0;
    time_point    last_decrease_;
    queue         admission_queue_, slot_queue_;
};

} // namespace arbutusgate
