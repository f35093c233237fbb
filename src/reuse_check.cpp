#include "reuse_check.hpp"

#include "arbutusgate/config.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// A copy is read by the next call on its connection: that call starts while
/// the connection may be idle, and lasts up to 4 s.
constexpr milliseconds remember_time{limits::connection_idle + seconds{5}};
/// Bounds the memory for one target to about 64 KiB; at 30 calls a second a
/// daemon remembers 450 responses of a target.
constexpr std::size_t max_responses = 512;

connection_reuse reuse_if(bool allowed)
{
    return allowed ? connection_reuse::yes : connection_reuse::no;
}

} // namespace

connection_reuse reuse_check::after_request(const response_head& head,
                                            std::string_view     attempt)
{
    return reuse_if(!attempt.empty() && head.attempt == attempt);
}

connection_reuse reuse_check::after_release(const response_head& head)
{
    const auto& notice = head.notice;
    return reuse_if(
        head.status !=
            static_cast<unsigned>(http::status::misdirected_request) &&
        !notice.leaving && !notice.closed_for && !notice.unreadable_time &&
        !notice.call_limit && !notice.unreadable_limit && !notice.cold_for);
}

connection_reuse reuse_check::after_stage_call(stage_answer answer)
{
    return reuse_if(answer == stage_answer::named);
}

stage_answer
reuse_check::check_results(const std::string&               target,
                           const std::vector<piece_result>& results,
                           time_point                       now)
{
    const auto first =
        std::find_if(results.begin(), results.end(),
                     [](const auto& result) { return !result.handle.empty(); });
    if (first == results.end())
        return stage_answer::unnamed;
    auto& known = responses_[target];
    while (!known.empty() && (now - known.front().read_at > remember_time ||
                              known.size() >= max_responses))
        known.pop_front();
    if (std::any_of(known.begin(), known.end(),
                    [&](const auto& it) { return it.handle == first->handle; }))
        return stage_answer::copy;
    known.push_back({first->handle, now});
    return stage_answer::named;
}

} // namespace arbutusgate::gateway
