/// Tells callers that have tried before by the time that they have left.
///
/// Pattern: callers that were refused in a burst come back. Their goals count
/// from their first try and have passed, so that they must not take the places
/// of those that can still be on time.
#pragma once

#include "arbutusgate/types.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

/// Belongs to one thread; reads no clock.
class caller_patience
{
public:
    /// \param patience that the caller states with this try.
    /// \return time since its first try, at the least.
    milliseconds used_before(const std::string& route, milliseconds patience,
                             time_point now)
    {
        auto& it = routes_[route];
        if (now - it.since >= window) {
            it.earlier =
                now - it.since < 2 * window ? it.longest : milliseconds{0};
            it.longest = milliseconds{0};
            it.since   = now;
        }
        it.longest       = std::max(it.longest, patience);
        const auto first = std::chrono::duration_cast<milliseconds>(
            std::max(it.longest, it.earlier) * least_first);
        return std::max(milliseconds{0}, first - patience);
    }

private:
    /// A caller waits at least for this part of the longest time that callers
    /// of its route wait: their own limits differ.
    static constexpr double least_first = 0.85;
    /// Configured limits of callers may change; the longest is forgotten after
    /// two windows.
    static constexpr seconds window{30};

    struct entry
    {
        time_point   since{};
        milliseconds longest{0};
        milliseconds earlier{0}; ///< Longest of the window before.
    };

    std::unordered_map<std::string, entry> routes_;
};

} // namespace arbutusgate::gateway
