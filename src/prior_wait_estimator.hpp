/// Estimates how long callers have already waited in earlier attempts, from
/// the timeout that they state.
///
/// Failure: callers that were refused in a burst come back with a shorter
/// timeout. Their latency goal counts from their first attempt and has passed,
/// so they must not displace requests that can still be on time.
#pragma once

#include "arbutusgate/types.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

/// Belongs to one thread.
class prior_wait_estimator
{
public:
    /// \param timeout that the caller states with this attempt.
    /// \return lower bound of the time since the caller's first attempt.
    milliseconds prior_wait(const std::string& route, milliseconds timeout)
    {
        auto& seen                            = routes_[route];
        seen.latest[seen.count % sample_size] = timeout;
        ++seen.count;
        const auto first_timeout = std::chrono::duration_cast<milliseconds>(
            median(seen) * first_attempt_ratio);
        return std::max(milliseconds{0}, first_timeout - timeout);
    }

private:
    /// Latest attempts of a route that are evaluated. As long as most of them
    /// are first attempts, the median is the timeout of a first attempt; a few
    /// callers with other timeouts do not move it.
    static constexpr std::size_t sample_size = 32;
    /// A first attempt states at least this fraction of the median timeout:
    /// the timeouts of first attempts differ by 15 %, half of it below the
    /// median.
    static constexpr double first_attempt_ratio = 0.92;

    struct samples
    {
        std::array<milliseconds, sample_size> latest{};  ///< Ring buffer.
        std::size_t                           count = 0; ///< Since start.
    };

    static milliseconds median(const samples& seen)
    {
        auto       sorted = seen.latest;
        const auto end =
            sorted.begin() +
            static_cast<std::ptrdiff_t>(std::min(seen.count, sample_size));
        const auto middle = sorted.begin() + (end - sorted.begin()) / 2;
        std::nth_element(sorted.begin(), middle, end);
        return *middle;
    }

    std::unordered_map<std::string, samples> routes_;
};

} // namespace arbutusgate::gateway
