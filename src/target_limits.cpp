#include "target_limits.hpp"

#include <algorithm>
#include <limits>

namespace arbutusgate::gateway {

namespace {

/// A change is reported in each message for this time.
constexpr milliseconds news_time{4000};

double rate_or_infinity(const target_limit& it)
{
    return it.rate.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool target_limits::supersedes(const target_limit& report,
                               const target_limit& known) const
{
    if (report.started_at != known.started_at)
        return report.started_at > known.started_at;
    const auto report_rate = rate_or_infinity(report);
    const auto known_rate  = rate_or_infinity(known);
    auto       report_time = report.named_at;
    auto       known_time  = known.named_at;
    if (report_rate < known_rate)
        report_time += params_.order_margin;
    else if (known_rate < report_rate)
        known_time += params_.order_margin;
    return report_time > known_time;
}

limit_change target_limits::store(target_limit report, source from,
                                  time_point now)
{
    auto found = entries_.find(report.target);
    if (found == entries_.end()) {
        make_place();
        found = entries_.emplace(report.target, entry{}).first;
    }
    auto&      known       = found->second;
    const bool same_life   = known.latest.started_at == report.started_at;
    const bool was_limited = same_life && known.latest.rate.has_value();
    const bool is_limited  = report.rate.has_value();
    const bool changed     = was_limited != is_limited ||
                         (is_limited && *report.rate != *known.latest.rate);
    known.latest = std::move(report);
    if (!changed)
        return limit_change::none;
    known.changed_at = now;
    known.held_until = {};
    const auto out   = !was_limited ? limit_change::named
                       : is_limited ? limit_change::changed
                                    : limit_change::ended;
    ++(out == limit_change::named     ? stats_.named
       : out == limit_change::changed ? stats_.changed
                                      : stats_.ended);
    if (changed_)
        changed_(out, known.latest, from);
    return out;
}

void target_limits::make_place()
{
    if (entries_.size() < params_.max_entries)
        return;
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
            return a.second.latest.named_at < b.second.latest.named_at;
        }));
}

limit_change target_limits::apply(const target&        from,
                                  const target_notice& notice,
                                  time_point sent_at, time_point now)
{
    if (notice.unreadable_limit) {
        ++stats_.unreadable;
        return limit_change::none;
    }
    target_limit report{from.id, from.started_at, notice.call_limit, now};
    if (report.rate && *report.rate > params_.max_rate)
        report.rate.reset();
    const auto* known = latest(from.id);
    if (!known && !report.rate)
        return limit_change::none;
    if (known && rate_or_infinity(report) > rate_or_infinity(*known))
        report.named_at = sent_at;
    if (known && !supersedes(report, *known))
        return limit_change::none;
    return store(std::move(report), source::response, now);
}

limit_change target_limits::merge(target_limit report, time_point now)
{
    if (now - report.named_at > params_.report_lifetime)
        return limit_change::none;
    const auto* known = latest(report.target);
    if (known && !supersedes(report, *known))
        return limit_change::none;
    return store(std::move(report), source::report, now);
}

const target_limit* target_limits::latest(const std::string& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second.latest;
}

void target_limits::make_cold_place()
{
    if (cold_.size() < params_.max_entries)
        return;
    end_cold(std::min_element(cold_.begin(), cold_.end(),
                              [](const auto& a, const auto& b) {
                                  return a.second.period.until <
                                         b.second.period.until;
                              })
                 ->first);
}

void target_limits::end_cold(const std::string& id)
{
    const auto it = cold_.extract(id);
    ++stats_.turned_warm;
    if (cold_changed_)
        cold_changed_(it.key(), nullptr);
}

void target_limits::set_cold(const std::string& id, const cold_period& period,
                             time_point now)
{
    if (period.until <= now || period.rate <= 0)
        return;
    auto found = cold_.find(id);
    if (found != cold_.end()) {
        auto& known = found->second.period;
        if (period.started_at < known.started_at)
            return;
        if (period.started_at == known.started_at && now < known.until) {
            known.until              = std::max(known.until, period.until);
            known.rate               = period.rate;
            found->second.limit.rate = period.rate;
            return;
        }
        end_cold(id);
    }
    make_cold_place();
    cold_[id] = {period, {id, period.started_at, period.rate, now}, {}};
    ++stats_.turned_cold;
    if (cold_changed_)
        cold_changed_(id, &period);
}

const target_limits::cold_entry*
target_limits::find_cold(const std::string& id, std::int64_t started_at,
                         time_point now) const
{
    const auto it = cold_.find(id);
    return it != cold_.end() && now < it->second.period.until &&
                   started_at <= it->second.period.started_at
               ? &it->second
               : nullptr;
}

const cold_period* target_limits::cold(const std::string& id,
                                       std::int64_t       started_at,
                                       time_point         now) const
{
    const auto* found = find_cold(id, started_at, now);
    return found ? &found->period : nullptr;
}

const target_limit* target_limits::find(const target& of, time_point now) const
{
    const auto* named = latest(of.id);
    if (named && (!named->rate || of.started_at > named->started_at))
        named = nullptr;
    const auto* cold = find_cold(of.id, of.started_at, now);
    if (!cold)
        return named;
    return named && *named->rate <= *cold->limit.rate ? named : &cold->limit;
}

void target_limits::hold(const std::string& id, time_point until)
{
    if (const auto it = entries_.find(id); it != entries_.end())
        it->second.held_until = until;
    if (const auto it = cold_.find(id); it != cold_.end())
        it->second.held_until = until;
}

time_point target_limits::opens_at(const target& to, time_point now) const
{
    const auto* limit = find(to, now);
    if (!limit)
        return now;
    const auto named = entries_.find(to.id);
    const auto cold  = cold_.find(to.id);
    auto       out   = now;
    if (named != entries_.end())
        out = std::max(out, named->second.held_until);
    if (cold != cold_.end())
        out = std::max(out, cold->second.held_until);
    return out;
}

std::vector<target_limit> target_limits::reports(std::size_t most,
                                                 time_point  now)
{
    std::vector<target_limit> out;
    for (const auto& [id, it] : entries_) {
        if (out.size() < most && now - it.changed_at < news_time)
            out.push_back(it.latest);
    }
    auto next = entries_.upper_bound(last_reported_);
    for (std::size_t n = 0; n < entries_.size() && out.size() < most; ++n) {
        if (next == entries_.end())
            next = entries_.begin();
        const auto& it = next->second;
        if (now - it.changed_at >= news_time &&
            now - it.latest.named_at < params_.report_lifetime)
            out.push_back(it.latest);
        last_reported_ = next->first;
        ++next;
    }
    return out;
}

void target_limits::expire(time_point now)
{
    std::erase_if(entries_, [&](const auto& it) {
        const auto& latest = it.second.latest;
        return now - latest.named_at >=
               (latest.rate ? params_.retention : params_.ended_retention);
    });
    std::vector<std::string> warm;
    for (const auto& [id, it] : cold_) {
        if (it.period.until <= now)
            warm.push_back(id);
    }
    for (const auto& id : warm)
        end_cold(id);
}

std::size_t target_limits::cold_size(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(cold_.begin(), cold_.end(), [now](const auto& it) {
            return now < it.second.period.until;
        }));
}

std::size_t target_limits::size() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto& it) {
            return it.second.latest.rate.has_value();
        }));
}

} // namespace arbutusgate::gateway
