/// Chooses targets by load, speed and recent failures, from what this daemon
/// saw itself and what targets state with their answers.
#pragma once

#include "gateway_types.hpp"

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
    refused,        ///< Not run, since the target was full.
    refused_idle,   ///< Not run, although the target stated room.
    misdirected,    ///< Another process has the address.
    error,          ///< The target's own failure answer.
    broken,         ///< No answer, or one that is not whole.
    connect_failed, ///< Nothing was sent.
    cancelled,      ///< Ended by the caller or the gateway.
};

/// Stable identifier, as in logs and metrics.
std::string_view to_string(call_outcome it);

/// What a choice depends on besides the targets' state.
struct pick_hints
{
    std::string_view failure_domain; ///< Preferred one; empty: none.
    /// Added to the score of targets in other domains.
    double                          domain_penalty = 0;
    std::uint64_t                   affinity       = 0; ///< Hash; 0: none.
    std::uint32_t                   tokens         = 0; ///< Prompt to be read.
    const std::vector<std::string>* tried = nullptr;    ///< Ids to leave out.
};

/// Times and weights of a picker.
struct picker_tuning
{
    milliseconds exclude_least{300}; ///< After a failure, then doubled.
    milliseconds exclude_most{4000};
    milliseconds refused_pause{60}; ///< A full target gets no work so long.
    milliseconds load_life{1000};   ///< Stated load fades in this time.
    /// Tokens that a target reads in the time of one unit of score.
    double tokens_per_score = 40'000;
    /// A target that is preferred for its cache is left for another one when
    /// its score exceeds the least by this much.
    double affinity_slack = 0.3;
    /// Broken answers in a row, or half of recent ones, that exclude.
    std::uint32_t broken_limit = 2;
    double        error_excess = 0.3; ///< Over the service's usual share.
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

    /// A call starts. \return its number, for finish.
    std::uint64_t start(const std::string& id, std::uint32_t tokens,
                        time_point now);
    /// The first byte of the call's answer is here.
    void answered(const std::string& id, std::uint64_t call, time_point now);
    void finish(const std::string& id, std::uint64_t call, call_outcome how,
                time_point now);
    void load_stated(const std::string& id, const target_load& load,
                     time_point now);
    /// The target is gone or started anew.
    void forget(const std::string& id) { states_.erase(id); }

    std::uint32_t in_flight(const std::string& id) const;
    bool          excluded(const std::string& id, time_point now) const;

private:
    struct open_call
    {
        std::uint64_t number = 0;
        time_point    since{};
        std::uint32_t tokens   = 0;
        bool          answered = false;
    };

    struct state
    {
        std::vector<open_call> calls;
        target_load            stated;
        time_point             stated_at{};
        std::uint32_t          own_then = 0; ///< Own calls when it was stated.
        double                 latency  = 0; ///< ms, moving average; 0: none.
        double                 errors   = 0; ///< Moving share of answers.
        double                 broken   = 0; ///< Moving share of calls.
        std::uint32_t          broken_row = 0;
        std::uint32_t          strikes    = 0; ///< Exclusions in a row.
        time_point             excluded_until{};
        time_point             pause_until{};
    };

    double score(const target& it, const pick_hints& hints, double typical,
                 time_point now);
    double effective_latency(const state& it, time_point now) const;
    double typical_latency(const std::vector<const target*>& list) const;
    double usual_errors(const state& without) const;
    void   exclude(state& it, time_point now);
    const target* by_affinity(const std::vector<const target*>& list,
                              const std::vector<double>&        scores,
                              std::uint64_t affinity, double least) const;

    std::mt19937_64                        random_;
    picker_tuning                          tuning_;
    std::uint64_t                          next_call_ = 1;
    std::unordered_map<std::string, state> states_;
};

} // namespace arbutusgate::gateway
