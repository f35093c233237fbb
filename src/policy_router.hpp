/// Choice of a target within a pool.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/policy.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace arbutusgate {

/// Own view of one target. Guarded by the lock of its pool.
struct route_target
{
    std::string   name;
    std::string   domain;
    std::uint32_t in_flight = 0;
    bool          leaving   = false;
    /// When the mark was first seen here; the epoch: not yet.
    time_point leaving_since;

    /// Share of recent attempts that failed, as a moving average.
    double     failures = 0;
    time_point failed_at; ///< Last failure.
    /// Time of recent attempts as a multiple of what their stages usually
    /// take, as a moving average.
    double slowness = 1;
    /// Much slower than the rest of the pool by its last result.
    bool          slow      = false;
    std::uint32_t ejections = 0; ///< In a row; lengthens the next one.
    time_point    ejected_until;
    time_point    closed_until;        ///< It wants no work before, as it said.
    std::uint32_t connects_failed = 0; ///< In a row.
    time_point    unreachable_until;
    load_report   report; ///< Last one.
    time_point    reported;
    std::uint32_t in_flight_reported = 0; ///< Own in-flight count then.
    double        score              = 0; ///< Expected load; of choose.
    /// One attempt finds out whether an unreachable or ejected target is back.
    bool probing = false;
};

using route_targets = std::vector<std::shared_ptr<route_target>>;

/// What the choice depends on besides the targets.
struct route_query
{
    time_point          now;
    const route_target* failed = nullptr; ///< Target of the last attempt.
    /// Hash of the prompt's prefix that a target may hold in its cache; 0:
    /// none.
    std::uint64_t prefix = 0;
};

/// Routes within one pool. Guarded by the lock of the pool.
class router
{
    static constexpr auto hopeless_interval = seconds{1};

public:
    router(policy_strategy strategy, std::uint64_t seed);

    /// \return index in targets, or -1 when none may get work.
    int choose(const route_targets& targets, const route_query& query);
    /// Learns from an attempt's end.
    /// \param slowness its time as a multiple of what its stage usually takes;
    /// 0: unknown.
    void on_result(const route_targets& targets, route_target& it,
                   attempt_status status, time_point now, double slowness = 0);

    /// A target refused an attempt and asked for no work for so long.
    void on_refusal(route_target& it, milliseconds wait, time_point now);
    /// Time until the first target wants work; zero when one does, or none of
    /// them ever will.
    static microseconds closed_for(const route_targets& targets,
                                   time_point           now);

    static void on_report(route_target& it, const load_report& report,
                          time_point now);
    /// True when the targets are full as a whole, by their reports.
    static bool full(const route_targets& targets, time_point now);
    /// Ends an attempt that choose began.
    static void release(route_target& it);
    /// True when a new request may count on a target of the pool. While none
    /// can be reached, only one request in a while is let through.
    bool admits(const route_targets& targets, time_point now);
    /// Targets that may get work.
    static std::uint32_t usable(const route_targets& targets, time_point now);

private:
    int choose_adaptive(const route_targets& targets, const route_query& query);
    void        score(const route_targets& targets, time_point now);
    int         choose_by_prefix(const route_targets& targets,
                                 const route_query&   query);
    static bool better(const route_target& a, const route_target& b,
                       time_point now);
    void eject(const route_targets& targets, route_target& it, time_point now);
    static void learn_slowness(const route_targets& targets, route_target& it,
                               double sample);

    policy_strategy  strategy_;
    std::mt19937_64  random_;
    std::uint64_t    turn_ = 0;
    std::vector<int> candidates_; ///< Scratch of choose.
    time_point       admitted_probe_{-hopeless_interval};
};

} // namespace arbutusgate
