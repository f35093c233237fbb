/// Reason and state in which a request ends without a response of a target.
#pragma once

#include "problem.hpp"

#include "arbutusgate/types.hpp"

namespace arbutusgate::gateway {

struct run_failure
{
    refusal_reason reason = refusal_reason::internal;
    execution      result = execution::not_run;
    /// Earliest useful time for a retry; zero: a retry does not help.
    milliseconds retry_after{0};
};

} // namespace arbutusgate::gateway
