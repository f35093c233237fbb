/// Checks the calls of all daemons against the limit that a stand-in names.
#pragma once

#include "arbutusgate/types.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>

namespace arbutusgate {

/// Counts calls in sliding windows. Callers on several threads need their own
/// synchronization.
class call_limit_check
{
public:
    using time = std::chrono::steady_clock::time_point;

    static constexpr seconds window{4};
    /// The fleet has this long to learn of a limit.
    static constexpr seconds      learning_time{3};
    static constexpr double       tolerance   = 1.5; ///< Times the limit.
    static constexpr std::uint8_t extra_calls = 5;   ///< In a window.

    /// \param limit calls a second; 0: none.
    void set_limit(double limit, time now)
    {
        limit_ = limit;
        from_  = now + learning_time;
        calls_.clear();
    }

    void add_call(time now)
    {
        if (limit_ <= 0 || now < from_)
            return;
        calls_.push_back(now);
        while (now - calls_.front() >= window)
            calls_.pop_front();
        const auto allowed = allowed_calls(limit_);
        if (calls_.size() > allowed)
            most_excess_ = std::max(most_excess_, calls_.size() - allowed);
    }

    /// \return most calls beyond the allowed ones in a window, since start.
    std::uint64_t most_excess() const { return most_excess_; }

    /// \return calls that a limit allows in a window.
    static std::uint64_t allowed_calls(double limit)
    {
        return static_cast<std::uint64_t>(
            tolerance * limit * static_cast<double>(window.count()) +
            extra_calls);
    }

private:
    double           limit_ = 0;
    time             from_{};
    std::deque<time> calls_;
    std::uint64_t    most_excess_ = 0;
};

} // namespace arbutusgate
