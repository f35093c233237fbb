/// Chooses targets within a pool.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/policy.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace arbutusgate {

/// What this daemon knows of one target. Guarded by the lock of its pool.
struct route_target
{
    std::string   name;
    std::string   domain;
    std::uint32_t in_flight = 0;
    bool          leaving   = false;
    /// Time at which the router first saw the mark; the epoch: not yet.
    time_point leaving_since;

    /// Share of recent attempts that failed, as a moving average.
    double     failure_rate = 0;
    time_point failed_at; ///< Last failure.
    /// Time of recent attempts as a multiple of the usual time of their stages,
    /// as a moving average.
    double slowness = 1;
    /// Much slower than the rest of the pool, by its last result.
    bool          slow      = false;
    std::uint32_t ejections = 0; ///< In a row; lengthen the next ejection.
    time_point    ejected_until;
    time_point    closed_until; ///< The target asked for no work until then.
    /// Attempts a second that this daemon may send; unset: any number.
    std::optional<double> call_rate;
    time_point            next_call_at;        ///< With a call_rate above 0.
    std::uint32_t         failed_connects = 0; ///< In a row.
    time_point            unreachable_until;
    load_report           report; ///< Last report.
    time_point            reported_at;
    /// Value of in_flight at the time of the report.
    std::uint32_t in_flight_at_report = 0;
    double        score               = 0; ///< Expected load; set by choose.
    /// An attempt in flight tests whether an unreachable, ejected or suspect
    /// target has recovered.
    bool probing = false;
};

using route_targets = std::vector<std::shared_ptr<route_target>>;

/// Inputs of a choice besides the targets.
struct route_query
{
    time_point          now;
    const route_target* failed = nullptr; ///< Target of the last attempt.
    /// Hash of a prompt prefix that a target may have cached; 0: none.
    std::uint64_t prefix = 0;
};

/// Routes attempts within one pool. Guarded by the lock of the pool.
class router
{
    static constexpr auto pool_probe_interval = seconds{1};

public:
    router(policy_strategy strategy, std::uint64_t seed);

    /// Chooses a target and counts an attempt on it.
    /// \return index in targets, or -1 if none may get work.
    int choose(const route_targets& targets, const route_query& query);
    /// Updates the target's state from the result of an attempt.
    /// \param slowness time of the attempt as a multiple of the stage's usual
    /// time; 0: unknown.
    void on_result(const route_targets& targets, route_target& it,
                   attempt_status status, time_point now, double slowness = 0);

    /// Closes a target that refused an attempt and asked for no work.
    /// \param wait for which it asked; zero: none.
    void on_refusal(route_target& it, milliseconds wait, time_point now);
    /// Time until the first target accepts work again; zero if one does now, or
    /// if all are leaving.
    static microseconds closed_for(const route_targets& targets,
                                   time_point           now);

    /// \copydoc policy::set_call_rate
    static void set_call_rate(route_target& it, std::optional<double> rate,
                              time_point now);

    static void on_report(route_target& it, const load_report& report,
                          time_point now);
    /// True if the reported load takes up nearly all reported capacity.
    static bool is_full(const route_targets& targets, time_point now);
    /// Ends the attempt that choose counted on the target.
    static void release(route_target& it);
    /// True if a new request can expect a target in the pool. While no target
    /// is reachable, one request per pool_probe_interval is admitted as a
    /// probe.
    bool admits_request(const route_targets& targets, time_point now);
    /// Number of targets that may get work.
    static std::uint32_t count_usable(const route_targets& targets,
                                      time_point           now);

private:
    int choose_adaptive(const route_targets& targets, const route_query& query);
    void        score(const route_targets& targets, time_point now);
    int         choose_by_prefix(const route_targets& targets,
                                 const route_query&   query);
    static bool is_better(const route_target& a, const route_target& b,
                          time_point now);
    void eject(const route_targets& targets, route_target& it, time_point now);
    static void update_slowness(const route_targets& targets, route_target& it,
                                double sample);

    policy_strategy  strategy_;
    std::mt19937_64  random_;
    std::uint64_t    next_index_ = 0;
    std::vector<int> candidates_; ///< Scratch buffer of choose.
    time_point       last_probe_{-pool_probe_interval};
};

} // namespace arbutusgate
