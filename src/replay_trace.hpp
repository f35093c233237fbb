/// Trace of a replay: deployment with target models, arrivals, faults and
/// stated outcomes.
#pragma once

#include "arbutusgate/deployment.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// Model of the targets of a pool. Times are in milliseconds.
struct replay_pool
{
    std::uint32_t slots          = 8;  ///< Calls run at once.
    std::uint32_t queue          = 32; ///< Calls waiting; more are refused.
    bool          priority_queue = false;
    double        token_ms       = 0;
    double        batch_slope    = 0; ///< Slow-down for each further call.
    double        prefill_ms     = 0; ///< Prompt not in the prefix cache.
    double        cached_ms      = 0; ///< Prompt in the prefix cache.
    std::uint32_t cache_prefixes = 0; ///< Prefixes that fit the cache.
};

/// Model of a stage's work.
struct replay_stage
{
    double service_ms = 10;  ///< Mean.
    double spread     = 0.3; ///< Sigma of the log-normal service time.
    double tokens     = 0;   ///< Mean for generate stages.
};

/// Requests of one pipeline in a trace.
struct replay_pipeline
{
    double                    mix = 1; ///< Weight among the arrivals.
    std::vector<replay_stage> stages;
};

/// Poisson arrivals.
struct replay_arrivals
{
    std::string name;
    double      load  = 0;        ///< Fraction of the deployment's capacity.
    double      times = 1;        ///< Factor on the load.
    double      from = 0, to = 0; ///< Seconds.
    account_id  account;          ///< Invalid: all by their share.
};

/// Fault of a set of targets or daemons.
struct replay_fault
{
    std::string kind;
    double      from = 0, to = 0; ///< Seconds.
    double      factor = 1;       ///< Of slow.
    double      every  = 0;       ///< Seconds between targets of a rollout.
    std::string domain;           ///< Of the targets; empty: any.
    std::string other;            ///< Of the daemons parted from them.
    pool_id     pool;             ///< Invalid: all pools.
    double      share = 1;        ///< Of the pool's targets.
};

/// Stated outcome. It holds when min <= value <= max.
struct replay_expect
{
    std::string kind;
    double      from = 0, to = 0; ///< Arrival times that count; seconds.
    double      min = -1e300, max = 1e300;
    pipeline_id pipeline;    ///< Invalid: all.
    account_id  account;     ///< Invalid: all.
    account_id  account_not; ///< Left out.
    pool_id     pool_not;    ///< Pipelines that use this pool are left out.
    std::string without;     ///< Of loss_without: arrivals left out.
};

/// A whole trace.
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
/// \return InvalidArgument with file and line of the first error.
absl::StatusOr<replay_trace> load_trace(const std::string& path);

/// Work of one request of the pipeline in a pool, as a share of the pool's
/// work per second when its targets are full.
double pool_demand(const replay_trace& trace, pipeline_id pipeline,
                   pool_id pool);

/// Requests per second at which the busiest pool is full, with the mix.
double mix_capacity(const replay_trace& trace);

/// Completions per second that the pools allow for offered rates by
/// pipeline: all rates are scaled alike until a pool is full; the pipelines
/// that use it keep that scale and the others go on.
std::vector<double> allowed_rates(const replay_trace&        trace,
                                  const std::vector<double>& offered);

} // namespace arbutusgate
