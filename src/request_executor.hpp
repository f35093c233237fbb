/// Executes the actions of one request's pipeline_run.
#pragma once

#include "arbutusgate/node_core.hpp"
#include "arbutusgate/pipeline_run.hpp"

#include "claim_service.hpp"
#include "explain_ring.hpp"
#include "metrics.hpp"
#include "problem.hpp"
#include "run_registry.hpp"
#include "stage_caller.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

class policy;
class prompt_guard;

/// Services of the daemon that requests use. They outlive the requests.
struct request_services
{
    policy*        rules   = nullptr;
    claim_service* claims  = nullptr;
    metrics*       counts  = nullptr;
    explain_ring*  explain = nullptr;
    run_registry*  runs    = nullptr;
    prompt_guard*  prompts = nullptr; ///< Null: no prompt is refused.
    /// Called when a target reports its load.
    std::function<void(const std::string& target, const load_report&)> on_load;
};

/// One admitted request of a caller.
struct caller_request
{
    request_info  info;
    std::string   request_id;
    std::string   input;
    std::string   key; ///< Idempotency key; may be empty.
    std::uint64_t body_hash = 0;
    time_point    arrival;
};

/// Receives the text of the last stage as it arrives.
class text_sink
{
public:
    virtual ~text_sink() = default;
    /// \param offset position of the text in the output, in characters.
    virtual void on_text(std::uint64_t offset, std::string_view text) = 0;
};

/// Response to the caller.
struct request_outcome
{
    bool          complete = false;
    problem       failure; ///< Set unless complete.
    std::uint32_t status = 200;
    std::string   body;             ///< Summary, problem or recorded response.
    bool          recorded = false; ///< Response of an earlier use of the key.
};

/// Executes one request. Owned by the fiber of the request.
class request_executor
{
public:
    /// \param pool used only on the thread of io.
    request_executor(const request_services& services, caller_request request,
                     boost::asio::io_context& io, connection_pool& pool,
                     text_sink& sink);
    ~request_executor();

    request_executor(const request_executor&)            = delete;
    request_executor& operator=(const request_executor&) = delete;

    /// Deployment under which the request runs.
    const deployment& config() const { return *run_.config(); }

    /// Suspends the fiber until the request has ended.
    request_outcome execute();
    /// Called on the fiber's thread when the caller has closed its connection.
    /// Cancels the request unless non-idempotent work was sent: that continues,
    /// so that its response is recorded for a repeated key.
    void client_gone();

private:
    struct stage_state
    {
        std::string   target;
        std::uint32_t attempts = 0;
        double        cost     = 0;
    };

    const pipeline_config& pipeline() const;
    bool abandoned() const { return client_gone_ && !non_idempotent_sent_; }
    bool use_claim();
    void queue_actions(run_actions actions);
    void apply(const run_action& action);
    void perform(const start_attempt& action);
    void perform(const obtain_claim& action);
    void perform(const release_claim& action);
    void perform(const cancel_attempt& action);
    void perform(const wait_until& action);
    void perform(const finish& action);
    stage_work   make_work(const start_attempt& action);
    stage_result run_attempt(const start_attempt& action);
    stage_result call_engine(const stage_work& work);
    void         note_answered();
    /// Refuses a request whose prompt crashes targets.
    /// \return true when it was refused.
    bool        refuse_quarantined();
    prompt_call call_of(const stage_config& stage,
                        std::string_view    target) const;
    void record_attempt(const start_attempt& action, const stage_result& result,
                        time_point started);
    void on_stream_text(std::string_view text);
    std::string summary() const;
    void record_response(const request_outcome& outcome, bool is_final_failure);
    void record_end();

    const request_services&     services_;
    caller_request              request_;
    text_sink&                  sink_;
    stage_caller                caller_;
    std::shared_ptr<run_waiter> waiter_;
    pipeline_run                run_;

    std::deque<run_action>   actions_;
    std::vector<stage_state> stages_;
    std::string              input_;  ///< Input of the current stage.
    std::string              output_; ///< Output of the current stage so far.
    std::uint64_t            offset_ = 0; ///< Length of output_ in characters.
    std::uint32_t            stage_  = 0;
    /// Call of an engine that has not begun to answer.
    std::optional<prompt_call> unanswered_;
    claim_event                claim_;
    request_outcome            outcome_;
    request_trace              trace_;
    std::string failure_detail_; ///< Describes the last failed attempt.
    bool        any_stage_ran_       = false; ///< A stage may have run.
    bool        client_gone_         = false;
    bool        non_idempotent_sent_ = false; ///< Prevents cancellation.
};

} // namespace arbutusgate
