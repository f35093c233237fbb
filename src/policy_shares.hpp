/// Shares of client accounts in the cost of one pool.
#pragma once

#include "arbutusgate/types.hpp"

#include <map>
#include <string>

namespace arbutusgate {

/// Finds accounts that use more than their share, by weight, of what this
/// daemon may spend in a pool. There is no counter over all daemons: each
/// grants an account at most its share of the daemon's own part of the pool
/// plus the burst, so with D daemons an account gets at most D bursts more than
/// its share of the pool. Requests over the share get only what others leave.
/// Guarded by the lock of the pool.
class account_shares
{
public:
    /// Cost per second that this daemon can spend in the pool.
    void set_rate(double cost_per_second) { rate_ = cost_per_second; }

    /// True when the account has used its share and its burst.
    bool over(const std::string& account, double weight, time_point now);
    /// Charges admitted work.
    void charge(const std::string& account, double cost);

private:
    struct use
    {
        double     weight = 0;
        double     credit = 0; ///< Cost units; negative when over the share.
        time_point seen;
    };

    void drop_idle(time_point now);

    double                     rate_    = 0;
    double                     weights_ = 0; ///< Of the accounts in use_.
    time_point                 dropped_;
    std::map<std::string, use> use_;
};

} // namespace arbutusgate
