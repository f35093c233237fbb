/// State behind policy; private to policy.cpp and pipeline_run.cpp.
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

/// What was learned of one stage. Kept by name over deployments.
struct learned_stage
{
    learned_stage(microseconds expected, double cost)
        : time(expected), token_time(microseconds{0}), cost(cost)
    {
    }

    stage_quantiles     time;
    stage_quantiles     token_time; ///< Of generate; for each token.
    std::atomic<double> cost;       ///< Mean of a call.
};

/// Learned state of one pool, with its lock. Kept by name over deployments.
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
    double         mean_cost = 0; ///< Of an attempt.
    /// Targets of all deployments that runs may still use, by name.
    std::map<std::string, std::weak_ptr<route_target>> targets;
};

/// A pool as one deployment has it.
struct pool_view
{
    std::shared_ptr<pool_state> state;
    route_targets               targets; ///< As pool_config::targets.
};

/// A deployment with the state that its parts share with other deployments.
struct policy_view
{
    std::shared_ptr<const deployment> config;
    std::vector<pool_view>            pools; ///< As deployment::pools.
    /// Learned state of the stages of each pipeline.
    std::vector<std::vector<std::shared_ptr<learned_stage>>> stages;
    /// Pool and position in it of each target.
    std::unordered_map<std::string_view, std::pair<std::size_t, std::size_t>>
        targets;
    /// Last probe of each pipeline, in microseconds of time_point.
    mutable std::vector<std::atomic<std::int64_t>> probes;
};

struct policy::impl
{
    /// Makes a view that takes over the state of equally named parts.
    std::shared_ptr<const policy_view>
    make_view(std::shared_ptr<const deployment> config);
    std::shared_ptr<const policy_view> current_view() const;
    /// Sets the pool's share after a change of its targets or of the number
    /// of daemons. The pool is locked.
    void update_share(const pool_view& pool, std::uint32_t slots_per_target,
                      time_point now) const;
    /// Tells the drivers of the runs. No lock is held.
    void notify(const ready_runs& ready) const;
    /// Finds a target by name in the deployment in force and calls run on it
    /// with its pool locked.
    template <class Run>
    void with_target(std::string_view name, Run run);

    mutable std::mutex                 mutex; ///< Guards view and stages.
    std::shared_ptr<const policy_view> view;
    /// By "PIPELINE/STAGE".
    std::map<std::string, std::shared_ptr<learned_stage>> stages;
    policy_init                                           init;
    std::atomic<std::uint32_t>                            daemons{1};
    std::atomic<std::uint64_t> arrivals{0}; ///< Numbers the waiters.
    reason_counters*           counters = nullptr;
};

} // namespace arbutusgate
