/// Latency and faults of one simulated replica.
#pragma once

#include "arbutusgate/types.hpp"

#include "absl/status/status.h"

#include <boost/json/object.hpp>

#include <random>

namespace arbutusgate {

/// Changeable at run time. Rates are shares of the calls, from 0 to 1.
struct standin_behaviour
{
    /// Median of the service time; for engines of the time between tokens of
    /// a sequence that runs alone.
    double latency_ms   = 20;
    double spread       = 0.3; ///< Sigma of the log-normal time.
    double fail_rate    = 0;   ///< Runs and answers 500.
    double not_run_rate = 0;   ///< Answers 503 without running.
    double hang_rate    = 0;   ///< Runs; no byte of an answer comes.
    /// Refusals ask for no call for so long; 0: they name no time.
    double retry_after_s = 0;
    /// The connection goes silent at a random point of the answer.
    double silent_rate = 0;
    bool   leaving     = false; ///< Load reports say that it is leaving.
    bool   down        = false; ///< Connections close without an answer.
};

/// Sets the members named in the object; unknown names and wrong types are
/// refused and change nothing.
/// \return InvalidArgument with the name.
absl::Status update_behaviour(const boost::json::object& values,
                              standin_behaviour&         behaviour);

boost::json::object to_json(const standin_behaviour& behaviour);

/// What happens to one call.
enum class call_fate
{
    normal,
    failed,
    not_run,
    hang,
    silent,
};

/// Draws the fate of a call by the behaviour's rates.
call_fate draw_fate(const standin_behaviour& behaviour,
                    std::mt19937_64&         random);

/// Draws a log-normal time with the median and the behaviour's spread.
microseconds draw_time(double median_ms, const standin_behaviour& behaviour,
                       std::mt19937_64& random);

} // namespace arbutusgate
