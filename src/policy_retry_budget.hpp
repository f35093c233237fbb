/// Retry budget of one pool.
#pragma once

#include "arbutusgate/config.hpp"

#include <algorithm>

namespace arbutusgate {

/// Token bucket: each success adds a fraction of a retry, so that retries stay
/// a bounded share of the pool's load when many attempts fail. Guarded by the
/// lock of the pool.
class retry_budget
{
public:
    void on_success()
    {
        tokens_ = std::min(tokens_ + limits::pool_retry_ratio,
                           limits::pool_retry_burst);
    }

    /// Takes one retry from the budget.
    /// \return false if the budget is spent.
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
