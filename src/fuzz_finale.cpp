// End of a scenario: all faults stop, and the world checks that every process
// recovers.
#include "fuzz_world.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr std::uint32_t first_final_key = 1000;
// A process whose incarnation is too low waits for member_suspect before it
// recovers.
constexpr auto recovery_slack   = limits::member_suspect + seconds{4};
constexpr auto response_timeout = seconds{5};

} // namespace

void fuzz_world::check_recovery()
{
    stop_faults();
    check_convergence();
    if (!done())
        check_claims();
    if (!done())
        check_retries();
    run_until(now_ + seconds{1});
}

void fuzz_world::stop_faults()
{
    apply_network({.kind = fuzz_op_kind::heal});
    apply_platform({.kind = fuzz_op_kind::service_ok});
    // Stands for the operators, who replace a version that every daemon
    // rejects.
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
    last_fault_change_ = now_;
}

void fuzz_world::check_convergence()
{
    const auto expected_version = [&] {
        std::uint64_t highest = published_;
        for (const auto id : current_)
            highest = std::max(highest, processes_[id]->core->config_version());
        return highest;
    };
    const auto converged = [&] {
        return std::all_of(
            current_.begin(), current_.end(), [&](std::uint32_t id) {
                const auto& it = *processes_[id];
                return it.core->config_version() == expected_version() &&
                       it.core->ready(it.clock(now_));
            });
    };
    const auto end = now_ + limits::config_in_force;
    while (!done() && now_ < end && !converged())
        run_until(now_ + milliseconds{250});
    if (!done() && !converged())
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
    // By then every daemon has learned that the faults have ended.
    run_until(std::max(now_, last_fault_change_ + limits::leaving_bound) +
              seconds{1});
    // A draining process is replaced when its drain ends; only then does the
    // recovery of its voter begin.
    auto recovery_start = last_fault_change_;
    for (const auto id : current_) {
        if (processes_[id]->draining)
            recovery_start =
                std::max(recovery_start, processes_[id]->drain_end);
    }
    const auto end = recovery_start + limit;
    while (!done() && now_ < end && !settled())
        run_until(now_ + milliseconds{250});
    std::vector<std::uint32_t> calls;
    for (std::uint32_t n = 0; n < scenario_.slots && !done(); ++n) {
        call(n, first_final_key + n, false);
        calls.push_back(calls_.at(first_final_key + n).back());
    }
    wait_responses(calls, response_timeout);
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

void fuzz_world::wait_responses(const std::vector<std::uint32_t>& calls,
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

bool fuzz_world::handlers_alive(std::uint32_t key) const
{
    const auto& calls = calls_.at(key);
    return std::all_of(calls.begin(), calls.end(), [&](std::uint32_t it) {
        return processes_[handler_.at(it)]->alive;
    });
}

// Retries every key that is still in its retry window. A key whose calls all
// got "not run" must not be blocked; a finished key must get its response and
// not run again.
void fuzz_world::check_retries()
{
    for (const auto& [key, unused] : std::map(calls_)) {
        const auto first = oracle_.first_use(key);
        if (done() || now_ - *first > init_.retry_window ||
            !handlers_alive(key))
            continue;
        const bool only_not_run = oracle_.only_not_run(key);
        const bool finished     = oracle_.done_call(key).has_value();
        if (!only_not_run && !finished)
            continue;
        const auto before = oracle_.executions();
        call(draw(scenario_.slots), key, false);
        const auto it = calls_.at(key).back();
        wait_responses({it}, seconds{2});
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
