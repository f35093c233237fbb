/// Budget of retries of one pool.
#pragma once

#include "arbutusgate/config.hpp"

#include <algorithm>

namespace arbutusgate {

/// Each success of the pool earns a fraction of a retry, so that retries stay
/// a bounded share of its load when many attempts fail. Guarded by the lock of
/// its pool.
class retry_budget
{
public:
    void on_success()
    {
        tokens_ = std::min(tokens_ + limits::pool_retry_ratio,
                           limits::pool_retry_burst);
    }

    /// \return false when the budget is spent.
    bool take()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_ = limits::pool_retry_burst;
};

} // namespace arbutusgate
