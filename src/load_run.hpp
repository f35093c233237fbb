/// Open-loop execution of a load plan.
#pragma once

#include "load_mix.hpp"
#include "load_plan.hpp"
#include "load_result.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// Sends each request at its planned time, whether or not earlier ones have
/// completed, and logs the progress every second. Each request ends within a
/// bounded time after its deadline.
/// \param threads number of sending threads.
/// \return results of all requests and repeats. A request that is skipped
///         because too many are open has the outcome lost and 0 attempts.
std::vector<load_result> run_plan(const load_mix&                     mix,
                                  const std::vector<planned_request>& plan,
                                  const std::vector<std::string>&     daemons,
                                  std::uint32_t                       threads);

/// One row of the execution records of a stand-in.
struct executed_work
{
    std::string   request_id;
    std::string   stage;
    std::string   key;
    std::string   tag;
    std::uint64_t count = 0; ///< Number of executions.
};

/// Calls that a stand-in target got beyond the limit that it named.
struct limit_excess
{
    std::string   target;
    std::uint64_t calls = 0; ///< Most in any 4 s.
};

/// What stand-in targets counted against the rules.
struct standin_counters
{
    std::vector<limit_excess> over_limit;
    /// Tags of requests with a deadly part whose calls came later than
    /// deadly_call_check allows.
    std::vector<std::string> late_deadly_tags;
};

/// Reads the counters of stand-ins from their control listeners.
/// \return Unavailable when one cannot be reached or sends no valid response.
absl::StatusOr<standin_counters>
read_counters(const std::vector<std::string>& controls);

/// Reads the execution records of stand-ins from their control listeners.
/// \return Unavailable when one cannot be reached or sends no valid response,
///         DataLoss when its records are incomplete.
absl::StatusOr<std::vector<executed_work>>
read_executions(const std::vector<std::string>& controls);

} // namespace arbutusgate
