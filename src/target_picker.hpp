/// Picks targets by load, latency and recent failures, from this daemon's own
/// calls and from the load that targets report with their responses.
#pragma once

#include "gateway_types.hpp"
#include "target_work.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// How one call at a target ended.
enum class call_outcome
{
    done,
    refused,        ///< Not run: the target was full.
    refused_idle,   ///< Not run, although the target reported free slots.
    misdirected,    ///< Another process now has the address.
    error,          ///< Complete response with an error status.
    broken,         ///< No response, or an incomplete one.
    connect_failed, ///< No connection, so nothing was sent.
    cancelled,      ///< Ended by the caller or the gateway.
};

/// Stable identifier, as in logs and metrics.
std::string_view to_string(call_outcome it);

/// Properties of a request that affect the choice of its target.
struct pick_hints
{
    std::string_view failure_domain; ///< Preferred; empty: none.
    /// Added to the score of targets in other domains.
    double        domain_penalty = 0;
    std::uint64_t affinity       = 0; ///< Hash of a prompt part; 0: none.
    std::uint32_t tokens         = 0; ///< Of the prompt.
    const std::vector<std::string>* tried = nullptr; ///< Ids to leave out.
    /// Daemons that share the slots of each target, at which no call may wait;
    /// 0: calls may wait.
    std::uint32_t sharing_daemons = 0;
    /// Estimated work at a model engine; null: the targets are compared by
    /// their numbers of calls.
    const call_work* work = nullptr;
};

/// Tuning parameters of a picker.
struct picker_tuning
{
    /// Exclusion after a failure; doubled with each further one up to the
    /// maximum.
    milliseconds min_exclusion{300};
    milliseconds max_exclusion{4000};
    /// A target that refused a call because it was full gets no work for this
    /// time.
    milliseconds refusal_pause{60};
    /// Reported load loses its weight linearly over this time.
    milliseconds load_fade_time{1000};
    /// Unread prompt tokens that add 1 to the score.
    double tokens_per_score = 40'000;
    /// A target that is preferred for its cache is passed over when its score
    /// exceeds the lowest score by more than this.
    double affinity_slack = 0.3;
    /// Expected costs that differ by less than the larger of both count as
    /// equal: estimates are no better, and daemons with the same reports do not
    /// all choose the same target.
    double equal_cost_share = 0.15;
    double equal_cost_ms    = 4;
    /// Cost that corresponds to 1 in domain_penalty.
    double ms_per_score = 500;
    /// Failed calls in a row that exclude a target. It is also excluded when
    /// too large a share of its recent calls failed.
    std::uint32_t broken_limit = 2;
    /// A target is excluded when its share of error responses exceeds the mean
    /// of the other targets by more than this.
    double error_excess = 0.3;
};

/// Belongs to one thread.
class target_picker
{
public:
    explicit target_picker(std::uint64_t seed, picker_tuning tuning = {})
        : random_(seed), tuning_(tuning)
    {
    }

    /// \return null when no candidate is left.
    const target* pick(const std::vector<const target*>& candidates,
                       const pick_hints& hints, time_point now);

    /// \return the target of the list that all daemons prefer for requests with
    /// the same affinity; null when it is 0 or the list is empty.
    const target* preferred(const std::vector<const target*>& list,
                            std::uint64_t                     affinity) const;

    /// Records the start of a call. \return its number, for
    /// answered() and finish().
    std::uint64_t start(const std::string& id, std::uint32_t tokens,
                        time_point now, const call_work* work = nullptr);
    /// Records that the head of the call's response has arrived.
    void answered(const std::string& id, std::uint64_t call, time_point now);
    /// Records an event of the call's stream.
    void event(const std::string& id, std::uint64_t call, time_point now)
    {
        work_.event(id, call, now);
    }
    void finish(const std::string& id, std::uint64_t call, call_outcome how,
                time_point now);
    void load_reported(const std::string& id, const target_load& load,
                       time_point now);
    /// Drops the state of a target that is gone or was restarted.
    void forget(const std::string& id);
    /// Forgets failures of all targets, after this daemon could reach none.
    void forget_failures();
    /// Without them, estimates of work and reported slowdowns do not affect the
    /// choice.
    void use_work_estimates(bool use) { uses_work_ = use; }

    std::uint32_t in_flight(const std::string& id) const;
    bool          excluded(const std::string& id, time_point now) const;

private:
    struct call_in_flight
    {
        std::uint64_t number = 0;
        time_point    since{};
        std::uint32_t tokens   = 0;
        bool          answered = false;
    };

    struct state
    {
        std::vector<call_in_flight> calls;
        target_load                 reported;
        time_point                  reported_at{};
        /// Own calls in flight at reported_at.
        std::uint32_t own_calls_at_report = 0;
        double        latency             = 0; ///< ms, moving average; 0: none.
        double        error_share  = 0; ///< Moving average; share of responses.
        double        broken_share = 0; ///< Moving average; share of calls.
        std::uint32_t broken_in_row     = 0;
        std::uint32_t exclusions_in_row = 0;
        time_point    excluded_until{};
        time_point    paused_until{}; ///< After a refusal.
    };

    /// Whether this daemon's share of the target's slots is in use.
    static bool is_full(const target& it, const state& entry,
                        std::uint32_t daemons);
    double      score(const target& it, const pick_hints& hints,
                      double latency_limit_ms, time_point now);
    double      observed_latency(const state& it, time_point now) const;
    double normal_latency_limit(const std::vector<const target*>& list) const;
    double mean_errors_except(const state& excepted) const;
    void   exclude(state& it, time_point now);
    std::vector<double> costs(const std::vector<const target*>& list,
                              const pick_hints& hints, time_point now) const;
    const target*       pick_by_cost(const std::vector<const target*>& list,
                                     const pick_hints& hints, time_point now);
    /// \param highest score of the targets that are preferred for the cache.
    const target* pick_by_affinity(const std::vector<const target*>& list,
                                   const std::vector<double>&        scores,
                                   std::uint64_t                     affinity,
                                   double highest) const;

    std::mt19937_64                        random_;
    picker_tuning                          tuning_;
    std::uint64_t                          next_call_ = 1;
    std::unordered_map<std::string, state> states_;
    target_work                            work_;
    bool                                   uses_work_ = true;
};

} // namespace arbutusgate::gateway
