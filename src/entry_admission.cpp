#include "entry_admission.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// A refused caller that retries sooner finds the same queue.
constexpr milliseconds min_retry_after{250};

/// Duration of the critical path through the stages and of the response.
/// \param wait returns the waiting time of a stage.
template <class Wait>
microseconds critical_path_time(const request_estimate& request, Wait wait)
{
    std::vector<microseconds> ends;
    microseconds              longest{0};
    for (const auto& stage : request.stages) {
        microseconds start{0};
        for (const auto n : stage.after) {
            if (n < ends.size())
                start = std::max(start, ends[n]);
        }
        const auto own =
            stage.skipped ? microseconds{0} : wait(stage) + stage.call;
        ends.push_back(start + own);
        longest = std::max(longest, ends.back());
    }
    return longest + request.answer;
}

/// \param queue_wait time until a target is free for the stage.
microseconds stage_wait(const stage_estimate& stage, microseconds queue_wait)
{
    return stage.large ? std::max(queue_wait, stage.queue.room) : queue_wait;
}

} // namespace

entry_decision decide_entry(const request_estimate& request, time_point now)
{
    entry_decision out;
    out.expected = critical_path_time(request, [](const auto& stage) {
        return stage_wait(stage, stage.queue.on_time);
    });
    if (now + out.expected <= request.goal)
        return out;
    out.expected = critical_path_time(request, [](const auto& stage) {
        return stage_wait(stage, stage.queue.all);
    });
    out.admitted = now + out.expected <= request.limit;
    if (!out.admitted)
        out.retry_after =
            std::max(min_retry_after, std::chrono::duration_cast<milliseconds>(
                                          now + out.expected - request.limit));
    return out;
}

} // namespace arbutusgate::gateway
