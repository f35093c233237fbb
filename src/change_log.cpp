#include "change_log.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// A daemon that is further behind reads the store itself.
constexpr std::size_t max_entries = 2000;

bool same_entry(const target& a, const target& b)
{
    return a.service == b.service && a.address == b.address &&
           a.failure_domain == b.failure_domain && a.slots == b.slots &&
           a.leaving == b.leaving && a.started_at == b.started_at;
}

/// \return the cold time that remains of \p cold_for at \p now.
milliseconds cold_left(milliseconds cold_for, time_point since, time_point now)
{
    return std::max(milliseconds{0},
                    std::chrono::ceil<milliseconds>(cold_for - (now - since)));
}

} // namespace

bool change_log::update_targets(const state_change& change,
                                time_point          confirmed)
{
    if (const auto* put = std::get_if<target>(&change)) {
        auto& known = targets_[put->id];
        // A later heartbeat of a cold target states the rest of the time that
        // was relayed; a longer time means that it became cold again.
        if (known.value.id == put->id && same_entry(known.value, *put) &&
            put->cold_for <=
                cold_left(known.value.cold_for, known.confirmed, confirmed))
            return false;
        known = {*put, confirmed};
    }
    else if (const auto* removed = std::get_if<target_removed>(&change)) {
        targets_.erase(removed->id);
    }
    return true;
}

void change_log::append(const state_revision& after,
                        const state_changes& response, time_point confirmed)
{
    const bool contiguous = same_history(after, response.revision);
    if (after != revision_ || !contiguous) {
        entries_.clear();
        targets_.clear();
        start_    = after.number;
        revision_ = {};
    }
    if (!contiguous)
        return;
    revision_  = newer(response.revision, after) ? response.revision : after;
    confirmed_ = confirmed;
    for (const auto& change : response.changes) {
        if (update_targets(change, confirmed))
            entries_.push_back({revision_.number, change, confirmed});
    }
    while (entries_.size() > max_entries) {
        start_ = entries_.front().revision;
        entries_.pop_front();
    }
}

std::optional<relayed_changes> change_log::since(const state_revision& revision,
                                                 time_point now) const
{
    if (revision_.number == 0 || !same_history(revision, revision_) ||
        revision.number < start_)
        return std::nullopt;
    relayed_changes out;
    out.changes.revision = revision_;
    out.age = std::chrono::duration_cast<milliseconds>(now - confirmed_);
    for (const auto& entry : entries_) {
        if (entry.revision <= revision.number)
            continue;
        auto& change = out.changes.changes.emplace_back(entry.change);
        // As of confirmed_, from which the receiver counts the age.
        if (auto* put = std::get_if<target>(&change))
            put->cold_for =
                cold_left(put->cold_for, entry.confirmed, confirmed_);
    }
    return out;
}

} // namespace arbutusgate::gateway
