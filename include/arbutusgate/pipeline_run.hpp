/// State machine of one request. The driver carries out the actions it
/// returns and reports results back; it does no I/O and reads no clock.
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

/// What the driver knows of a request when it arrives.
struct request_info
{
    std::uint64_t run = 0; ///< Unique in the process.
    pipeline_id   pipeline;
    account_id    account;
    time_point    deadline;
    std::uint64_t prefix_hash = 0; ///< Of the prompt's prefix; 0: none.
    std::uint32_t max_tokens  = 0; ///< Asked for by the caller; 0: default.
};

/// Send the stage's work to the target; report with on_attempt.
struct start_attempt
{
    std::uint32_t attempt = 0; ///< Unique in the request, from 1.
    std::uint32_t stage   = 0; ///< Index in pipeline_config::stages.
    target_id     target;
    milliseconds  timeout{0};
    /// Characters of streamed text already passed on; the attempt goes on
    /// from there.
    std::uint64_t resume_offset = 0;
};

/// Obtain the claim for the request's idempotency key; report with on_claim.
struct obtain_claim
{
};

/// Give the claim back: the work certainly did not run.
struct release_claim
{
};

/// Stop the attempt; no result of it is wanted.
struct cancel_attempt
{
    std::uint32_t attempt = 0;
};

/// Call on_wake at this time, or earlier when the policy reports the run
/// ready.
struct wait_until
{
    time_point at;
};

/// The request is over; no further call is made.
struct finish
{
    execution      result = execution::done;
    refusal_reason reason = refusal_reason::none;
    /// Time after which a retry makes sense; zero: none.
    milliseconds retry_after{0};
};

using run_action  = std::variant<start_attempt, obtain_claim, release_claim,
                                cancel_attempt, wait_until, finish>;
using run_actions = std::vector<run_action>;

/// How an attempt ended.
enum class attempt_status
{
    done,
    connect_failed, ///< No byte of the work was sent.
    claim_lost,     ///< The claim may not be used any more; nothing was sent.
    not_run,        ///< The target said that it did not run the work.
    failed,         ///< The target reported a failure.
    timeout,        ///< No whole answer within the attempt's timeout.
    silent,         ///< The connection went silent or broke.
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
    /// The target asked for this pause before more work; zero: none.
    milliseconds retry_after{0};
};

/// Outcome of obtain_claim.
enum class claim_outcome
{
    granted,
    taken_done,        ///< An earlier use ended; the driver has its answer.
    taken_in_progress, ///< An earlier use has not ended or its end is unknown.
    reused,            ///< The key was used with another body.
    unavailable,       ///< No majority of voters; nothing ran.
};

/// Decides each step of one request. Not thread-safe; one driver owns it.
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
    /// The caller closed its connection; running work is cancelled.
    run_actions on_client_gone(time_point now);

    const request_info& info() const { return info_; }
    bool                finished() const { return finished_; }
    /// Deployment that the run began with; its actions refer to it.
    const std::shared_ptr<const deployment>& config() const { return config_; }

private:
    const pipeline_config& pipeline() const;
    const pool_view&       pool_of(std::size_t stage) const;
    bool                   adaptive() const;
    run_actions            step(time_point now);

    /// Asks for admission to all pools of the pipeline.
    /// \return no action when admitted.
    run_actions  admit(time_point now);
    run_actions  commit(time_point now);
    bool         pools_reachable(time_point now) const;
    milliseconds no_target_retry(time_point now) const;
    /// Asks for room in the pool of the stage.
    /// \return no action when there is room.
    run_actions enter(time_point now);
    /// Charges the account for the admitted work.
    void                  charge();
    const account_config* account_of() const;
    run_actions           queue_at(const pool_view& pool, time_point latest);
    void                  stop_waiting();
    void                  uncommit(std::size_t stage);
    bool                  choose_target(time_point now);
    void                  leave_target();
    void                  release_all();

    /// Median time of the stages in [from, to).
    microseconds needed(std::size_t from, std::size_t to) const;
    microseconds needed(std::size_t from) const;
    /// Time that the whole pipeline rarely exceeds.
    microseconds needed_high() const;
    milliseconds attempt_timeout(time_point now);
    /// Time of the attempt as a multiple of the usual one; 0: unknown.
    double slowness(const attempt_result& result, microseconds elapsed);
    void   learn(const attempt_result& result, time_point now);
    /// \return the cost of the finished attempt.
    double learn_cost(const attempt_result& result);

    run_actions retry(const attempt_result& result, time_point now);
    bool        take_retry(attempt_status status);
    run_actions give_up(refusal_reason reason, milliseconds retry_after);
    run_actions end(execution result, refusal_reason reason,
                    milliseconds retry_after);

    policy&      policy_;
    request_info info_;

    std::shared_ptr<const policy_view> view_;
    std::shared_ptr<const deployment>  config_;
    std::shared_ptr<route_target>      route_;  ///< Of the running attempt.
    std::shared_ptr<route_target>      failed_; ///< Of the one before it.

    std::unique_ptr<pool_waiter> waiter_;
    const pool_view*             waits_at_ = nullptr;
    time_point                   latest_; ///< End of the waiting.
    std::uint64_t                order_ = 0;
    std::vector<bool>            committed_; ///< By stage.
    bool                         admitted_ = false;
    bool                         entered_  = false;
    /// Runs though the learned times leave no hope, to learn them anew.
    bool probe_ = false;

    std::uint32_t stage_   = 0;
    std::uint32_t attempt_ = 0;
    std::uint32_t retries_ = 0;
    std::uint64_t offset_  = 0;
    target_id     target_;
    time_point    attempt_start_;
    /// The attempt ends early, to go on elsewhere if its target is still slow.
    bool may_move_ = false;
    bool claiming_ = false;
    bool claimed_  = false;
    bool sent_     = false; ///< Non-idempotent work may have run.
    bool finished_ = false;
};

} // namespace arbutusgate
