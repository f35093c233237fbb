/// Estimates the work outstanding at model targets and their speed, and from
/// both the cost of one more request.
#pragma once

#include "call_work.hpp"
#include "gateway_types.hpp"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// Learned from the calls of this daemon and from load reports. Belongs to one
/// thread.
class target_work
{
public:
    /// Bounds the memory of prompt prefixes that targets have read.
    static constexpr std::size_t max_prefixes           = 4096;
    static constexpr std::size_t max_targets_per_prefix = 8;

    void started(const std::string& id, std::uint64_t call,
                 const call_work& work, time_point now);
    /// Records that the head of the response has arrived.
    void answered(const std::string& id, std::uint64_t call);
    /// Records the arrival of one event.
    void event(const std::string& id, std::uint64_t call, time_point now);
    /// \param ran whether the target has read the prompt.
    void finished(const std::string& id, std::uint64_t call, bool ran,
                  time_point now);
    void load_reported(const std::string& id, const target_load& load,
                       time_point now);
    void forget(const std::string& id);

    /// Expected cost in milliseconds of \p work at each target of the list.
    std::vector<double> costs(const std::vector<const target*>& list,
                              const call_work& work, time_point now) const;
    /// \return whether a target of the list reports its momentary slowdown:
    /// only then do costs differ enough to choose by them.
    bool reports_slowdown(const std::vector<const target*>& list) const;
    /// Reported slowdown, which loses its weight within half a second.
    double slowdown(const std::string& id, time_point now) const;
    /// Prompt tokens that the target has probably cached.
    std::uint32_t cached_tokens(const std::string& id, const call_work& work,
                                time_point now) const;
    std::size_t   prefixes() const { return prefixes_.size(); }

private:
    /// Moving average that loses its weight without new samples.
    struct pace
    {
        double        value   = 0;
        std::uint32_t samples = 0;
        time_point    at{};

        void   add(double sample, double gain, time_point now);
        double weight(time_point now) const;
    };
    struct own_call
    {
        std::uint64_t number = 0;
        time_point    since{};
        double        uncached = 0; ///< Prompt tokens to be read.
        /// Prompt tokens read until its first event, with those before it;
        /// 0: not known.
        double                     tokens_ahead = 0;
        double                     expected_ms  = 0; ///< To the first event.
        output_estimate            output;
        std::uint32_t              tokens_per_event = 1;
        std::uint32_t              events           = 0;
        std::uint32_t              marked_events    = 0; ///< At marked_at.
        time_point                 marked_at{};
        bool                       answered = false; ///< The head has arrived.
        std::vector<std::uint64_t> prefixes;         ///< Hashes.
    };
    struct state
    {
        std::vector<own_call> calls;
        target_load           reported;
        time_point            reported_at{};
        std::uint32_t         own_calls_at_report = 0;
        pace                  token; ///< ms for an output token.
        pace                  read;  ///< ms for a prompt token.
        double tokens_read = 0;      ///< By own calls, since the start.
    };
    struct reader
    {
        std::uint64_t target = 0; ///< Hash of its id.
        time_point    at{};
        double        tokens_read = 0; ///< By the target, then.
    };
    struct prefix
    {
        std::vector<reader>                readers;
        std::list<std::uint64_t>::iterator use;
    };
    /// Work at one target in tokens and calls.
    struct outstanding
    {
        double prompt  = 0; ///< Tokens to be read.
        double output  = 0; ///< Tokens to come.
        double streams = 0; ///< Calls that produce output.
        double calls   = 0;
        double overdue = 0; ///< ms that a first event is late.
    };
    /// ms for one token, at the usual speed of the target.
    struct speeds
    {
        double token = 0;
        double read  = 0;
    };

    const state*  find(const std::string& id) const;
    outstanding   outstanding_at(const state& it, time_point now) const;
    speeds        mean_speeds(const std::vector<const target*>& list,
                              time_point                        now) const;
    static speeds speeds_of(const state& it, const speeds& mean,
                            time_point now);
    static double slowdown(const state& it, time_point now);
    double cached(std::uint64_t target, const state& it, const call_work& work,
                  time_point now) const;
    double expected_cached(const std::string& id, const state& it,
                           const call_work& work, time_point now) const;
    void   learn_token_time(state& at, own_call& it, time_point now) const;
    void remember(const std::string& id, const state& it, const call_work& work,
                  time_point now);

    std::unordered_map<std::string, state>    states_;
    std::unordered_map<std::uint64_t, prefix> prefixes_;
    std::list<std::uint64_t>                  prefix_uses_; ///< Latest first.
    /// Of own calls; assumed for those of other daemons.
    double mean_prompt_ = 0;
    double mean_output_ = 0;
};

} // namespace arbutusgate::gateway
