/// Evaluates a replay: expected outcomes and statistics.
#pragma once

#include "replay.hpp"
#include "replay_trace.hpp"

#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// Expected outcome and the measured value.
struct replay_check
{
    std::string text; ///< Kind, time window and filters.
    double      value = 0;
    double      min   = 0;
    double      max   = 0;

    /// Tolerance of the bounds: sums of costs differ in their last digits by
    /// the order of addition.
    static constexpr double rounding = 1e-9;

    bool holds() const
    {
        return value >= min - rounding && value <= max + rounding;
    }
};

/// Replays a trace and evaluates it. A replay that several outcomes need, such
/// as that of a baseline, runs only once.
class replay_report
{
public:
    replay_report(const replay_trace& trace, policy_strategy strategy);

    const replay_result&      result() { return run({strategy_, {}}); }
    const replay_result&      run(const replay_options& options);
    std::vector<replay_check> checks();

    /// Statistics as text for people; json() gives one JSON object.
    std::string text(const replay_result& it, const std::string& policy) const;
    std::string json(const replay_result& it, const std::string& policy,
                     const std::vector<replay_check>& checks) const;

private:
    bool   counts(const replay_record& it, const replay_expect& expect) const;
    double attainment(const replay_result& it,
                      const replay_expect& expect) const;
    double of_capacity(const replay_expect& expect);
    double cost_per_answer(const replay_result& it,
                           const replay_expect& expect) const;
    /// Cost per complete response, weighted as if the pipelines had as many
    /// complete responses as in mix; infinite when the replay completes none
    /// of a pipeline that mix contains.
    double cost_of_mix(const replay_result& it, const replay_result& mix,
                       const replay_expect& expect) const;
    /// Cost per complete response of the policy, divided by that of the best
    /// baseline.
    double cost_vs_baselines(const replay_expect& expect, bool same_mix);
    /// Highest ratio of retries to first attempts among the pools.
    double retry_load(const replay_expect& expect);
    double value(const replay_expect& expect);

    const replay_trace&                  trace_;
    policy_strategy                      strategy_;
    std::map<std::string, replay_result> results_;
};

/// Name of a strategy on the command line: "arbutusgate", "random",
/// "round_robin", "least_inflight".
std::string_view to_string(policy_strategy);
/// \return false for an unknown name.
bool parse_strategy(std::string_view name, policy_strategy& it);

} // namespace arbutusgate
