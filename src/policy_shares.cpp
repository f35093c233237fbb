#include "policy_shares.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// With 2 s, one in ten requests of an account within its share came during a
// burst of its own and counted as over it.
constexpr double burst_time = 10; // seconds of the account's share
// An account without requests for this long leaves its share to the others.
constexpr microseconds idle_time     = seconds{10};
constexpr microseconds drop_interval = seconds{1};

double to_seconds(microseconds it)
{
    return static_cast<double>(it.count()) / 1e6;
}

} // namespace

bool account_shares::over(const std::string& account, double weight,
                          time_point now)
{
    drop_idle(now);
    auto [it, added] = use_.try_emplace(account);
    auto& entry      = it->second;
    weights_ += weight - entry.weight;
    entry.weight     = weight;
    const auto share = weights_ > 0 ? rate_ * weight / weights_ : 0;
    const auto burst = share * burst_time;
    if (added)
        entry.credit = burst;
    else
        entry.credit += share * to_seconds(now - entry.seen);
    entry.credit = std::clamp(entry.credit, -burst, burst);
    entry.seen   = now;
    return entry.credit < 0;
}

void account_shares::charge(const std::string& account, double cost)
{
    const auto it = use_.find(account);
    if (it != use_.end())
        it->second.credit -= cost;
}

void account_shares::drop_idle(time_point now)
{
    if (now - dropped_ < drop_interval)
        return;
    dropped_ = now;
    for (auto it = use_.begin(); it != use_.end();) {
        if (now - it->second.seen < idle_time) {
            ++it;
            continue;
        }
        weights_ -= it->second.weight;
        it = use_.erase(it);
    }
}

} // namespace arbutusgate
