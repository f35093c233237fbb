/// Shares of the client accounts in the cost of one pool.
#pragma once

#include "arbutusgate/types.hpp"

#include <map>
#include <string>

namespace arbutusgate {

/// Detects client accounts that exceed their weighted share of the cost that
/// this daemon may spend in a pool. The daemons do not share a counter: each
/// grants an account its share of the daemon's own part of the pool plus a
/// burst, so with D daemons an account exceeds its share of the pool by at most
/// D bursts. Requests over the share get only the capacity that others leave
/// unused. Guarded by the lock of the pool.
class account_shares
{
public:
    /// Sets the cost per second that this daemon can spend in the pool.
    void set_rate(double cost_per_second) { cost_rate_ = cost_per_second; }

    /// True if the account has used up its share and its burst.
    bool over_share(const std::string& account, double weight, time_point now);
    /// Charges the account the cost of an admitted run.
    void charge(const std::string& account, double cost);

private:
    struct account_usage
    {
        double     weight = 0;
        double     credit = 0; ///< Cost units; negative: over the share.
        time_point last_seen;
    };

    void drop_idle(time_point now);

    double     cost_rate_    = 0;
    double     total_weight_ = 0; ///< Sum over usage_.
    time_point last_drop_;
    std::map<std::string, account_usage> usage_;
};

} // namespace arbutusgate
