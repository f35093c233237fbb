/// Replays a trace through pipeline_run and policy in virtual time.
#pragma once

#include "arbutusgate/policy.hpp"
#include "replay_trace.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// Options of a replay, besides the trace.
struct replay_options
{
    policy_strategy strategy = policy_strategy::adaptive;
    std::string     without; ///< Name of the arrivals to leave out.
};

/// Outcome of one request.
struct replay_record
{
    double         arrival = 0; ///< Seconds from the start of the trace.
    pipeline_id    pipeline;
    account_id     account;
    bool           complete = false; ///< Completed within its deadline.
    execution      result   = execution::unknown;
    refusal_reason reason   = refusal_reason::none;
    double         cost     = 0;
    double         wasted   = 0;
    std::vector<std::uint32_t> attempts; ///< Index: stage.
};

/// Cost of one stage over all requests.
struct replay_stage_cost
{
    std::string   stage; ///< "PIPELINE/STAGE".
    std::uint64_t attempts = 0;
    double        cost     = 0;
    double        wasted   = 0; ///< Includes requests that did not complete.
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
    /// Number of non-idempotent stages that ran twice, or that ran although
    /// the response was "not run".
    std::uint64_t violations = 0;
};

/// Runs the replay. The same seed always gives the same result.
replay_result run_replay(const replay_trace&   trace,
                         const replay_options& options);

} // namespace arbutusgate
