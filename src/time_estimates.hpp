/// Learned times of the parts of a request.
#pragma once

#include "arbutusgate/types.hpp"

#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

/// Moving average of the time from asking a service to its result. Belongs to
/// one thread.
class time_estimates
{
public:
    void add(const std::string& service, microseconds sample);
    /// \param fallback until there is a sample.
    microseconds get(const std::string& service, microseconds fallback) const;

private:
    std::unordered_map<std::string, double> times_; ///< Microseconds.
};

} // namespace arbutusgate::gateway
