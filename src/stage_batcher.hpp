/// Queue and batching of one stage service: chooses the pieces of the next call
/// and the target that runs it.
#pragma once

#include "arrival_rate.hpp"
#include "gateway_types.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// Pieces of one stage of one request. The stage is done when all of them have
/// results.
struct piece_group
{
    std::uint64_t id    = 0;        ///< Chosen by the owner; unique.
    std::uint32_t count = 0;        ///< Number of pieces.
    std::uint32_t rank  = 0;        ///< Priority; 0 is the most urgent.
    time_point    goal{};           ///< A later result makes the request late.
    time_point    limit{};          ///< A later result is useless.
    std::uint64_t result_bytes = 0; ///< Size of each piece's result.
    /// Pieces of the same kind take about the same time.
    std::uint32_t kind = 0;
    /// Holds most bytes of the inputs; empty: no preference.
    std::string failure_domain;
};

/// One piece in a call.
struct batched_piece
{
    std::uint64_t group        = 0; ///< Id of the group.
    std::uint32_t piece        = 0; ///< Index within the group.
    std::uint32_t kind         = 0; ///< Kind of the group.
    std::uint64_t result_bytes = 0;
};

/// A batch of pieces to send to one target.
struct stage_call
{
    std::uint64_t              id = 0;
    std::string                target;
    std::vector<batched_piece> pieces;
    /// Bytes of result memory expected to be free at the target before the
    /// call's results.
    std::uint64_t room = 0;
    microseconds  expected{0}; ///< Duration.
};

/// Outcome of one piece of a call.
enum class piece_outcome
{
    made,    ///< The target holds the result.
    no_room, ///< The target's result memory is full.
    retry,   ///< No result, or none reported; another call may succeed.
    failed,  ///< No result; another call would fail as well.
};

/// Length and estimated waiting times of the queue.
struct batcher_state
{
    std::size_t  waiting = 0; ///< Pieces.
    std::size_t  calls   = 0; ///< In flight.
    microseconds on_time{0};  ///< Wait of a piece that can meet its goal.
    microseconds all{0};      ///< Wait of a piece that cannot.
    /// Wait of a piece with a large result for free result memory.
    microseconds room{0};
};

/// Belongs to one thread; does no I/O and reads no clock.
class stage_batcher
{
public:
    explicit stage_batcher(stage_limits limits) : limits_(limits) {}

    void set_limits(const stage_limits& limits) { limits_ = limits; }

    /// Estimates when the last piece of such a group would be done, given the
    /// waiting groups that go before it.
    time_point expected_done(const piece_group& it, std::size_t targets,
                             time_point now) const;
    void       add(const piece_group& it, time_point now);
    /// Drops the group's waiting pieces; results of its running pieces are
    /// ignored.
    void cancel(std::uint64_t group);

    /// \return the next call, or nothing when no call should start now.
    std::optional<stage_call> next(const std::vector<const target*>& targets,
                                   time_point                        now);
    /// Drops groups whose limit has passed while pieces wait.
    /// \return their ids.
    std::vector<std::uint64_t> expire(time_point now);
    /// Drops groups of which pieces wait, whatever their limit.
    /// \return their ids.
    std::vector<std::uint64_t> drop_waiting()
    {
        return expire(time_point::max());
    }
    /// Drops late groups that cannot be completed before their limit with the
    /// capacity that groups on time leave. Failure: a burst leaves a queue of
    /// late requests that never run: they wait until their callers disconnect,
    /// and meanwhile hold the stage results that they have read.
    /// \return the ids of the dropped groups.
    std::vector<std::uint64_t> drop_unmeetable(std::size_t targets,
                                               time_point  now);

    /// Records the end of a call.
    /// \param outcomes of each piece, in the call's order.
    /// \param target_failed the target gave no usable response.
    void finish(std::uint64_t call, const std::vector<piece_outcome>& outcomes,
                bool target_failed, time_point now);
    /// Requeues the pieces of a call that was not sent.
    void abandon(std::uint64_t call);
    /// Requeues the pieces of calls that take much longer than expected.
    /// \return ids of these calls; each is returned once.
    std::vector<std::uint64_t> overdue(time_point now);
    /// When next() or overdue() may return something without a new event.
    time_point wake_at(time_point now) const;

    /// Records that a result at a target was released.
    void released(const std::string& target, std::uint64_t bytes,
                  time_point now);
    /// Removes a target's state.
    void forget(const std::string& target);

    batcher_state state(std::size_t targets, time_point now) const;
    /// Approximate duration of a full call.
    microseconds full_call_time() const
    {
        return limits_.call_time + limits_.piece_time * limits_.batch;
    }

private:
    struct waiting_group
    {
        piece_group                spec;
        std::vector<std::uint32_t> pieces; ///< Waiting; the last goes first.
        time_point                 enqueued_at{};
    };

    struct running_call
    {
        stage_call call;
        time_point started_at{};
        bool       overdue = false;
    };

    struct target_state
    {
        std::uint32_t calls = 0; ///< In flight.
        time_point    paused_until{};
        std::uint32_t consecutive_failures = 0;
        double        slowdown = 1; ///< Average of measured over expected time.
        std::uint64_t reserved_bytes = 0; ///< Sum of the reservations.
        /// Bytes of results in the target's result memory, by the time when
        /// they expire unless released before.
        std::multimap<time_point, std::uint64_t> reservations;
    };

    /// Sums over waiting pieces.
    struct backlog
    {
        std::size_t   pieces = 0;
        microseconds  work{0};
        std::uint64_t bytes = 0; ///< Of results.

        /// \param time_each time of each piece.
        /// \param bytes_each size of each piece's result.
        void add(std::size_t n, microseconds time_each,
                 std::uint64_t bytes_each);
    };

    /// Calls that so many targets can run at once.
    std::size_t concurrent_calls(std::size_t targets) const
    {
        return std::max<std::size_t>(1, targets * limits_.slots);
    }
    /// Time in which the targets process the backlog.
    microseconds backlog_time(const backlog& it, std::size_t targets) const;
    microseconds running_calls_time(std::size_t targets) const;
    /// Like backlog_time(), with only the capacity that pieces on time leave,
    /// since these keep arriving.
    microseconds late_backlog_time(const backlog& late, std::size_t targets,
                                   time_point now) const;
    microseconds piece_time(std::uint32_t kind) const;
    microseconds call_time(const std::vector<batched_piece>& pieces) const;
    /// Updates the target's slowdown and the times of the call's pieces.
    void update_estimates(const stage_call& call, microseconds duration);
    void requeue(const batched_piece& it);
    /// Sort key of a group in the queue; the least goes first.
    struct queue_position
    {
        int           late = 0; ///< 1: cannot meet its goal; goes after others.
        std::int64_t  sort_time = 0; ///< Goal or limit, shifted by priority.
        std::uint64_t id        = 0;

        auto operator<=>(const queue_position&) const = default;
    };

    microseconds next_call_time() const;
    /// \param call duration of each of the next calls.
    queue_position position_of(const piece_group& it, std::size_t pieces,
                               microseconds call, time_point now) const;
    std::vector<queue_position> queue_order(time_point now) const;
    std::vector<const target*>
    free_targets(const std::vector<const target*>& targets, time_point now);
    void fill_call(stage_call& call, const target& at, time_point now);
    /// Moves pieces of a group into a call.
    /// \param room free result memory of the target; reduced by the results.
    void add_pieces(stage_call& call, waiting_group& group, const target& at,
                    std::uint64_t& room, bool on_time, time_point now);
    static bool is_local(const waiting_group& group, const target& at);
    bool        may_run_remotely(const waiting_group&  group,
                                 const queue_position& position, microseconds call,
                                 time_point now) const;
    std::size_t min_pieces_per_call(std::size_t targets, time_point now) const;
    bool should_hold(const target& at, std::size_t targets, time_point now);
    std::uint64_t free_result_memory(target_state& it, time_point now) const;
    static void   pause_after_failure(target_state& it, time_point now);
    void          assume_full(target_state& it, time_point now);
    /// Removes the oldest reservation of this size.
    /// \return when it would have expired, or nothing if there is none.
    static std::optional<time_point> free_reservation(target_state& it,
                                                      std::uint64_t bytes);
    /// Time until results of so many bytes fit into the result memory.
    microseconds result_memory_wait(std::uint64_t bytes,
                                    std::size_t   targets) const;
    /// Average time from the start of a call until a result of it is released;
    /// 0 until the first release.
    std::chrono::duration<double> mean_held_time() const;
    /// Fraction of the targets' time and result memory that pieces on time
    /// leave.
    double spare_capacity(std::size_t targets, time_point now) const;

    stage_limits                                     limits_;
    std::uint64_t                                    next_call_ = 1; ///< Id.
    std::unordered_map<std::uint64_t, waiting_group> groups_;
    std::map<std::uint64_t, running_call>            calls_;
    std::unordered_map<std::string, target_state>    targets_;
    /// Learned time of a piece by kind, in microseconds.
    std::unordered_map<std::uint32_t, double> piece_times_;
    std::size_t                               waiting_ = 0; ///< Pieces.
    /// Decaying sums over released results: bytes times the seconds from the
    /// start of the call until the release, and bytes.
    double held_byte_seconds_ = 0;
    double held_bytes_        = 0;
    /// Failure domains of the targets passed to the latest next().
    std::set<std::string> target_domains_;
    arrival_rate          arrivals_; ///< Of pieces.
    /// Time and result bytes of the pieces on time that went into calls.
    arrival_rate on_time_work_; ///< Microseconds of one target.
    arrival_rate on_time_bytes_;
    /// When a call that waits for more pieces starts anyway.
    time_point hold_deadline_{time_point::max()};
};

} // namespace arbutusgate::gateway
