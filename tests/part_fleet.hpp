/// Simulates a fleet of daemons before targets that crash on parts of prompts,
/// in virtual time and without a network.
#pragma once

#include "fleet_trials.hpp"
#include "part_quarantine.hpp"
#include "virtual_fleet.hpp"
#include "waiting_calls.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace arbutusgate::gateway::test {

/// Load and targets of a part_fleet.
struct part_load
{
    std::size_t targets      = 12;
    double      per_s        = 28; ///< Requests of the route, all daemons.
    double      deadly_share = 0.05;
    std::size_t first_parts  = 4;
    std::size_t sessions     = 330; ///< Middle parts.
    std::size_t attempts     = 1;   ///< Targets that one request may try.
    std::size_t repeats      = 0;   ///< By the caller, after a failure.
    /// Longest wait between a request's arrival and its target.
    milliseconds max_wait{800};
    /// Crashed targets are gone for so long. Then they come back under a new
    /// id.
    milliseconds down{3400};
    /// Ended targets close no connection and refuse none.
    bool silent_crashes = false;
    /// Requests whose answer begins after 0.9 s or more.
    double slow_share = 0;
    /// From the first event of a deadly answer to the crash, up to twice as
    /// long; unset: the target crashes instead of the first event.
    std::optional<milliseconds> deadly_after{};
    /// Events of an answer, at most.
    std::size_t events = 20;
};

/// One request that reached a target.
struct deadly_arrival
{
    time_point  at{};
    std::size_t daemon = 0;
};

class part_fleet final : public virtual_fleet
{
public:
    part_fleet(std::size_t n, std::uint64_t seed, part_load load)
        : virtual_fleet(n, seed), load_(load), quarantines_(n), waiting_(n),
          watched_(n), connected_(n), in_touch_from_(n, now()), cut_until_(n),
          silent_cuts_(n)
    {
        for (std::size_t t = 0; t < load.targets; ++t)
            targets_.push_back(new_target(t));
        start_all();
        for (std::size_t k = 0; k < n; ++k)
            schedule_request(k);
    }

    // Load and faults --------------------------------------------------------

    /// From now on, deadly requests have one of these parts.
    /// \param chain parts before it: 0: none; 1: any first part; 2: the first
    /// part and the session of sound requests, always the same.
    void poison(std::vector<std::string> parts, std::size_t chain = 2)
    {
        deadly_       = std::move(parts);
        deadly_chain_ = chain;
    }
    /// The targets no longer crash on the parts; requests with them go on.
    void mend() { mended_ = true; }
    /// Targets crash for another reason.
    void crash_targets(double share)
    {
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            if (chance(share))
                crash(t);
        }
    }
    /// A share of the targets resets a share of its calls for a time.
    void break_calls(double share, double calls, milliseconds time)
    {
        for (auto& it : targets_)
            it.break_share = chance(share) ? calls : 0;
        schedule(now() + time, [this] {
            for (auto& it : targets_)
                it.break_share = 0;
        });
    }
    /// Every call of the daemon breaks off, and it reaches no target for a
    /// time.
    void cut_from_targets(std::size_t k, milliseconds time)
    {
        cut_until_[k]   = now() + time;
        silent_cuts_[k] = "";
        for (auto& it : targets_)
            break_all(it, [k](const call& c) { return c.daemon == k; });
    }
    /// Nothing passes between the daemon and the targets of a failure domain
    /// for a time; no connection ends.
    /// \param domain empty: of all domains.
    void cut_silently(std::size_t k, milliseconds time,
                      const std::string& domain)
    {
        cut_until_[k]   = now() + time;
        silent_cuts_[k] = domain.empty() ? "all" : domain;
    }
    /// The version of the targets that start from now on.
    void release(std::string version) { version_ = std::move(version); }
    /// The fault of a daemon excuses it until a time after now.
    void excuse(std::size_t k, milliseconds fault)
    {
        in_touch_from_[k] = now() + fault + milliseconds{3000};
    }

    // Results ----------------------------------------------------------------

    /// Crashes by requests with a part, by time.
    std::vector<time_point> crashes(const std::string& part) const
    {
        const auto it = crashes_.find(part);
        return it == crashes_.end() ? std::vector<time_point>{} : it->second;
    }
    /// Requests with the part that reached a target later than 3 s after the
    /// fifth crash, sent by daemons in touch.
    std::size_t late(const std::string& part) const
    {
        const auto list = crashes(part);
        if (list.size() < 5)
            return 0;
        return arrivals_since(part, list[4] + milliseconds{3000});
    }
    std::size_t arrivals_since(const std::string& part, time_point from) const
    {
        const auto it = arrivals_.find(part);
        if (it == arrivals_.end())
            return 0;
        return static_cast<std::size_t>(
            std::count_if(it->second.begin(), it->second.end(),
                          [&](const auto& a) { return a.at > from; }));
    }
    /// Sound requests that were refused since a time.
    std::size_t refused_sound(time_point from) const
    {
        return static_cast<std::size_t>(
            std::count_if(refused_.begin(), refused_.end(),
                          [&](auto at) { return at >= from; }));
    }
    std::size_t sound = 0; ///< Sound requests in all.
    /// Daemons that are alive and keep requests with the part from targets.
    std::size_t refusing(const std::string& part) const
    {
        const auto  key = make_prompt_key(deadly_prompt(part));
        std::size_t out = 0;
        for (std::size_t k = 0; k < size(); ++k)
            out += at(k).alive &&
                   quarantines_[k]->find(key, software_key(new_type()), now());
        return out;
    }
    /// Parts of sound requests for which such a request was refused.
    std::size_t      wrong_verdicts() const { return wrong_.size(); }
    part_quarantine& quarantine(std::size_t k) { return *quarantines_[k]; }
    /// Bytes of reports of parts and lifetimes, all daemons together.
    std::size_t report_bytes = 0;

private:
    struct call
    {
        std::uint64_t id     = 0;
        std::size_t   daemon = 0;
        std::uint64_t life   = 0; ///< Of the daemon.
        prompt_key    prompt;
        std::string   deadly; ///< Part that crashes the target; empty: none.
        bool          answered = false;
        std::size_t   attempt  = 1;
        std::size_t   repeat   = 0;
        std::optional<std::uint64_t> trial; ///< Part of which it is the trial.
        std::uint64_t                waiting = 0; ///< In waiting_calls.
        time_point                   begun_at{};  ///< If answered.
        time_point                   last_event_at{};
    };
    struct simulated_target
    {
        target            info;
        bool              up          = true;
        double            break_share = 0;
        time_point        started{};
        std::vector<call> calls;
    };

    target new_type() const
    {
        target out;
        out.service = "s";
        out.version = version_;
        return out;
    }
    simulated_target new_target(std::size_t t)
    {
        simulated_target out;
        out.info            = new_type();
        out.info.id         = "i-" + std::to_string(next_target_++);
        out.info.address    = "10.1.0." + std::to_string(t) + ":80";
        out.info.started_at = 1;
        // Domains of the targets; none is a domain of daemons.
        out.info.failure_domain = "z" + std::to_string(t % 3);
        out.started             = now();
        return out;
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<>()(random_) < share;
    }
    std::size_t draw(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }
    milliseconds draw_ms(int from, int to)
    {
        return milliseconds{
            std::uniform_int_distribution<int>(from, to)(random_)};
    }

    // Daemons ----------------------------------------------------------------

    void reset(std::size_t k) override
    {
        waiting_[k] = {};
        watched_[k].clear();
        connected_[k].clear();
        quarantines_[k] = std::make_unique<part_quarantine>();
        quarantines_[k]->on_news([this, k](part_quarantine::source from) {
            if (from == part_quarantine::source::own || at(k).table->large())
                spread(k);
        });
    }

    void on_heartbeat(std::size_t k) override
    {
        quarantines_[k]->expire(now());
        quarantines_[k]->set_hearing_time(report_spread_time(*at(k).table));
    }

    void add_reports(std::size_t k, peer_gossip& out) override
    {
        out.parts     = quarantines_[k]->reports(12, now());
        out.lifetimes = quarantines_[k]->lifetime_reports(12, now());
    }

    void apply_reports(std::size_t k, const peer_gossip& in) override
    {
        for (const auto& it : in.parts)
            quarantines_[k]->merge(it, now());
        for (const auto& it : in.lifetimes) {
            if (!at(k).table->resuming(now()))
                quarantines_[k]->merge(it, now());
        }
    }

    void on_message(const peer_gossip& it, std::size_t bytes) override
    {
        if (it.parts.empty() && it.lifetimes.empty())
            return;
        auto without = it;
        without.parts.clear();
        without.lifetimes.clear();
        report_bytes +=
            it.queues_only ? bytes : bytes - encode(without, now()).size();
    }

    // Requests ---------------------------------------------------------------

    void schedule_request(std::size_t k)
    {
        const auto mean = static_cast<double>(size()) / load_.per_s;
        const auto wait = std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>(
                std::exponential_distribution<>(1 / mean)(random_)));
        schedule(now() + wait, [this, k] {
            if (at(k).alive && now() >= at(k).paused_until)
                arrive(k, new_request());
            schedule_request(k);
        });
    }

    std::vector<prompt_part> deadly_prompt(const std::string& part) const
    {
        std::vector<prompt_part> out;
        if (deadly_chain_ > 0)
            out.push_back({"f0", 100});
        if (deadly_chain_ > 1)
            out.push_back({"m-" + part, 100});
        out.push_back({part, 100});
        out.push_back({"own", 10});
        return out;
    }
    std::string first_part()
    {
        return "f" + std::to_string(draw(load_.first_parts));
    }

    call new_request()
    {
        std::vector<prompt_part> prompt;
        call                     out;
        out.id = ++next_call_;
        if (!deadly_.empty() && chance(load_.deadly_share)) {
            out.deadly = deadly_[draw(deadly_.size())];
            prompt     = deadly_prompt(out.deadly);
            if (deadly_chain_ == 1)
                prompt.front().id = first_part();
        }
        else {
            prompt.push_back({first_part(), 100});
            // Sound requests of the session of the deadly ones come, too.
            if (!deadly_.empty() && chance(0.01))
                prompt = {{"f0", 100}, {"m-" + deadly_.front(), 100}};
            else
                prompt.push_back(
                    {"m" + std::to_string(draw(load_.sessions)), 100});
            prompt.push_back({"own", 10});
            ++sound;
        }
        prompt.back().id = "own" + std::to_string(out.id);
        out.prompt       = make_prompt_key(prompt);
        return out;
    }

    /// \return true when the request must not be sent.
    bool refused(std::size_t k, call& it)
    {
        const auto found =
            quarantines_[k]->find(it.prompt, software_key(new_type()), now());
        if (!found || found->part == it.trial)
            return false;
        if (found->next_trial_at <= now() && take_trial(k, found->part)) {
            it.trial = found->part;
            return false;
        }
        if (it.deadly.empty()) {
            refused_.push_back(now());
            wrong_.insert(found->part);
        }
        return true;
    }

    /// The request and its answer take no time here.
    bool take_trial(std::size_t k, std::uint64_t part)
    {
        const auto owner =
            index_of(fleet_trials::owner(*at(k).table, part, now()));
        if (!at(owner).alive || !at(owner).table->agreed(now()))
            return false;
        if (owner != k)
            quarantines_[owner]->merge(*quarantines_[k]->report(part), now());
        const bool out = quarantines_[owner]->take_trial(part, now());
        if (owner != k)
            quarantines_[k]->merge(*quarantines_[owner]->report(part), now());
        return out;
    }

    void arrive(std::size_t k, call it)
    {
        if (refused(k, it))
            return;
        it.daemon = k;
        it.life   = at(k).life;
        const milliseconds wait =
            draw_ms(0, static_cast<int>(load_.max_wait.count()));
        on(k, now() + wait, [this, it] { send_request(it); });
    }

    bool is_up(const target& of) const
    {
        return std::any_of(
            targets_.begin(), targets_.end(),
            [&](const auto& it) { return it.up && it.info.id == of.id; });
    }

    void send_request(call it)
    {
        const auto k = it.daemon;
        if (refused(k, it) ||
            (now() < cut_until_[k] && silent_cuts_[k].empty()))
            return;
        std::vector<std::size_t> open;
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            // A connection that is open may be used after the target's end.
            if (targets_[t].up || (load_.silent_crashes &&
                                   has_connection(k, targets_[t].info.id)))
                open.push_back(t);
        }
        if (open.empty())
            return;
        const auto t    = open[draw(open.size())];
        const auto info = targets_[t].info;
        connected_[k].erase(info.id);
        it.waiting = waiting_[k].add(it.prompt, info, now());
        if (watched_[k].insert(target_lifetime(info)).second)
            check_waiting(k, target_lifetime(info));
        if (is_cut_silently(k, info)) {
            time_out(it, info);
            return;
        }
        schedule(now() + delay(), [this, t, it, info] {
            if (!targets_[t].up || targets_[t].info.id != info.id) {
                if (load_.silent_crashes)
                    time_out(it, info);
                else
                    on(it.daemon, now() + delay(),
                       [this, it, info] { stop_waiting(it, info); });
                return;
            }
            targets_[t].calls.push_back(it);
            if (!it.deadly.empty() && now() >= in_touch_from_[it.daemon])
                arrivals_[it.deadly].push_back({now(), it.daemon});
            const auto prefill = chance(load_.slow_share) ? draw_ms(900, 2500)
                                                          : draw_ms(40, 200);
            schedule(now() + prefill, [this, t, id = it.id, target = info.id] {
                begin_answer(t, target, id);
            });
        });
    }

    bool has_connection(std::size_t k, const std::string& target_id) const
    {
        constexpr milliseconds idle_timeout{10'000};
        const auto             it = connected_[k].find(target_id);
        return it != connected_[k].end() && now() - it->second < idle_timeout;
    }

    // Crash checks -----------------------------------------------------------

    void stop_waiting(const call& it, const target& at)
    {
        if (this->at(it.daemon).life == it.life)
            waiting_[it.daemon].remove(target_lifetime(at), it.waiting);
    }

    /// The call gets no answer and no error before its timeout.
    void time_out(const call& it, const target& at)
    {
        on(it.daemon, now() + milliseconds{1500 + 10 * draw(100)},
           [this, it, at] {
               if (this->at(it.daemon).life != it.life)
                   return;
               stop_waiting(it, at);
               quarantines_[it.daemon]->fell_silent(it.prompt, at, now(),
                                                    progress_of(it));
           });
    }

    static answer_progress progress_of(const call& it)
    {
        return it.answered
                   ? broken_progress(std::chrono::duration_cast<milliseconds>(
                         it.last_event_at - it.begun_at))
                   : answer_progress::none;
    }

    bool is_cut_silently(std::size_t k, const target& from) const
    {
        return now() < cut_until_[k] &&
               (silent_cuts_[k] == "all" ||
                silent_cuts_[k] == from.failure_domain);
    }
    bool is_cut(std::size_t k, const target& from) const
    {
        return is_cut_silently(k, from) ||
               (now() < cut_until_[k] && silent_cuts_[k].empty());
    }

    static constexpr milliseconds connect_timeout{400};
    static constexpr milliseconds event_interval{120};

    /// Like crash_check::has_ended().
    void judge(std::size_t k, const target& it, std::function<void(bool)> done)
    {
        if (!is_cut(k, it) && (is_up(it) || !load_.silent_crashes)) {
            on(k, now() + delay(),
               [ended = !is_up(it), done = std::move(done)] { done(ended); });
            return;
        }
        on(k, now() + connect_timeout, [this, k, it, done = std::move(done)] {
            std::vector<target> published;
            for (const auto& other : targets_)
                published.push_back(other.info);
            const auto list = reachability_witnesses(published, it);
            const bool reached =
                std::any_of(list.begin(), list.end(), [&](const auto& other) {
                    return is_up(other) && !is_cut(k, other);
                });
            on(k, now() + connect_timeout, [this, k, it, reached, done] {
                done(reached && (is_cut(k, it) || !is_up(it)));
            });
        });
    }

    /// Like crash_check::check_while_waiting().
    void check_waiting(std::size_t k, std::uint64_t lifetime)
    {
        const auto due = waiting_[k].check_at(lifetime);
        if (!due) {
            watched_[k].erase(lifetime);
            return;
        }
        if (now() < *due) {
            on(k, *due, [this, k, lifetime] { check_waiting(k, lifetime); });
            return;
        }
        const auto info = *waiting_[k].find(lifetime);
        judge(k, info, [this, k, lifetime, info, started = now()](bool ended) {
            const auto again = waiting_[k].check_at(lifetime);
            if (!ended) {
                waiting_[k].heard(lifetime, now());
            }
            else if (again && *again <= started) {
                connected_[k].erase(info.id);
                for (const auto& it : waiting_[k].take(lifetime, started))
                    quarantines_[k]->broke_off(it.prompt, info, now(),
                                               it.progress);
            }
            check_waiting(k, lifetime);
        });
    }

    // Targets ----------------------------------------------------------------

    call* find_call(simulated_target& in, std::uint64_t id)
    {
        const auto it = std::find_if(in.calls.begin(), in.calls.end(),
                                     [&](const auto& c) { return c.id == id; });
        return it == in.calls.end() ? nullptr : &*it;
    }

    void begin_answer(std::size_t t, const std::string& target_id,
                      std::uint64_t id)
    {
        auto& in = targets_[t];
        auto* it = in.info.id == target_id ? find_call(in, id) : nullptr;
        if (!it)
            return;
        if (!it->deadly.empty() && !mended_) {
            if (!load_.deadly_after) {
                crashes_[it->deadly].push_back(now());
                crash(t);
                return;
            }
            const auto after = static_cast<int>(load_.deadly_after->count());
            schedule(now() + draw_ms(after, 2 * after),
                     [this, t, target_id, part = it->deadly] {
                         auto& from = targets_[t];
                         if (!from.up || from.info.id != target_id)
                             return;
                         crashes_[part].push_back(now());
                         crash(t);
                     });
        }
        if (chance(in.break_share)) {
            break_all(in, [id](const call& c) { return c.id == id; });
            return;
        }
        it->answered = true;
        it->begun_at = it->last_event_at = now();
        if (is_cut_silently(it->daemon, in.info)) {
            time_out(*it, in.info);
            std::erase_if(in.calls, [id](const auto& c) { return c.id == id; });
            return;
        }
        on(it->daemon, now() + delay(),
           [this, c = *it, info = in.info, started = in.started] {
               if (at(c.daemon).life != c.life)
                   return;
               waiting_[c.daemon].begun(target_lifetime(info), c.waiting,
                                        now());
               connected_[c.daemon][info.id] = now();
               quarantines_[c.daemon]->answered(c.prompt, info, now());
               heard(c.daemon, info, started);
           });
        const auto events = draw(load_.events);
        for (std::size_t n = 1; n <= events; ++n) {
            schedule(now() + event_interval * n, [this, t, target_id, id] {
                send_event(t, target_id, id);
            });
        }
        schedule(now() + event_interval * (events + 1),
                 [this, t, target_id, id] { end_answer(t, target_id, id); });
    }

    void send_event(std::size_t t, const std::string& target_id,
                    std::uint64_t id)
    {
        auto& from = targets_[t];
        auto* it   = from.info.id == target_id ? find_call(from, id) : nullptr;
        if (!it || is_cut_silently(it->daemon, from.info))
            return;
        const auto before   = progress_after(it->last_event_at - it->begun_at);
        it->last_event_at   = now();
        const auto progress = progress_after(it->last_event_at - it->begun_at);
        on(it->daemon, now() + delay(),
           [this, c = *it, info = from.info, started = from.started, progress,
            rises = progress != before] {
               heard(c.daemon, info, started);
               if (rises && at(c.daemon).life == c.life)
                   quarantines_[c.daemon]->answered(c.prompt, info, now(),
                                                    progress);
           });
    }
    static answer_progress progress_after(microseconds ran)
    {
        return unharmed_progress(std::chrono::duration_cast<milliseconds>(ran));
    }

    void end_answer(std::size_t t, const std::string& target_id,
                    std::uint64_t id)
    {
        auto& from = targets_[t];
        auto* it   = from.info.id == target_id ? find_call(from, id) : nullptr;
        // A deadly answer ends with the crash only.
        if (!it || (!it->deadly.empty() && !mended_))
            return;
        on(it->daemon, now() + delay(), [this, c = *it, info = from.info] {
            if (at(c.daemon).life != c.life)
                return;
            stop_waiting(c, info);
            quarantines_[c.daemon]->answered(c.prompt, info, now(),
                                             answer_progress::whole);
        });
        std::erase_if(from.calls, [id](const auto& c) { return c.id == id; });
    }

    void heard(std::size_t k, const target& from, time_point connected_at)
    {
        waiting_[k].heard(target_lifetime(from), now());
        quarantines_[k]->heard(from, connected_at, now());
    }

    void crash(std::size_t t)
    {
        auto& it = targets_[t];
        if (!it.up)
            return;
        it.up = false;
        if (load_.silent_crashes) {
            // The entry is removed meanwhile.
            for (auto& c : std::exchange(it.calls, {}))
                time_out(c, it.info);
            for (std::size_t k = 0; k < size(); ++k)
                on(k, now() + milliseconds{3600 + 10 * draw(60)},
                   [this, k, id = it.info.id] {
                       quarantines_[k]->target_changed(id, nullptr, now());
                   });
        }
        else {
            break_all(it, [](const call&) { return true; });
        }
        schedule(now() + load_.down, [this, t] {
            const auto address = targets_[t].info.address;
            targets_[t]        = new_target(t);
        });
    }

    template <class Which>
    void break_all(simulated_target& it, Which which)
    {
        std::vector<call> broken;
        for (const auto& c : it.calls) {
            if (which(c))
                broken.push_back(c);
        }
        std::erase_if(it.calls, which);
        for (const auto& c : broken) {
            if (is_cut_silently(c.daemon, it.info)) {
                time_out(c, it.info);
                continue;
            }
            on(c.daemon, now() + delay(), [this, c, info = it.info] {
                if (at(c.daemon).life == c.life)
                    on_break(c, info);
            });
        }
    }

    void on_break(call it, const target& info)
    {
        const auto k = it.daemon;
        stop_waiting(it, info);
        // Like crash_check::check().
        on(k, now() + milliseconds{50}, [this, k, it, info, when = now()] {
            judge(k, info, [this, k, it, info, when](bool ended) {
                if (ended)
                    quarantines_[k]->broke_off(it.prompt, info, when,
                                               progress_of(it));
            });
        });
        it.trial.reset();
        const bool begun = std::exchange(it.answered, false);
        if (!begun && it.attempt < load_.attempts) {
            ++it.attempt;
            it.id = ++next_call_;
            send_request(it);
        }
        else if (it.repeat < load_.repeats) {
            // The caller reaches another daemon.
            ++it.repeat;
            it.attempt    = 1;
            it.id         = ++next_call_;
            const auto to = draw(size());
            if (at(to).alive)
                on(to, now() + draw_ms(20, 300),
                   [this, to, it] { arrive(to, it); });
        }
    }

    part_load                                     load_;
    std::vector<std::unique_ptr<part_quarantine>> quarantines_;
    // By daemon. Silent cuts: failure domain, "all", or empty: none.
    std::vector<waiting_calls>           waiting_;
    std::vector<std::set<std::uint64_t>> watched_; ///< Lifetimes.
    /// When an idle connection was last used, by the target's id.
    std::vector<std::unordered_map<std::string, time_point>> connected_;
    std::vector<time_point>                                  in_touch_from_;
    std::vector<time_point>                                  cut_until_;
    std::vector<std::string>                                 silent_cuts_;
    std::vector<simulated_target>                            targets_;
    std::string                                              version_ = "v1";
    std::vector<std::string>                                 deadly_;
    std::size_t                                              deadly_chain_ = 2;
    bool                                                     mended_    = false;
    std::uint64_t                                            next_call_ = 0;
    std::uint64_t                                            next_target_ = 0;
    std::set<std::uint64_t>                                  wrong_;
    std::map<std::string, std::vector<time_point>>           crashes_;
    std::map<std::string, std::vector<deadly_arrival>>       arrivals_;
    std::vector<time_point>                                  refused_;
};

} // namespace arbutusgate::gateway::test
