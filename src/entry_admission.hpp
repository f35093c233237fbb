/// Admission control: decides before a request's first stage whether the
/// request can still be completed in time.
///
/// Failure: a burst fills the queue of a stage near the end of the pipeline.
/// Requests that can only miss their limit would run their first stages, wait
/// in that queue until their callers disconnect, and meanwhile hold the stage
/// results that they have read.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <vector>

namespace arbutusgate::gateway {

/// Waiting times of a stage service's queue, as last reported by its owner.
struct stage_queue
{
    microseconds on_time{0}; ///< Wait of a piece that can meet its goal.
    microseconds all{0};     ///< Wait of a piece that cannot.
    /// Wait of a piece with a large result for free result memory.
    microseconds room{0};
};

/// Expected times of one stage of a request that is about to start.
struct stage_estimate
{
    std::vector<std::uint32_t> after; ///< Earlier stages it depends on.
    bool                       skipped = false; ///< It has no pieces.
    stage_queue                queue;
    microseconds               call{0};       ///< Duration of its own call.
    bool                       large = false; ///< Its results are large.
};

/// Expected times of a request before its first stage.
struct request_estimate
{
    std::vector<stage_estimate> stages;
    /// From the end of the last stage to the first event of the response.
    microseconds answer{0};
    time_point   goal{};  ///< The first event is late after this.
    time_point   limit{}; ///< The first event is useless after this.
};

/// Outcome of the admission decision.
struct entry_decision
{
    bool         admitted = true;
    microseconds expected{0};    ///< Time until the first event.
    milliseconds retry_after{0}; ///< Set when the request is refused.
};

/// \param now when the request would start.
entry_decision decide_entry(const request_estimate& request, time_point now);

} // namespace arbutusgate::gateway
