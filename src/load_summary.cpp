#include "load_summary.hpp"

#include "absl/strings/str_format.h"

#include <cmath>
#include <set>

namespace arbutusgate {

namespace {

constexpr auto whole = load_outcome::whole;

std::size_t add_stages(const mix_pipeline& pipeline, load_summary& summary)
{
    const auto first = summary.stages.size();
    for (const auto& it : pipeline.stages)
        summary.stages.push_back({pipeline.name, it.name});
    return first;
}

/// Computes the useful and wasted cost of each stage. The cost of late
/// responses is wasted, and so is that of executions without a complete
/// response, each at the mean cost of the stage in complete responses.
class cost_counter
{
public:
    cost_counter(const check_input& input, load_summary& summary)
        : input_(input), summary_(summary)
    {
        for (const auto& it : input.mix.pipelines)
            first_stage_.push_back(add_stages(it, summary));
    }

    void add(const load_result& result)
    {
        const auto pipeline = input_.plan[result.number].pipeline;
        // The response to a repeated key is a recorded one: its cost arose only
        // once.
        if (!result.complete() ||
            !counted_requests_.insert(result.number).second)
            return;
        for (const auto& it : result.stages) {
            auto* row = find(pipeline, it.name);
            if (!row)
                continue;
            ++row->answers;
            (result.outcome == whole ? row->useful : row->wasted) += it.cost;
        }
    }

    void add_executions(const std::vector<executed_work>& rows)
    {
        std::map<std::string, std::uint32_t> pipelines;
        for (const auto& it : input_.plan)
            pipelines[it.tag] = it.pipeline;
        for (const auto& it : rows) {
            const auto pipeline = pipelines.find(it.tag);
            if (pipeline == pipelines.end())
                continue;
            if (auto* row = find(pipeline->second, it.stage))
                row->executions += it.count;
        }
        for (auto& it : summary_.stages) {
            if (it.answers == 0 || it.executions <= it.answers)
                continue;
            const auto unit_cost =
                (it.useful + it.wasted) / static_cast<double>(it.answers);
            it.wasted +=
                unit_cost * static_cast<double>(it.executions - it.answers);
        }
    }

private:
    stage_cost* find(std::uint32_t pipeline, const std::string& stage)
    {
        const auto& stages = input_.mix.pipelines[pipeline].stages;
        for (std::size_t n = 0; n < stages.size(); ++n) {
            if (stages[n].name == stage ||
                (stage.empty() && stages[n].generates))
                return &summary_.stages[first_stage_[pipeline] + n];
        }
        return nullptr;
    }

    const check_input&       input_;
    load_summary&            summary_;
    std::vector<std::size_t> first_stage_;
    std::set<std::uint32_t>  counted_requests_;
};

void add_stream_times(const load_result& result, load_summary& summary)
{
    if (result.first_token.count() > 0)
        summary.first_token.add(result.first_token);
    for (const auto it : result.gaps)
        summary.token_gap.add(it);
}

void add_to_timeline(const planned_request& request, const load_result& result,
                     load_summary& summary)
{
    const auto n = static_cast<std::size_t>(
        std::chrono::duration_cast<seconds>(request.arrival).count());
    if (summary.timeline.size() <= n)
        summary.timeline.resize(n + 1);
    ++summary.timeline[n].requests;
    summary.timeline[n].whole += result.outcome == whole ? 1 : 0;
}

void name_groups(const check_input& input, load_summary& summary)
{
    summary.name         = input.mix.name;
    summary.all.name     = "all";
    summary.repeats.name = "repeated keys";
    for (const auto& it : input.mix.pipelines)
        summary.pipelines.emplace_back().name = it.name;
    for (const auto& it : input.mix.accounts)
        summary.accounts.emplace_back().name = it.name;
    for (const auto& it : input.daemons)
        summary.daemons.emplace_back().name = it;
}

void add_result(const check_input& input, const load_result& it,
                load_summary& summary)
{
    const auto& request = input.plan[it.number];
    if (it.repeated)
        return summary.repeats.add(it);
    summary.all.add(it);
    summary.pipelines[request.pipeline].add(it);
    summary.accounts[request.account].add(it);
    if (it.daemon < summary.daemons.size())
        summary.daemons[it.daemon].add(it);
    if (!it.complete())
        ++summary.reasons[it.reason.empty() ? std::string(to_string(it.outcome))
                                            : it.reason];
    add_stream_times(it, summary);
    add_to_timeline(request, it, summary);
}

} // namespace

void load_group::add(const load_result& result)
{
    ++requests;
    ++outcomes[static_cast<std::size_t>(result.outcome)];
    if (result.complete())
        latency.add(result.latency);
}

double load_group::attainment() const
{
    return requests == 0 ? 1
                         : static_cast<double>(outcome_count(whole)) /
                               static_cast<double>(requests);
}

double load_summary::cost() const
{
    double sum = wasted();
    for (const auto& it : stages)
        sum += it.useful;
    return sum;
}

double load_summary::wasted() const
{
    double sum = 0;
    for (const auto& it : stages)
        sum += it.wasted;
    return sum;
}

double load_summary::cost_per_whole() const
{
    const auto n = all.outcome_count(whole);
    return n == 0 ? 0 : cost() / static_cast<double>(n);
}

load_summary summarize(const check_input&       input,
                       std::vector<std::string> violations)
{
    load_summary summary;
    summary.violations = std::move(violations);
    name_groups(input, summary);
    cost_counter costs(input, summary);
    for (const auto& it : input.results) {
        add_result(input, it, summary);
        costs.add(it);
    }
    if (input.executions)
        costs.add_executions(*input.executions);
    return summary;
}

std::string result_line(const load_summary& it)
{
    return absl::StrFormat(
        "requests=%d whole=%d attainment=%.3f cost_per_whole=%.2f "
        "violations=%d",
        it.all.requests, it.all.outcome_count(whole),
        std::floor(it.all.attainment() * 1000) / 1000, it.cost_per_whole(),
        it.violations.size());
}

} // namespace arbutusgate
