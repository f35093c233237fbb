/// Finds the parts of prompts whose requests crash targets, and tells which
/// requests must not reach a target because of them.
///
/// Failure: requests with the same part in their prompts crash one target after
/// another. Each daemon of a fleet sees too few of the crashes to find the
/// part, and other requests break in the same crashes.
#pragma once

#include "crash_report.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

struct part_quarantine_params
{
    /// Crashes that convict a part, if no request with it was answered. Fewer
    /// are a coincidence when targets end for other reasons.
    std::size_t min_crashes = 3;
    /// The same if all requests with the part broke while they were answered.
    /// More calls are at a target then than wait for an answer, so that a
    /// coincidence is likelier.
    std::size_t min_late_crashes = 5;
    /// Different requests that broke in these crashes.
    std::size_t min_requests = 2;
    /// Crashes that convict a part if one request caused all of them.
    std::size_t min_crashes_of_one = 4;
    /// Crashes that are closer have one cause, such as the end of a failure
    /// domain, and count as one.
    milliseconds crash_spacing{100};
    /// An answer also clears a part of later crashes that are this close: a
    /// part that was sound then did not cause them.
    milliseconds answer_margin{1000};
    /// From the crash that convicts a part to its quarantine, so that answers
    /// which other daemons saw arrive before.
    milliseconds hearing_time{500};
    /// Bytes of a target show that it did not crash if they arrive this long
    /// after the crash was reported, and again after proof_spacing: bytes that
    /// waited in the socket buffer of a slow daemon arrive together.
    milliseconds proof_margin{200};
    milliseconds proof_spacing{300};
    /// How long a call without an answer at its timeout is kept, in case the
    /// target turns out to have ended.
    milliseconds silence_retention{10'000};
    /// Crashes of one lifetime are the same if they are closer. Unset: all are,
    /// as target_lifetime() differs after a restart.
    std::optional<milliseconds> restart_time;
    /// How long a crash counts that convicted no part.
    milliseconds evidence_lifetime{600'000};
    /// How long a quarantine is remembered without new crashes or trials.
    milliseconds retention{7'200'000};
    /// From the last crash to the first trial; multiplied after each trial up
    /// to the maximum.
    milliseconds  trial_interval{60'000};
    std::uint32_t trial_backoff = 4;
    milliseconds  max_trial_interval{3'600'000};

    std::size_t max_parts          = 512;  ///< Parts with crashes or answers.
    std::size_t max_crashes        = 6;    ///< Of one part.
    std::size_t max_answers        = 8;    ///< Of one part.
    std::size_t max_companions     = 8;    ///< Of one part in one crash.
    std::size_t max_answered_parts = 8192; ///< Remembered as answered.
    std::size_t max_lifetimes      = 256;  ///< With calls that broke off.
    std::size_t max_silent_calls   = 256;
};

/// Why a request must not reach a target.
struct part_verdict
{
    std::uint64_t part     = 0;
    std::size_t   crashes  = 0;
    std::size_t   requests = 0;
    time_point    last_crash_at{};
    time_point    next_trial_at{};
};

/// Counts since start.
struct part_quarantine_stats
{
    std::uint64_t accused   = 0; ///< Calls that broke off at a target's end.
    std::uint64_t convicted = 0; ///< Quarantines that began.
    std::uint64_t ended     = 0; ///< Quarantines that ended.
    std::uint64_t refuted   = 0; ///< Targets that turned out to be alive.
    std::uint64_t trials    = 0; ///< Given out by this daemon.
    std::uint64_t forgotten = 0; ///< Parts that made place for others.
};

/// Belongs to one thread; does no I/O and reads no clock.
class part_quarantine
{
public:
    explicit part_quarantine(part_quarantine_params params = {})
        : params_(params)
    {
    }

    // What this daemon sees ---------------------------------------------------

    /// A part of an answer, or the whole of it, arrived.
    void answered(const prompt_key& prompt, const target& by, time_point now,
                  answer_progress progress = answer_progress::begun);
    /// The connection ended before the whole of an answer arrived.
    void broke_off(const prompt_key& prompt, const target& at, time_point now,
                   answer_progress progress = answer_progress::none);
    /// The call ended at its timeout, or was given up since it was silent.
    void fell_silent(const prompt_key& prompt, const target& at, time_point now,
                     answer_progress progress = answer_progress::none);
    /// The target's published entry changed.
    /// \param current null when it was removed.
    void target_changed(const std::string& id, const target* current,
                        time_point now);
    /// Bytes of the target arrived on a connection.
    void heard(const target& from, time_point connected_at, time_point now);

    // What other daemons saw
    // ---------------------------------------------------

    void merge(const part_report& report, time_point now);
    void merge(const lifetime_report& report, time_point now);
    /// Reports for a message to another daemon: news, then quarantines and
    /// other parts in turn.
    std::vector<part_report>     reports(std::size_t most, time_point now);
    std::vector<lifetime_report> lifetime_reports(std::size_t most,
                                                  time_point  now) const;
    /// Where news come from.
    enum class source
    {
        own,    ///< Calls of this daemon.
        report, ///< Another daemon.
    };
    /// Sets the function that is called when there are news for others.
    using news_handler = std::function<void(source)>;
    void on_news(news_handler news) { news_ = std::move(news); }
    /// Sets the function that is called when a quarantine begins or ends.
    using verdict_handler =
        std::function<void(bool convicted, const part_verdict&)>;
    void on_verdict(verdict_handler changed) { verdict_ = std::move(changed); }

    // Decisions
    // ----------------------------------------------------------------

    /// Sets the time within which other daemons hear what one of them saw.
    void set_hearing_time(milliseconds time) { params_.hearing_time = time; }
    /// \return true when some part is in quarantine.
    bool active() const { return convicted_ > 0; }
    /// \param scope of the target that would get the request.
    /// \return nothing when the request may be sent.
    std::optional<part_verdict> find(const prompt_key& prompt,
                                     std::uint64_t scope, time_point now) const;
    /// Gives out the trial of a part that is due: one request with it may reach
    /// a target. Only one daemon of the fleet should decide this.
    bool take_trial(std::uint64_t part, time_point now);

    /// \return what is known of the part; null when nothing is.
    const part_report* report(std::uint64_t part) const;
    /// Forgets what is too old.
    void                  expire(time_point now);
    std::size_t           size() const { return parts_.size(); }
    std::size_t           convicted() const { return convicted_; }
    part_quarantine_stats stats() const { return stats_; }

private:
    /// Events of other daemons may be older than the clock of this one, whose
    /// VM was booted later.
    static constexpr time_point never = time_point::min();

    struct entry
    {
        part_report report;
        std::size_t crashes   = 0; ///< That count.
        std::size_t requests  = 0; ///< In these crashes.
        std::size_t weight    = 0; ///< Of these crashes.
        bool        convicted = false;
        time_point  in_force_at{}; ///< If convicted.
        time_point  news_at     = never;
        std::size_t news_weight = 0;     ///< News of more weight go first.
        time_point  reported_at = never; ///< In a message.
    };
    struct lifetime
    {
        /// When the first of its calls broke off since it was last shown to be
        /// alive.
        time_point accused_at = never;
        time_point heard_at   = never; ///< First bytes after that; never: none.
        time_point alive_at   = never; ///< When it was shown to be alive.
        time_point news_at    = never;
    };
    struct silent_call
    {
        prompt_key      prompt;
        target          at;
        time_point      ended_at{};
        answer_progress progress = answer_progress::none;
    };
    /// Times of the latest answers, by their progress less one.
    using answer_times = std::array<time_point, 3>;

    using part_map = std::map<std::uint64_t, entry>;

    // Reports: their crashes, answers and companions.
    bool counts(const part_report& of, const part_crash& it) const;
    void add_crash(part_report& to, const part_crash& it) const;
    void add_answer(part_report& to, const part_answer& it) const;
    /// Adds the answers that this daemon remembers.
    void add_own_answers(part_report& to) const;

    using part_list = std::vector<std::uint64_t>;

    part_list companions_of(std::uint64_t part, const prompt_key& prompt) const;
    bool      is_same_crash(const part_crash& a, const part_crash& b) const;
    void      add_call(part_crash& to, const part_crash& it) const;

    // What this daemon saw.
    void remember_answer(std::uint64_t part, std::uint64_t scope,
                         answer_progress progress, time_point now);
    /// \return when an answer got further than \p than; nothing: none did.
    std::optional<time_point> answered_at(std::uint64_t   part,
                                          std::uint64_t   scope,
                                          answer_progress than) const;

    void accuse(const prompt_key& prompt, const target& at, time_point now,
                answer_progress progress);
    void note_accused(std::uint64_t lifetime, time_point at);

    /// min_crashes crashes before an answer, or min_late_crashes others, have
    /// the convicting weight together.
    std::size_t weight_of(const part_crash& it) const;
    std::size_t convicting_weight() const
    {
        return params_.min_crashes * params_.min_late_crashes;
    }
    /// Counts the crashes again, and starts or ends the quarantine.
    void judge(entry& it);
    void judge_crashes_of(std::uint64_t lifetime, source from, time_point now);
    void add_news(entry& it, std::size_t weight, source from, time_point now);
    void add_in_turn(std::vector<part_report>& out, std::size_t most,
                     std::uint64_t&                           last,
                     const std::function<bool(const entry&)>& is_wanted) const;

    bool is_scope_of(const entry& it, std::uint64_t scope) const;
    bool is_test_of(const entry& it, const prompt_key& prompt) const;

    time_point   last_activity(const entry& it) const;
    time_point   next_trial_at(const entry& it) const;
    part_verdict verdict_of(const entry& it) const;

    entry& entry_of(std::uint64_t part);
    void   erase(part_map::iterator it);

    part_quarantine_params                      params_;
    part_map                                    parts_;
    std::unordered_map<std::uint64_t, lifetime> lifetimes_;
    std::vector<silent_call>                    silent_calls_;
    /// Times of the latest answers by part and scope. The older half is dropped
    /// when the newer one is full.
    std::unordered_map<std::uint64_t, answer_times> answers_;
    std::unordered_map<std::uint64_t, answer_times> older_answers_;
    std::size_t                                     convicted_       = 0;
    std::uint64_t                                   last_quarantine_ = 0;
    std::uint64_t                                   last_suspect_    = 0;
    news_handler                                    news_;
    verdict_handler                                 verdict_;
    part_quarantine_stats                           stats_;
};

} // namespace arbutusgate::gateway
