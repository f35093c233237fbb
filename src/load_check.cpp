#include "load_check.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <unordered_map>

namespace arbutusgate {

namespace {

using breach_list = std::vector<std::string>;

bool contains(const std::vector<std::size_t>& all, std::size_t it)
{
    return std::find(all.begin(), all.end(), it) != all.end();
}

void check_single(const check_input& input, breach_list& all)
{
    for (const auto& it : input.results) {
        for (const auto& text : it.violations)
            all.push_back(text);
        for (const auto daemon : it.lost_by) {
            if (!input.may_die.empty() && !contains(input.may_die, daemon))
                all.push_back(absl::StrCat("request ",
                                           input.plan[it.number].tag,
                                           " lost by ", input.daemons[daemon]));
        }
    }
}

void check_repeats(const check_input& input, breach_list& all)
{
    std::unordered_map<std::uint32_t, const load_result*> first;
    for (const auto& it : input.results) {
        if (!it.complete() || input.plan[it.number].key.empty())
            continue;
        const auto known = first.emplace(it.number, &it).first->second;
        if (known->output != it.output)
            all.push_back(absl::StrCat("key ", input.plan[it.number].key,
                                       " got two different answers"));
    }
}

/// The stand-ins' records by request id and by tag.
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

    const std::vector<const executed_work*>& of_id(const std::string& id) const
    {
        return find(by_id_, id);
    }
    const std::vector<const executed_work*>&
    of_tag(const std::string& tag) const
    {
        return find(by_tag_, tag);
    }

    /// Executions of a stage for a tag. Engines do not learn the name of
    /// their stage and record an empty one.
    std::uint64_t count(const std::string& tag, const mix_stage& stage) const
    {
        std::uint64_t n = 0;
        for (const auto* it : of_tag(tag)) {
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
                   breach_list& all)
{
    for (const auto& it : input.results) {
        for (const auto& id : it.not_run_ids) {
            if (id.empty())
                all.push_back("not_run answer without a request id");
            for (const auto* work : index.of_id(id))
                all.push_back(absl::StrCat(
                    "not_run answer ", id, " (", it.reason, ") to ",
                    input.plan[it.number].tag, ", but stage ",
                    work->stage.empty() ? "generate" : work->stage, " ran"));
        }
    }
}

void check_once(const check_input& input, const execution_index& index,
                breach_list& all)
{
    for (const auto& it : input.plan) {
        for (const auto& stage : input.mix.pipelines[it.pipeline].stages) {
            const auto n = stage.idempotent ? 0 : index.count(it.tag, stage);
            if (n > 1)
                all.push_back(absl::StrCat("key ", it.key, " ran ", n,
                                           " times in stage ", stage.name));
        }
    }
}

void check_complete(const check_input& input, const execution_index& index,
                    breach_list& all)
{
    for (const auto& it : input.results) {
        if (!it.complete())
            continue;
        const auto& request = input.plan[it.number];
        for (const auto& stage : input.mix.pipelines[request.pipeline].stages) {
            if (index.count(request.tag, stage) == 0)
                all.push_back(absl::StrCat("complete answer to ", request.tag,
                                           " without work in stage ",
                                           stage.name));
        }
        for (const auto* work : index.of_id(it.request_id)) {
            if (work->tag != request.tag)
                all.push_back(absl::StrCat("work of ", work->tag,
                                           " under the id of ", request.tag));
        }
    }
}

} // namespace

std::vector<std::string> find_violations(const check_input& input)
{
    breach_list all;
    check_single(input, all);
    check_repeats(input, all);
    if (!input.executions)
        return all;
    const execution_index index(*input.executions);
    check_not_run(input, index, all);
    check_once(input, index, all);
    check_complete(input, index, all);
    return all;
}

} // namespace arbutusgate
