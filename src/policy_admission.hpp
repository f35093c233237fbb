/// Concurrency limit and queues of one pool.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace arbutusgate {

/// A run that waits for a pool. Guarded by the lock of that pool.
struct pool_waiter
{
    std::uint64_t run      = 0;
    std::int32_t  priority = 0;
    bool          over     = false; ///< Its account is over its share.
    time_point    latest;           ///< End of its waiting.
    std::uint64_t order = 0;        ///< Of arrival.
    /// Time of the stages before the one that uses this pool.
    microseconds upstream{0};
    bool         entry   = true; ///< Waits for admission, not for a stage.
    bool         queued  = false;
    bool         granted = false; ///< Room is reserved for it.
};

/// Orders waiters: accounts within their share, then priority, then the end
/// of waiting.
struct waiter_order
{
    bool operator()(const pool_waiter* a, const pool_waiter* b) const;
};

/// Runs whose driver is to be told that they may go on.
using ready_runs = std::vector<std::uint64_t>;

/// What a finished attempt says about the pool's load.
enum class load_signal
{
    free,   ///< The target had no queue.
    queued, ///< The target had a queue, or its answer came late.
    refused ///< The target refused or did not answer in time.
};

/// This daemon's part of a pool: a limit on attempts that runs at once, which
/// grows while targets have no queue and shrinks otherwise, and a limit on
/// admitted runs, so that they find room when they come to their stage. Runs
/// over the limits wait here, at no cost, in order of priority. Guarded by the
/// lock of the pool.
class pool_admission
{
public:
    /// \param slots concurrent calls of all targets that may get work.
    /// \param daemons that share them.
    void set_share(std::uint32_t slots, std::uint32_t daemons);

    /// Counts the run as admitted when there is room and none goes before it.
    bool try_commit(const pool_waiter& it);
    void uncommit(ready_runs& ready);
    /// Counts an attempt as running when there is room and none goes before.
    bool try_enter(const pool_waiter& it);
    void leave(ready_runs& ready);

    void enqueue(pool_waiter& it);
    /// Takes the waiter out, with its reservation.
    void remove(pool_waiter& it, ready_runs& ready);
    /// Time until a new waiter would be granted; zero when there is room.
    microseconds expected_wait(const pool_waiter& it) const;

    /// Adapts the limit.
    void on_result(load_signal signal, microseconds elapsed, time_point now,
                   ready_runs& ready);

    double limit() const;
    /// Attempts per second that the limit allows; 0 before the first result.
    double rate() const { return time_ > 0 ? 1e6 * limit() / time_ : 0; }

private:
    using queue = std::set<pool_waiter*, waiter_order>;

    bool   room_to_enter() const;
    bool   room_to_commit(const pool_waiter& it) const;
    void   grant(ready_runs& ready);
    queue& queue_of(const pool_waiter& it);

    double share_ = 1; ///< Slots for each daemon.
    double slots_ = 1; ///< Of all daemons.
    /// Limit as a multiple of the share, so that it comes back with the share.
    double        ratio_     = 0;
    double        time_      = 0; ///< Mean time of an attempt; microseconds.
    std::uint32_t running_   = 0;
    std::uint32_t committed_ = 0;
    time_point    shrunk_;
    queue         entries_, stages_;
};

} // namespace arbutusgate
