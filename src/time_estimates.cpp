#include "time_estimates.hpp"

namespace arbutusgate::gateway {

namespace {

/// Weight of a new sample; the average follows a burst within about ten
/// requests.
constexpr double sample_weight = 0.1;

} // namespace

void time_estimates::add(const std::string& service, microseconds sample)
{
    const auto us = static_cast<double>(sample.count());
    const auto it = times_.find(service);
    if (it == times_.end())
        times_.emplace(service, us);
    else
        it->second += sample_weight * (us - it->second);
}

microseconds time_estimates::get(const std::string& service,
                                 microseconds       fallback) const
{
    const auto it = times_.find(service);
    return it == times_.end()
               ? fallback
               : microseconds{static_cast<std::int64_t>(it->second)};
}

} // namespace arbutusgate::gateway
