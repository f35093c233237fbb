/// Runs one attempt of a stage: calls its target and validates the result.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/pipeline_run.hpp"
#include "arbutusgate/policy.hpp"

#include "http_types.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

class connection_pool;
class http_client;

/// Input of one attempt.
struct stage_work
{
    const stage_config*  stage  = nullptr;
    const target_config* target = nullptr;
    std::string          request_id;
    start_attempt        start;
    std::string_view     input;
    std::string_view     key; ///< Idempotency key of non-idempotent work.
    std::int32_t         priority   = 0;
    std::uint32_t        max_tokens = 0; ///< 0 selects the target's default.
    /// Called immediately before the work is sent; the work is not sent when it
    /// returns false.
    std::function<bool()> may_send;
    /// Receives the load report as soon as the response's head has arrived; a
    /// stream may continue long after that.
    std::function<void(const load_report&)> on_load;
    /// Receives the streamed text in order.
    std::function<void(std::string_view)> on_text;
};

/// Result of an attempt.
struct stage_result
{
    attempt_result attempt;
    std::string    output; ///< Of services; engines stream to on_text.
    std::string    detail; ///< Human-readable; may be empty.
    /// The target ended the connection before the end of the response.
    bool connection_ended = false;
};

/// Calls targets for one request. Used only by the request's fiber, except for
/// cancel().
class stage_caller
{
public:
    /// \param pool outlives the caller and is used by the same thread.
    explicit stage_caller(connection_pool& pool) : pool_(pool) {}

    /// Suspends the fiber until the attempt has ended.
    stage_result call(const stage_work& work);
    /// Ends the running call by closing its connection; no new connection is
    /// opened afterwards. May be called from another fiber or from a handler of
    /// the same thread.
    void cancel();

private:
    class attempt_call;

    connection_pool& pool_;
    http_client*     active_    = nullptr; ///< Client of the running call.
    bool             cancelled_ = false;
};

/// Returns the status as metrics name it.
std::string_view to_string(attempt_status);

} // namespace arbutusgate
