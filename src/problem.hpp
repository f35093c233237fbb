/// Problem documents (RFC 9457) of refused and failed requests.
#pragma once

#include "http_types.hpp"

#include "arbutusgate/types.hpp"

#include <string>
#include <string_view>

namespace arbutusgate {

/// Reason why a request got no complete response.
struct problem
{
    refusal_reason reason = refusal_reason::internal;
    execution      result = execution::not_run;
    milliseconds   retry_after{0}; ///< Zero when a retry does not help.
    std::string    detail;         ///< Human-readable; may be empty.
};

/// Returns the problem of a request that is refused before any work has run.
problem refusal(refusal_reason reason, milliseconds retry_after = {},
                std::string detail = {});

/// Returns the HTTP status of the problem.
http::status problem_status(const problem& it);
/// Returns the problem as JSON text.
std::string problem_body(const problem& it, std::string_view request_id);
/// Returns the complete response. Retry-After is rounded up to whole seconds
/// and left out when a retry does not help.
http_response problem_response(const problem& it, std::string_view request_id);

} // namespace arbutusgate
