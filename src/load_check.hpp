/// Checks the results of a run against the execution records of the stand-ins.
#pragma once

#include "load_mix.hpp"
#include "load_plan.hpp"
#include "load_result.hpp"
#include "load_run.hpp"

#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// A run and the records that it is checked against.
struct check_input
{
    const load_mix&                     mix;
    const std::vector<planned_request>& plan;
    const std::vector<load_result>&     results;
    /// Execution records of all stand-ins; nullopt when they were not read.
    const std::optional<std::vector<executed_work>>& executions;
    /// Addresses of the daemons, used in messages.
    const std::vector<std::string>& daemons;
    /// Indices of the daemons that may lose requests; empty: all daemons.
    std::vector<std::size_t> may_die;
    standin_counters         counters;
};

/// Returns one text per violation of the guarantees:
/// - violations found in a single response;
/// - requests lost by a daemon that may not die;
/// - targets that got more calls than the limits that they named allow;
/// - more than three requests with a deadly part that daemons which may not die
///   sent to engines too late;
/// - requests without such a part that were refused because of one;
/// - different responses to the same idempotency key;
/// - "not_run" responses to requests of which a stage ran;
/// - non-idempotent stages that ran more than once for a key;
/// - complete responses without an execution of each stage;
/// - executions recorded under the id of another request.
/// The last four are checked only when the execution records were read.
std::vector<std::string> find_violations(const check_input& input);

} // namespace arbutusgate
