/// What the load tool saw of one request.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// How a request ended for its caller.
enum class load_outcome
{
    whole,   ///< The complete answer, within the deadline.
    late,    ///< The complete answer, after the deadline.
    not_run, ///< Refused; nothing ran.
    unknown, ///< It may have run.
    failed,  ///< It ran and failed, or was refused for another reason.
    lost,    ///< The connection broke or gave no answer in time.
    refused, ///< No daemon accepted a connection.
    wrong,   ///< A complete answer that is not the request's own.
    count,
};

std::string_view to_string(load_outcome outcome);

/// A stage as reported in an answer's summary.
struct answer_stage
{
    std::string   name;
    double        cost     = 0;
    std::uint32_t attempts = 1;
};

/// One request as seen by its caller.
struct load_result
{
    std::uint32_t             number   = 0;     ///< Of the planned request.
    bool                      repeated = false; ///< A later use of its key.
    load_outcome              outcome  = load_outcome::lost;
    unsigned                  status   = 0; ///< HTTP status; 0: none.
    std::string               reason;       ///< Of the problem document.
    std::string               request_id;
    std::size_t               daemon = 0; ///< Index of the last daemon tried.
    std::uint32_t             tries  = 0; ///< Daemons tried.
    microseconds              latency{0};
    microseconds              first_token{0}; ///< Zero: no stream.
    std::vector<microseconds> gaps;           ///< Between tokens of a stream.
    std::vector<answer_stage> stages;         ///< Of a complete answer.
    std::string               output;         ///< Kept for keyed requests only.
    std::vector<std::string>  not_run_ids;    ///< Request ids of all refusals.
    std::vector<std::size_t>  lost_by;        ///< Daemons that gave no answer.
    std::vector<std::string>  violations;

    bool complete() const
    {
        return outcome == load_outcome::whole || outcome == load_outcome::late;
    }
};

} // namespace arbutusgate
