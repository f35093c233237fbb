#include "load_check.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace arbutusgate {

namespace {

using violation_list = std::vector<std::string>;

bool contains(const std::vector<std::size_t>& indices, std::size_t index)
{
    return std::find(indices.begin(), indices.end(), index) != indices.end();
}

void check_responses(const check_input& input, violation_list& violations)
{
    for (const auto& it : input.results) {
        for (const auto& text : it.violations)
            violations.push_back(text);
        for (const auto daemon : it.lost_by) {
            if (!input.may_die.empty() && !contains(input.may_die, daemon))
                violations.push_back(
                    absl::StrCat("request ", input.plan[it.number].tag,
                                 " lost by ", input.daemons[daemon]));
        }
    }
}

void check_deadly_requests(const check_input& input, violation_list& violations)
{
    // A daemon that may die need not know the part when it is back.
    constexpr std::size_t           allowed = 3;
    std::unordered_set<std::string> late(
        input.counters.late_deadly_tags.begin(),
        input.counters.late_deadly_tags.end());
    std::size_t n = 0;
    for (const auto& it : input.results) {
        const auto& request = input.plan[it.number];
        if (late.contains(request.tag) && !contains(input.may_die, it.daemon))
            ++n;
        if (!request.deadly && it.reason == "quarantined")
            violations.push_back(
                absl::StrCat("request ", request.tag,
                             " refused for a part that crashes targets"));
    }
    if (n > allowed)
        violations.push_back(absl::StrCat(
            n, " requests with a deadly part reached engines too late"));
}

void check_repeated_keys(const check_input& input, violation_list& violations)
{
    std::unordered_map<std::uint32_t, const load_result*> first;
    for (const auto& it : input.results) {
        if (!it.complete() || input.plan[it.number].key.empty())
            continue;
        const auto known = first.emplace(it.number, &it).first->second;
        if (known->output != it.output)
            violations.push_back(
                absl::StrCat("key ", input.plan[it.number].key,
                             " received two different responses"));
    }
}

/// Execution records of the stand-ins, indexed by request id and by tag.
class execution_index
{
public:
    explicit execution_index(const std::vector<executed_work>& rows)
    {
        for (const auto& it : rows) {
            by_id_[it.request_id].push_back(&it);
            by_tag_[it.tag].push_back(&it);
        }
    }

    const std::vector<const executed_work*>&
    find_by_id(const std::string& id) const
    {
        return find(by_id_, id);
    }
    const std::vector<const executed_work*>&
    find_by_tag(const std::string& tag) const
    {
        return find(by_tag_, tag);
    }

    /// Returns the number of executions of a stage for a tag. An engine does
    /// not know the name of its stage and records an empty one.
    std::uint64_t count(const std::string& tag, const mix_stage& stage) const
    {
        std::uint64_t n = 0;
        for (const auto* it : find_by_tag(tag)) {
            if (it->stage == stage.name ||
                (stage.generates && it->stage.empty()))
                n += it->count;
        }
        return n;
    }

private:
    using index =
        std::unordered_map<std::string, std::vector<const executed_work*>>;

    static const std::vector<const executed_work*>& find(const index&       in,
                                                         const std::string& key)
    {
        static const std::vector<const executed_work*> empty;
        const auto                                     it = in.find(key);
        return it == in.end() ? empty : it->second;
    }

    index by_id_;
    index by_tag_;
};

void check_not_run(const check_input& input, const execution_index& index,
                   violation_list& violations)
{
    for (const auto& it : input.results) {
        for (const auto& id : it.not_run_ids) {
            if (id.empty())
                violations.push_back("not_run response without a request id");
            for (const auto* work : index.find_by_id(id))
                violations.push_back(absl::StrCat(
                    "not_run response ", id, " (", it.reason, ") to ",
                    input.plan[it.number].tag, ", but stage ",
                    work->stage.empty() ? "generate" : work->stage, " ran"));
        }
    }
}

void check_at_most_once(const check_input& input, const execution_index& index,
                        violation_list& violations)
{
    for (const auto& it : input.plan) {
        for (const auto& stage : input.mix.pipelines[it.pipeline].stages) {
            const auto n = stage.idempotent ? 0 : index.count(it.tag, stage);
            if (n > 1)
                violations.push_back(absl::StrCat("key ", it.key, " ran ", n,
                                                  " times in stage ",
                                                  stage.name));
        }
    }
}

void check_complete_responses(const check_input&     input,
                              const execution_index& index,
                              violation_list&        violations)
{
    for (const auto& it : input.results) {
        if (!it.complete())
            continue;
        const auto& request = input.plan[it.number];
        for (const auto& stage : input.mix.pipelines[request.pipeline].stages) {
            if (index.count(request.tag, stage) == 0)
                violations.push_back(absl::StrCat(
                    "complete response to ", request.tag,
                    " without an execution of stage ", stage.name));
        }
        for (const auto* work : index.find_by_id(it.request_id)) {
            if (work->tag != request.tag)
                violations.push_back(absl::StrCat(
                    "execution for ", work->tag,
                    " recorded under the request id of ", request.tag));
        }
    }
}

} // namespace

std::vector<std::string> find_violations(const check_input& input)
{
    violation_list violations;
    check_responses(input, violations);
    check_repeated_keys(input, violations);
    check_deadly_requests(input, violations);
    for (const auto& it : input.counters.over_limit)
        violations.push_back(absl::StrCat("target ", it.target, " got ",
                                          it.calls,
                                          " calls more than its limit allows"));
    if (!input.executions)
        return violations;
    const execution_index index(*input.executions);
    check_not_run(input, index, violations);
    check_at_most_once(input, index, violations);
    check_complete_responses(input, index, violations);
    return violations;
}

} // namespace arbutusgate
