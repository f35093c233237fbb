/// Internal state of policy, for policy.cpp and pipeline_run.cpp only.
#pragma once

#include "arbutusgate/policy.hpp"
#include "policy_admission.hpp"
#include "policy_quantiles.hpp"
#include "policy_retry_budget.hpp"
#include "policy_router.hpp"
#include "policy_shares.hpp"
#include "reason_counters.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutusgate {

/// Learned times and cost of one stage. Kept across deployments, by name.
struct learned_stage
{
    learned_stage(microseconds expected, double cost)
        : time(expected), token_time(microseconds{0}), cost(cost)
    {
    }

    stage_quantiles     time;
    stage_quantiles     token_time; ///< Per token; of generate stages only.
    std::atomic<double> cost;       ///< Mean cost of a call.
};

/// Learned state of one pool, with its lock. Kept across deployments, by name.
struct pool_state
{
    pool_state(policy_strategy strategy, std::uint64_t seed)
        : routes(strategy, seed)
    {
    }

    std::mutex     mutex;
    router         routes;
    retry_budget   retries;
    pool_admission admission;
    account_shares shares;
    double         mean_cost = 0; ///< Mean cost of an attempt.
    /// Targets by name, of all deployments that runs still use.
    std::map<std::string, std::weak_ptr<route_target>> targets;
};

/// A pool of one deployment.
struct pool_view
{
    std::shared_ptr<pool_state> state;
    route_targets targets; ///< In the order of pool_config::targets.
};

/// A deployment and its learned state, which other deployments may share.
struct policy_view
{
    std::shared_ptr<const deployment> config;
    std::vector<pool_view> pools; ///< In the order of deployment::pools.
    /// By pipeline and stage.
    std::vector<std::vector<std::shared_ptr<learned_stage>>> stages;
    /// By target name: index of the pool, and index in its targets.
    std::unordered_map<std::string_view, std::pair<std::size_t, std::size_t>>
        targets;
    /// By pipeline: time of the last probe, in microseconds since the epoch of
    /// time_point.
    mutable std::vector<std::atomic<std::int64_t>> last_probes;
};

struct policy::impl
{
    /// Creates a view of config that reuses the state of pools, targets and
    /// stages with the same names. The mutex is locked, or no other thread has
    /// access.
    std::shared_ptr<const policy_view>
    make_view(std::shared_ptr<const deployment> config);
    std::shared_ptr<const policy_view> current_view() const;
    /// Recomputes this daemon's share of the pool from its usable targets and
    /// the number of daemons. The pool is locked.
    void update_share(const pool_view& pool, std::uint32_t slots_per_target,
                      time_point now) const;
    /// Notifies the drivers of the runs. Called without locks.
    void notify(const ready_runs& ready) const;
    /// Calls fn on the named target of the deployment in force, with its pool
    /// locked. Unknown targets are ignored.
    template <class Function>
    void with_target(std::string_view name, Function fn);

    /// Rate of this daemon's attempts at a target, and when it was set.
    struct call_rate
    {
        double     rate = 0;
        time_point set_at{};
    };

    /// Guards view, stages and call_rates.
    mutable std::mutex                 mutex;
    std::shared_ptr<const policy_view> view;
    /// By "PIPELINE/STAGE".
    std::map<std::string, std::shared_ptr<learned_stage>> stages;
    /// By target, of any deployment: a limit may be known before the target is.
    std::map<std::string, call_rate, std::less<>> call_rates;
    policy_init                                   init;
    std::atomic<std::uint32_t>                    daemons{1};
    std::atomic<std::uint64_t> arrival_count{0}; ///< Last arrival number.
    reason_counters*           counters = nullptr;
};

} // namespace arbutusgate
