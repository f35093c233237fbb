/// Learned response times of services.
#pragma once

#include "arbutusgate/types.hpp"

#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

/// Exponential moving average, per service, of the time from a request to the
/// service until its result. Belongs to one thread.
class time_estimates
{
public:
    void add(const std::string& service, microseconds sample);
    /// \param fallback returned while the service has no sample.
    microseconds get(const std::string& service, microseconds fallback) const;

private:
    std::unordered_map<std::string, double> times_; ///< Microseconds.
};

} // namespace arbutusgate::gateway
