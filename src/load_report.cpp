#include "load_report.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <boost/json/array.hpp>

namespace arbutusgate {

namespace json = boost::json;

namespace {

constexpr std::size_t shown_violations = 20;

double ms(microseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

std::string group_row(const load_group& it)
{
    return absl::StrFormat("  %-22s %7d %7d %6.3f %9.1f %9.1f %9.1f\n", it.name,
                           it.requests, it.outcome_count(load_outcome::whole),
                           it.attainment(), ms(it.latency.quantile(0.5)),
                           ms(it.latency.quantile(0.95)),
                           ms(it.latency.quantile(0.99)));
}

std::string times_row(const char* name, const load_histogram& it)
{
    return absl::StrFormat("  %-22s %7d %24.1f %9.1f %9.1f\n", name, it.count(),
                           ms(it.quantile(0.5)), ms(it.quantile(0.95)),
                           ms(it.quantile(0.99)));
}

std::string outcome_row(const load_group& group)
{
    std::string text = "  outcomes:";
    for (std::size_t n = 0; n < group.outcomes.size(); ++n) {
        if (group.outcomes[n])
            absl::StrAppend(&text, " ", std::string(to_string(load_outcome(n))),
                            "=", group.outcomes[n]);
    }
    return text + "\n";
}

json::object times_json(const load_histogram& it)
{
    return {{"count", it.count()},
            {"p50", ms(it.quantile(0.5))},
            {"p95", ms(it.quantile(0.95))},
            {"p99", ms(it.quantile(0.99))}};
}

json::object group_json(const load_group& it)
{
    json::object outcomes;
    for (std::size_t n = 0; n < it.outcomes.size(); ++n)
        outcomes[to_string(load_outcome(n))] = it.outcomes[n];
    return {{"name", it.name},
            {"requests", it.requests},
            {"attainment", it.attainment()},
            {"outcomes", std::move(outcomes)},
            {"latency_ms", times_json(it.latency)}};
}

json::array groups_json(const std::vector<load_group>& groups)
{
    json::array all;
    for (const auto& it : groups)
        all.push_back(group_json(it));
    return all;
}

json::array stages_json(const load_summary& summary)
{
    json::array all;
    for (const auto& it : summary.stages)
        all.push_back(json::object{{"pipeline", it.pipeline},
                                   {"stage", it.stage},
                                   {"answers", it.answers},
                                   {"executions", it.executions},
                                   {"useful_cost", it.useful},
                                   {"wasted_cost", it.wasted}});
    return all;
}

} // namespace

std::string text_report(const load_summary& summary)
{
    auto       text   = absl::StrFormat("%s\n  %-22s %7s %7s %6s %9s %9s %9s\n",
                                        summary.name, "", "requests", "whole", "share",
                                        "p50 ms", "p95 ms", "p99 ms");
    const auto groups = [&](const char*                    title,
                            const std::vector<load_group>& all) {
        absl::StrAppend(&text, title, "\n");
        for (const auto& it : all)
            text += group_row(it);
    };
    text += group_row(summary.all);
    text += outcome_row(summary.all);
    groups("pipelines", summary.pipelines);
    groups("accounts", summary.accounts);
    groups("daemons", summary.daemons);
    text += "repeated keys\n" + group_row(summary.repeats);
    text += outcome_row(summary.repeats);
    text += "streams\n" + times_row("first token", summary.first_token);
    text += times_row("between tokens", summary.token_gap);
    text += absl::StrFormat("cost by stage\n  %-16s %-16s %8s %8s %10s %10s\n",
                            "pipeline", "stage", "answers", "runs", "useful",
                            "wasted");
    for (const auto& it : summary.stages)
        text += absl::StrFormat("  %-16s %-16s %8d %8d %10.1f %10.1f\n",
                                it.pipeline, it.stage, it.answers,
                                it.executions, it.useful, it.wasted);
    if (!summary.reasons.empty())
        text += "reasons of incomplete answers\n";
    for (const auto& [name, n] : summary.reasons)
        text += absl::StrFormat("  %-30s %7d\n", name, n);
    for (std::size_t n = 0;
         n < std::min(shown_violations, summary.violations.size()); ++n)
        text += "violation: " + summary.violations[n] + "\n";
    if (summary.violations.size() > shown_violations)
        absl::StrAppend(&text, "... and ",
                        summary.violations.size() - shown_violations,
                        " more\n");
    return text;
}

json::object json_report(const load_summary& summary)
{
    json::object reasons;
    for (const auto& [name, n] : summary.reasons)
        reasons[name] = n;
    json::array timeline;
    for (const auto& it : summary.timeline)
        timeline.push_back(
            json::object{{"requests", it.requests}, {"whole", it.whole}});
    json::array violations;
    for (const auto& it : summary.violations)
        violations.push_back(json::value(it));
    return {{"name", summary.name},
            {"all", group_json(summary.all)},
            {"pipelines", groups_json(summary.pipelines)},
            {"accounts", groups_json(summary.accounts)},
            {"daemons", groups_json(summary.daemons)},
            {"repeated_keys", group_json(summary.repeats)},
            {"first_token_ms", times_json(summary.first_token)},
            {"token_gap_ms", times_json(summary.token_gap)},
            {"stages", stages_json(summary)},
            {"cost", summary.cost()},
            {"wasted_cost", summary.wasted()},
            {"cost_per_whole", summary.cost_per_whole()},
            {"reasons", std::move(reasons)},
            {"timeline", std::move(timeline)},
            {"violations", std::move(violations)}};
}

} // namespace arbutusgate
