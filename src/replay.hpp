/// Replays a trace through pipeline_run and policy in virtual time.
#pragma once

#include "arbutusgate/policy.hpp"
#include "replay_trace.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// What a replay varies besides the trace.
struct replay_options
{
    policy_strategy strategy = policy_strategy::adaptive;
    std::string     without; ///< Name of arrivals that are left out.
};

/// Outcome of one request.
struct replay_record
{
    double                     arrival = 0; ///< Seconds.
    pipeline_id                pipeline;
    account_id                 account;
    bool                       complete = false; ///< Within its deadline.
    execution                  result   = execution::unknown;
    refusal_reason             reason   = refusal_reason::none;
    double                     cost     = 0;
    double                     wasted   = 0;
    std::vector<std::uint32_t> attempts; ///< By stage.
};

/// Cost of one stage over all requests.
struct replay_stage_cost
{
    std::string   stage; ///< "PIPELINE/STAGE".
    std::uint64_t attempts = 0;
    double        cost     = 0;
    double        wasted   = 0; ///< Of requests that did not complete too.
};

/// Outcome of one replay.
struct replay_result
{
    std::vector<replay_record>     records;
    std::vector<replay_stage_cost> stages;
    std::array<std::uint64_t, static_cast<std::size_t>(refusal_reason::count)>
        refusals{};
    std::array<std::uint64_t, static_cast<std::size_t>(retry_reason::count)>
        retries{};
    /// Non-idempotent stages that ran twice, or ran though the request was
    /// answered with "not run".
    std::uint64_t violations = 0;
};

/// One seed gives one result.
replay_result run_replay(const replay_trace&   trace,
                         const replay_options& options);

} // namespace arbutusgate
