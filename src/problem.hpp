/// Problem documents (RFC 9457) of refused and failed requests.
#pragma once

#include "http_types.hpp"

#include "arbutusgate/types.hpp"

#include <string>
#include <string_view>

namespace arbutusgate {

/// Why a request got no complete answer.
struct problem
{
    refusal_reason reason = refusal_reason::internal;
    execution      result = execution::not_run;
    milliseconds   retry_after{0}; ///< Zero: a retry does not help.
    std::string    detail;         ///< For people; may be empty.
};

/// Refusal of work that did not run.
problem refusal(refusal_reason reason, milliseconds retry_after = {},
                std::string detail = {});

/// HTTP status of the problem.
http::status problem_status(const problem& it);
/// JSON text of the problem.
std::string problem_body(const problem& it, std::string_view request_id);
/// Whole response, with Retry-After in full seconds where a retry helps.
http_response problem_response(const problem& it, std::string_view request_id);

} // namespace arbutusgate
