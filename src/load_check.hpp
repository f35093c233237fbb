/// Checks over all results of a run and the stand-ins' records.
#pragma once

#include "load_mix.hpp"
#include "load_plan.hpp"
#include "load_result.hpp"
#include "load_run.hpp"

#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// What a run is checked against.
struct check_input
{
    const load_mix&                     mix;
    const std::vector<planned_request>& plan;
    const std::vector<load_result>&     results;
    /// Records of all stand-ins; empty when they were not read.
    const std::optional<std::vector<executed_work>>& executions;
    /// Addresses of the daemons, for messages.
    const std::vector<std::string>& daemons;
    /// Indices of daemons that may lose requests; empty: all may.
    std::vector<std::size_t> may_die;
};

/// One breach for each text: those found in single answers; repeated keys with
/// different answers; "not_run" answers whose work ran; keys that ran more
/// than once; complete answers without the work; work under another request's
/// id; connections lost by a daemon that may not die.
std::vector<std::string> find_violations(const check_input& input);

} // namespace arbutusgate
