#include "target_picker.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace arbutusgate::gateway {

namespace {

// Weights of a new sample in the moving averages.
constexpr double latency_sample_weight = 0.2;
constexpr double error_sample_weight   = 0.1;
/// A target is excluded when a larger share of its recent calls failed.
constexpr double max_broken_share = 0.4;
/// Targets whose costs are compared, in the preferred domain and outside. A
/// target that looks much better than all others would get the next request of
/// every daemon if all were compared.
constexpr std::size_t max_compared = 8;

double ms_between(time_point a, time_point b)
{
    return std::chrono::duration<double, std::milli>(b - a).count();
}

bool contains(const std::vector<std::string>* list, const std::string& id)
{
    return list && std::find(list->begin(), list->end(), id) != list->end();
}

/// Draws the targets whose costs are compared: those that cache a part of the
/// prompt and some others, by rendezvous hash if there is an affinity.
std::vector<const target*> draw(const std::vector<const target*>& list,
                                const pick_hints&                 hints,
                                const target_work&                work,
                                std::mt19937_64& random, time_point now)
{
    if (list.size() <= max_compared)
        return list;
    using ranked = std::pair<std::uint64_t, const target*>;
    std::vector<const target*> out;
    std::vector<ranked>        near;
    std::vector<ranked>        far;
    for (const auto* it : list) {
        if (!hints.work->prefixes.empty() &&
            work.cached_tokens(it->id, *hints.work, now) > 0)
        {
            out.push_back(it);
            continue;
        }
        const auto rank =
            hints.affinity == 0
                ? random()
                : XXH3_64bits_withSeed(it->id.data(), it->id.size(),
                                       hints.affinity);
        (it->failure_domain == hints.failure_domain ? near : far)
            .emplace_back(rank, it);
    }
    for (auto* group : {&near, &far}) {
        const auto n = std::min(group->size(), max_compared);
        std::partial_sort(group->begin(),
                          group->begin() + static_cast<std::ptrdiff_t>(n),
                          group->end(), std::greater<>{});
        for (std::size_t k = 0; k < n; ++k)
            out.push_back((*group)[k].second);
    }
    return out;
}

} // namespace

std::string_view to_string(call_outcome it)
{
    switch (it) {
    case call_outcome::done:
        return "done";
    case call_outcome::refused:
        return "refused";
    case call_outcome::refused_idle:
        return "refused_idle";
    case call_outcome::misdirected:
        return "misdirected";
    case call_outcome::error:
        return "error";
    case call_outcome::broken:
        return "broken";
    case call_outcome::connect_failed:
        return "connect_failed";
    case call_outcome::cancelled:
        break;
    }
    return "cancelled";
}

bool target_picker::is_full(const target& it, const state& entry,
                            std::uint32_t daemons)
{
    const auto slots = entry.reported.slots > 0
                           ? std::min(entry.reported.slots, it.slots)
                           : it.slots;
    return entry.calls.size() >= std::max(1U, slots / daemons);
}

const target* target_picker::pick(const std::vector<const target*>& candidates,
                                  const pick_hints& hints, time_point now)
{
    std::vector<const target*> list;
    // Excluded or paused targets, used when no other is left.
    std::vector<const target*> fallback;
    for (const auto* it : candidates) {
        if (contains(hints.tried, it->id))
            continue;
        const auto& entry = states_[it->id];
        if (hints.sharing_daemons > 0 &&
            is_full(*it, entry, hints.sharing_daemons))
            continue;
        const bool out = now < entry.excluded_until || now < entry.paused_until;
        (out ? fallback : list).push_back(it);
    }
    if (list.empty())
        list.swap(fallback);
    if (list.empty())
        return nullptr;
    if (uses_work_ && hints.work && work_.reports_slowdown(candidates))
        return pick_by_cost(list, hints, now);
    const auto          latency_limit_ms = normal_latency_limit(list);
    std::vector<double> scores;
    for (const auto* it : list)
        scores.push_back(score(*it, hints, latency_limit_ms, now));
    const auto lowest = std::min_element(scores.begin(), scores.end());
    if (hints.affinity != 0)
        return pick_by_affinity(list, scores, hints.affinity,
                                *lowest + tuning_.affinity_slack);
    return list[static_cast<std::size_t>(lowest - scores.begin())];
}

const target*
target_picker::pick_by_affinity(const std::vector<const target*>& list,
                                const std::vector<double>&        scores,
                                std::uint64_t affinity, double highest) const
{
    const target* best      = nullptr;
    std::uint64_t best_hash = 0;
    for (std::size_t n = 0; n < list.size(); ++n) {
        if (scores[n] > highest)
            continue;
        const auto hash = XXH3_64bits_withSeed(list[n]->id.data(),
                                               list[n]->id.size(), affinity);
        if (!best || hash > best_hash) {
            best      = list[n];
            best_hash = hash;
        }
    }
    return best;
}

const target* target_picker::preferred(const std::vector<const target*>& list,
                                       std::uint64_t affinity) const
{
    if (affinity == 0)
        return nullptr;
    constexpr double any_score = 0;
    return pick_by_affinity(list, std::vector<double>(list.size()), affinity,
                            any_score);
}

std::vector<double> target_picker::costs(const std::vector<const target*>& list,
                                         const pick_hints& hints,
                                         time_point        now) const
{
    auto out = work_.costs(list, *hints.work, now);
    for (std::size_t n = 0; n < list.size(); ++n) {
        if (!hints.failure_domain.empty() &&
            list[n]->failure_domain != hints.failure_domain)
            out[n] += hints.domain_penalty * tuning_.ms_per_score;
    }
    return out;
}

const target* target_picker::pick_by_cost(const std::vector<const target*>& all,
                                          const pick_hints& hints,
                                          time_point        now)
{
    const auto list    = draw(all, hints, work_, random_, now);
    const auto cost    = costs(list, hints, now);
    const auto lowest  = *std::min_element(cost.begin(), cost.end());
    const auto highest = lowest + std::max(tuning_.equal_cost_ms,
                                           tuning_.equal_cost_share * lowest);
    if (hints.affinity != 0)
        return pick_by_affinity(list, cost, hints.affinity, highest);
    const target* out   = nullptr;
    std::size_t   equal = 0;
    for (std::size_t n = 0; n < list.size(); ++n) {
        // Each of them is drawn with the same probability.
        if (cost[n] <= highest && std::uniform_int_distribution<std::size_t>(
                                      0, equal++)(random_) == 0)
            out = list[n];
    }
    return out;
}

double target_picker::score(const target& it, const pick_hints& hints,
                            double latency_limit_ms, time_point now)
{
    const auto& entry     = states_[it.id];
    const auto  own_calls = static_cast<double>(entry.calls.size());
    const auto  reported  = static_cast<double>(entry.reported.running) +
                          static_cast<double>(entry.reported.waiting);
    const auto age       = ms_between(entry.reported_at, now);
    const auto fade_time = static_cast<double>(tuning_.load_fade_time.count());
    const auto load_weight = age < fade_time ? 1 - age / fade_time : 0.0;
    const auto other_calls =
        std::max(0.0,
                 reported - static_cast<double>(entry.own_calls_at_report)) *
        load_weight;
    double tokens = hints.tokens;
    for (const auto& call : entry.calls)
        tokens += call.answered ? 0 : call.tokens;
    auto out = (own_calls + other_calls + 1) / std::max(1U, it.slots);
    out += tokens / tuning_.tokens_per_score;
    if (latency_limit_ms > 0)
        out *= std::max(1.0, observed_latency(entry, now) / latency_limit_ms);
    if (uses_work_)
        out *= work_.slowdown(it.id, now);
    if (!hints.failure_domain.empty() &&
        it.failure_domain != hints.failure_domain)
        out += hints.domain_penalty;
    // The random part breaks ties differently at each daemon.
    return out + std::uniform_real_distribution<>(0, 0.01)(random_);
}

// The age of a call without a response is a lower bound of the latency.
double target_picker::observed_latency(const state& it, time_point now) const
{
    auto out = it.latency;
    for (const auto& call : it.calls) {
        if (!call.answered)
            out = std::max(out, ms_between(call.since, now));
    }
    return out;
}

double target_picker::normal_latency_limit(
    const std::vector<const target*>& list) const
{
    std::vector<double> known;
    for (const auto* it : list) {
        const auto found = states_.find(it->id);
        if (found != states_.end() && found->second.latency > 0)
            known.push_back(found->second.latency);
    }
    if (known.empty())
        return 0;
    const auto middle =
        known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    // Latencies up to twice the median are normal variation.
    return 2 * *middle;
}

std::uint64_t target_picker::start(const std::string& id, std::uint32_t tokens,
                                   time_point now, const call_work* work)
{
    if (work)
        work_.started(id, next_call_, *work, now);
    states_[id].calls.push_back({next_call_, now, tokens, false});
    return next_call_++;
}

void target_picker::answered(const std::string& id, std::uint64_t call,
                             time_point now)
{
    work_.answered(id, call);
    auto& entry = states_[id];
    for (auto& it : entry.calls) {
        if (it.number != call || it.answered)
            continue;
        it.answered       = true;
        const auto sample = ms_between(it.since, now);
        entry.latency     = entry.latency == 0
                                ? sample
                                : entry.latency + latency_sample_weight *
                                                  (sample - entry.latency);
    }
}

double target_picker::mean_errors_except(const state& excepted) const
{
    double        sum = 0;
    std::uint32_t n   = 0;
    for (const auto& [id, it] : states_) {
        if (&it != &excepted) {
            sum += it.error_share;
            ++n;
        }
    }
    return n == 0 ? 1 : sum / n;
}

void target_picker::exclude(state& it, time_point now)
{
    const auto time =
        std::min(tuning_.min_exclusion * (1 << it.exclusions_in_row),
                 tuning_.max_exclusion);
    it.excluded_until    = now + time;
    it.exclusions_in_row = std::min(it.exclusions_in_row + 1, 8U);
}

void target_picker::finish(const std::string& id, std::uint64_t call,
                           call_outcome how, time_point now)
{
    work_.finished(
        id, call, how == call_outcome::done || how == call_outcome::error, now);
    auto& entry = states_[id];
    std::erase_if(entry.calls,
                  [call](const auto& it) { return it.number == call; });
    const bool failed = how == call_outcome::broken ||
                        how == call_outcome::refused_idle ||
                        how == call_outcome::connect_failed;
    if (how == call_outcome::cancelled)
        return;
    if (how == call_outcome::refused) {
        entry.paused_until = now + tuning_.refusal_pause;
        return;
    }
    entry.broken_share +=
        error_sample_weight * ((failed ? 1 : 0) - entry.broken_share);
    entry.broken_in_row = failed ? entry.broken_in_row + 1 : 0;
    if (how == call_outcome::done || how == call_outcome::error) {
        const double sample = how == call_outcome::error ? 1 : 0;
        entry.error_share += error_sample_weight * (sample - entry.error_share);
        if (entry.error_share >
            mean_errors_except(entry) + tuning_.error_excess)
            exclude(entry, now);
        else if (entry.broken_share < max_broken_share / 2)
            entry.exclusions_in_row = 0;
    }
    if (how == call_outcome::connect_failed ||
        how == call_outcome::misdirected ||
        (failed && (entry.broken_in_row >= tuning_.broken_limit ||
                    entry.broken_share > max_broken_share)))
        exclude(entry, now);
}

void target_picker::load_reported(const std::string& id,
                                  const target_load& load, time_point now)
{
    work_.load_reported(id, load, now);
    auto& entry               = states_[id];
    entry.reported            = load;
    entry.reported_at         = now;
    entry.own_calls_at_report = static_cast<std::uint32_t>(entry.calls.size());
}

void target_picker::forget_failures()
{
    for (auto& [id, it] : states_) {
        it.broken_share      = 0;
        it.broken_in_row     = 0;
        it.exclusions_in_row = 0;
        it.excluded_until    = {};
    }
}

void target_picker::forget(const std::string& id)
{
    states_.erase(id);
    work_.forget(id);
}

std::uint32_t target_picker::in_flight(const std::string& id) const
{
    const auto it = states_.find(id);
    return it == states_.end()
               ? 0
               : static_cast<std::uint32_t>(it->second.calls.size());
}

bool target_picker::excluded(const std::string& id, time_point now) const
{
    const auto it = states_.find(id);
    return it != states_.end() && now < it->second.excluded_until;
}

} // namespace arbutusgate::gateway
