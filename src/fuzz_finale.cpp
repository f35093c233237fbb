// End of a scenario: the faults stop, and everything has to recover.
#include "fuzz_world.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr std::uint32_t first_final_key = 1000;
// A process with a wrong incarnation waits for member_suspect first.
constexpr auto recovery_slack = limits::member_suspect + seconds{4};
constexpr auto answer_time    = seconds{5};

} // namespace

void fuzz_world::finale()
{
    stop_faults();
    check_convergence();
    if (!done())
        check_claims();
    if (!done())
        check_repeats();
    run_until(now_ + seconds{1});
}

void fuzz_world::stop_faults()
{
    apply_network({.kind = fuzz_op_kind::heal});
    apply_platform({.kind = fuzz_op_kind::service_ok});
    // The operators correct a version that every daemon rejects.
    if (!valid(published_))
        ++published_;
    target_mode_ = fuzz_target_mode::answer;
    stage_time_  = milliseconds{1};
    for (std::uint32_t n = 0; n < processes_.size(); ++n) {
        auto& it = *processes_[n];
        if (it.alive && it.superseded)
            kill(n);
        else if (it.alive)
            wake(n);
    }
    for (std::uint32_t n = 0; n < scenario_.slots; ++n) {
        if (!processes_[current(n)]->alive)
            start(n);
    }
    calm_since_ = now_;
}

void fuzz_world::check_convergence()
{
    const auto wanted = [&] {
        std::uint64_t highest = published_;
        for (const auto id : current_)
            highest = std::max(highest, processes_[id]->core->config_version());
        return highest;
    };
    const auto same = [&] {
        return std::all_of(current_.begin(), current_.end(),
                           [&](std::uint32_t id) {
                               const auto& it = *processes_[id];
                               return it.core->config_version() == wanted() &&
                                      it.core->ready(it.clock(now_));
                           });
    };
    const auto end = now_ + limits::config_in_force;
    while (!done() && now_ < end && !same())
        run_until(now_ + milliseconds{250});
    if (!done() && !same())
        oracle_.violation("the configuration did not converge");
}

void fuzz_world::check_claims()
{
    const auto limit =
        init_.retry_window + init_.settle_margin + recovery_slack;
    const auto settled = [&] {
        return std::all_of(current_.begin(), current_.end(),
                           [&](std::uint32_t id) {
                               const auto& it = *processes_[id];
                               return !it.draining && it.core->settled() &&
                                      it.core->ready(it.clock(now_));
                           });
    };
    // The news of the faults that ended has spread by then.
    run_until(std::max(now_, calm_since_ + limits::leaving_bound) + seconds{1});
    // A draining process is replaced when it ends, and its voter recovers.
    auto calm = calm_since_;
    for (const auto id : current_) {
        if (processes_[id]->draining)
            calm = std::max(calm, processes_[id]->drain_end);
    }
    const auto end = calm + limit;
    while (!done() && now_ < end && !settled())
        run_until(now_ + milliseconds{250});
    std::vector<std::uint32_t> calls;
    for (std::uint32_t n = 0; n < scenario_.slots && !done(); ++n) {
        call(n, first_final_key + n, false);
        calls.push_back(calls_.at(first_final_key + n).back());
    }
    wait_answers(calls, answer_time);
    for (const auto it : calls) {
        const auto reason = reasons_.find(it);
        if (!done() && oracle_.answer(it) != fuzz_answer::done)
            oracle_.violation("claims do not work again at process " +
                              std::to_string(handler_.at(it)) + ": " +
                              std::string(to_string(reason == reasons_.end()
                                                        ? refusal_reason::none
                                                        : reason->second)));
    }
}

void fuzz_world::wait_answers(const std::vector<std::uint32_t>& calls,
                              milliseconds                      limit)
{
    const auto answered = [&] {
        return std::all_of(calls.begin(), calls.end(), [&](std::uint32_t it) {
            return oracle_.answer(it) != fuzz_answer::none;
        });
    };
    for (const auto end = now_ + limit; !done() && now_ < end && !answered();)
        run_until(now_ + milliseconds{10});
}

bool fuzz_world::handlers_live(std::uint32_t key) const
{
    const auto& calls = calls_.at(key);
    return std::all_of(calls.begin(), calls.end(), [&](std::uint32_t it) {
        return processes_[handler_.at(it)]->alive;
    });
}

// A key that never ran is free again, and a finished one has its answer.
void fuzz_world::check_repeats()
{
    for (const auto& [key, unused] : std::map(calls_)) {
        const auto first = oracle_.first_use(key);
        if (done() || now_ - *first > init_.retry_window || !handlers_live(key))
            continue;
        const bool only_not_run = oracle_.only_not_run(key);
        const bool finished     = oracle_.done_call(key).has_value();
        if (!only_not_run && !finished)
            continue;
        const auto before = oracle_.executions();
        call(draw(scenario_.slots), key, false);
        const auto it = calls_.at(key).back();
        wait_answers({it}, seconds{2});
        const auto answer = oracle_.answer(it);
        if (answer == fuzz_answer::unknown)
            oracle_.violation(only_not_run ? "a key that never ran is blocked"
                                           : "a finished key has no answer");
        if (finished && answer == fuzz_answer::done &&
            oracle_.executions() != before)
            oracle_.violation("a finished key ran again");
    }
}

} // namespace arbutusgate
