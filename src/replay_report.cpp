#include "replay_report.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <boost/json.hpp>

namespace arbutusgate {

namespace {

constexpr policy_strategy strategies[] = {
    policy_strategy::adaptive, policy_strategy::random,
    policy_strategy::round_robin, policy_strategy::least_inflight};

/// Number of complete requests and of all requests in a group.
struct tally
{
    std::uint64_t complete = 0, all = 0;

    double share() const
    {
        return all == 0
                   ? 1.0
                   : static_cast<double>(complete) / static_cast<double>(all);
    }
};

std::vector<tally> tallies(const replay_result& it, bool by_account,
                           std::size_t n)
{
    std::vector<tally> found(n);
    for (const auto& record : it.records) {
        auto& group =
            found[by_account ? record.account.idx : record.pipeline.idx];
        ++group.all;
        group.complete += record.complete ? 1 : 0;
    }
    return found;
}

tally whole(const replay_result& it)
{
    tally sum;
    for (const auto& record : it.records) {
        ++sum.all;
        sum.complete += record.complete ? 1 : 0;
    }
    return sum;
}

std::string describe(const replay_trace& trace, const replay_expect& it)
{
    auto text = absl::StrFormat("%s %gs-%gs", it.kind, it.from, it.to);
    if (it.pipeline.valid())
        absl::StrAppend(&text, " pipeline ",
                        trace.config.pipelines[it.pipeline.idx].name);
    if (it.account.valid())
        absl::StrAppend(&text, " account ",
                        trace.config.accounts[it.account.idx].name);
    if (it.account_not.valid())
        absl::StrAppend(&text, " account not ",
                        trace.config.accounts[it.account_not.idx].name);
    if (it.pool_not.valid())
        absl::StrAppend(&text, " pool not ",
                        trace.config.pools[it.pool_not.idx].name);
    return text;
}

} // namespace

std::string_view to_string(policy_strategy it)
{
    switch (it) {
    case policy_strategy::adaptive:
        return "arbutusgate";
    case policy_strategy::random:
        return "random";
    case policy_strategy::round_robin:
        return "round_robin";
    case policy_strategy::least_inflight:
        return "least_inflight";
    }
    return "arbutusgate";
}

bool parse_strategy(std::string_view name, policy_strategy& it)
{
    for (const auto known : strategies) {
        if (to_string(known) == name) {
            it = known;
            return true;
        }
    }
    return false;
}

replay_report::replay_report(const replay_trace& trace,
                             policy_strategy     strategy)
    : trace_(trace), strategy_(strategy)
{
}

const replay_result& replay_report::run(const replay_options& options)
{
    const auto key = absl::StrCat(std::string(to_string(options.strategy)), "/",
                                  options.without);
    auto       found = results_.find(key);
    if (found == results_.end())
        found = results_.emplace(key, run_replay(trace_, options)).first;
    return found->second;
}

bool replay_report::counts(const replay_record& it,
                           const replay_expect& expect) const
{
    if (it.arrival < expect.from || it.arrival >= expect.to)
        return false;
    if (expect.pipeline.valid() && it.pipeline != expect.pipeline)
        return false;
    if (expect.account.valid() && it.account != expect.account)
        return false;
    if (expect.account_not.valid() && it.account == expect.account_not)
        return false;
    return !expect.pool_not.valid() ||
           pool_demand(trace_, it.pipeline, expect.pool_not) == 0;
}

double replay_report::attainment(const replay_result& it,
                                 const replay_expect& expect) const
{
    tally sum;
    for (const auto& record : it.records) {
        if (!counts(record, expect))
            continue;
        ++sum.all;
        sum.complete += record.complete ? 1 : 0;
    }
    return sum.share();
}

double replay_report::of_capacity(const replay_expect& expect)
{
    std::vector<double> offered(trace_.pipelines.size());
    double              complete = 0;
    for (const auto& it : result().records) {
        if (!counts(it, expect))
            continue;
        offered[it.pipeline.idx] += 1 / (expect.to - expect.from);
        complete += it.complete ? 1 : 0;
    }
    double allowed = 0;
    for (const auto rate : allowed_rates(trace_, offered))
        allowed += rate * (expect.to - expect.from);
    return complete / allowed;
}

double replay_report::cost_per_answer(const replay_result& it,
                                      const replay_expect& expect) const
{
    double cost     = 0;
    double complete = 0;
    for (const auto& record : it.records) {
        if (!counts(record, expect))
            continue;
        cost += record.cost;
        complete += record.complete ? 1 : 0;
    }
    return cost / std::max(1.0, complete);
}

double replay_report::cost_of_mix(const replay_result& it,
                                  const replay_result& mix,
                                  const replay_expect& expect) const
{
    const auto          n = trace_.pipelines.size();
    std::vector<double> cost(n), complete(n), wanted(n);
    for (const auto& record : it.records) {
        if (!counts(record, expect))
            continue;
        cost[record.pipeline.idx] += record.cost;
        complete[record.pipeline.idx] += record.complete ? 1 : 0;
    }
    double answers = 0;
    for (const auto& record : mix.records) {
        if (!counts(record, expect) || !record.complete)
            continue;
        wanted[record.pipeline.idx] += 1;
        answers += 1;
    }
    double sum = 0;
    for (std::size_t i = 0; i < n; ++i) {
        if (wanted[i] > 0)
            sum += wanted[i] * cost[i] / complete[i];
    }
    return sum / std::max(1.0, answers);
}

double replay_report::cost_vs_baselines(const replay_expect& expect,
                                        bool                 same_mix)
{
    auto best = 1e300;
    for (const auto it : strategies) {
        if (it == policy_strategy::adaptive)
            continue;
        const auto& other = run({it, {}});
        best = std::min(best, same_mix ? cost_of_mix(other, result(), expect)
                                       : cost_per_answer(other, expect));
    }
    return cost_per_answer(result(), expect) / best;
}

double replay_report::value(const replay_expect& expect)
{
    if (expect.kind == "attainment")
        return attainment(result(), expect);
    if (expect.kind == "of_capacity")
        return of_capacity(expect);
    if (expect.kind == "loss_without")
        return attainment(run({strategy_, expect.without}), expect) -
               attainment(result(), expect);
    if (expect.kind == "cost_vs_baselines" || expect.kind == "cost_same_mix")
        return cost_vs_baselines(expect, expect.kind == "cost_same_mix");
    if (expect.kind == "retry_load")
        return retry_load(expect);
    double cost = 0, wasted = 0;
    for (const auto& it : result().records) {
        if (!counts(it, expect))
            continue;
        cost += it.cost;
        wasted += it.wasted;
    }
    return cost > 0 ? wasted / cost : 0;
}

double replay_report::retry_load(const replay_expect& expect)
{
    std::vector<double> first(trace_.pools.size()), more(trace_.pools.size());
    for (const auto& it : result().records) {
        if (!counts(it, expect))
            continue;
        const auto& stages = trace_.config.pipelines[it.pipeline.idx].stages;
        for (std::size_t n = 0; n < it.attempts.size(); ++n) {
            if (it.attempts[n] > 0) {
                first[stages[n].pool.idx] += 1;
                more[stages[n].pool.idx] += it.attempts[n] - 1;
            }
        }
    }
    double highest = 0;
    for (std::size_t n = 0; n < first.size(); ++n)
        highest = std::max(highest, first[n] > 0 ? more[n] / first[n] : 0);
    return highest;
}

std::vector<replay_check> replay_report::checks()
{
    std::vector<replay_check> found;
    for (const auto& it : trace_.expects)
        found.push_back({describe(trace_, it), value(it), it.min, it.max});
    return found;
}

std::string replay_report::text(const replay_result& it,
                                const std::string&   policy) const
{
    const auto sum = whole(it);
    auto out = absl::StrFormat("%s, policy %s: %d requests, attainment %.4f\n",
                               trace_.name, policy, sum.all, sum.share());
    const auto pipelines = tallies(it, false, trace_.config.pipelines.size());
    for (std::size_t n = 0; n < pipelines.size(); ++n)
        absl::StrAppendFormat(&out, "  pipeline %-16s %6d  %.4f\n",
                              trace_.config.pipelines[n].name, pipelines[n].all,
                              pipelines[n].share());
    const auto accounts = tallies(it, true, trace_.config.accounts.size());
    for (std::size_t n = 0; n < accounts.size(); ++n)
        absl::StrAppendFormat(&out, "  account  %-16s %6d  %.4f\n",
                              trace_.config.accounts[n].name, accounts[n].all,
                              accounts[n].share());
    double cost = 0, wasted = 0;
    for (const auto& stage : it.stages) {
        absl::StrAppendFormat(
            &out, "  stage    %-28s %7d attempts  cost %10.1f  wasted %8.1f\n",
            stage.stage, stage.attempts, stage.cost, stage.wasted);
        cost += stage.cost;
        wasted += stage.wasted;
    }
    absl::StrAppendFormat(
        &out, "  cost %.1f, wasted %.4f, per complete answer %.4f\n", cost,
        cost > 0 ? wasted / cost : 0,
        cost / std::max<double>(1, static_cast<double>(sum.complete)));
    for (std::size_t n = 0; n < it.refusals.size(); ++n) {
        if (it.refusals[n] > 0)
            absl::StrAppendFormat(
                &out, "  refusal  %-22s %d\n",
                arbutusgate::to_string(static_cast<refusal_reason>(n)),
                it.refusals[n]);
    }
    for (std::size_t n = 0; n < it.retries.size(); ++n) {
        if (it.retries[n] > 0)
            absl::StrAppendFormat(
                &out, "  retry    %-22s %d\n",
                arbutusgate::to_string(static_cast<retry_reason>(n)),
                it.retries[n]);
    }
    if (it.violations > 0)
        absl::StrAppendFormat(&out, "  violations of at-most-once: %d\n",
                              it.violations);
    return out;
}

std::string replay_report::json(const replay_result&             it,
                                const std::string&               policy,
                                const std::vector<replay_check>& checks) const
{
    const auto          sum = whole(it);
    boost::json::object out{{"trace", trace_.name},
                            {"policy", policy},
                            {"requests", sum.all},
                            {"attainment", sum.share()},
                            {"violations", it.violations}};
    boost::json::object groups;
    const auto pipelines = tallies(it, false, trace_.config.pipelines.size());
    for (std::size_t n = 0; n < pipelines.size(); ++n)
        groups[trace_.config.pipelines[n].name] = pipelines[n].share();
    out["pipelines"] = groups;
    groups.clear();
    const auto accounts = tallies(it, true, trace_.config.accounts.size());
    for (std::size_t n = 0; n < accounts.size(); ++n)
        groups[trace_.config.accounts[n].name] = accounts[n].share();
    out["accounts"] = groups;
    groups.clear();
    for (const auto& stage : it.stages)
        groups[stage.stage] = boost::json::object{{"attempts", stage.attempts},
                                                  {"cost", stage.cost},
                                                  {"wasted", stage.wasted}};
    out["stages"] = groups;
    groups.clear();
    for (std::size_t n = 0; n < it.refusals.size(); ++n) {
        if (it.refusals[n] > 0)
            groups[arbutusgate::to_string(static_cast<refusal_reason>(n))] =
                it.refusals[n];
    }
    out["refusals"] = groups;
    groups.clear();
    for (std::size_t n = 0; n < it.retries.size(); ++n) {
        if (it.retries[n] > 0)
            groups[arbutusgate::to_string(static_cast<retry_reason>(n))] =
                it.retries[n];
    }
    out["retries"] = groups;
    boost::json::array outcomes;
    for (const auto& check : checks)
        outcomes.push_back({{"outcome", check.text},
                            {"value", check.value},
                            {"holds", check.holds()}});
    out["outcomes"] = outcomes;
    return boost::json::serialize(out) + "\n";
}

} // namespace arbutusgate
