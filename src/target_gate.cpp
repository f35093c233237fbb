#include "target_gate.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

const target_gate::entry* target_gate::find(const target& of) const
{
    const auto found = entries_.find(of.id);
    if (found == entries_.end())
        return nullptr;
    const auto& known = found->second;
    // If no start time is published, the same id means the same lifetime.
    const bool restarted =
        known.started_at != 0 && of.started_at > known.started_at;
    return restarted ? nullptr : &known;
}

gate_change target_gate::apply(const target& from, const target_notice& notice,
                               time_point now)
{
    if (notice.unreadable_time)
        ++stats_.unreadable;
    const bool closes =
        notice.closed_for && *notice.closed_for > milliseconds{0};
    if (!notice.leaving && !closes)
        return gate_change::none;
    if (!find(from))
        entries_.erase(from.id);
    auto& known = entries_[from.id];
    if (from.started_at < known.started_at)
        return gate_change::none; // From an earlier lifetime.
    known.started_at     = from.started_at;
    known.last_notice_at = now;
    auto out             = gate_change::none;
    if (closes) {
        const auto before = known.closed_until;
        close(known, *notice.closed_for, now);
        if (known.closed_until > before) {
            ++stats_.closed;
            out = gate_change::closed;
        }
    }
    if (notice.leaving && !known.leaving) {
        known.leaving = true;
        ++stats_.leaving;
        out = gate_change::leaving;
    }
    return out;
}

void target_gate::close(entry& known, milliseconds length, time_point now)
{
    known.closed_until = std::max(
        known.closed_until, closure_end(now, length, random_, times_.closure));
    known.ramp_until =
        std::max(known.ramp_until, known.closed_until + times_.ramp);
}

void target_gate::sent(const std::string& id, time_point now)
{
    const auto it = entries_.find(id);
    if (it != entries_.end() && now < it->second.ramp_until)
        it->second.next_call_at = now + times_.ramp_spacing;
}

bool target_gate::leaves(const target& to) const
{
    const auto* known = find(to);
    return known && known->leaving;
}

std::optional<time_point> target_gate::opens_at(const target& to,
                                                time_point    now) const
{
    const auto* known = find(to);
    if (!known)
        return now;
    if (known->leaving)
        return std::nullopt;
    return std::max({now, known->closed_until, known->next_call_at});
}

bool target_gate::refuses(const target& to, time_point now) const
{
    const auto* known = find(to);
    return known && (known->leaving || now < known->closed_until);
}

bool target_gate::admits(const target& to, time_point now) const
{
    if (entries_.empty())
        return true;
    const auto opens = opens_at(to, now);
    return opens && *opens <= now;
}

std::vector<std::string> target_gate::expire(time_point now)
{
    std::vector<std::string> out;
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto&      known = it->second;
        const bool ramp_ended =
            known.ramp_until != time_point{} && now >= known.ramp_until;
        if (ramp_ended) {
            known.ramp_until = {};
            out.push_back(it->first);
        }
        const bool expired = known.leaving ? now - known.last_notice_at >=
                                                 times_.leaving_retention
                                           : known.ramp_until == time_point{};
        it                 = expired ? entries_.erase(it) : std::next(it);
    }
    stats_.reopened += out.size();
    return out;
}

} // namespace arbutusgate::gateway
