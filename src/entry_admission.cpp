#include "entry_admission.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// A refused caller that comes back sooner finds the same queue.
constexpr milliseconds least_retry{250};

/// Time of the longest way through the stages.
template <class Wait>
microseconds path_time(const request_outlook& it, Wait wait)
{
    std::vector<microseconds> ends;
    microseconds              longest{0};
    for (const auto& stage : it.stages) {
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
    return longest + it.answer;
}

microseconds wait_of(const stage_outlook& it, microseconds for_call)
{
    return it.large ? std::max(for_call, it.queue.room) : for_call;
}

} // namespace

entry_decision decide_entry(const request_outlook& it, time_point now)
{
    entry_decision out;
    out.expected = path_time(
        it, [](const auto& s) { return wait_of(s, s.queue.on_time); });
    if (now + out.expected <= it.goal)
        return out;
    out.expected =
        path_time(it, [](const auto& s) { return wait_of(s, s.queue.all); });
    out.admitted = now + out.expected <= it.limit;
    if (!out.admitted)
        out.retry_after =
            std::max(least_retry, std::chrono::duration_cast<milliseconds>(
                                      now + out.expected - it.limit));
    return out;
}

} // namespace arbutusgate::gateway
