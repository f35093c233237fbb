#include "part_quarantine.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace arbutusgate::gateway {

namespace {

/// News go into each message for this time.
constexpr milliseconds news_time{1500};
/// While a part is in quarantine, further crashes are news only this often:
/// they put off the next trial.
constexpr milliseconds late_crash_interval{1000};
/// Parts that are no news: how many go into one message, and how often each of
/// them goes into one.
constexpr std::size_t  max_settled_reports = 4;
constexpr milliseconds settled_interval{500};
constexpr std::size_t  max_suspect_reports = 2;
constexpr milliseconds suspect_interval{10'000};
/// Crashes of a report from which on answers that void some of them are news.
constexpr std::size_t min_refuted_crashes = 3;

/// An answer that ran for lasting_answer clears crashes that came within
/// lasting_crash after a first event. The span between them keeps a part that
/// crashes targets after a time that varies from clearing itself.
constexpr milliseconds lasting_crash{2000};
constexpr milliseconds lasting_answer{5000};

std::uint64_t hash(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t answer_key(std::uint64_t part, std::uint64_t scope)
{
    return XXH3_64bits_withSeed(&part, sizeof part, scope);
}

/// \return true when \p at is less than \p span ago.
bool is_within(time_point at, milliseconds span, time_point now)
{
    return at > now - span;
}

bool by_time(const part_crash& a, const part_crash& b)
{
    return a.at < b.at;
}

constexpr std::size_t index(answer_progress it)
{
    return static_cast<std::size_t>(it) - 1;
}

constexpr answer_progress next(answer_progress it)
{
    return static_cast<answer_progress>(static_cast<std::uint8_t>(it) + 1);
}

} // namespace

answer_progress broken_progress(milliseconds ran)
{
    return ran < lasting_crash ? answer_progress::begun
                               : answer_progress::lasting;
}

answer_progress unharmed_progress(milliseconds ran)
{
    return ran < lasting_answer ? answer_progress::begun
                                : answer_progress::lasting;
}

std::string shared_part_ids(const std::vector<prompt_part>& prompt)
{
    constexpr std::size_t max_ids = 8;
    std::string           out;
    const auto            n = prompt.empty() ? 0 : prompt.size() - 1;
    for (auto k = n - std::min(n, max_ids); k < n; ++k)
        out += (out.empty() ? "" : ",") + prompt[k].id;
    return out;
}

prompt_key make_prompt_key(const std::vector<prompt_part>& prompt)
{
    prompt_key out;
    if (prompt.empty())
        return out;
    for (std::size_t n = 0; n + 1 < prompt.size(); ++n)
        out.shared.push_back(hash(prompt[n].id));
    out.own = hash(prompt.back().id);
    return out;
}

prompt_key sample_parts(const prompt_key& prompt)
{
    constexpr std::size_t max_parts = 32;
    if (prompt.shared.size() <= max_parts)
        return prompt;
    const auto rank = [own = prompt.own](std::uint64_t part) {
        return XXH3_64bits_withSeed(&part, sizeof part, own);
    };
    auto out = prompt;
    std::nth_element(
        out.shared.begin(),
        out.shared.begin() + static_cast<std::ptrdiff_t>(max_parts),
        out.shared.end(), [&](auto a, auto b) { return rank(a) < rank(b); });
    out.shared.resize(max_parts);
    return out;
}

std::uint64_t software_key(const target& of)
{
    return hash(of.version, hash(of.service));
}

std::uint64_t target_lifetime(const target& of)
{
    return hash(of.id, static_cast<std::uint64_t>(of.started_at));
}

// Evidence -------------------------------------------------------------------

void part_quarantine::remember_answer(std::uint64_t part, std::uint64_t scope,
                                      answer_progress progress, time_point now)
{
    if (answers_.size() >= params_.max_answered_parts / 2)
        older_answers_ = std::exchange(answers_, {});
    const auto [it, added] =
        answers_.try_emplace(answer_key(part, scope), answer_times{});
    if (added)
        it->second.fill(never);
    it->second[index(progress)] = now;
}

std::optional<time_point>
part_quarantine::answered_at(std::uint64_t part, std::uint64_t scope,
                             answer_progress than) const
{
    const auto key = answer_key(part, scope);
    auto       out = never;
    for (const auto* list : {&answers_, &older_answers_}) {
        const auto found = list->find(key);
        if (found == list->end())
            continue;
        const auto& times = found->second;
        for (auto n = static_cast<std::size_t>(than); n < times.size(); ++n)
            out = std::max(out, times[n]);
    }
    return out == never ? std::nullopt : std::optional(out);
}

void part_quarantine::answered(const prompt_key& prompt, const target& by,
                               time_point now, answer_progress progress)
{
    const auto scope = software_key(by);
    for (const auto part : sample_parts(prompt).shared) {
        remember_answer(part, scope, progress, now);
        const auto found = parts_.find(part);
        if (found == parts_.end())
            continue;
        auto&      it     = found->second;
        const auto before = it.crashes;
        const auto weight = it.weight;
        add_answer(it.report, {scope, now, progress});
        judge(it);
        if (it.crashes != before)
            add_news(it, weight, source::own, now);
    }
}

void part_quarantine::broke_off(const prompt_key& prompt, const target& at,
                                time_point now, answer_progress progress)
{
    ++stats_.accused;
    accuse(sample_parts(prompt), at, now, progress);
}

void part_quarantine::fell_silent(const prompt_key& prompt, const target& at,
                                  time_point now, answer_progress progress)
{
    if (prompt.shared.empty())
        return;
    if (silent_calls_.size() >= params_.max_silent_calls)
        silent_calls_.erase(silent_calls_.begin());
    silent_calls_.push_back({sample_parts(prompt), at, now, progress});
}

void part_quarantine::target_changed(const std::string& id,
                                     const target* current, time_point now)
{
    const auto ended = [&](const silent_call& it) {
        return it.at.id == id &&
               (!current || current->started_at != it.at.started_at);
    };
    for (const auto& it : silent_calls_) {
        if (ended(it))
            accuse(it.prompt, it.at, now, it.progress);
    }
    std::erase_if(silent_calls_, [&](const auto& it) {
        return ended(it) || now - it.ended_at > params_.silence_retention;
    });
}

void part_quarantine::accuse(const prompt_key& prompt, const target& at,
                             time_point now, answer_progress progress)
{
    const auto lifetime = target_lifetime(at);
    const auto scope    = software_key(at);
    note_accused(lifetime, now);
    for (const auto part : prompt.shared) {
        const auto answered = answered_at(part, scope, progress);
        if (answered && *answered + params_.answer_margin >= now)
            continue;
        auto&      it     = entry_of(part);
        const auto before = it.crashes;
        add_crash(it.report, {lifetime, prompt.own, scope, now,
                              companions_of(part, prompt), progress});
        judge(it);
        if (it.crashes > before)
            add_news(it, it.weight, source::own, now);
    }
}

void part_quarantine::note_accused(std::uint64_t id, time_point at)
{
    if (lifetimes_.size() >= params_.max_lifetimes && !lifetimes_.contains(id))
        lifetimes_.erase(std::min_element(lifetimes_.begin(), lifetimes_.end(),
                                          [](const auto& a, const auto& b) {
                                              return a.second.accused_at <
                                                     b.second.accused_at;
                                          }));
    auto& it = lifetimes_[id];
    if (at <= it.alive_at)
        return;
    if (it.accused_at == never || it.alive_at > it.accused_at) {
        it.accused_at = at;
        it.heard_at   = never;
    }
    else {
        it.accused_at = std::min(it.accused_at, at);
    }
}

void part_quarantine::heard(const target& from, time_point connected_at,
                            time_point now)
{
    if (lifetimes_.empty())
        return;
    const auto id    = target_lifetime(from);
    const auto found = lifetimes_.find(id);
    if (found == lifetimes_.end())
        return;
    auto& it = found->second;
    // A later process at the same address has only later connections.
    if (connected_at >= it.accused_at ||
        now < it.accused_at + params_.proof_margin ||
        it.alive_at > it.accused_at)
        return;
    if (it.heard_at == never) {
        it.heard_at = now;
        return;
    }
    if (now < it.heard_at + params_.proof_spacing)
        return;
    ++stats_.refuted;
    it.alive_at = it.heard_at;
    it.news_at  = now;
    judge_crashes_of(id, source::own, now);
}

// Reports --------------------------------------------------------------------

void part_quarantine::merge(const part_report& report, time_point now)
{
    const auto found  = parts_.find(report.part);
    const bool useful = std::any_of(
        report.crashes.begin(), report.crashes.end(),
        [&](const auto& it) { return now - it.at < params_.retention; });
    if (found == parts_.end() && !useful)
        return;
    auto&      it          = entry_of(report.part);
    const auto before      = it.crashes;
    const auto weight      = it.weight;
    const auto last_before = last_activity(it);
    const auto trials      = it.report.trials;
    for (const auto& crash : report.crashes) {
        if (now - crash.at >= params_.retention)
            continue;
        note_accused(crash.lifetime, crash.at);
        add_crash(it.report, crash);
    }
    for (const auto& answer : report.answers)
        add_answer(it.report, answer);
    if (report.trials > it.report.trials) {
        it.report.trials        = report.trials;
        it.report.last_trial_at = report.last_trial_at;
    }
    const bool was_convicted = it.convicted;
    judge(it);
    const bool late = was_convicted && it.convicted &&
                      it.report.trials == trials &&
                      last_activity(it) - last_before < late_crash_interval;
    // The sender may not know of answers that this daemon knows.
    const bool refuted =
        report.crashes.size() >= min_refuted_crashes &&
        std::any_of(report.crashes.begin(), report.crashes.end(),
                    [&](const auto& c) {
                        return counts(report, c) && !counts(it.report, c);
                    });
    if (refuted && !is_within(it.news_at, news_time, now))
        add_news(it, convicting_weight(), source::report, now);
    if ((it.crashes != before || it.report.trials != trials) && !late)
        add_news(it, std::max(weight, it.weight), source::report, now);
}

void part_quarantine::merge(const lifetime_report& report, time_point now)
{
    if (now - report.alive_at > params_.evidence_lifetime)
        return;
    const auto found = lifetimes_.find(report.lifetime);
    if (found == lifetimes_.end() ||
        found->second.alive_at >= report.alive_at - params_.proof_spacing)
        return;
    found->second.alive_at = report.alive_at;
    found->second.news_at  = now;
    judge_crashes_of(report.lifetime, source::report, now);
}

void part_quarantine::judge_crashes_of(std::uint64_t id, source from,
                                       time_point now)
{
    for (auto& [part, it] : parts_) {
        const auto& crashes = it.report.crashes;
        if (std::none_of(crashes.begin(), crashes.end(),
                         [&](const auto& c) { return c.lifetime == id; }))
            continue;
        const auto before = it.crashes;
        const auto weight = it.weight;
        judge(it);
        if (it.crashes != before)
            add_news(it, weight, from, now);
    }
    if (news_)
        news_(from);
}

void part_quarantine::add_news(entry& it, std::size_t weight, source from,
                               time_point now)
{
    it.news_weight = is_within(it.news_at, news_time, now)
                         ? std::max(it.news_weight, weight)
                         : weight;
    it.news_at     = now;
    if (news_)
        news_(from);
}

std::vector<part_report> part_quarantine::reports(std::size_t most,
                                                  time_point  now)
{
    const auto is_news = [&](const entry& it) {
        return is_within(it.news_at, news_time, now);
    };
    std::vector<const entry*> news;
    for (const auto& [part, it] : parts_) {
        if (is_news(it))
            news.push_back(&it);
    }
    std::sort(news.begin(), news.end(), [](const auto* a, const auto* b) {
        return std::pair(a->news_weight, a->news_at) >
               std::pair(b->news_weight, b->news_at);
    });
    std::vector<part_report> out;
    for (const auto* it : news) {
        if (out.size() < most)
            out.push_back(it->report);
    }
    add_in_turn(out, std::min(most, out.size() + max_settled_reports),
                last_quarantine_, [&](const entry& it) {
                    return it.convicted && !is_news(it) &&
                           !is_within(it.reported_at, settled_interval, now);
                });
    add_in_turn(out, std::min(most, out.size() + max_suspect_reports),
                last_suspect_, [&](const entry& it) {
                    return !it.convicted && it.crashes > 0 && !is_news(it) &&
                           !is_within(it.reported_at, suspect_interval, now);
                });
    for (const auto& it : out)
        parts_.at(it.part).reported_at = now;
    return out;
}

/// Adds the reports of parts of one kind, from the one after \p last on.
void part_quarantine::add_in_turn(
    std::vector<part_report>& out, std::size_t most, std::uint64_t& last,
    const std::function<bool(const entry&)>& is_wanted) const
{
    auto next = parts_.upper_bound(last);
    for (std::size_t n = 0; n < parts_.size() && out.size() < most; ++n) {
        if (next == parts_.end())
            next = parts_.begin();
        last = next->first;
        if (is_wanted(next->second))
            out.push_back(next->second.report);
        ++next;
    }
}

std::vector<lifetime_report>
part_quarantine::lifetime_reports(std::size_t most, time_point now) const
{
    std::vector<lifetime_report> out;
    for (const auto& [id, it] : lifetimes_) {
        if (out.size() < most && is_within(it.news_at, news_time, now))
            out.push_back({id, it.alive_at});
    }
    return out;
}

part_quarantine::part_list
part_quarantine::companions_of(std::uint64_t     part,
                               const prompt_key& prompt) const
{
    auto out = prompt.shared;
    std::erase(out, part);
    out.resize(std::min(out.size(), params_.max_companions));
    std::sort(out.begin(), out.end());
    return out;
}

bool part_quarantine::is_same_crash(const part_crash& a,
                                    const part_crash& b) const
{
    return a.lifetime == b.lifetime &&
           (!params_.restart_time ||
            std::chrono::abs(a.at - b.at) < *params_.restart_time);
}

/// Adds what another call that broke off in the same crash shows.
void part_quarantine::add_call(part_crash& to, const part_crash& it) const
{
    part_list companions;
    std::set_union(to.companions.begin(), to.companions.end(),
                   it.companions.begin(), it.companions.end(),
                   std::back_inserter(companions));
    companions.resize(std::min(companions.size(), params_.max_companions));
    // Any of these calls may have caused the crash.
    const auto progress = std::max(to.progress, it.progress);
    if (it.at < to.at)
        to = it;
    to.companions = std::move(companions);
    to.progress   = progress;
}

void part_quarantine::add_crash(part_report& to, const part_crash& it) const
{
    auto&      list = to.crashes;
    const auto known =
        std::find_if(list.begin(), list.end(),
                     [&](const auto& c) { return is_same_crash(c, it); });
    if (known != list.end()) {
        add_call(*known, it);
    }
    else {
        list.push_back(it);
        auto& companions = list.back().companions;
        companions.resize(std::min(companions.size(), params_.max_companions));
    }
    std::sort(list.begin(), list.end(), by_time);
    if (list.size() <= params_.max_crashes)
        return;
    // Of crashes that count as one, the later one tells least.
    const auto close = std::adjacent_find(
        list.begin(), list.end(), [&](const auto& a, const auto& b) {
            return b.at - a.at < params_.crash_spacing;
        });
    list.erase(close == list.end() ? list.begin() : close + 1);
}

void part_quarantine::add_answer(part_report& to, const part_answer& it) const
{
    auto&      list = to.answers;
    const auto known =
        std::find_if(list.begin(), list.end(), [&](const auto& a) {
            return a.scope == it.scope && a.progress == it.progress;
        });
    if (known != list.end()) {
        known->at = std::max(known->at, it.at);
        return;
    }
    if (list.size() >= params_.max_answers)
        list.erase(std::min_element(
            list.begin(), list.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; }));
    list.push_back(it);
}

void part_quarantine::add_own_answers(part_report& to) const
{
    for (const auto& it : to.crashes) {
        const auto at = answered_at(to.part, it.scope, it.progress);
        if (at && *at + params_.answer_margin >= it.at)
            add_answer(to, {it.scope, *at, next(it.progress)});
    }
}

// Verdicts -------------------------------------------------------------------

bool part_quarantine::counts(const part_report& of, const part_crash& it) const
{
    const bool answered =
        std::any_of(of.answers.begin(), of.answers.end(), [&](const auto& a) {
            return a.scope == it.scope && a.progress > it.progress &&
                   a.at + params_.answer_margin >= it.at;
        });
    const auto lives = lifetimes_.find(it.lifetime);
    return !answered &&
           (lives == lifetimes_.end() || lives->second.alive_at <= it.at);
}

std::size_t part_quarantine::weight_of(const part_crash& it) const
{
    return it.progress == answer_progress::none ? params_.min_late_crashes
                                                : params_.min_crashes;
}

void part_quarantine::judge(entry& it)
{
    add_own_answers(it.report);
    std::erase_if(it.report.crashes,
                  [&](const auto& c) { return !counts(it.report, c); });
    std::set<std::uint64_t>   requests;
    std::optional<time_point> decided_at;
    time_point                last{};
    it.crashes = 0;
    it.weight  = 0;
    for (const auto& crash : it.report.crashes) {
        requests.insert(crash.request);
        if (it.crashes == 0 || crash.at - last >= params_.crash_spacing) {
            ++it.crashes;
            it.weight += weight_of(crash);
            last = crash.at;
        }
        if (!decided_at && it.weight >= convicting_weight() &&
            (requests.size() >= params_.min_requests ||
             it.crashes >= params_.min_crashes_of_one))
            decided_at = crash.at;
    }
    it.requests = requests.size();
    if (decided_at && !it.convicted)
        it.in_force_at = *decided_at + params_.hearing_time;
    if (decided_at.has_value() == it.convicted)
        return;
    it.convicted = decided_at.has_value();
    convicted_ += it.convicted ? 1 : -1;
    ++(it.convicted ? stats_.convicted : stats_.ended);
    if (verdict_)
        verdict_(it.convicted, verdict_of(it));
}

time_point part_quarantine::last_activity(const entry& it) const
{
    auto out = it.report.trials > 0 ? it.report.last_trial_at : never;
    for (const auto& crash : it.report.crashes)
        out = std::max(out, crash.at);
    return out;
}

time_point part_quarantine::next_trial_at(const entry& it) const
{
    auto interval = params_.trial_interval;
    for (std::uint32_t n = 0;
         n < it.report.trials && interval < params_.max_trial_interval; ++n)
        interval *= params_.trial_backoff;
    return last_activity(it) + std::min(interval, params_.max_trial_interval);
}

part_verdict part_quarantine::verdict_of(const entry& it) const
{
    part_verdict out{
        it.report.part, it.crashes, it.requests, {}, next_trial_at(it)};
    if (!it.report.crashes.empty())
        out.last_crash_at = it.report.crashes.back().at;
    return out;
}

/// A scope without crashes is concerned unless a request was answered there.
bool part_quarantine::is_scope_of(const entry& it, std::uint64_t scope) const
{
    const auto& report   = it.report;
    auto        progress = answer_progress::none; // Of the crashes.
    for (const auto& crash : report.crashes) {
        if (crash.scope == scope)
            return true;
        progress = std::max(progress, crash.progress);
    }
    return std::none_of(report.answers.begin(), report.answers.end(),
                        [&](const auto& a) {
                            return a.scope == scope && a.progress > progress;
                        }) &&
           !answered_at(report.part, scope, progress);
}

/// A request without a part that may have caused the crashes instead of this
/// one shows which of them it was.
bool part_quarantine::is_test_of(const entry&      it,
                                 const prompt_key& prompt) const
{
    const auto& crashes = it.report.crashes;
    if (crashes.empty())
        return false;
    // The companion may have been part of another request.
    const auto stands_in = [&](const entry& other, const part_crash& it) {
        const auto& list = other.report.crashes;
        return std::binary_search(it.companions.begin(), it.companions.end(),
                                  other.report.part) ||
               std::any_of(list.begin(), list.end(),
                           [&](const auto& c) { return is_same_crash(c, it); });
    };
    const auto in_all = [&](const entry& other) {
        return std::all_of(crashes.begin(), crashes.end(),
                           [&](const auto& c) { return stands_in(other, c); });
    };
    const auto& companions = crashes.front().companions;
    return std::any_of(
        companions.begin(), companions.end(), [&](std::uint64_t part) {
            const auto other = parts_.find(part);
            return other != parts_.end() && other->second.convicted &&
                   std::find(prompt.shared.begin(), prompt.shared.end(),
                             part) == prompt.shared.end() &&
                   in_all(other->second);
        });
}

std::optional<part_verdict> part_quarantine::find(const prompt_key& prompt,
                                                  std::uint64_t     scope,
                                                  time_point        now) const
{
    if (!active())
        return std::nullopt;
    for (const auto part : prompt.shared) {
        const auto found = parts_.find(part);
        if (found != parts_.end() && found->second.convicted &&
            now >= found->second.in_force_at &&
            is_scope_of(found->second, scope) &&
            !is_test_of(found->second, prompt))
            return verdict_of(found->second);
    }
    return std::nullopt;
}

bool part_quarantine::take_trial(std::uint64_t part, time_point now)
{
    const auto found = parts_.find(part);
    if (found == parts_.end() || !found->second.convicted ||
        now < next_trial_at(found->second))
        return false;
    auto& it = found->second;
    ++it.report.trials;
    it.report.last_trial_at = now;
    ++stats_.trials;
    add_news(it, it.weight, source::own, now);
    return true;
}

const part_report* part_quarantine::report(std::uint64_t part) const
{
    const auto found = parts_.find(part);
    return found == parts_.end() ? nullptr : &found->second.report;
}

// Bounds ---------------------------------------------------------------------

/// Makes place for a new part: the one with fewest crashes goes, of those the
/// one whose news are oldest.
part_quarantine::entry& part_quarantine::entry_of(std::uint64_t part)
{
    if (parts_.size() >= params_.max_parts && !parts_.contains(part)) {
        ++stats_.forgotten;
        erase(std::min_element(
            parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
                return std::pair(a.second.crashes, a.second.news_at) <
                       std::pair(b.second.crashes, b.second.news_at);
            }));
    }
    auto& out       = parts_[part];
    out.report.part = part;
    return out;
}

void part_quarantine::erase(part_map::iterator it)
{
    if (it->second.convicted) {
        --convicted_;
        ++stats_.ended;
        if (verdict_)
            verdict_(false, verdict_of(it->second));
    }
    parts_.erase(it);
}

void part_quarantine::expire(time_point now)
{
    for (auto next = parts_.begin(); next != parts_.end();) {
        const auto part = next++;
        auto&      it   = part->second;
        if (it.convicted) {
            if (now - last_activity(it) >= params_.retention)
                erase(part);
            continue;
        }
        std::erase_if(it.report.crashes, [&](const auto& c) {
            return now - c.at >= params_.evidence_lifetime;
        });
        judge(it);
        // The answers of a part keep old reports from accusing it again.
        const bool answered = std::any_of(
            it.report.answers.begin(), it.report.answers.end(),
            [&](const auto& a) { return now - a.at < params_.retention; });
        if (it.report.crashes.empty() && !answered)
            erase(part);
    }
    std::erase_if(lifetimes_, [&](const auto& it) {
        return now - it.second.accused_at >= params_.evidence_lifetime;
    });
    std::erase_if(silent_calls_, [&](const auto& it) {
        return now - it.ended_at > params_.silence_retention;
    });
}

} // namespace arbutusgate::gateway
