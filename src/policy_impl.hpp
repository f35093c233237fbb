/// State behind policy; private to policy.cpp and pipeline_run.cpp.
#pragma once

#include "arbutusgate/policy.hpp"
#include "reason_counters.hpp"

#include <mutex>
#include <random>
#include <vector>

namespace arbutusgate {

struct policy::impl
{
    /// Own view of one target.
    struct target_state
    {
        std::uint32_t in_flight = 0;
        bool          leaving   = false;
    };

    /// Chooses a target of the pool and counts the attempt as in flight.
    /// \return an invalid id when none may get work.
    target_id acquire(pool_id pool, target_id avoid);
    void      release(target_id target);

    std::mutex                        mutex;
    std::shared_ptr<const deployment> config;
    std::vector<target_state>         targets;
    std::mt19937_64                   random;
    reason_counters*                  counters = nullptr;
    policy_strategy                   strategy = policy_strategy::adaptive;
    std::uint64_t                     turn     = 0; ///< Of round_robin.
};

} // namespace arbutusgate
