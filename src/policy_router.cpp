#include "policy_router.hpp"

#include "closure_time.hpp"

#include "arbutusgate/config.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace arbutusgate {

namespace {

// Averages over about five attempts: three failures in a row make a target
// without earlier failures suspect.
constexpr auto failure_smoothing    = 0.25;
constexpr auto suspect_failure_rate = 0.5;
// A target is slow if its slowness exceeds this multiple of the pool's median.
// Healthy targets with log-normal times stay below it.
constexpr double slow_threshold     = 3;
constexpr double slowness_smoothing = 0.25;
// Lets one attempt at ten times the usual time mark a target as slow. A daemon
// sends few requests to each target, and those sent while it collects more
// samples would be late.
constexpr double max_slowness = 10;
// The policy must use a target again within 10 s of the end of an outage of
// 10 s, which bounds these pauses.
constexpr auto min_ejection_time   = seconds{2};
constexpr auto max_ejection_time   = seconds{5};
constexpr auto suspect_retry_delay = seconds{3};
constexpr auto min_reconnect_delay = milliseconds{500};
constexpr auto max_reconnect_delay = seconds{4};

// Reports come with responses and once a second; older ones are of little use.
constexpr double report_half_life_us = 1e6;
// Prefix affinity skips replicas whose load exceeds the mean by more than this
// number of calls, as in consistent hashing with bounded loads. A bound of 1.25
// times the mean left replicas idle and cost 4% of the throughput at 1.5 times
// the capacity.
constexpr double max_calls_above_mean = 1;
// When to try again where this daemon may send a target no calls.
constexpr auto no_call_retry = seconds{1};
// Load is uneven, so some targets have a queue before all slots are taken.
constexpr double full_load_share = 0.95;

/// True until the pause ends. An end further ahead than the longest pause was
/// set before the clock jumped back, and is ignored.
bool is_paused_until(time_point end, microseconds max_pause, time_point now)
{
    return end > now && end - now <= max_pause;
}

bool is_unreachable(const route_target& it, time_point now)
{
    return is_paused_until(it.unreachable_until, max_reconnect_delay, now);
}

bool is_ejected(const route_target& it, time_point now)
{
    return is_paused_until(it.ejected_until, max_ejection_time, now);
}

microseconds call_interval(const route_target& it)
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(1 / *it.call_rate));
}

/// Time until the target takes an attempt of this daemon, as far as its
/// closure and its limit on calls tell.
microseconds closed_for_target(const route_target& it, time_point now)
{
    constexpr closure_times times;
    microseconds            out{0};
    if (is_paused_until(it.closed_until, times.most + times.max_spread, now))
        out = it.closed_until - now;
    if (!it.call_rate)
        return out;
    if (*it.call_rate <= 0)
        return std::max<microseconds>(out, no_call_retry);
    if (is_paused_until(it.next_call_at, call_interval(it), now))
        out = std::max(out, it.next_call_at - now);
    return out;
}

bool is_closed(const route_target& it, time_point now)
{
    return closed_for_target(it, now) > microseconds{0};
}

void mark_leaving(route_target& it, time_point now)
{
    if (!it.leaving || it.leaving_since == time_point{})
        it.leaving_since = now;
    it.leaving = true;
}

/// Updates and returns the leaving mark. It expires after
/// limits::leaving_retention, since a target without work sends no report that
/// would clear it.
bool update_leaving(route_target& it, time_point now)
{
    if (it.leaving)
        mark_leaving(it, now);
    if (it.leaving && now - it.leaving_since >= limits::leaving_retention)
        it.leaving = false;
    return it.leaving;
}

template <class Duration>
microseconds backoff(Duration first, microseconds max_pause,
                     std::uint32_t failures)
{
    return std::min<microseconds>(max_pause,
                                  first * (1U << std::min(failures, 8U)));
}

bool is_suspect(const route_target& it)
{
    return it.failure_rate >= suspect_failure_rate || it.slow;
}

/// True for a suspect target that failed recently. After that time it is tried
/// again even if it was not ejected because a third of the pool already is.
bool is_avoided(const route_target& it, time_point now)
{
    return is_suspect(it) && now - it.failed_at < suspect_retry_delay;
}

} // namespace

router::router(policy_strategy strategy, std::uint64_t seed)
    : strategy_(strategy), random_(seed)
{
}

bool router::is_better(const route_target& a, const route_target& b,
                       time_point now)
{
    if (is_avoided(a, now) != is_avoided(b, now))
        return is_avoided(b, now);
    return a.score < b.score;
}

std::uint32_t router::count_usable(const route_targets& targets, time_point now)
{
    return static_cast<std::uint32_t>(
        std::count_if(targets.begin(), targets.end(), [&](const auto& it) {
            return !it->leaving && !it->probing && !is_closed(*it, now) &&
                   !is_unreachable(*it, now) && !is_ejected(*it, now);
        }));
}

bool router::admits_request(const route_targets& targets, time_point now)
{
    if (strategy_ != policy_strategy::adaptive)
        return true;
    const bool reachable =
        std::any_of(targets.begin(), targets.end(), [&](const auto& it) {
            return !it->leaving && !is_closed(*it, now) &&
                   it->failed_connects == 0;
        });
    if (reachable)
        return true;
    if (count_usable(targets, now) == 0 ||
        std::chrono::abs(now - last_probe_) < pool_probe_interval)
        return false;
    last_probe_ = now;
    return true;
}

void router::release(route_target& it)
{
    --it.in_flight;
    it.probing = false;
}

int router::choose(const route_targets& targets, const route_query& query)
{
    candidates_.clear();
    for (int n = 0; n < static_cast<int>(targets.size()); ++n) {
        if (!update_leaving(*targets[n], query.now) &&
            !is_closed(*targets[n], query.now))
            candidates_.push_back(n);
    }
    if (candidates_.empty())
        return -1;
    int chosen = -1;
    switch (strategy_) {
    case policy_strategy::adaptive:
        chosen = choose_adaptive(targets, query);
        break;
    case policy_strategy::random:
        chosen = candidates_[random_() % candidates_.size()];
        break;
    case policy_strategy::round_robin:
        chosen = candidates_[next_index_++ % candidates_.size()];
        break;
    case policy_strategy::least_inflight:
        std::rotate(candidates_.begin(),
                    candidates_.begin() +
                        static_cast<long>(random_() % candidates_.size()),
                    candidates_.end());
        chosen = *std::min_element(
            candidates_.begin(), candidates_.end(), [&](int a, int b) {
                return targets[a]->in_flight < targets[b]->in_flight;
            });
        break;
    }
    if (chosen >= 0) {
        auto& it = *targets[chosen];
        it.probing =
            it.failed_connects > 0 || it.ejections > 0 || is_suspect(it);
        ++it.in_flight;
        if (it.call_rate && *it.call_rate > 0)
            it.next_call_at = query.now + call_interval(it);
    }
    return chosen;
}

int router::choose_adaptive(const route_targets& targets,
                            const route_query&   query)
{
    // Removes the candidates that are not wanted, unless none would remain.
    const auto keep = [&](auto&& wanted) {
        const auto end =
            std::partition(candidates_.begin(), candidates_.end(),
                           [&](int n) { return wanted(*targets[n]); });
        if (end != candidates_.begin())
            candidates_.erase(end, candidates_.end());
    };
    std::erase_if(candidates_, [&](int n) {
        const auto& it = *targets[n];
        return is_unreachable(it, query.now) ||
               (it.failed_connects > 0 && it.probing);
    });
    if (candidates_.empty())
        return -1;
    keep([&](const route_target& it) {
        return !is_ejected(it, query.now) && !it.probing;
    });
    if (query.failed) {
        keep([&](const route_target& it) { return &it != query.failed; });
        keep([&](const route_target& it) {
            return it.domain != query.failed->domain;
        });
    }
    score(targets, query.now);
    if (query.prefix != 0) {
        const auto it = choose_by_prefix(targets, query);
        if (it >= 0)
            return it;
    }
    const auto n     = candidates_.size();
    const auto first = random_() % n;
    if (n == 1)
        return candidates_[0];
    const auto second = (first + 1 + random_() % (n - 1)) % n;
    const auto a      = candidates_[first];
    const auto b      = candidates_[second];
    return is_better(*targets[b], *targets[a], query.now) ? b : a;
}

/// A new rate begins without a call, since other daemons may have sent the
/// target calls just now.
void router::set_call_rate(route_target& it, std::optional<double> rate,
                           time_point now)
{
    it.call_rate = rate;
    if (rate && *rate > 0)
        it.next_call_at = now + call_interval(it);
}

void router::on_report(route_target& it, const load_report& report,
                       time_point now)
{
    // A response that was in flight when the target was marked may still report
    // it as serving; a later one comes from the process that replaced it.
    if (report.leaving || (it.leaving && it.leaving_since == time_point{}))
        mark_leaving(it, now);
    else if (now - report.lag - it.leaving_since > limits::leaving_bound)
        it.leaving = false;
    it.report              = report;
    it.reported_at         = now - report.lag;
    it.in_flight_at_report = it.in_flight;
}

bool router::is_full(const route_targets& targets, time_point now)
{
    std::uint64_t load     = 0;
    std::uint64_t capacity = 0;
    for (const auto& it : targets) {
        if (it->leaving || is_closed(*it, now) || is_unreachable(*it, now) ||
            is_ejected(*it, now))
            continue;
        load += it->report.in_flight + it->report.queued;
        capacity += it->report.capacity;
    }
    return load > 0 && static_cast<double>(load) >=
                           full_load_share * static_cast<double>(capacity);
}

void router::score(const route_targets& targets, time_point now)
{
    // Load from other daemons by the last report. As the report ages, the mean
    // of the candidates replaces it.
    const auto others = [&](const route_target& it) {
        const double all = it.report.in_flight + it.report.queued;
        return std::max(0.0, all - it.in_flight_at_report);
    };
    double mean = 0;
    for (const auto n : candidates_)
        mean += others(*targets[n]) / static_cast<double>(candidates_.size());
    for (const auto n : candidates_) {
        auto&      it     = *targets[n];
        const auto age    = static_cast<double>((now - it.reported_at).count());
        const auto weight = std::exp2(-age / report_half_life_us);
        it.score          = it.in_flight + mean + weight * (others(it) - mean);
    }
}

int router::choose_by_prefix(const route_targets& targets,
                             const route_query&   query)
{
    double mean = 0;
    for (const auto n : candidates_)
        mean += targets[n]->score / static_cast<double>(candidates_.size());
    int           best       = -1;
    std::uint64_t max_weight = 0;
    for (const auto n : candidates_) {
        const auto& it = *targets[n];
        if (it.score > mean + max_calls_above_mean || is_avoided(it, query.now))
            continue;
        const auto hash_weight =
            XXH64(it.name.data(), it.name.size(), query.prefix);
        if (best < 0 || hash_weight > max_weight) {
            best       = n;
            max_weight = hash_weight;
        }
    }
    return best;
}

void router::eject(const route_targets& targets, route_target& it,
                   time_point now)
{
    // At most a third is ejected: the rest could not carry the load, and if
    // more targets fail, the requests may be the cause.
    const auto already_ejected =
        std::count_if(targets.begin(), targets.end(), [&](const auto& other) {
            return is_ejected(*other, now);
        });
    const auto max_ejected = std::max<std::size_t>(1, targets.size() / 3);
    if (targets.size() < 2 ||
        static_cast<std::size_t>(already_ejected) >= max_ejected)
        return;
    it.ejected_until =
        now + backoff(min_ejection_time, max_ejection_time, it.ejections++);
}

void router::update_slowness(const route_targets& targets, route_target& it,
                             double sample)
{
    sample = std::min(sample, max_slowness);
    if (it.probing)
        it.slowness = sample;
    else
        it.slowness += (sample - it.slowness) * slowness_smoothing;
    // Compared with the median, so that none is an outlier if all are slow.
    std::vector<double> all;
    for (const auto& other : targets)
        all.push_back(other->slowness);
    const auto median = all.begin() + static_cast<long>((all.size() - 1) / 2);
    std::nth_element(all.begin(), median, all.end());
    it.slow = it.slowness > slow_threshold * std::max(1.0, *median);
}

void router::on_refusal(route_target& it, milliseconds wait, time_point now)
{
    if (wait > milliseconds{0})
        it.closed_until =
            std::max(it.closed_until, closure_end(now, wait, random_));
}

microseconds router::closed_for(const route_targets& targets, time_point now)
{
    auto first = microseconds::max();
    for (const auto& it : targets) {
        if (!it->leaving)
            first = std::min(first, closed_for_target(*it, now));
    }
    return first == microseconds::max() ? microseconds{0} : first;
}

void router::on_result(const route_targets& targets, route_target& it,
                       attempt_status status, time_point now, double slowness)
{
    if (status == attempt_status::connect_failed) {
        it.unreachable_until =
            now + backoff(min_reconnect_delay, max_reconnect_delay,
                          it.failed_connects++);
        return;
    }
    it.failed_connects = 0;
    if (status == attempt_status::not_run)
        return; // a refusal under load is not a failure
    const bool done = status == attempt_status::done;
    it.failure_rate +=
        ((done ? 0.0 : 1.0) - it.failure_rate) * failure_smoothing;
    if (slowness > 0)
        update_slowness(targets, it, slowness);
    if (!done || it.slow)
        it.failed_at = now;
    if (done && it.probing && !it.slow) {
        it.ejections    = 0;
        it.failure_rate = 0;
    }
    if (is_suspect(it) && !is_ejected(it, now))
        eject(targets, it, now);
}

} // namespace arbutusgate
