#include "stage_run.hpp"

#include "daemon_clock.hpp"
#include "route_table.hpp"
#include "target_directory.hpp"
#include "time_estimates.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace arbutusgate::gateway {

namespace {

/// Estimate used until there is a sample.
constexpr milliseconds default_stage_time{300};
/// Results must be read at least this long before they expire.
constexpr milliseconds expiry_margin{300};
constexpr milliseconds late_retry_after{250};

run_failure failure_of(const stage_ticket& it)
{
    switch (it.state) {
    case order_state::refused:
        return {refusal_reason::overloaded, execution::not_run, it.retry_after};
    case order_state::late:
        return {refusal_reason::deadline_unreachable, execution::not_run,
                late_retry_after};
    default:
        return {refusal_reason::stage_failed, execution::not_run,
                late_retry_after};
    }
}

bool contains(const std::vector<std::uint32_t>& list, std::uint32_t stage)
{
    return std::find(list.begin(), list.end(), stage) != list.end();
}

} // namespace

const std::vector<std::string>& stage_run::stage_state::handles() const
{
    static const std::vector<std::string> none;
    return ticket ? ticket->handles : none;
}

stage_run::stage_run(stage_plan plan, stage_run_dependencies parts,
                     std::shared_ptr<fiber_signal> changed)
    : plan_(std::move(plan)), parts_(parts), changed_(std::move(changed)),
      states_(plan_.path.stages.size())
{
}

stage_run::~stage_run()
{
    for (std::size_t n = 0; n < states_.size(); ++n) {
        const auto& it = states_[n];
        if (it.has(order_state::waiting))
            parts_.stages.withdraw(it.ticket);
        if (!it.handles().empty())
            parts_.stages.release(plan_.path.stages[n].service, it.handles());
    }
}

std::uint32_t stage_run::count_of(std::uint32_t stage) const
{
    const auto& pieces = plan_.call.pieces;
    return stage < pieces.size() ? pieces[stage] : 0;
}

bool stage_run::is_ready(std::uint32_t stage) const
{
    const auto& after = plan_.path.stages[stage].after;
    return std::all_of(after.begin(), after.end(), [this](std::uint32_t it) {
        return it < states_.size() && states_[it].has(order_state::done);
    });
}

bool stage_run::is_final(std::uint32_t stage) const
{
    return std::none_of(
        plan_.path.stages.begin(), plan_.path.stages.end(),
        [stage](const auto& it) { return contains(it.after, stage); });
}

stage_run::stage_list stage_run::all_stages() const
{
    stage_list out(states_.size());
    std::iota(out.begin(), out.end(), 0U);
    return out;
}

std::optional<std::uint32_t> stage_run::next_ready() const
{
    for (const auto n : all_stages()) {
        if (!states_[n].ticket && is_ready(n))
            return n;
    }
    return std::nullopt;
}

std::vector<std::string> stage_run::inputs_of(std::uint32_t stage) const
{
    std::vector<std::string> out;
    for (const auto it : plan_.path.stages[stage].after) {
        const auto& handles = states_[it].handles();
        if (handles.empty()) {
            // A stage without pieces forwards its own inputs.
            const auto earlier = inputs_of(it);
            out.insert(out.end(), earlier.begin(), earlier.end());
        }
        out.insert(out.end(), handles.begin(), handles.end());
    }
    return out;
}

std::vector<std::string> stage_run::inputs() const
{
    std::vector<std::string> out;
    for (const auto n : all_stages()) {
        if (!is_final(n))
            continue;
        const auto& handles = states_[n].handles();
        out.insert(out.end(), handles.begin(), handles.end());
    }
    return out;
}

/// Estimated time from the completion of a stage to the first event.
microseconds stage_run::time_after(std::uint32_t stage) const
{
    auto out = parts_.times.get(plan_.service, default_first_event_time);
    for (const auto n : all_stages()) {
        const auto& it = plan_.path.stages[n];
        if (n > stage && contains(it.after, stage))
            out = std::max(
                out, time_after(n) +
                         parts_.times.get(it.service, default_stage_time));
    }
    return out;
}

/// Time by which the results of the stages have to be read: the earliest
/// expiry, less a margin.
time_point stage_run::read_deadline(const stage_list& of) const
{
    auto out = time_point::max();
    for (const auto n : of) {
        const auto* producer =
            plan_.table.find_service(plan_.path.stages[n].service);
        if (producer && producer->stage &&
            states_[n].completed_at != time_point{})
            out = std::min(out, states_[n].completed_at +
                                    producer->stage->result_retention -
                                    expiry_margin);
    }
    return out;
}

time_point stage_run::read_deadline() const
{
    auto list = all_stages();
    std::erase_if(list, [this](auto n) { return !is_final(n); });
    return read_deadline(list);
}

std::shared_ptr<stage_ticket> stage_run::order(std::uint32_t stage)
{
    const auto& step  = plan_.path.stages[stage];
    const auto  count = count_of(stage);
    const auto  rest  = time_after(stage);
    stage_order out;
    out.service           = step.service;
    out.group.count       = count;
    out.group.rank        = plan_.rank;
    out.permitted_domains = plan_.permitted_domains;
    out.group.goal        = plan_.goal - rest;
    out.group.limit = std::min(plan_.limit - rest, read_deadline(step.after));
    out.group.failure_domain = main_domain(step.after);
    for (const auto it : step.after)
        out.cross_domain_bytes +=
            states_[it].handles().size() * plan_.path.stages[it].result_bytes;
    // Large results are produced in the failure domain of the target that
    // caches the prompt.
    if (step.after.empty() && count * step.result_bytes >= large_result_bytes) {
        out.group.failure_domain = plan_.cache_domain();
        out.cross_domain_bytes   = count * step.result_bytes;
    }
    out.group.result_bytes = step.result_bytes;
    const auto& name       = plan_.path.name;
    out.group.kind         = static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(name.data(), name.size(), stage));
    out.source = std::make_shared<const stage_source>(stage_source{
        plan_.call.attempt, stage,
        step.after.empty() ? plan_.call.piece_key : "", inputs_of(stage)});
    return parts_.stages.submit(std::move(out), changed_);
}

std::optional<run_failure> stage_run::submit()
{
    auto failed = failure();
    for (auto n = next_ready(); n && !failed; n = next_ready()) {
        auto& it = states_[*n];
        if (count_of(*n) == 0) {
            it.ticket        = std::make_shared<stage_ticket>();
            it.ticket->state = order_state::done;
            continue;
        }
        it.submitted_at = daemon_now();
        it.ticket       = order(*n);
        failed          = failure();
    }
    return failed;
}

void stage_run::collect()
{
    learn_times();
    release_consumed();
}

/// Adds the times of completed stages to the estimates. Late orders are left
/// out: they are queued behind others on purpose, so their times do not show
/// how long an order on time takes.
void stage_run::learn_times()
{
    const auto now = daemon_now();
    for (const auto n : all_stages()) {
        auto& it = states_[n];
        if (it.submitted_at == time_point{} || !it.has(order_state::done))
            continue;
        if (now <= plan_.goal - time_after(n))
            parts_.times.add(plan_.path.stages[n].service,
                             now - it.submitted_at);
        it.submitted_at = {};
        it.completed_at = now;
    }
}

/// Releases results that all later stages have read, since targets have little
/// result memory.
void stage_run::release_consumed()
{
    for (const auto n : all_stages()) {
        if (states_[n].handles().empty())
            continue;
        std::size_t readers = 0;
        bool        read    = true;
        for (const auto k : all_stages()) {
            if (!contains(plan_.path.stages[k].after, n))
                continue;
            ++readers;
            // A stage without pieces forwarded these results, so they are
            // still needed.
            read = read && !states_[k].handles().empty();
        }
        if (readers > 0 && read)
            parts_.stages.release(
                plan_.path.stages[n].service,
                std::exchange(states_[n].ticket->handles, {}));
    }
}

bool stage_run::complete() const
{
    return std::all_of(states_.begin(), states_.end(), [](const auto& it) {
        return it.has(order_state::done);
    });
}

std::optional<run_failure> stage_run::failure() const
{
    for (const auto& it : states_) {
        if (it.ticket && !it.has(order_state::waiting) &&
            !it.has(order_state::done))
            return failure_of(*it.ticket);
    }
    return std::nullopt;
}

std::size_t stage_run::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(states_.begin(), states_.end(), [](const auto& it) {
            return it.has(order_state::waiting);
        }));
}

std::uint64_t stage_run::result_bytes() const
{
    std::uint64_t out = 0;
    for (const auto n : all_stages())
        out += states_[n].handles().size() * plan_.path.stages[n].result_bytes;
    return out;
}

std::string stage_run::main_domain() const
{
    return main_domain(all_stages());
}

std::string stage_run::main_domain(const stage_list& of) const
{
    std::map<std::string, std::uint64_t> bytes;
    for (const auto n : of) {
        for (const auto& handle : states_[n].handles()) {
            const auto* producer = parts_.targets.find_by_address(
                std::string_view(handle).substr(0, handle.find('/')));
            if (producer)
                bytes[producer->failure_domain] +=
                    plan_.path.stages[n].result_bytes;
        }
    }
    const auto most = std::max_element(
        bytes.begin(), bytes.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == bytes.end() ? "" : most->first;
}

} // namespace arbutusgate::gateway
