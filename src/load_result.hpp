/// Result of one request, as observed by the load tool.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// How a request ended, as seen by its caller.
enum class load_outcome
{
    whole,   ///< Complete response within the deadline.
    late,    ///< Complete response after the deadline.
    not_run, ///< Refused before any stage ran.
    unknown, ///< Failed; it may have run.
    failed,  ///< It ran and failed, or was refused for another reason.
    lost,    ///< Connection lost or no response in time.
    refused, ///< No daemon accepted a connection.
    wrong,   ///< Incomplete output, or that of another request.
    count,
};

std::string_view to_string(load_outcome outcome);

/// A stage as reported in the summary of a response.
struct response_stage
{
    std::string   name;
    double        cost     = 0;
    std::uint32_t attempts = 1;
};

/// Outcome and measurements of one request.
struct load_result
{
    std::uint32_t number   = 0;     ///< Index in the plan.
    bool          repeated = false; ///< Second use of its key.
    load_outcome  outcome  = load_outcome::lost;
    unsigned      status   = 0; ///< HTTP status; 0: no response.
    std::string   reason;       ///< From the problem document.
    std::string   request_id;
    std::size_t   daemon   = 0; ///< Index of the last daemon.
    std::uint32_t attempts = 0; ///< Daemons contacted.
    microseconds  latency{0};
    microseconds  first_token{0};       ///< Zero when nothing was streamed.
    std::vector<microseconds>   gaps;   ///< Between tokens of a stream.
    std::vector<response_stage> stages; ///< From the summary.
    std::string                 output; ///< Kept only with a key.
    std::vector<std::string>    not_run_ids; ///< Ids of not_run responses.
    std::vector<std::size_t>    lost_by;     ///< Daemons that lost the request.
    std::vector<std::string>    violations;

    bool complete() const
    {
        return outcome == load_outcome::whole || outcome == load_outcome::late;
    }
};

} // namespace arbutusgate
