/// Token bucket that limits the rate of calls.
#pragma once

#include "arbutusgate/types.hpp"

#include <algorithm>
#include <chrono>

namespace arbutusgate {

/// Allows `rate` calls per second, with bursts of up to `burst` calls. Callers
/// on several threads need their own synchronization.
class call_limiter
{
public:
    using clock = std::chrono::steady_clock;

    call_limiter(double rate, double burst)
        : rate_(rate), burst_(burst), tokens_(burst)
    {
    }

    /// Takes one token.
    /// \return false when none is available: the call exceeds the limit.
    bool take(clock::time_point now)
    {
        const std::chrono::duration<double> elapsed = now - last_;
        tokens_ = std::min(burst_, tokens_ + elapsed.count() * rate_);
        last_   = std::max(last_, now);
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double            rate_;
    double            burst_;
    double            tokens_;
    clock::time_point last_;
};

} // namespace arbutusgate
