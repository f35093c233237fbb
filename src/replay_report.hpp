/// Stated outcomes and figures of a replay.
#pragma once

#include "replay.hpp"
#include "replay_trace.hpp"

#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// One stated outcome and what was measured.
struct replay_check
{
    std::string text; ///< Kind, window and filters.
    double      value = 0;
    double      min   = 0;
    double      max   = 0;

    /// Sums of costs differ in their last digits by the order of addition.
    static constexpr double rounding = 1e-9;

    bool holds() const
    {
        return value >= min - rounding && value <= max + rounding;
    }
};

/// Replays a trace and evaluates it. Replays that several outcomes need, such
/// as those of the baselines, run once.
class replay_report
{
public:
    replay_report(const replay_trace& trace, policy_strategy strategy);

    const replay_result&      result() { return run({strategy_, {}}); }
    const replay_result&      run(const replay_options& options);
    std::vector<replay_check> checks();

    /// Figures for reading; one JSON object with json set.
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
    /// Cost for each complete answer if the pipelines' complete answers were
    /// as many as in mix; infinite when it completes none of a pipeline there.
    double cost_of_mix(const replay_result& it, const replay_result& mix,
                       const replay_expect& expect) const;
    /// The policy's cost for each complete answer, divided by that of the
    /// best baseline.
    double cost_vs_baselines(const replay_expect& expect, bool same_mix);
    /// Largest share of retries among the first attempts of a pool.
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
