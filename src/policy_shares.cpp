#include "policy_shares.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// In the hot-account traces the other accounts lost 1.6 points with 2 s, as
// their own bursts counted as over their shares, 0.7 with 5 s, and 1.3 with
// 10 s, as the hot account could spend more before it was limited.
constexpr double burst_seconds = 5; // seconds of the account's share
// The share of an account without requests for this long goes to the others.
constexpr microseconds idle_time           = seconds{10};
constexpr microseconds idle_check_interval = seconds{1};

double to_seconds(microseconds it)
{
    return static_cast<double>(it.count()) / 1e6;
}

} // namespace

bool account_shares::over_share(const std::string& account, double weight,
                                time_point now)
{
    drop_idle(now);
    auto [it, added] = usage_.try_emplace(account);
    auto& entry      = it->second;
    total_weight_ += weight - entry.weight;
    entry.weight = weight;
    const auto share =
        total_weight_ > 0 ? cost_rate_ * weight / total_weight_ : 0;
    const auto burst = share * burst_seconds;
    if (added)
        entry.credit = burst;
    else
        entry.credit +=
            share * std::max(0.0, to_seconds(now - entry.last_seen));
    entry.credit    = std::clamp(entry.credit, -burst, burst);
    entry.last_seen = now;
    return entry.credit < 0;
}

void account_shares::charge(const std::string& account, double cost)
{
    const auto it = usage_.find(account);
    if (it != usage_.end())
        it->second.credit -= cost;
}

void account_shares::drop_idle(time_point now)
{
    if (now - last_drop_ < idle_check_interval)
        return;
    last_drop_ = now;
    for (auto it = usage_.begin(); it != usage_.end();) {
        if (now - it->second.last_seen < idle_time) {
            ++it;
            continue;
        }
        total_weight_ -= it->second.weight;
        it = usage_.erase(it);
    }
}

} // namespace arbutusgate
