#include "permit_issuer.hpp"

#include "peer_table.hpp"

#include <algorithm>
#include <limits>

namespace arbutusgate::gateway {

namespace {

/// A schedule without calls for this long is dropped.
constexpr seconds schedule_retention{60};

/// Age of the report that stands for no report: receivers ignore it.
constexpr milliseconds no_report_age{3'600'000};

} // namespace

std::optional<permit_request> request_permit(const target_limits& limits,
                                             const target&        to,
                                             milliseconds         max_wait,
                                             time_point           now)
{
    if (!limits.find(to, now))
        return std::nullopt;
    permit_request out{{to.id, to.started_at, {}, now - no_report_age},
                       max_wait};
    const auto*    named = limits.latest(to.id);
    if (named && named->started_at >= to.started_at)
        out.limit = *named;
    if (const auto* cold = limits.cold(to.id, to.started_at, now))
        out.cold = *cold;
    return out;
}

std::string permit_issuer::owner(const std::string& target,
                                 time_point         now) const
{
    return peers_.steady_owner_of("limit of " + target, now);
}

double permit_issuer::usable_rate(double named, double cold,
                                  time_point now) const
{
    auto part = peers_.live_share(now);
    if (!peers_.agreed(now))
        part *= params_.disputed_part;
    return std::max(params_.min_rate,
                    part * std::min(named * params_.usable_part,
                                    cold * params_.usable_cold_part));
}

/// A new schedule has no call to give out yet: this daemon may own the limit
/// only since a moment ago, and does not know the calls of the owner before.
permit_issuer::schedule& permit_issuer::schedule_of(const target_limit& limit,
                                                    microseconds interval,
                                                    time_point   now)
{
    auto& out = schedules_[limit.target];
    if (out.busy_until == time_point{} || out.started_at != limit.started_at)
        out = {limit.started_at, now + params_.burst * interval};
    return out;
}

void permit_issuer::expire(time_point now)
{
    std::erase_if(schedules_, [&](const auto& it) {
        return now - it.second.busy_until > schedule_retention;
    });
}

permit_response permit_issuer::issue(const permit_request& asked,
                                     time_point            now)
{
    if (!peers_.resuming(now))
        limits_.merge(asked.limit, now);
    const auto& id = asked.limit.target;
    // Carries its remaining time, so that a late message only makes it longer.
    if (asked.cold)
        limits_.set_cold(id, *asked.cold, now);
    permit_response out;
    // Without a report of its own, or with an older one, the issuer goes by the
    // request: the asking daemon may know a limit that was not confirmed
    // lately.
    auto limit = asked.limit;
    if (const auto* known = limits_.latest(id)) {
        out.limit = *known;
        if (known->started_at >= limit.started_at)
            limit = *known;
    }
    constexpr auto no_limit = std::numeric_limits<double>::infinity();
    const auto*    cold     = limits_.cold(id, limit.started_at, now);
    const auto     rate     = usable_rate(limit.rate.value_or(no_limit),
                                  cold ? cold->rate : no_limit, now);
    if (!limit.rate && !cold) {
        out.granted = true;
        return out;
    }
    if (!peers_.settled(now) ||
        owner(limit.target, now) != peers_.self().address) {
        ++stats_.disowned;
        schedules_.erase(limit.target);
        out.undecided = true;
        out.wait      = params_.not_owner_retry;
        return out;
    }
    expire(now);
    const auto interval = std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(1 / rate));
    auto& it = schedule_of(limit, interval, now);
    // After a rise of the rate, calls that were given out at the lower one must
    // not keep the target idle.
    it.busy_until = std::min(it.busy_until,
                             now + params_.max_wait + params_.burst * interval);
    const auto call_at =
        std::max(now, it.busy_until - (params_.burst - 1) * interval);
    out.wait    = std::chrono::ceil<milliseconds>(call_at - now);
    out.granted = out.wait <= std::min(asked.max_wait, params_.max_wait);
    if (out.granted)
        it.busy_until = std::max(it.busy_until, call_at) + interval;
    ++(out.granted ? stats_.granted : stats_.refused);
    return out;
}

} // namespace arbutusgate::gateway
