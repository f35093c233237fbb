#include "target_work.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutusgate::gateway {

namespace {

/// Speeds assumed until there are samples: one step of a model, and reading 80
/// prompt tokens in a millisecond.
constexpr double default_token_ms = 6;
constexpr double default_read_ms  = 1.0 / 80;
/// Samples outside this factor of the assumed speeds are disturbances.
constexpr double max_speed_factor = 5;
constexpr double token_time_gain  = 0.1;
constexpr double read_time_gain   = 0.1;
/// Shorter waits are mostly time on the network.
constexpr double min_read_sample = 1000;
/// Samples after which a target's own speed counts more than the mean.
constexpr double speed_prior = 2;
/// Without new samples a learned speed approaches the mean again, so that a
/// target that was avoided gets work and is measured.
constexpr double speed_fade_ms = 60'000;
/// Events between two samples of the time for a token; batches of events that
/// arrive together do not matter then.
constexpr std::uint32_t events_per_sample = 8;
/// Shorter answers give a sample too, at their end.
constexpr std::uint32_t min_events_at_end = 3;

/// The slowdown of a machine lasts about 600 ms and is reported 200 ms late.
constexpr double slowdown_fade_ms = 500;
constexpr double load_fade_ms     = 1000;
/// A prompt counts for at least this share until its call's first event.
constexpr double min_unread_share = 0.2;
constexpr double mean_gain        = 0.05;
constexpr double default_prompt   = 1000;
constexpr double default_output   = 150;

/// Tokens of a prompt that are read between two steps of the running streams.
constexpr double chunk_tokens = 2000;
/// Time after the first event counts less: the goals are the time of the first
/// event and the pauses.
constexpr double output_weight = 0.1;
/// Cost of a response that becomes late by a pause over its goal.
constexpr double late_stream_ms = 300;
/// A first event is overdue after twice its expected time and this.
constexpr double overdue_margin_ms = 50;

/// Other daemons fill the caches too, so a prefix is taken to be cached only
/// for this time and until the own calls read half of the capacity.
constexpr double prefix_retention_ms = 20'000;
constexpr double own_cache_share     = 0.5;
/// Part of a shared prefix that is taken to be cached at its likely cache.
constexpr double likely_cached_share = 0.8;

double ms_between(time_point a, time_point b)
{
    return std::chrono::duration<double, std::milli>(b - a).count();
}

double faded(double age_ms, double fade_ms)
{
    return std::clamp(1 - age_ms / fade_ms, 0.0, 1.0);
}

double value_or(double value, double fallback)
{
    return value > 0 ? value : fallback;
}

std::uint64_t hash_of(const std::string& id)
{
    return XXH3_64bits(id.data(), id.size());
}

/// Longest pause between two events of a stream while prompts are read.
double pause_ms(double prompt_tokens, std::uint32_t tokens_per_event,
                double token_ms, double read_ms)
{
    const auto read = std::min(prompt_tokens, chunk_tokens * tokens_per_event);
    return read * read_ms + tokens_per_event * token_ms;
}

} // namespace

void target_work::pace::add(double sample, double gain, time_point now)
{
    ++samples;
    value += std::max(gain, 1.0 / samples) * (sample - value);
    at = now;
}

double target_work::pace::weight(time_point now) const
{
    const auto n = static_cast<double>(samples);
    return n / (n + speed_prior) * faded(ms_between(at, now), speed_fade_ms);
}

const target_work::state* target_work::find(const std::string& id) const
{
    const auto it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
}

double target_work::slowdown(const state& it, time_point now)
{
    const auto reported = it.reported.slowdown.value_or(1);
    return 1 + (reported - 1) *
                   faded(ms_between(it.reported_at, now), slowdown_fade_ms);
}

bool target_work::reports_slowdown(const std::vector<const target*>& list) const
{
    return std::any_of(list.begin(), list.end(), [this](const auto* it) {
        const auto* at = find(it->id);
        return at && at->reported.slowdown.has_value();
    });
}

double target_work::slowdown(const std::string& id, time_point now) const
{
    const auto* it = find(id);
    return it ? slowdown(*it, now) : 1;
}

target_work::speeds
target_work::mean_speeds(const std::vector<const target*>& list,
                         time_point                        now) const
{
    speeds sum;
    double token_weight = 0;
    double read_weight  = 0;
    for (const auto* it : list) {
        const auto* at = find(it->id);
        if (!at)
            continue;
        const auto token = at->token.weight(now);
        const auto read  = at->read.weight(now);
        sum.token += token * at->token.value;
        sum.read += read * at->read.value;
        token_weight += token;
        read_weight += read;
    }
    return {token_weight > 0 ? sum.token / token_weight : default_token_ms,
            read_weight > 0 ? sum.read / read_weight : default_read_ms};
}

/// Until a target's reading was measured, it is taken to differ from the mean
/// like its output.
target_work::speeds target_work::speeds_of(const state& it, const speeds& mean,
                                           time_point now)
{
    speeds     out;
    const auto token = it.token.weight(now);
    out.token        = mean.token + token * (it.token.value - mean.token);
    const auto guess = mean.read * out.token / mean.token;
    out.read         = guess + it.read.weight(now) * (it.read.value - guess);
    return out;
}

target_work::outstanding target_work::outstanding_at(const state& it,
                                                     time_point   now) const
{
    outstanding out;
    for (const auto& call : it.calls) {
        ++out.calls;
        if (call.events > 0) {
            ++out.streams;
            out.output += call.output.remaining(
                static_cast<double>(call.events) * call.tokens_per_event);
            continue;
        }
        const auto age    = ms_between(call.since, now);
        const auto unread = 1 - age / std::max(1.0, call.expected_ms);
        out.prompt += call.uncached * std::max(min_unread_share, unread);
        out.output += call.output.expected();
        if (!call.answered)
            out.overdue = std::max(out.overdue, age - 2 * call.expected_ms -
                                                    overdue_margin_ms);
    }
    const auto weight = faded(ms_between(it.reported_at, now), load_fade_ms);
    const auto total  = static_cast<double>(it.reported.running) +
                       static_cast<double>(it.reported.waiting);
    const auto others =
        weight *
        std::max(0.0, total - static_cast<double>(it.own_calls_at_report));
    const auto waiting =
        std::min(others, weight * static_cast<double>(it.reported.waiting));
    out.calls += others;
    out.streams += others - waiting;
    out.prompt += waiting * value_or(mean_prompt_, default_prompt);
    // Running calls are halfway through on average.
    out.output +=
        (others + waiting) / 2 * value_or(mean_output_, default_output);
    return out;
}

std::vector<double> target_work::costs(const std::vector<const target*>& list,
                                       const call_work&                  work,
                                       time_point now) const
{
    static const state  unknown;
    const auto          mean = mean_speeds(list, now);
    std::vector<double> out;
    out.reserve(list.size());
    const auto expected = work.output.expected();
    for (const auto* it : list) {
        const auto* known = find(it->id);
        const auto& at    = known ? *known : unknown;
        const auto  speed = speeds_of(at, mean, now);
        const auto  slow  = slowdown(at, now);
        const auto  busy  = outstanding_at(at, now);
        const auto  slots = static_cast<double>(std::max(1U, it->slots));
        const auto  uncached =
            work.prompt_tokens - expected_cached(it->id, at, work, now);
        const auto token_ms = speed.token * slow;
        const auto read_ms  = speed.read * slow;

        auto cost = (uncached + busy.prompt) * read_ms;
        // Calls beyond the slots wait until others end.
        if (busy.calls >= slots)
            cost += (busy.calls - slots + 1) / slots * busy.output /
                    busy.calls * token_ms;
        cost += std::max(0.0, busy.overdue);
        cost += output_weight * token_ms *
                (expected + (busy.output + expected) / slots);
        cost += output_weight * busy.streams * uncached * read_ms;
        const auto goal = static_cast<double>(work.gap_goal.count());
        if (goal > 0 &&
            pause_ms(busy.prompt, work.tokens_per_event, token_ms, read_ms) <=
                goal &&
            pause_ms(busy.prompt + uncached, work.tokens_per_event, token_ms,
                     read_ms) > goal)
            cost += busy.streams * late_stream_ms;
        out.push_back(cost);
    }
    return out;
}

double target_work::cached(std::uint64_t target, const state& it,
                           const call_work& work, time_point now) const
{
    const auto room =
        own_cache_share * static_cast<double>(work.cache_capacity);
    double out = 0;
    for (const auto& part : work.prefixes) {
        const auto found = prefixes_.find(part.hash);
        if (found == prefixes_.end())
            break;
        const auto& readers = found->second.readers;
        const auto  reader =
            std::find_if(readers.begin(), readers.end(), [&](const auto& r) {
                return r.target == target &&
                       ms_between(r.at, now) < prefix_retention_ms &&
                       (room == 0 || it.tokens_read - r.tokens_read < room);
            });
        if (reader == readers.end())
            break;
        out = part.tokens;
    }
    return out;
}

/// Like cached(), with what other daemons have probably sent to the target. One
/// daemon of many sees too few requests to know its cache from its own calls.
double target_work::expected_cached(const std::string& id, const state& it,
                                    const call_work& work, time_point now) const
{
    auto out = cached(hash_of(id), it, work, now);
    if (id == work.likely_cache && !work.prefixes.empty())
        out = std::max(out, likely_cached_share * work.prefixes.back().tokens);
    return out;
}

std::uint32_t target_work::cached_tokens(const std::string& id,
                                         const call_work&   work,
                                         time_point         now) const
{
    const auto* it = find(id);
    return it ? static_cast<std::uint32_t>(cached(hash_of(id), *it, work, now))
              : 0;
}

void target_work::remember(const std::string& id, const state& it,
                           const call_work& work, time_point now)
{
    const auto target = hash_of(id);
    for (const auto& part : work.prefixes) {
        auto [found, added] = prefixes_.try_emplace(part.hash);
        auto& entry         = found->second;
        if (added) {
            prefix_uses_.push_front(part.hash);
            entry.use = prefix_uses_.begin();
        }
        else {
            prefix_uses_.splice(prefix_uses_.begin(), prefix_uses_, entry.use);
        }
        auto& readers = entry.readers;
        std::erase_if(readers,
                      [&](const auto& r) { return r.target == target; });
        if (readers.size() >= max_targets_per_prefix)
            readers.erase(readers.begin()); // The earliest.
        readers.push_back({target, now, it.tokens_read});
    }
    while (prefixes_.size() > max_prefixes) {
        prefixes_.erase(prefix_uses_.back());
        prefix_uses_.pop_back();
    }
}

void target_work::started(const std::string& id, std::uint64_t number,
                          const call_work& work, time_point now)
{
    auto&      at   = states_[id];
    const auto busy = outstanding_at(at, now);
    own_call   it;
    it.number   = number;
    it.since    = now;
    it.uncached = work.prompt_tokens - expected_cached(id, at, work, now);
    it.output   = work.output;
    it.tokens_per_event = work.tokens_per_event;
    const auto ahead    = it.uncached + busy.prompt;
    // A call that waits for a slot says nothing about the reading.
    if (at.reported.waiting == 0 && ahead >= min_read_sample)
        it.tokens_ahead = ahead;
    it.expected_ms =
        ahead * speeds_of(at, {default_token_ms, default_read_ms}, now).read *
        slowdown(at, now);
    at.tokens_read += it.uncached;
    const auto learn = [](double& mean, double sample) {
        mean = mean == 0 ? sample : mean + mean_gain * (sample - mean);
    };
    learn(mean_prompt_, it.uncached);
    learn(mean_output_, it.output.expected());
    for (const auto& part : work.prefixes)
        it.prefixes.push_back(part.hash);
    at.calls.push_back(std::move(it));
    remember(id, at, work, now);
}

void target_work::learn_token_time(state& at, own_call& it,
                                   time_point now) const
{
    const auto tokens =
        static_cast<double>(it.events - it.marked_events) * it.tokens_per_event;
    const auto sample =
        ms_between(it.marked_at, now) / tokens / slowdown(at, now);
    at.token.add(std::clamp(sample, default_token_ms / max_speed_factor,
                            default_token_ms * max_speed_factor),
                 token_time_gain, now);
    it.marked_events = it.events;
    it.marked_at     = now;
}

void target_work::answered(const std::string& id, std::uint64_t number)
{
    const auto found = states_.find(id);
    if (found == states_.end())
        return;
    for (auto& it : found->second.calls) {
        if (it.number == number)
            it.answered = true;
    }
}

void target_work::event(const std::string& id, std::uint64_t number,
                        time_point now)
{
    const auto found = states_.find(id);
    if (found == states_.end())
        return;
    auto& at = found->second;
    for (auto& it : at.calls) {
        if (it.number != number)
            continue;
        if (++it.events == 1) {
            it.marked_events = 1;
            it.marked_at     = now;
            if (it.tokens_ahead > 0)
                at.read.add(std::clamp(ms_between(it.since, now) /
                                           it.tokens_ahead / slowdown(at, now),
                                       default_read_ms / max_speed_factor,
                                       default_read_ms * max_speed_factor),
                            read_time_gain, now);
        }
        else if (it.events - it.marked_events >= events_per_sample) {
            learn_token_time(at, it, now);
        }
        return;
    }
}

void target_work::finished(const std::string& id, std::uint64_t number,
                           bool ran, time_point now)
{
    const auto found = states_.find(id);
    if (found == states_.end())
        return;
    auto&      at     = found->second;
    const auto target = hash_of(id);
    for (auto& it : at.calls) {
        if (it.number != number)
            continue;
        if (it.events >= it.marked_events + min_events_at_end)
            learn_token_time(at, it, now);
        if (ran || it.events > 0)
            continue;
        at.tokens_read -= it.uncached;
        for (const auto hash : it.prefixes) {
            if (const auto part = prefixes_.find(hash); part != prefixes_.end())
                std::erase_if(part->second.readers, [&](const auto& r) {
                    return r.target == target && r.at == it.since;
                });
        }
    }
    std::erase_if(at.calls,
                  [number](const auto& it) { return it.number == number; });
}

void target_work::load_reported(const std::string& id, const target_load& load,
                                time_point now)
{
    auto& at               = states_[id];
    at.reported            = load;
    at.reported_at         = now;
    at.own_calls_at_report = static_cast<std::uint32_t>(at.calls.size());
}

void target_work::forget(const std::string& id)
{
    states_.erase(id);
    const auto target = hash_of(id);
    for (auto& [hash, it] : prefixes_)
        std::erase_if(it.readers,
                      [target](const auto& r) { return r.target == target; });
}

} // namespace arbutusgate::gateway
