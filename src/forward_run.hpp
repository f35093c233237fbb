/// Runs one caller's request: resolves its route and account, runs its stages,
/// picks a target and relays the response.
#pragma once

#include "body_memory.hpp"
#include "call_permit.hpp"
#include "call_work.hpp"
#include "crash_report.hpp"
#include "relay_terms.hpp"
#include "run_failure.hpp"
#include "stage_service.hpp"
#include "target_connections.hpp"
#include "target_filter.hpp"
#include "target_picker.hpp"
#include "waiting_calls.hpp"
#include "wire_codec.hpp"

#include "fiber_signal.hpp"

#include "arbutusgate/types.hpp"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace arbutusgate {

class http_exchange;
class metrics;

namespace gateway {

class crash_check;
class origin_source;
class part_quarantine;
class permit_source;
class prior_wait_estimator;
class region_map;
class request_relay;
class retry_budget;
class route_table;
class stage_run;
class state_follower;
class target_directory;
class time_estimates;
class trial_source;
class work_estimator;
struct stage_plan;

/// Times of a planned stop.
struct drain_times
{
    time_point accepts_until; ///< New connections.
    time_point ends_at;       ///< When open requests are ended.
};

/// Streams that went on after a break, since start.
struct continuation_counts
{
    std::uint64_t resumed           = 0; ///< Inside their answers.
    std::uint64_t not_resumed       = 0; ///< Cut, though they had events.
    std::uint64_t taken_up          = 0; ///< By their clients.
    std::uint64_t refused_unknown   = 0; ///< Their software is not known.
    std::uint64_t refused_no_target = 0; ///< No target of it is left.
};

/// Dependencies that all requests of one daemon share. They are used only on
/// the daemon's thread.
struct request_dependencies
{
    const wire_codec&     codec;
    state_follower&       state;
    target_directory&     targets;
    target_picker&        picker;
    target_connections&   connections;
    stage_service&        stages;
    permit_source&        permits;
    part_quarantine&      quarantine;
    crash_check&          crashes;
    trial_source&         trials;
    origin_source&        origins;
    continuation_counts&  continuations;
    retry_budget&         budget;
    time_estimates&       times;
    time_estimates&       stream_times; ///< Of whole streams, by route.
    prior_wait_estimator& prior_waits;
    work_estimator&       work;
    request_relay&        relay;
    metrics&              counters;
    std::mt19937_64&      random;
    const region_map&     regions;
    std::string           failure_domain;
    /// Daemons that share each target's connection limit, this one included.
    std::uint32_t              daemons = 1;
    std::optional<drain_times> drain   = std::nullopt; ///< Set by a stop.
};

/// Serves one HTTP exchange; used only on the fiber of the exchange.
class forward_run
{
public:
    /// \param relayed terms of a request that another daemon sent on behalf of
    /// its caller; unset: the caller sent it to this daemon.
    forward_run(request_dependencies& parts, http_exchange& exchange,
                std::optional<relay_terms> relayed = std::nullopt);
    ~forward_run();

    void run();
    /// Ends the request with an answer, since the daemon stops. Called on the
    /// exchange's thread, not on its fiber.
    void end();
    /// Diverts the request to another daemon if it waits, since this daemon
    /// reaches no target. Called on the exchange's thread, not on its fiber.
    void divert();

private:
    /// How one attempt at a target ended.
    enum class attempt_result
    {
        answered, ///< The caller got its response or has left.
        not_run,  ///< The target did not run the request.
        failed,   ///< May have run; nothing was sent to the caller.
        cut,      ///< The caller got only a part of the stream.
    };

    /// Runs the request at the targets that this daemon reaches.
    std::optional<run_failure> run_here();
    /// Finds the route, account and service of the call and sets its times.
    std::optional<run_failure> resolve();
    /// Finds the software that may continue the stream that the client takes
    /// up. Refuses the request when that is not known, or when no target has
    /// it.
    std::optional<run_failure> find_origin();
    run_failure                refuse_to_resume(std::string_view why);
    /// Keeps the stream at the software of the target that begins it.
    /// \return false when another target, which goes on with the stream, runs
    /// other software.
    bool keep_software(const target& chosen);
    /// Whether the request goes to another daemon before it is sent to a
    /// target.
    bool diverted() const;
    /// Has another daemon run the request.
    /// \param last how the latest attempt at a target ended.
    std::optional<run_failure> relay(attempt_result last);
    relay_terms                terms() const;
    /// Refuses a request that another daemon sent, which may send it to others.
    void refuse_relayed();
    /// Refuses a request with several stages that cannot be served in time.
    std::optional<run_failure> admit();
    std::optional<run_failure> refuse_without_target();
    std::optional<run_failure> refuse_if_closed();
    /// Refuses a request that would not be answered before the daemon stops.
    std::optional<run_failure> refuse_if_stopping();
    /// Whether the request is expected to be complete before open requests are
    /// ended.
    bool completes_before(const drain_times& drain) const;
    /// Refuses the request when a part of its prompt keeps it from all targets,
    /// unless it becomes the trial of that part.
    std::optional<run_failure> refuse_if_quarantined();
    /// Runs the stages and keeps the results for the next attempt. A run that
    /// does not complete leaves nothing behind.
    /// \param limit when results are useless.
    std::optional<run_failure> run_stages(time_point limit);
    stage_plan                 make_stage_plan(time_point limit);
    std::string                prompt_cache_domain();
    /// Whether the next attempt can send its inputs.
    bool has_results() const;

    std::optional<run_failure> call_targets();
    /// \param limited whether targets that limit their calls may be picked.
    const target*         pick_target(bool limited = true);
    bool                  limits_calls(const target& it) const;
    bool                  has_brittle_targets() const;
    std::optional<target> take_free_target();
    std::optional<target> await_target();
    bool           acquire_permit(const target& chosen, milliseconds max_wait);
    bool           may_send(const target& chosen) const;
    milliseconds   time_until_goal() const;
    attempt_result attempt(const target& chosen);
    attempt_result send(const target& chosen, connection_lease& lease);
    attempt_result handle_response(const target&     chosen,
                                   connection_lease& lease);
    attempt_result relay_response(const target&     chosen,
                                  connection_lease& lease);
    attempt_result relay_stream(const target& chosen, connection_lease& lease);
    http_response  caller_head(const http_client& from) const;
    void           begin_stream(http_client& from);
    bool           relay_events(const target& chosen, http_client& from,
                                boost::system::error_code& ec);
    /// Waits for more of the stream. \return false when it was silent and is
    /// given up for another target.
    /// \param silent_at when it counts as silent; moved on if it is kept.
    bool await_events(const target& chosen, http_client& from,
                      time_point& silent_at);
    /// Prepares the continuation of a silent stream. \return false when no
    /// other target can take it, or when the stream has gone on meanwhile.
    bool prepare_resume(const target& chosen);
    /// Records that a call ended without the whole of its answer.
    void report_broken(const target& at, const boost::system::error_code& ec);
    /// Records that the whole of an answer arrived.
    void report_whole(const target& by, const http_client& from);
    /// Records an event, or the body of a response that is no stream.
    void note_progress(const target& by);
    /// From the first to the latest event of the attempt.
    milliseconds    answered_for() const;
    answer_progress progress_when_broken() const;
    bool            may_retry(attempt_result last) const;
    bool            may_resume();
    run_failure     attempt_failure(attempt_result last);
    void            finish_call(const target& chosen, call_outcome how);
    call_outcome    refusal_outcome() const;
    bool skip_foreign_responses(const target& chosen, connection_lease& lease);
    void return_connection(connection_lease lease);

    void refuse(const run_failure& it);
    /// Runs the stages for a stream that is resumed, unless their results are
    /// held. \return false when a stage failed or the caller left.
    bool prepare_results();
    void on_caller_gone();
    /// Ends what the request waits for: a response, stages or a target.
    void interrupt();
    bool interrupted() const { return caller_gone_ || ended_; }
    /// True when the stream that was silent has gone on.
    bool             stream_continues() const;
    milliseconds     remaining_time() const;
    bool             deadline_passed() const;
    const call_work* work() const { return work_ ? &*work_ : nullptr; }
    std::uint64_t    affinity() const;
    void             log_end(std::string_view outcome, unsigned status);

    request_dependencies&              parts_;
    http_exchange&                     exchange_;
    std::optional<relay_terms>         relayed_;
    request_head                       call_;
    prompt_key                         prompt_;
    target_filter                      filter_;
    std::shared_ptr<const route_table> table_;
    const route*                       route_   = nullptr;
    const account*                     account_ = nullptr;
    const service*                     service_ = nullptr;
    time_point                         arrived_at_;
    /// Start of the latest attempt.
    time_point attempt_started_{};
    time_point sent_at_{}; ///< When the latest attempt sent its request.
    /// Arrival plus the caller's timeout or, if shorter, the route's.
    time_point deadline_{};
    /// Latency goal: a later first event is late. It counts from the caller's
    /// first try, which may have been an earlier request.
    time_point goal_at_{};
    /// A caller without a first event is expected to leave at this time.
    time_point    first_event_deadline_{};
    std::uint32_t priority_ = 0; ///< 0 is the most urgent.
    /// Of services with model engines.
    std::optional<call_work> work_;

    /// Notified when a stage order changes state and when the caller leaves.
    std::shared_ptr<fiber_signal> signal_;
    /// Completed stages whose results the next attempt sends as inputs; null
    /// when their results were released.
    std::unique_ptr<stage_run> results_;

    std::vector<std::string> tried_targets_; ///< Ids.
    /// Attempts, without those that ended before anything was sent.
    std::uint32_t attempts_    = 0;
    std::uint64_t call_number_ = 0; ///< From target_picker::start.
    response_head head_;
    /// Connection in use; cancelled when the caller leaves.
    http_client* connection_ = nullptr;
    /// Silent stream whose continuation is being prepared; null if it sends
    /// bytes that complete no event.
    http_client* silent_stream_ = nullptr;
    /// The stages and the budget of the next attempt are ready.
    bool resume_prepared_ = false;
    /// Call whose target is watched.
    std::unique_ptr<waiting_calls::entry> waiting_;
    /// First and latest event of the latest attempt; unset: none has arrived.
    std::optional<time_point> first_event_at_;
    time_point                last_event_at_{};
    /// Reported of the latest attempt.
    answer_progress reported_progress_ = answer_progress::none;
    bool            caller_gone_       = false;
    bool            ended_ = false; ///< By end(); takes no further attempt.
    /// Goes to another daemon although this one reaches targets again.
    bool diverts_        = false;
    bool relaying_       = false; ///< Another daemon runs it, or is asked to.
    bool stream_started_ = false; ///< The stream's head was sent.
    /// The latest attempt ended before its request was sent.
    bool request_unsent_ = false;
    /// The attempt was not sent because its permit was too old by then, or
    /// because the target had named a limit meanwhile.
    bool permit_lapsed_ = false;
    /// For the attempt; unset: the target named no limit when it was chosen.
    std::optional<call_permit> permit_;
    std::optional<std::string> last_event_id_; ///< For resuming.
    /// From an earlier attempt; sent when no later attempt succeeds.
    std::optional<http_response>    saved_error_response_;
    std::optional<body_reservation> saved_error_memory_;
    std::uint32_t                   events_ = 0; ///< Events relayed.
    /// Events relayed before the latest attempt.
    std::uint32_t               earlier_events_ = 0;
    std::optional<milliseconds> first_event_after_; ///< Time since arrival.
};

} // namespace gateway
} // namespace arbutusgate
