/// Queue of one stage service: which pieces go into the next call, and to
/// which target.
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

/// Pieces of one stage of one call; all are needed.
struct piece_group
{
    std::uint64_t id    = 0;        ///< Chosen by the owner; unique.
    std::uint32_t count = 0;        ///< Pieces.
    std::uint32_t rank  = 0;        ///< 0 is the most urgent.
    time_point    goal{};           ///< A later result makes the call late.
    time_point    limit{};          ///< A later result is of no use.
    std::uint64_t result_bytes = 0; ///< Of each piece.
    /// Pieces of the same kind take about the same time.
    std::uint32_t kind = 0;
    /// Where most bytes of the inputs lie; empty: anywhere.
    std::string failure_domain;
};

/// One piece in a call.
struct batched_piece
{
    std::uint64_t group        = 0;
    std::uint32_t piece        = 0;
    std::uint32_t kind         = 0; ///< As of the group.
    std::uint64_t result_bytes = 0;
};

/// A call to be made.
struct stage_call
{
    std::uint64_t              id = 0;
    std::string                target;
    std::vector<batched_piece> pieces;
    std::uint64_t              room = 0;    ///< Bytes, before its results.
    microseconds               expected{0}; ///< Duration.
};

/// What the target said of one piece, or that it said nothing.
enum class piece_outcome
{
    made,
    no_room, ///< The target's room for results is full.
    retry,   ///< No result, but another call may give one.
    failed,  ///< Another call gives none either.
};

/// What the batcher believes of its queue.
struct batcher_state
{
    std::size_t  waiting = 0; ///< Pieces.
    std::size_t  calls   = 0; ///< At work.
    microseconds on_time{0};  ///< Wait of a piece that can meet its goal.
    microseconds all{0};      ///< Wait of a piece that cannot.
    microseconds room{0};     ///< Wait of a large result for room.
};

/// Belongs to one thread; does no I/O and reads no clock.
class stage_batcher
{
public:
    explicit stage_batcher(stage_limits limits) : limits_(limits) {}

    void set_limits(const stage_limits& limits) { limits_ = limits; }

    /// When the last piece of such a group would be done, by what waits now
    /// and would go first.
    time_point expected_done(const piece_group& it, std::size_t targets,
                             time_point now) const;
    void       add(const piece_group& it, time_point now);
    /// Pieces that wait are dropped; results of running ones are of no use.
    void cancel(std::uint64_t group);

    /// The next call, if a target is free and pieces wait.
    std::optional<stage_call> next(const std::vector<const target*>& targets,
                                   time_point                        now);
    /// Groups whose limit has passed while pieces wait; they are dropped.
    std::vector<std::uint64_t> expire(time_point now);
    /// Late groups that can no more be made before their limit, by what the
    /// targets have to spare; they are dropped. Pattern: a burst leaves a queue
    /// of late requests that wait until their callers leave, hold the results
    /// that they have read meanwhile, and never get a turn.
    std::vector<std::uint64_t> drop_hopeless(std::size_t targets,
                                             time_point  now);

    /// A call ended.
    /// \param outcomes of each piece, in the call's order.
    /// \param target_failed the target gave no usable answer.
    void finish(std::uint64_t call, const std::vector<piece_outcome>& outcomes,
                bool target_failed, time_point now);
    /// A call was not sent; its pieces wait again.
    void abandon(std::uint64_t call);
    /// A call takes much longer than expected: its pieces wait again.
    /// \return ids of such calls; each is named once.
    std::vector<std::uint64_t> overdue(time_point now);
    /// When next() or overdue() may have something without a new event.
    time_point wake_at(time_point now) const;

    /// A result was given up at a target.
    void released(const std::string& target, std::uint64_t bytes,
                  time_point now);
    void forget(const std::string& target);

    batcher_state state(std::size_t targets, time_point now) const;

private:
    struct waiting_group
    {
        piece_group                it;
        std::vector<std::uint32_t> pieces; ///< That wait, last one first.
        time_point                 since{};
    };

    struct running_call
    {
        stage_call call;
        time_point since{};
        bool       overdue = false;
    };

    struct target_state
    {
        std::uint32_t calls = 0;
        time_point    paused_until{};
        std::uint32_t failures  = 0; ///< In a row.
        double        pace      = 1; ///< Measured over expected time.
        std::uint64_t room_used = 0; ///< Sum of kept.
        /// Bytes of results by the time when they lapse by themselves.
        std::multimap<time_point, std::uint64_t> kept;
    };

    /// Pieces that wait.
    struct backlog
    {
        std::size_t   pieces = 0;
        microseconds  work{0};
        std::uint64_t bytes = 0; ///< Of results.

        /// \param each time of a piece.
        /// \param size of its result.
        void add(std::size_t n, microseconds each, std::uint64_t size);
    };

    /// Calls that so many targets work on at once.
    std::size_t servers(std::size_t targets) const
    {
        return std::max<std::size_t>(1, targets * limits_.slots);
    }
    /// Time in which the targets make all of it.
    microseconds time_of(const backlog& it, std::size_t targets) const;
    microseconds running_time(std::size_t targets) const;
    /// The same beside pieces on time, which keep coming.
    microseconds late_time(const backlog& late, std::size_t targets,
                           time_point now) const;
    microseconds piece_time(std::uint32_t kind) const;
    microseconds call_time(const std::vector<batched_piece>& pieces) const;
    void         learn(const stage_call& call, microseconds took);
    void         wait_again(const batched_piece& it);
    /// Place of a group in the queue; less goes first.
    struct turn
    {
        int           late = 0; ///< 1: cannot meet its goal, and may wait.
        std::int64_t  when = 0;
        std::uint64_t id   = 0;

        auto operator<=>(const turn&) const = default;
    };

    microseconds next_call_time() const;
    /// \param call duration of the next calls.
    turn turn_of(const piece_group& it, std::size_t pieces, microseconds call,
                 time_point now) const;
    std::vector<turn> order(time_point now) const;
    std::vector<const target*>
    free_targets(const std::vector<const target*>& targets, time_point now);
    void          fill(stage_call& call, const target& at, time_point now);
    void          take(stage_call& call, waiting_group& group, const target& at,
                       std::uint64_t& room, bool on_time, time_point now);
    static bool   near(const waiting_group& group, const target& at);
    bool          may_go_far(const waiting_group& group, const turn& at,
                             microseconds call, time_point now) const;
    std::size_t   least_fill(std::size_t targets, time_point now) const;
    bool          hold(const target& at, std::size_t targets, time_point now);
    std::uint64_t room_left(target_state& it, time_point now) const;
    static void   pause_failed(target_state& it, time_point now);
    void          believe_full(target_state& it, time_point now);
    /// \return when the result would have lapsed, or nothing.
    static std::optional<time_point> give_back(target_state& it,
                                               std::uint64_t bytes);
    /// Time until results of so many bytes have found room.
    microseconds room_wait(std::uint64_t bytes, std::size_t targets) const;
    /// Time that a result holds room on average; 0: none was given up yet.
    std::chrono::duration<double> held_time() const;
    /// Part of the targets' time and room that pieces on time leave.
    double spare(std::size_t targets, time_point now) const;

    stage_limits                                     limits_;
    std::uint64_t                                    next_call_ = 1;
    std::unordered_map<std::uint64_t, waiting_group> groups_;
    std::map<std::uint64_t, running_call>            calls_;
    std::unordered_map<std::string, target_state>    targets_;
    /// Learned time of a piece by kind, in microseconds.
    std::unordered_map<std::uint32_t, double> piece_times_;
    std::size_t                               waiting_ = 0;
    /// From the start of calls until their results are given up: seconds
    /// weighted by bytes, and the bytes; both fade.
    double                held_work_  = 0;
    double                held_bytes_ = 0;
    std::set<std::string> domains_; ///< Of the targets of the latest call.
    arrival_rate          arrivals_;
    /// Of pieces on time that went into calls.
    arrival_rate on_time_work_;                  ///< Microseconds of a target.
    arrival_rate on_time_bytes_;                 ///< Of results.
    time_point   held_until_{time_point::max()}; ///< Of a held call.
};

} // namespace arbutusgate::gateway
