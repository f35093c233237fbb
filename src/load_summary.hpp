/// Aggregated figures of a load run.
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

/// Figures of the requests of one pipeline, account or daemon.
struct load_group
{
    std::string   name;
    std::uint64_t requests = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(load_outcome::count)>
                   outcomes{};
    load_histogram latency; ///< Of complete responses.

    void          add(const load_result& result);
    std::uint64_t outcome_count(load_outcome outcome) const
    {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
    /// Share of the requests completed on time; 1 without requests.
    double attainment() const;
};

/// Cost of one stage of one pipeline, in the units of the deployment.
struct stage_cost
{
    std::string   pipeline;
    std::string   stage;
    std::uint64_t answers    = 0; ///< Number of complete responses.
    std::uint64_t executions = 0; ///< Zero when the records were not read.
    double        useful     = 0; ///< Cost of responses completed on time.
    double        wasted     = 0; ///< Cost of all other executions.
};

/// Requests that arrived in one second of a run.
struct timeline_second
{
    std::uint64_t requests = 0;
    std::uint64_t whole    = 0; ///< Completed on time.
};

/// All figures of a report.
struct load_summary
{
    std::string                          name;
    load_group                           all;
    std::vector<load_group>              pipelines;
    std::vector<load_group>              accounts;
    std::vector<load_group>              daemons; ///< By the last daemon.
    load_group                           repeats; ///< Second uses of keys.
    std::vector<stage_cost>              stages;
    std::vector<timeline_second>         timeline;
    std::map<std::string, std::uint64_t> reasons; ///< Of incomplete responses.
    load_histogram                       first_token;
    load_histogram                       token_gap;
    std::vector<std::string>             violations;

    double cost() const;
    double wasted() const;
    /// Cost of all executions per request completed on time; zero when there is
    /// none.
    double cost_per_whole() const;
};

/// Aggregates the results of a run.
/// \param violations as returned by find_violations().
load_summary summarize(const check_input&       input,
                       std::vector<std::string> violations);

/// `requests=N whole=N attainment=0.NNN cost_per_whole=N.NN violations=N`.
/// The attainment is rounded down: 1.000 means that every request was completed
/// on time.
std::string result_line(const load_summary& summary);

} // namespace arbutusgate
