/// Open-loop run of a plan over all daemons.
#pragma once

#include "load_mix.hpp"
#include "load_plan.hpp"
#include "load_result.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// Sends each request at its time, whatever became of the earlier ones, and
/// prints a progress line every second to stderr. Each request ends a bounded
/// time after its deadline.
/// \param threads that send.
/// \return results of all requests and repeats; a request that found too many
///         others open has the outcome lost and no daemon tried.
std::vector<load_result> run_plan(const load_mix&                     mix,
                                  const std::vector<planned_request>& plan,
                                  const std::vector<std::string>&     daemons,
                                  std::uint32_t                       threads);

/// One row of the stand-ins' records.
struct executed_work
{
    std::string   request_id;
    std::string   stage;
    std::string   key;
    std::string   tag;
    std::uint64_t count = 0;
};

/// Reads the records of stand-ins from their control listeners.
/// \return Unavailable when one gives no answer, DataLoss when a record is
///         incomplete.
absl::StatusOr<std::vector<executed_work>>
read_executions(const std::vector<std::string>& controls);

} // namespace arbutusgate
