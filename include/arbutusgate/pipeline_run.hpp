/// State machine of one request. It does no I/O and reads no clock: the driver
/// executes the actions that it returns and reports their results back.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace arbutusgate {

class policy;
struct account_config;
struct deployment;
struct pipeline_config;
struct policy_view;
struct pool_view;
struct pool_waiter;
struct route_target;

/// Properties of a request that are known on arrival.
struct request_info
{
    std::uint64_t run = 0; ///< Unique within the process.
    pipeline_id   pipeline;
    account_id    account;
    time_point    deadline;
    std::uint64_t prefix_hash = 0; ///< Hash of the prompt's prefix; 0: none.
    /// The prefix is not the whole prompt, so that other requests may have it.
    bool shares_prefix = false;
    /// Limit set by the caller; 0: the stage's default.
    std::uint32_t max_tokens = 0;
};

/// Send the stage's input to the target; report the result with on_attempt.
struct start_attempt
{
    std::uint32_t attempt = 0; ///< Unique within the request, from 1.
    std::uint32_t stage   = 0; ///< Index in pipeline_config::stages.
    target_id     target;
    milliseconds  timeout{0};
    /// Characters of streamed text already passed on; the attempt resumes after
    /// them.
    std::uint64_t resume_offset = 0;
};

/// Obtain the claim for the request's idempotency key; report the outcome with
/// on_claim.
struct obtain_claim
{
};

/// Release the claim; the non-idempotent work certainly did not run.
struct release_claim
{
};

/// Cancel the attempt; its result is not needed.
struct cancel_attempt
{
    std::uint32_t attempt = 0;
};

/// Call on_wake at this time, or earlier if policy_init::on_ready reports the
/// run.
struct wait_until
{
    time_point at;
};

/// The request has ended; no further action follows.
struct finish
{
    execution      result = execution::done;
    refusal_reason reason = refusal_reason::none;
    /// Delay to suggest to the caller before a retry; zero: none.
    milliseconds retry_after{0};
};

using run_action  = std::variant<start_attempt, obtain_claim, release_claim,
                                cancel_attempt, wait_until, finish>;
using run_actions = std::vector<run_action>;

/// How an attempt ended.
enum class attempt_status
{
    done,
    connect_failed, ///< Nothing was sent to the target.
    claim_lost,     ///< The claim is no longer valid; nothing was sent.
    not_run,        ///< The target reported that it did not run the work.
    failed,         ///< The target reported a failure.
    timeout,        ///< No complete response within the attempt's timeout.
    silent,         ///< The connection broke or sent no more data.
    wrong_result,   ///< The result belongs to another request or attempt.
};

/// Result of one attempt.
struct attempt_result
{
    std::uint32_t  attempt = 0;
    attempt_status status  = attempt_status::done;
    /// Characters of streamed text received so far, over all attempts.
    std::uint64_t stream_offset = 0;
    std::uint32_t tokens        = 0; ///< Generated in this attempt.
    /// Time for which the target asked for no more work; zero: none.
    milliseconds retry_after{0};
};

/// Outcome of obtain_claim.
enum class claim_outcome
{
    granted,
    taken_done,        ///< An earlier use ended; the driver has its response.
    taken_in_progress, ///< An earlier use runs, or its outcome is unknown.
    reused,            ///< The key was used with a different body.
    unavailable,       ///< No majority of voters replied; nothing ran.
};

/// Decides the actions of one request. Not thread-safe; owned by one driver.
class pipeline_run
{
public:
    /// \param shared outlives the run.
    pipeline_run(policy& shared, const request_info& info, time_point now);
    ~pipeline_run();

    pipeline_run(const pipeline_run&)            = delete;
    pipeline_run& operator=(const pipeline_run&) = delete;

    run_actions start(time_point now);
    run_actions on_claim(claim_outcome outcome, time_point now);
    run_actions on_attempt(const attempt_result& result, time_point now);
    run_actions on_wake(time_point now);
    /// Cancels the attempt in flight, as the caller closed its connection.
    run_actions on_client_gone(time_point now);

    const request_info& info() const { return info_; }
    bool                finished() const { return finished_; }
    /// Deployment at the start of the run; indices in actions refer to it.
    const std::shared_ptr<const deployment>& config() const { return config_; }

private:
    const pipeline_config& pipeline() const;
    const pool_view&       pool_of(std::size_t stage) const;
    bool                   adaptive() const;
    run_actions            advance(time_point now);

    /// Requests admission to all pools of the pipeline.
    /// \return no action if admitted; else the wait or the end of the run.
    run_actions  admit(time_point now);
    run_actions  admit_to_pools(time_point now);
    bool         pools_reachable(time_point now) const;
    milliseconds no_target_retry_after(time_point now) const;
    /// Requests a slot for an attempt in the pool of the current stage.
    /// \return no action if the slot was acquired; else the wait for one.
    run_actions acquire_slot(time_point now);
    /// Charges the account the expected cost of the admitted run.
    void                  charge_account();
    const account_config* account_of() const;
    run_actions wait_for_pool(const pool_view& pool, time_point wait_deadline);
    void        cancel_wait();
    void        release_admission(std::size_t stage);
    bool        choose_target(time_point now);
    void        release_target();
    void        release_all();

    /// Sum of the median times of the stages in [from, to).
    microseconds expected_time(std::size_t from, std::size_t to) const;
    microseconds expected_time(std::size_t from) const;
    /// Estimated 95th percentile of the time of the whole pipeline.
    microseconds expected_time_high() const;
    milliseconds attempt_timeout(time_point now);
    /// Time of the attempt as a multiple of the stage's usual time; 0: unknown.
    double slowness(const attempt_result& result, microseconds elapsed);
    void   record_result(const attempt_result& result, time_point now);
    /// Updates the mean cost of a generate stage.
    /// \return the cost of the finished attempt.
    double update_cost(const attempt_result& result);

    run_actions retry(const attempt_result& result, time_point now);
    bool        take_retry(attempt_status status);
    run_actions abandon(refusal_reason reason, milliseconds retry_after);
    run_actions end(execution result, refusal_reason reason,
                    milliseconds retry_after);

    policy&      policy_;
    request_info info_;

    std::shared_ptr<const policy_view> view_;
    std::shared_ptr<const deployment>  config_;
    std::shared_ptr<route_target>      route_; ///< Of the attempt in flight.
    /// Of the stage's last failed attempt.
    std::shared_ptr<route_target> failed_target_;

    std::unique_ptr<pool_waiter> waiter_;
    const pool_view*             awaited_pool_ = nullptr;
    time_point    wait_deadline_; ///< End of the wait for the pool.
    std::uint64_t arrival_number_ = 0;
    /// By stage: the run counts as admitted to the stage's pool.
    std::vector<bool> pool_admissions_;
    bool              admitted_   = false;
    bool              holds_slot_ = false;
    /// Admitted although the learned times exceed the deadline, so that newer
    /// times are learned.
    bool is_probe_ = false;

    std::uint32_t stage_         = 0;
    std::uint32_t attempt_       = 0;
    std::uint32_t retries_       = 0;
    std::uint64_t stream_offset_ = 0;
    target_id     target_;
    time_point    attempt_start_;
    /// The attempt has a short timeout, after which the stream resumes on
    /// another target.
    bool early_timeout_  = false;
    bool awaiting_claim_ = false;
    bool may_hold_claim_ = false;
    bool may_have_run_   = false; ///< Non-idempotent work may have run.
    bool finished_       = false;
};

} // namespace arbutusgate
