/// Latency and faults of one simulated replica.
#pragma once

#include "arbutusgate/types.hpp"

#include "absl/status/status.h"

#include <boost/json/object.hpp>

#include <random>

namespace arbutusgate {

/// Parameters that can be changed at run time. A rate is the fraction of calls
/// affected, from 0 to 1.
struct standin_behaviour
{
    /// Median service time; for an engine, the median time between the tokens
    /// of a sequence that runs alone.
    double latency_ms   = 20;
    double spread       = 0.3; ///< Sigma of the log-normal times.
    double fail_rate    = 0;   ///< Runs the call and responds with 500.
    double not_run_rate = 0;   ///< Responds with 503 and does not run the call.
    double hang_rate    = 0;   ///< Runs the call and sends no response.
    /// Retry-After value of refusals; 0: refusals carry no Retry-After header.
    double retry_after_s = 0;
    /// Calls a second that load reports name as the limit of all daemons
    /// together; 0: they name none.
    double call_limit = 0;
    /// The response stalls at a random point and the connection stays open.
    double silent_rate = 0;
    bool   leaving     = false; ///< Load reports give the state "leaving".
    bool   down        = false; ///< Connections are closed without a response.
};

/// Sets the members that the object names. An unknown name or an invalid value
/// is rejected, and then nothing changes.
/// \return InvalidArgument with the rejected name.
absl::Status update_behaviour(const boost::json::object& values,
                              standin_behaviour&         behaviour);

boost::json::object to_json(const standin_behaviour& behaviour);

/// How a call ends.
enum class call_outcome
{
    normal,
    failed,
    not_run,
    hang,
    silent,
};

/// Draws a call's outcome with the probabilities that the behaviour sets.
call_outcome draw_outcome(const standin_behaviour& behaviour,
                          std::mt19937_64&         random);

/// Draws a log-normal time with the given median and the behaviour's spread.
microseconds draw_time(double median_ms, const standin_behaviour& behaviour,
                       std::mt19937_64& random);

} // namespace arbutusgate
