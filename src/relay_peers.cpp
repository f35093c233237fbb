#include "relay_peers.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// A report that is older is not used; daemons are asked each second.
constexpr milliseconds report_lifetime{2500};

} // namespace

void relay_peers::reported(const std::string& address, reach_report it,
                           time_point now)
{
    if (it.reaches_targets)
        peers_[address] = {std::move(it), now, 0};
    else
        peers_.erase(address);
}

bool relay_peers::any(time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& it) {
        return now - it.second.reported_at <= report_lifetime;
    });
}

double relay_peers::load(const entry& it) const
{
    return (it.report.open_requests + it.sent) /
           static_cast<double>(std::max(1U, it.report.capacity));
}

bool relay_peers::before(const entry& a, const entry& b) const
{
    const auto load_a = load(a);
    const auto load_b = load(b);
    return load_a != load_b ? load_a < load_b
                            : a.report.failure_domain == failure_domain_ &&
                                  b.report.failure_domain != failure_domain_;
}

std::optional<std::string>
relay_peers::choose(const std::vector<std::string>& tried, time_point now)
{
    std::vector<std::pair<const std::string, entry>*> usable;
    for (auto& it : peers_) {
        if (now - it.second.reported_at <= report_lifetime &&
            std::find(tried.begin(), tried.end(), it.first) == tried.end())
            usable.push_back(&it);
    }
    if (usable.empty())
        return std::nullopt;
    // Of two random ones: daemons that are cut off together, with the same
    // reports, must not all choose the same daemon.
    std::shuffle(usable.begin(), usable.end(), random_);
    auto* out = usable.front();
    if (usable.size() > 1 && before(usable[1]->second, out->second))
        out = usable[1];
    ++out->second.sent;
    return out->first;
}

} // namespace arbutusgate::gateway
