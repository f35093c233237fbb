/// Carries out the actions of one request's pipeline_run.
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

/// Parts of the daemon that every request uses. They outlive the requests.
struct request_services
{
    policy*        rules   = nullptr;
    claim_service* claims  = nullptr;
    metrics*       counts  = nullptr;
    explain_ring*  explain = nullptr;
    run_registry*  runs    = nullptr;
    /// A target reported its load.
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

/// Receives the text of the last stage as it comes.
class text_sink
{
public:
    virtual ~text_sink() = default;
    /// \param offset characters before the text.
    virtual void on_text(std::uint64_t offset, std::string_view text) = 0;
};

/// What the caller is told.
struct request_outcome
{
    bool          complete = false;
    problem       failure; ///< Unless complete.
    std::uint32_t status = 200;
    std::string   body;             ///< Summary, or the recorded answer.
    bool          recorded = false; ///< Answer of an earlier use of the key.
};

/// Belongs to the fiber of the request.
class request_executor
{
public:
    /// \param pool belongs to the thread of io.
    request_executor(const request_services& services, caller_request request,
                     boost::asio::io_context& io, connection_pool& pool,
                     text_sink& sink);
    ~request_executor();

    request_executor(const request_executor&)            = delete;
    request_executor& operator=(const request_executor&) = delete;

    /// Deployment that the request runs under.
    const deployment& config() const { return *run_.config(); }

    /// Suspends the fiber until the request has ended.
    request_outcome execute();
    /// The caller closed its connection. The work is cancelled unless
    /// non-idempotent work was sent: it goes on, so that its answer is
    /// recorded for a repeated key. Called on the fiber's thread.
    void client_gone();

private:
    struct stage_state
    {
        std::string   target;
        std::uint32_t attempts = 0;
        double        cost     = 0;
    };

    const pipeline_config& pipeline() const;
    bool                   abandoned() const { return gone_ && !committed_; }
    bool                   use_claim();
    void                   queue(run_actions actions);
    void                   apply(const run_action& action);
    void                   on(const start_attempt& action);
    void                   on(const obtain_claim& action);
    void                   on(const release_claim& action);
    void                   on(const cancel_attempt& action);
    void                   on(const wait_until& action);
    void                   on(const finish& action);
    stage_work             make_work(const start_attempt& action);
    stage_result           run_attempt(const start_attempt& action);
    void note_attempt(const start_attempt& action, const stage_result& result,
                      time_point started);
    void on_stream_text(std::string_view text);
    std::string summary() const;
    void        record(const request_outcome& outcome, bool failed_for_good);
    void        note_end();

    const request_services&     services_;
    caller_request              request_;
    text_sink&                  sink_;
    stage_caller                caller_;
    std::shared_ptr<run_waiter> waiter_;
    pipeline_run                run_;

    std::deque<run_action>   actions_;
    std::vector<stage_state> stages_;
    std::string              input_;      ///< Of the running stage.
    std::string              output_;     ///< So far, of the running stage.
    std::uint64_t            offset_ = 0; ///< Characters of output_.
    std::uint32_t            stage_  = 0;
    claim_event              claim_;
    request_outcome          outcome_;
    request_trace            trace_;
    std::string              detail_; ///< Of the last failed attempt.
    bool                     ran_       = false; ///< Some stage may have run.
    bool                     gone_      = false;
    bool                     committed_ = false; ///< Work may run only once.
};

} // namespace arbutusgate
