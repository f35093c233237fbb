/// Input of a replay: deployment with target models, arrivals, faults and
/// expected outcomes.
#pragma once

#include "arbutusgate/deployment.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// Parameters of the target model of a pool. Times are in milliseconds.
struct replay_pool
{
    std::uint32_t slots = 8;  ///< Calls that run at the same time.
    std::uint32_t queue = 32; ///< Calls that may wait; more are refused.
    bool          priority_queue = false;
    double        token_ms       = 0;
    double        batch_slope    = 0; ///< Slowdown per additional call.
    double        prefill_ms     = 0; ///< Time if the prefix is not cached.
    double        cached_ms      = 0; ///< Time if the prefix is cached.
    std::uint32_t cache_prefixes = 0; ///< Capacity of the prefix cache.
};

/// Parameters of the work of a stage.
struct replay_stage
{
    double service_ms = 10;  ///< Mean service time.
    double spread     = 0.3; ///< Sigma of the log-normal service time.
    double tokens     = 0;   ///< Mean number, for generate stages.
};

/// Requests of one pipeline in a trace.
struct replay_pipeline
{
    double mix = 1; ///< Weight of the pipeline among the arrivals.
    std::vector<replay_stage> stages;
};

/// Poisson arrivals in a period.
struct replay_arrivals
{
    std::string name;
    double      load  = 0; ///< As a fraction of the deployment's capacity.
    double      times = 1; ///< Multiplies the load.
    double      from = 0, to = 0; ///< Seconds.
    account_id  account;          ///< Invalid: all accounts, by their shares.
};

/// Fault of a set of targets or daemons.
struct replay_fault
{
    std::string kind;
    double      from = 0, to = 0; ///< Seconds.
    double      factor = 1;       ///< Slowdown of the fault kind "slow".
    double      every  = 0;       ///< Seconds between targets of a rollout.
    std::string domain;    ///< Failure domain of the targets; empty: any.
    std::string other;     ///< Failure domain of the daemons cut off from them.
    pool_id     pool;      ///< Invalid: all pools.
    double      share = 1; ///< Share of the pool's targets that is affected.
};

/// Expected outcome, which holds when min <= value <= max.
struct replay_expect
{
    std::string kind;
    double      from = 0, to = 0; ///< Arrival times that count, in seconds.
    double      min = -1e300, max = 1e300;
    pipeline_id pipeline;    ///< Invalid: all.
    account_id  account;     ///< Invalid: all.
    account_id  account_not; ///< Account that is left out.
    pool_id     pool_not;    ///< Pipelines that use this pool are left out.
    std::string without;     ///< For loss_without: arrivals that are left out.
};

/// Parsed trace.
struct replay_trace
{
    std::string                  name;
    std::uint64_t                seed    = 1;
    double                       seconds = 60;
    std::uint32_t                daemons = 9;
    std::vector<std::string>     domains;
    double                       client_ms = 1, domain_ms = 0.5;
    std::uint32_t                prefixes = 32;
    deployment                   config;
    std::vector<replay_pool>     pools;
    std::vector<replay_pipeline> pipelines;
    std::vector<double>          account_shares;
    std::vector<replay_arrivals> arrivals;
    std::vector<replay_fault>    faults;
    std::vector<replay_expect>   expects;
};

/// Reads a trace and the deployment file that it names.
/// \return the trace, or InvalidArgument with file and line of the first error.
absl::StatusOr<replay_trace> load_trace(const std::string& path);

/// Work of one request of the pipeline in a pool, as a share of the pool's
/// work per second when its targets are full.
double pool_demand(const replay_trace& trace, pipeline_id pipeline,
                   pool_id pool);

/// Requests per second at which the busiest pool is full, with the mix.
double mix_capacity(const replay_trace& trace);

/// Highest completion rate of each pipeline that the pools allow, at most the
/// offered rate. All rates rise in proportion until a pool is full; the
/// pipelines that use it then keep their rates, and the others rise further.
std::vector<double> allowed_rates(const replay_trace&        trace,
                                  const std::vector<double>& offered);

} // namespace arbutusgate
