/// One attempt of a stage: the call to its target and the check of its result.
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

/// Work of one attempt.
struct stage_work
{
    const stage_config*  stage  = nullptr;
    const target_config* target = nullptr;
    std::string          request_id;
    start_attempt        start;
    std::string_view     input;
    std::string_view     key; ///< Idempotency key of non-idempotent work.
    std::int32_t         priority   = 0;
    std::uint32_t        max_tokens = 0; ///< 0: the target's default.
    /// Asked directly before the work is sent; false: do not send it.
    std::function<bool()> may_send;
    /// Receives the load report as soon as the answer begins; a stream may
    /// go on for long after it.
    std::function<void(const load_report&)> on_load;
    /// Receives streamed text in order.
    std::function<void(std::string_view)> on_text;
};

/// What came of an attempt.
struct stage_result
{
    attempt_result attempt;
    std::string    output; ///< Of services; streams use on_text.
    std::string    detail; ///< For people.
};

/// Calls targets for one request. Belongs to the request's fiber.
class stage_caller
{
public:
    /// \param pool outlives the caller and belongs to the same thread.
    explicit stage_caller(connection_pool& pool) : pool_(pool) {}

    /// Suspends the fiber until the attempt has ended.
    stage_result call(const stage_work& work);
    /// Ends the running call by closing its connection. May be called from
    /// another fiber or a handler of the same thread.
    void cancel();

private:
    class attempt_call;

    connection_pool& pool_;
    http_client*     active_    = nullptr;
    bool             cancelled_ = false;
};

/// Name of the status, as in metrics.
std::string_view to_string(attempt_status);

} // namespace arbutusgate
