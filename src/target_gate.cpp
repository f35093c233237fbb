#include "target_gate.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

const target_gate::entry* target_gate::find(const target& it) const
{
    const auto found = entries_.find(it.id);
    if (found == entries_.end())
        return nullptr;
    const auto& known = found->second;
    // Without a published start, the same id is taken for the same lifetime.
    const bool later =
        known.started_at != 0 && it.started_at > known.started_at;
    return later ? nullptr : &known;
}

gate_change target_gate::hear(const target& at, const target_notice& it,
                              time_point now)
{
    if (it.unreadable_time)
        ++stats_.unreadable;
    const bool closes = it.closed_for && *it.closed_for > milliseconds{0};
    if (!it.leaving && !closes)
        return gate_change::none;
    if (!find(at))
        entries_.erase(at.id);
    auto& known = entries_[at.id];
    if (at.started_at < known.started_at)
        return gate_change::none; // Of an earlier lifetime.
    known.started_at = at.started_at;
    known.heard      = now;
    auto out         = gate_change::none;
    if (closes) {
        const auto before = known.closed_until;
        close(known, *it.closed_for, now);
        if (known.closed_until > before) {
            ++stats_.closed;
            out = gate_change::closed;
        }
    }
    if (it.leaving && !known.leaving) {
        known.leaving = true;
        ++stats_.leaving;
        out = gate_change::leaving;
    }
    return out;
}

void target_gate::close(entry& it, milliseconds time, time_point now)
{
    it.closed_until = std::max(it.closed_until,
                               closure_end(now, time, random_, times_.closure));
    it.ramp_until   = std::max(it.ramp_until, it.closed_until + times_.ramp);
}

void target_gate::sent(const std::string& id, time_point now)
{
    const auto it = entries_.find(id);
    if (it != entries_.end() && now < it->second.ramp_until)
        it->second.next_at = now + times_.ramp_spacing;
}

bool target_gate::leaves(const target& it) const
{
    const auto* known = find(it);
    return known && known->leaving;
}

std::optional<time_point> target_gate::opens_at(const target& it,
                                                time_point    now) const
{
    const auto* known = find(it);
    if (!known)
        return now;
    if (known->leaving)
        return std::nullopt;
    return std::max({now, known->closed_until, known->next_at});
}

bool target_gate::refuses(const target& it, time_point now) const
{
    const auto* known = find(it);
    return known && (known->leaving || now < known->closed_until);
}

bool target_gate::admits(const target& it, time_point now) const
{
    if (entries_.empty())
        return true;
    const auto at = opens_at(it, now);
    return at && *at <= now;
}

std::vector<std::string> target_gate::expire(time_point now)
{
    std::vector<std::string> out;
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto&      known = it->second;
        const bool ended =
            known.ramp_until != time_point{} && now >= known.ramp_until;
        if (ended) {
            known.ramp_until = {};
            out.push_back(it->first);
        }
        const bool over = known.leaving ? now - known.heard >= times_.forget
                                        : known.ramp_until == time_point{};
        it              = over ? entries_.erase(it) : std::next(it);
    }
    stats_.reopened += out.size();
    return out;
}

} // namespace arbutusgate::gateway
