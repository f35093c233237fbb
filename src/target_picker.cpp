#include "target_picker.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutusgate::gateway {

namespace {

constexpr double latency_gain = 0.2; // of a new sample
constexpr double error_gain   = 0.1; // of a new sample
constexpr double broken_share = 0.4; // of recent calls, excludes

double ms_between(time_point a, time_point b)
{
    return std::chrono::duration<double, std::milli>(b - a).count();
}

bool contains(const std::vector<std::string>* list, const std::string& id)
{
    return list && std::find(list->begin(), list->end(), id) != list->end();
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

const target* target_picker::pick(const std::vector<const target*>& candidates,
                                  const pick_hints& hints, time_point now)
{
    std::vector<const target*> list;
    std::vector<const target*> spare; // Excluded ones, when no other is left.
    for (const auto* it : candidates) {
        if (contains(hints.tried, it->id))
            continue;
        const auto& entry = states_[it->id];
        const bool  out = now < entry.excluded_until || now < entry.pause_until;
        (out ? spare : list).push_back(it);
    }
    if (list.empty())
        list.swap(spare);
    if (list.empty())
        return nullptr;
    const auto          typical = typical_latency(list);
    std::vector<double> scores;
    for (const auto* it : list)
        scores.push_back(score(*it, hints, typical, now));
    const auto least = std::min_element(scores.begin(), scores.end());
    if (hints.affinity != 0)
        return by_affinity(list, scores, hints.affinity, *least);
    return list[static_cast<std::size_t>(least - scores.begin())];
}

const target* target_picker::by_affinity(const std::vector<const target*>& list,
                                         const std::vector<double>& scores,
                                         std::uint64_t              affinity,
                                         double                     least) const
{
    const target* best      = nullptr;
    std::uint64_t best_hash = 0;
    for (std::size_t n = 0; n < list.size(); ++n) {
        if (scores[n] > least + tuning_.affinity_slack)
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

double target_picker::score(const target& it, const pick_hints& hints,
                            double typical, time_point now)
{
    const auto& entry  = states_[it.id];
    const auto  own    = static_cast<double>(entry.calls.size());
    const auto  stated = static_cast<double>(entry.stated.running) +
                        static_cast<double>(entry.stated.waiting);
    const auto age  = ms_between(entry.stated_at, now);
    const auto life = static_cast<double>(tuning_.load_life.count());
    const auto fade = age < life ? 1 - age / life : 0.0;
    const auto others =
        std::max(0.0, stated - static_cast<double>(entry.own_then)) * fade;
    double tokens = hints.tokens;
    for (const auto& call : entry.calls)
        tokens += call.answered ? 0 : call.tokens;
    auto out = (own + others + 1) / std::max(1U, it.slots);
    out += tokens / tuning_.tokens_per_score;
    if (typical > 0)
        out *= std::max(1.0, effective_latency(entry, now) / typical);
    if (!hints.failure_domain.empty() &&
        it.failure_domain != hints.failure_domain)
        out += hints.domain_penalty;
    // Breaks ties differently at each daemon.
    return out + std::uniform_real_distribution<>(0, 0.01)(random_);
}

// A call without an answer says that the target is at least this slow.
double target_picker::effective_latency(const state& it, time_point now) const
{
    auto out = it.latency;
    for (const auto& call : it.calls) {
        if (!call.answered)
            out = std::max(out, ms_between(call.since, now));
    }
    return out;
}

double
target_picker::typical_latency(const std::vector<const target*>& list) const
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
    // Twice the median is ordinary spread.
    return 2 * *middle;
}

std::uint64_t target_picker::start(const std::string& id, std::uint32_t tokens,
                                   time_point now)
{
    states_[id].calls.push_back({next_call_, now, tokens, false});
    return next_call_++;
}

void target_picker::answered(const std::string& id, std::uint64_t call,
                             time_point now)
{
    auto& entry = states_[id];
    for (auto& it : entry.calls) {
        if (it.number != call || it.answered)
            continue;
        it.answered       = true;
        const auto sample = ms_between(it.since, now);
        entry.latency =
            entry.latency == 0
                ? sample
                : entry.latency + latency_gain * (sample - entry.latency);
    }
}

double target_picker::usual_errors(const state& without) const
{
    double        sum = 0;
    std::uint32_t n   = 0;
    for (const auto& [id, it] : states_) {
        if (&it != &without) {
            sum += it.errors;
            ++n;
        }
    }
    return n == 0 ? 1 : sum / n;
}

void target_picker::exclude(state& it, time_point now)
{
    const auto time   = std::min(tuning_.exclude_least * (1 << it.strikes),
                                 tuning_.exclude_most);
    it.excluded_until = now + time;
    it.strikes        = std::min(it.strikes + 1, 8U);
}

void target_picker::finish(const std::string& id, std::uint64_t call,
                           call_outcome how, time_point now)
{
    auto& entry = states_[id];
    std::erase_if(entry.calls,
                  [call](const auto& it) { return it.number == call; });
    const bool bad = how == call_outcome::broken ||
                     how == call_outcome::refused_idle ||
                     how == call_outcome::connect_failed;
    if (how == call_outcome::cancelled)
        return;
    if (how == call_outcome::refused) {
        entry.pause_until = now + tuning_.refused_pause;
        return;
    }
    entry.broken += error_gain * ((bad ? 1 : 0) - entry.broken);
    entry.broken_row = bad ? entry.broken_row + 1 : 0;
    if (how == call_outcome::done || how == call_outcome::error) {
        const double sample = how == call_outcome::error ? 1 : 0;
        entry.errors += error_gain * (sample - entry.errors);
        if (entry.errors > usual_errors(entry) + tuning_.error_excess)
            exclude(entry, now);
        else if (entry.broken < broken_share / 2)
            entry.strikes = 0;
    }
    if (how == call_outcome::connect_failed ||
        how == call_outcome::misdirected ||
        (bad && (entry.broken_row >= tuning_.broken_limit ||
                 entry.broken > broken_share)))
        exclude(entry, now);
}

void target_picker::load_stated(const std::string& id, const target_load& load,
                                time_point now)
{
    auto& entry     = states_[id];
    entry.stated    = load;
    entry.stated_at = now;
    entry.own_then  = static_cast<std::uint32_t>(entry.calls.size());
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
