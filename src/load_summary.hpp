/// Figures of one load run.
#pragma once

#include "load_check.hpp"
#include "load_histogram.hpp"
#include "load_result.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// Requests of one pipeline, account or daemon.
struct load_group
{
    std::string   name;
    std::uint64_t requests = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(load_outcome::count)>
                   outcomes{};
    load_histogram latency; ///< Of complete answers.

    void          add(const load_result& result);
    std::uint64_t of(load_outcome outcome) const
    {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
    /// Share of the requests with a whole answer in time; 1 without requests.
    double attainment() const;
};

/// Cost of one stage of one pipeline, in the units of the deployment.
struct stage_cost
{
    std::string   pipeline;
    std::string   stage;
    std::uint64_t answers    = 0; ///< Complete answers.
    std::uint64_t executions = 0; ///< Zero when they were not read.
    double        useful     = 0; ///< Of complete answers in time.
    double        wasted     = 0; ///< Of all other executions and answers.
};

/// One second of a run.
struct load_second
{
    std::uint64_t requests = 0; ///< That arrived in it.
    std::uint64_t whole    = 0; ///< Of them answered whole in time.
};

/// All figures of a report.
struct load_summary
{
    std::string                          name;
    load_group                           all;
    std::vector<load_group>              pipelines;
    std::vector<load_group>              accounts;
    std::vector<load_group>              daemons; ///< By the last daemon tried.
    load_group                           repeats; ///< Later uses of keys.
    std::vector<stage_cost>              stages;
    std::vector<load_second>             timeline;
    std::map<std::string, std::uint64_t> reasons; ///< Of incomplete answers.
    load_histogram                       first_token;
    load_histogram                       token_gap;
    std::vector<std::string>             violations;

    double cost() const;
    double wasted() const;
    /// Cost of all work for each whole answer in time; zero without one.
    double cost_per_whole() const;
};

/// \param violations as find_violations returns them.
load_summary summarize(const check_input&       input,
                       std::vector<std::string> violations);

/// `requests=N whole=N attainment=0.NNN cost_per_whole=N.NN violations=N`.
/// The attainment is rounded down, so that 1.000 means every request.
std::string result_line(const load_summary& summary);

} // namespace arbutusgate
