#include "target_reach.hpp"

#include <algorithm>
#include <utility>

namespace arbutusgate::gateway {

std::string_view to_string(reach_state it)
{
    switch (it) {
    case reach_state::reachable:
        return "reachable";
    case reach_state::cut_off:
        return "cut_off";
    case reach_state::returning:
        break;
    }
    return "returning";
}

void target_reach::connected(time_point now)
{
    connected_at_ = now;
    failures_.clear();
}

void target_reach::failed(const std::string& target, time_point now)
{
    failures_[target] = now;
    std::erase_if(failures_, [&](const auto& it) {
        return now - it.second > params_.failure_window;
    });
}

bool target_reach::suspected(time_point now) const
{
    const auto recent =
        std::count_if(failures_.begin(), failures_.end(), [&](const auto& it) {
            return now - it.second <= params_.failure_window;
        });
    return static_cast<std::size_t>(recent) >= params_.suspicious_targets;
}

std::optional<time_point> target_reach::sample_due(time_point now) const
{
    if (state_ == reach_state::cut_off)
        return confirming_ ? now : sampled_at_ + params_.return_interval;
    if (!suspected(now))
        return std::nullopt;
    return std::max(now, sampled_at_ + interval_);
}

std::size_t target_reach::sample_size() const
{
    return state_ == reach_state::cut_off && !confirming_
               ? params_.return_sample_size
               : params_.sample_size;
}

bool target_reach::sampled(const reach_sample& it, time_point now)
{
    const bool quiet = now - sampled_at_ > 2 * params_.max_sample_interval;
    sampled_at_      = now;
    failures_.clear();
    if (state_ == reach_state::cut_off) {
        const bool whole = std::exchange(confirming_, false);
        if (!whole) {
            confirming_ = it.accepted > 0;
            return false;
        }
        if (2 * it.accepted < it.probed)
            return false;
        set_state(reach_state::returning, now);
        return true;
    }
    if (it.accepted == 0 && it.probed > 0 && it.others_reach) {
        set_state(reach_state::cut_off, now);
        return true;
    }
    interval_ = quiet ? params_.min_sample_interval
                      : std::clamp(2 * interval_, params_.min_sample_interval,
                                   params_.max_sample_interval);
    return false;
}

bool target_reach::update(time_point now)
{
    if (state_ != reach_state::returning ||
        now - changed_at_ < params_.return_time)
        return false;
    set_state(reach_state::reachable, now);
    return true;
}

void target_reach::set_state(reach_state it, time_point now)
{
    state_      = it;
    changed_at_ = now;
    interval_   = milliseconds{0};
    confirming_ = false;
}

double target_reach::direct_share(time_point now) const
{
    if (state_ == reach_state::reachable)
        return 1;
    if (state_ == reach_state::cut_off)
        return 0;
    const auto part = std::chrono::duration<double>(now - changed_at_) /
                      std::chrono::duration<double>(params_.return_time);
    return std::min(1.0,
                    params_.first_share + (1 - params_.first_share) * part);
}

bool target_reach::may_own(time_point now) const
{
    return state_ == reach_state::reachable ||
           (state_ == reach_state::returning &&
            now - changed_at_ >= params_.owner_delay);
}

std::vector<target> choose_sample(std::vector<const target*> all,
                                  std::size_t count, std::mt19937_64& random)
{
    std::shuffle(all.begin(), all.end(), random);
    std::map<std::string_view, std::size_t> domains;
    std::map<std::string_view, std::size_t> services;
    std::vector<target>                     out;
    while (out.size() < count && !all.empty()) {
        const auto next = std::min_element(
            all.begin(), all.end(), [&](const auto* a, const auto* b) {
                return std::pair(domains[a->failure_domain],
                                 services[a->service]) <
                       std::pair(domains[b->failure_domain],
                                 services[b->service]);
            });
        ++domains[(*next)->failure_domain];
        ++services[(*next)->service];
        out.push_back(**next);
        all.erase(next);
    }
    return out;
}

} // namespace arbutusgate::gateway
