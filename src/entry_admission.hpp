/// Decides before the first stage whether a request can still be served.
///
/// Pattern: a burst fills the queue of one late stage. Requests that can only
/// be late would have their first stages made, wait there until their callers
/// leave, and hold the results that they have read meanwhile.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <vector>

namespace arbutusgate::gateway {

/// Waits in front of a stage service, as its owner last told.
struct stage_queue
{
    microseconds on_time{0}; ///< Of a piece that can meet its goal.
    microseconds all{0};     ///< Of a piece that cannot.
    microseconds room{0};    ///< Of one with a large result, for its room.
};

/// One stage of a request that is about to start.
struct stage_outlook
{
    std::vector<std::uint32_t> after;
    bool                       skipped = false; ///< It has no pieces.
    stage_queue                queue;
    microseconds               call{0};       ///< Time of its own call.
    bool                       large = false; ///< Its results are.
};

/// What is known of a request before its first stage.
struct request_outlook
{
    std::vector<stage_outlook> stages;
    microseconds               answer{0}; ///< From the last stage on.
    time_point                 goal{};    ///< A later first event is late.
    time_point                 limit{};   ///< A later one is of no use.
};

/// Outcome of the decision.
struct entry_decision
{
    bool         admitted = true;
    microseconds expected{0};    ///< Time to the first event.
    milliseconds retry_after{0}; ///< When refused.
};

/// \param now when the request would start.
entry_decision decide_entry(const request_outlook& it, time_point now);

} // namespace arbutusgate::gateway
