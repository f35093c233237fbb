/// State behind policy; private to policy.cpp and pipeline_run.cpp.
#pragma once

#include "arbutusgate/policy.hpp"
#include "policy_retry_budget.hpp"
#include "policy_router.hpp"
#include "reason_counters.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace arbutusgate {

/// Learned state of one pool, with its lock. Kept by name over deployments.
struct pool_state
{
    pool_state(policy_strategy strategy, std::uint64_t seed)
        : routes(strategy, seed)
    {
    }

    std::mutex   mutex;
    router       routes;
    retry_budget retries;
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
};

struct policy::impl
{
    /// Makes a view that takes over the state of equally named parts.
    std::shared_ptr<const policy_view>
    make_view(std::shared_ptr<const deployment> config);
    std::shared_ptr<const policy_view> current_view() const;
    /// Finds a target by name in the deployment in force and calls run on it
    /// with its pool locked.
    template <class Run>
    void with_target(std::string_view name, Run run);

    mutable std::mutex                 mutex; ///< Guards view.
    std::shared_ptr<const policy_view> view;
    policy_init                        init;
    reason_counters*                   counters = nullptr;
};

} // namespace arbutusgate
