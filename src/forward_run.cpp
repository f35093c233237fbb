#include "forward_run.hpp"

#include "crash_check.hpp"
#include "event_splitter.hpp"
#include "field_value.hpp"
#include "http_server.hpp"
#include "log.hpp"
#include "metrics.hpp"
#include "notice_handler.hpp"
#include "origin_source.hpp"
#include "part_quarantine.hpp"
#include "permit_source.hpp"
#include "prior_wait_estimator.hpp"
#include "problem.hpp"
#include "region_map.hpp"
#include "request_relay.hpp"
#include "retry_budget.hpp"
#include "stage_run.hpp"
#include "state_follower.hpp"
#include "stream_origins.hpp"
#include "target_directory.hpp"
#include "text.hpp"
#include "time_estimates.hpp"
#include "time_left.hpp"
#include "trial_source.hpp"
#include "work_estimator.hpp"

#include "arbutusgate/config.hpp"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace arbutusgate::gateway {

using boost::system::error_code;

namespace {

constexpr milliseconds connect_timeout{400};
/// Longer timeouts of callers are reduced to this.
constexpr milliseconds  max_caller_timeout{3'600'000};
constexpr std::uint32_t max_connect_attempts = 3;
/// A request prefers a limited target to others if it gets a permit within this
/// time.
constexpr milliseconds short_permit_wait{20};
/// Limited targets that are asked for such a permit before the request waits
/// for one.
constexpr std::uint32_t max_permit_requests = 3;
/// Between two looks for room at brittle targets.
constexpr milliseconds room_poll_interval{20};
/// Daemons that are asked to run a request.
constexpr std::size_t max_relay_attempts = 3;
/// Responses to other requests that are skipped on one connection.
constexpr std::uint32_t max_foreign_responses = 3;
/// Bytes of a response body that is read only to reuse the connection; a
/// longer body closes it.
constexpr std::size_t max_discarded_body = 256 * 1024;
/// Retry-After of a daemon that has no configuration yet.
constexpr milliseconds not_ready_retry_after{500};
constexpr milliseconds no_target_retry_after{1000};
constexpr milliseconds target_full_retry_after{250};
/// A stream without an event for longer is resumed at another target.
constexpr milliseconds  stream_silence_timeout{1200};
constexpr double        large_result_penalty    = 1.0;
constexpr double        other_domain_penalty    = 0.02;
constexpr std::uint32_t default_engine_priority = 5;

/// \return nothing for an id that fits in no header field. A stream cannot be
/// resumed at such an event.
std::optional<std::string> usable_event_id(std::string id)
{
    if (id.size() > limits::max_header_field || !is_field_value(id))
        return std::nullopt;
    return id;
}

std::vector<std::string> service_names(const route& it)
{
    std::vector<std::string> out;
    for (const auto& share : it.services)
        out.push_back(share.service);
    return out;
}

/// How long the callers of a stream wait for its first event.
milliseconds stream_caller_timeout(const route& it)
{
    return std::max({limits::stream_caller_timeout,
                     limits::stream_timeout_latency_goals * it.latency_goal,
                     limits::stream_timeout_gap_goals * it.gap_goal});
}

} // namespace

forward_run::forward_run(request_dependencies& parts, http_exchange& exchange,
                         std::optional<relay_terms> relayed)
    : parts_(parts), exchange_(exchange), relayed_(std::move(relayed)),
      filter_(parts.targets, parts.quarantine, prompt_),
      arrived_at_(daemon_now()), signal_(std::make_shared<fiber_signal>())
{
    if (relayed_)
        attempts_ = relayed_->attempts;
}

forward_run::~forward_run() = default;

void forward_run::run()
{
    call_   = parts_.codec.decode_call(exchange_.request());
    prompt_ = make_prompt_key(call_.prompt);
    exchange_.on_client_gone([this] { on_caller_gone(); });
    if (relayed_ && (parts_.relay.cut_off() || parts_.drain)) {
        exchange_.on_client_gone(nullptr);
        refuse_relayed();
        return;
    }
    auto failure = resolve();
    if (!failure)
        diverts_ = !relayed_ && parts_.relay.diverts_next();
    if (!failure && diverted())
        failure = refuse_if_stopping();
    if (!failure)
        failure = diverted() ? relay(attempt_result::not_run) : run_here();
    // While returning, this daemon serves what no other one takes.
    if (failure && failure->result == execution::not_run && !interrupted() &&
        std::exchange(diverts_, false) && !parts_.relay.cut_off())
    {
        relaying_ = false;
        failure   = run_here();
    }
    exchange_.on_client_gone(nullptr);
    results_.reset();
    if (caller_gone_) {
        parts_.counters.reasons().add(refusal_reason::client_gone);
        log_end("client_gone", 0);
        exchange_.abort();
    }
    else if (failure) {
        refuse(*failure);
    }
}

std::optional<run_failure> forward_run::run_here()
{
    auto failure = refuse_if_quarantined();
    if (!failure)
        failure = refuse_if_stopping();
    if (!failure)
        failure = refuse_without_target();
    if (!failure)
        failure = refuse_if_closed();
    if (!failure)
        failure = admit();
    if (!failure)
        failure = run_stages(first_event_deadline_);
    if (diverted() && !caller_gone_)
        return relay(attempt_result::not_run);
    if (!failure && !caller_gone_)
        failure = call_targets();
    return failure;
}

void forward_run::on_caller_gone()
{
    caller_gone_ = true;
    interrupt();
}

void forward_run::end()
{
    ended_ = true;
    interrupt();
}

void forward_run::divert()
{
    if (relaying_ || !diverted())
        return;
    // Its target may run a request that was sent.
    if (connection_ && route_ && route_->repeatable())
        connection_->cancel();
    signal_->notify();
}

void forward_run::interrupt()
{
    if (connection_)
        connection_->cancel();
    signal_->notify();
}

milliseconds forward_run::remaining_time() const
{
    return remaining_until(deadline_);
}

bool forward_run::deadline_passed() const
{
    return daemon_now() + milliseconds{1} >= deadline_;
}

std::optional<run_failure> forward_run::resolve()
{
    table_ = parts_.state.table();
    if (!table_ || !parts_.state.targets_known())
        return run_failure{refusal_reason::not_ready, execution::not_run,
                           not_ready_retry_after};
    route_ = table_->find(call_.host, call_.path);
    if (!route_)
        return run_failure{refusal_reason::no_such_pipeline};
    if (table_->config().has_accounts && route_->needs_account) {
        account_ = table_->account_of(call_.key);
        if (!account_)
            return run_failure{refusal_reason::unauthorized};
    }
    if (call_.attempt.empty() ||
        std::any_of(call_.pieces.begin(), call_.pieces.end(),
                    [](auto it) { return it > limits::max_stage_pieces; }))
        return run_failure{refusal_reason::bad_request};
    priority_ = account_ && account_->rank ? *account_->rank : route_->rank;
    constexpr milliseconds no_limit{60'000};
    auto time = std::clamp(call_.caller_timeout.value_or(no_limit),
                           milliseconds{0}, max_caller_timeout);
    if (route_->timeout > milliseconds{0})
        time = std::min(time, route_->timeout);
    if (relayed_)
        time = std::min(time, std::max(milliseconds{0}, relayed_->time_left));
    deadline_ = arrived_at_ + time;
    goal_at_  = arrived_at_ +
               (relayed_ ? relayed_->time_until_goal : route_->latency_goal);
    // Of a relayed request, the daemon of the caller has taken it into account.
    if (call_.caller_timeout && !relayed_)
        goal_at_ -= parts_.prior_waits.prior_wait(route_->name, time);
    first_event_deadline_ =
        route_->rule == repeat_rule::stream
            ? std::min(deadline_, arrived_at_ + stream_caller_timeout(*route_))
            : deadline_;
    filter_.permit_domains(parts_.regions.permitted_domains(
        route_->regions,
        account_ ? account_->regions : std::vector<std::string>{}));
    const bool takes_up = route_->may_be_resumed && call_.last_event_id;
    if (takes_up) {
        if (auto refused = find_origin())
            return refused;
    }
    else {
        const auto* share =
            pick_share(route_->services,
                       std::uniform_real_distribution<>()(parts_.random));
        service_ = share ? table_->find_service(share->service) : nullptr;
    }
    if (!service_)
        return run_failure{refusal_reason::no_target, execution::not_run,
                           no_target_retry_after};
    parts_.budget.count_request(service_->name, arrived_at_);
    if (service_->engine) {
        work_ = parts_.work.estimate(
            call_, *route_, account_ ? account_->name : "", *service_->engine);
        const auto* cache = parts_.picker.preferred(
            filter_.usable(service_->name, daemon_now()), affinity());
        if (cache)
            work_->likely_cache = cache->id;
    }
    return std::nullopt;
}

// Continuations ---------------------------------------------------------------

std::optional<run_failure> forward_run::find_origin()
{
    origin_query query;
    query.attempt  = attempt_key(call_.resumed_attempt);
    query.services = service_names(*route_);
    // A client makes several attempts, each no longer than the timeout.
    query.max_age = limits::max_unrecorded_stream_age;
    if (route_->timeout > milliseconds{0})
        query.max_age = std::min(query.max_age, 2 * route_->timeout);
    const auto software = parts_.origins.find(query);
    if (!software) {
        ++parts_.continuations.refused_unknown;
        return refuse_to_resume("its software is not known");
    }
    for (const auto& it : query.services) {
        filter_.require_software(it, *software);
        if (filter_.any_permitted(it)) {
            service_ = table_->find_service(it);
            return std::nullopt;
        }
    }
    ++parts_.continuations.refused_no_target;
    return refuse_to_resume("no target of its software is left");
}

/// The client gets no Retry-After: the same stream cannot be taken up later
/// either, and it may begin a new one at once.
run_failure forward_run::refuse_to_resume(std::string_view why)
{
    log(log_level::info, "request refused: its stream cannot be continued",
        {{"request", call_.attempt},
         {"takes_up", call_.resumed_attempt},
         {"reason", why}});
    return {refusal_reason::stream_not_resumable};
}

bool forward_run::keep_software(const target& chosen)
{
    if (!route_->may_be_resumed)
        return true;
    // A target may have restarted under its id before the request was sent,
    // and its new entry may have arrived since.
    const auto* entry    = parts_.targets.find(chosen.id);
    const auto  software = software_key(entry ? *entry : chosen);
    const auto  required = filter_.required_software();
    if (required && *required != software) {
        log(log_level::warning, "target runs other software than its stream",
            {{"request", call_.attempt}, {"target", chosen.id}});
        return false;
    }
    if (stream_started_) {
        ++parts_.continuations.resumed;
        return true;
    }
    filter_.require_software(service_->name, software);
    const bool takes_up = call_.last_event_id && !call_.resumed_attempt.empty();
    parts_.continuations.taken_up += call_.last_event_id ? 1 : 0;
    parts_.origins.begun(
        attempt_key(takes_up ? call_.resumed_attempt : call_.attempt),
        service_names(*route_), software);
    return true;
}

// Stages ---------------------------------------------------------------------

/// Time that the request may wait for a target and still meet its latency goal.
milliseconds forward_run::time_until_goal() const
{
    const auto answer =
        parts_.times.get(service_->name, default_first_event_time);
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(
                                         goal_at_ - answer - daemon_now()));
}

/// Refuses the request when every target of the service is closed, or has given
/// out the calls of its limit, for so long that the request cannot meet its
/// latency goal.
std::optional<run_failure> forward_run::refuse_if_closed()
{
    if (parts_.targets.gate().empty() && parts_.targets.limits().empty())
        return std::nullopt;
    const auto now = daemon_now();
    const auto [first, opens] =
        filter_.first_to_open(service_->name, tried_targets_, now);
    if (!first || opens <= now + time_until_goal())
        return std::nullopt;
    const auto wait = remaining_until(opens, now);
    log(log_level::info, "request refused: all targets are closed",
        {{"request", call_.attempt},
         {"service", service_->name},
         {"opens_in_ms", wait.count()}});
    return run_failure{refusal_reason::overloaded, execution::not_run, wait};
}

/// Refuses a request that an evacuation or its regions leave no target, before
/// its stages run in vain.
std::optional<run_failure> forward_run::refuse_without_target()
{
    if (parts_.targets.evacuated().empty() && !filter_.permitted_domains())
        return std::nullopt;
    const auto* without =
        filter_.service_without_target(*service_, *route_, call_.pieces);
    if (!without)
        return std::nullopt;
    log(log_level::info, "request refused: a service has no target for it",
        {{"request", call_.attempt}, {"service", *without}});
    return run_failure{refusal_reason::no_target, execution::not_run,
                       no_target_retry_after};
}

std::optional<run_failure> forward_run::refuse_if_quarantined()
{
    const auto* any = filter_.any_permitted(service_->name);
    if (!parts_.quarantine.active() || !any ||
        !filter_.usable(service_->name, daemon_now()).empty())
        return std::nullopt;
    const auto now   = daemon_now();
    const auto found = parts_.quarantine.find(prompt_, software_key(*any), now);
    if (!found)
        return std::nullopt;
    if (found->next_trial_at <= now && parts_.trials.acquire(found->part)) {
        filter_.set_trial(found->part);
        log(log_level::info, "request is the trial of a quarantined part",
            {{"request", call_.attempt},
             {"parts", shared_part_ids(call_.prompt)}});
        return std::nullopt;
    }
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - found->last_crash_at);
    const auto wait = std::max(target_full_retry_after,
                               remaining_until(found->next_trial_at, now));
    log(log_level::info,
        "request refused: a part of its prompt crashes targets",
        {{"request", call_.attempt},
         {"parts", shared_part_ids(call_.prompt)},
         {"part", to_hex(found->part)},
         {"crashes", found->crashes},
         {"requests", found->requests},
         {"last_crash_age_ms", age.count()},
         {"next_trial_in_ms", wait.count()}});
    return run_failure{refusal_reason::quarantined, execution::not_run, wait};
}

bool forward_run::completes_before(const drain_times& drain) const
{
    // Some clients are still sending their request when no connection is
    // accepted any more. At that time a daemon that stays is the better place.
    if (arrived_at_ > drain.accepts_until)
        return deadline_ <= drain.ends_at;
    const auto answer =
        parts_.times.get(service_->name, default_first_event_time);
    // Of a stream that is resumed only a part is left.
    const auto whole =
        stream_started_
            ? answer
            : std::max(answer, parts_.stream_times.get(route_->name, answer));
    return daemon_now() + whole <= drain.ends_at;
}

std::optional<run_failure> forward_run::refuse_if_stopping()
{
    if (!ended_ && (!parts_.drain || completes_before(*parts_.drain)))
        return std::nullopt;
    return run_failure{refusal_reason::draining, execution::not_run,
                       target_full_retry_after};
}

std::optional<run_failure> forward_run::admit()
{
    // The owner of a single stage decides this itself, since it knows more
    // about its queue.
    if (route_->stages.size() < 2)
        return std::nullopt;
    request_estimate outlook;
    outlook.answer = parts_.times.get(service_->name, default_first_event_time);
    outlook.goal   = goal_at_;
    outlook.limit  = first_event_deadline_;
    for (std::uint32_t n = 0; n < route_->stages.size(); ++n) {
        const auto&    step     = route_->stages[n];
        const auto     count    = n < call_.pieces.size() ? call_.pieces[n] : 0;
        const auto*    producer = table_->find_service(step.service);
        stage_estimate it;
        it.after   = step.after;
        it.skipped = count == 0;
        it.large   = step.result_bytes >= large_result_bytes;
        it.queue   = parts_.stages.queue(step.service);
        if (producer && producer->stage)
            it.call = producer->stage->call_time +
                      producer->stage->piece_time *
                          std::min(count, producer->stage->batch);
        outlook.stages.push_back(std::move(it));
    }
    const auto decision = decide_entry(outlook, daemon_now());
    if (decision.admitted)
        return std::nullopt;
    log(log_level::info,
        "request refused: its first event is expected too late",
        {{"request", call_.attempt},
         {"expected_ms", decision.expected.count() / 1000},
         {"goal_left_ms",
          std::chrono::duration_cast<milliseconds>(goal_at_ - daemon_now())
              .count()},
         {"left_ms", remaining_time().count()}});
    return run_failure{refusal_reason::overloaded, execution::not_run,
                       decision.retry_after};
}

/// Failure domain of the target that probably caches the start of the prompt;
/// empty without prompt affinity.
std::string forward_run::prompt_cache_domain()
{
    pick_hints hints;
    hints.affinity = affinity();
    hints.work     = work();
    if (hints.affinity == 0)
        return "";
    const auto  now = daemon_now();
    const auto* it  = parts_.picker.pick(
         parts_.targets.open(filter_.usable(service_->name, daemon_now()), now),
         hints, now);
    return it ? it->failure_domain : "";
}

stage_plan forward_run::make_stage_plan(time_point limit)
{
    return {call_,
            *table_,
            *route_,
            service_->name,
            priority_,
            goal_at_,
            limit,
            filter_.permitted_domains(),
            [this] {
                return prompt_cache_domain();
            }};
}

std::optional<run_failure> forward_run::run_stages(time_point limit)
{
    auto run = std::make_unique<stage_run>(
        make_stage_plan(limit),
        stage_run_dependencies{parts_.stages, parts_.times, parts_.targets},
        signal_);
    for (;;) {
        if (auto failed = run->submit())
            return failed;
        if (run->complete())
            break;
        const auto before = run->waiting();
        if (!signal_->wait_until(limit, [&] {
                return interrupted() || diverted() || stream_continues() ||
                       run->waiting() != before;
            }))
            return run_failure{refusal_reason::deadline_unreachable,
                               execution::not_run, target_full_retry_after};
        run->collect();
        if (caller_gone_ || diverted())
            return std::nullopt;
        if (auto refused = refuse_if_quarantined())
            return refused;
        if (auto refused = refuse_if_stopping())
            return refused;
        if (stream_continues())
            return run_failure{refusal_reason::stage_failed};
    }
    if (auto refused = refuse_if_stopping())
        return refused;
    const auto inputs = run->inputs();
    const auto bytes  = std::accumulate(
         inputs.begin(), inputs.end(), std::size_t{0},
         [](std::size_t n, const auto& it) { return n + it.size() + 1; });
    if (bytes > limits::max_header_field)
        return run_failure{refusal_reason::too_large};
    results_ = std::move(run);
    return std::nullopt;
}

bool forward_run::has_results() const
{
    return results_ && daemon_now() < results_->read_deadline();
}

bool forward_run::prepare_results()
{
    if (has_results())
        return true;
    const auto failure = run_stages(deadline_);
    const bool whole   = !failure && !caller_gone_;
    if (!route_->stages.empty())
        log(log_level::info, "stage results recomputed for a resumed stream",
            {{"request", call_.attempt}, {"whole", whole}});
    return whole;
}

// Targets --------------------------------------------------------------------

std::uint64_t forward_run::affinity() const
{
    if (!route_->prompt_affine || call_.prompt.size() < 2)
        return 0;
    // The last part is specific to this request; the one before it may be
    // shared with others.
    const auto& it = call_.prompt[call_.prompt.size() - 2];
    return XXH3_64bits(it.id.data(), it.id.size()) | 1;
}

const target* forward_run::pick_target(bool limited)
{
    pick_hints hints;
    hints.tried          = &tried_targets_;
    hints.failure_domain = parts_.failure_domain;
    hints.domain_penalty = other_domain_penalty;
    if (results_ && results_->result_bytes() >= large_result_bytes) {
        hints.failure_domain = results_->main_domain();
        hints.domain_penalty = large_result_penalty;
    }
    hints.affinity = affinity();
    hints.tokens   = call_.prompt_tokens;
    hints.work     = work();
    const auto now = daemon_now();
    if (has_brittle_targets())
        hints.sharing_daemons = std::max(1U, parts_.daemons);
    auto& targets = parts_.targets;
    return parts_.picker.pick(
        limited
            ? targets.open(filter_.usable(service_->name, daemon_now()), now)
            : targets.open_without_limit(
                  filter_.usable(service_->name, daemon_now()), now),
        hints, now);
}

/// Gets a permit for one call to the target and waits until it may be sent.
/// \return false without a permit, or when the caller has left meanwhile.
bool forward_run::acquire_permit(const target& chosen, milliseconds max_wait)
{
    permit_ = parts_.permits.acquire(chosen, max_wait);
    if (!permit_->granted || interrupted())
        return false;
    signal_->wait_until(permit_->call_at,
                        [this] { return interrupted() || diverted(); });
    return !interrupted() && !diverted();
}

bool forward_run::may_send(const target& chosen) const
{
    const auto now = daemon_now();
    return permit_
               ? permit_->covers(parts_.targets.limits().find(chosen, now), now)
               : !limits_calls(chosen);
}

bool forward_run::has_brittle_targets() const
{
    return parts_.targets.brittle()
        .rejections(service_->name, daemon_now())
        .has_value();
}

bool forward_run::limits_calls(const target& it) const
{
    return parts_.targets.limits().find(it, daemon_now()) != nullptr;
}

/// Picks a target that takes the request now. One that limits its calls is left
/// out when it gives no permit; that may be tried with a few targets.
/// \return nothing when there is none, or when the caller has left meanwhile.
std::optional<target> forward_run::take_free_target()
{
    for (std::uint32_t asked = 0;; ++asked) {
        permit_.reset();
        // Many cold targets that look idle must not keep the request waiting
        // for permits while others are free.
        const auto* found = pick_target(asked < max_permit_requests);
        if (!found)
            return std::nullopt;
        const auto chosen = *found;
        if (!limits_calls(chosen))
            return chosen;
        if (acquire_permit(chosen, short_permit_wait))
            return chosen;
        if (interrupted() || diverted())
            return std::nullopt;
    }
}

/// Waits for a closed target to open, or for a permit of a target that limits
/// its calls, while the response can still meet the latency goal. \return
/// nothing when no target can take the request.
std::optional<target> forward_run::await_target()
{
    for (;;) {
        if (auto it = take_free_target())
            return it;
        if (interrupted() || diverted() || refuse_if_closed())
            return std::nullopt;
        const auto  now = daemon_now();
        const auto* first =
            filter_.first_to_open(service_->name, tried_targets_, now).first;
        if (!first)
            return std::nullopt;
        if (has_brittle_targets()) {
            // The targets are open, but no call may wait at them.
            if (time_until_goal() <= milliseconds{0})
                return std::nullopt;
            signal_->wait_until(now + room_poll_interval,
                                [this] { return interrupted() || diverted(); });
            continue;
        }
        const auto chosen = *first;
        auto       retry  = parts_.targets.opens_at(chosen, now);
        if (limits_calls(chosen) && parts_.targets.gate().admits(chosen, now)) {
            if (acquire_permit(chosen, time_until_goal()))
                return chosen;
            // The owner of the limit has no call in time.
            if (!permit_->undecided ||
                permit_->call_at > daemon_now() + time_until_goal())
                return std::nullopt;
            retry = permit_->call_at;
        }
        else if (!retry || *retry <= now) {
            return retry ? std::optional(chosen) : std::nullopt;
        }
        signal_->wait_until(*retry,
                            [this] { return interrupted() || diverted(); });
    }
}

bool forward_run::may_retry(attempt_result last) const
{
    if (interrupted() || deadline_passed() || attempts_ >= route_->max_attempts)
        return false;
    if (last == attempt_result::not_run)
        return true;
    return route_->repeatable() &&
           (last != attempt_result::cut || last_event_id_.has_value());
}

run_failure forward_run::attempt_failure(attempt_result last)
{
    if (last == attempt_result::not_run) {
        const auto now = daemon_now();
        const auto [first, opens] =
            filter_.first_to_open(service_->name, {}, now);
        const auto wait = first ? remaining_until(opens, now) : milliseconds{0};
        return {refusal_reason::overloaded, execution::not_run,
                std::max(target_full_retry_after, wait)};
    }
    if (deadline_passed())
        return {refusal_reason::deadline_exceeded, execution::unknown, {}};
    return {refusal_reason::stage_failed, execution::unknown, {}};
}

std::optional<run_failure> forward_run::call_targets()
{
    std::uint32_t              connects     = 0;
    auto                       last         = attempt_result::not_run;
    bool                       may_have_run = false;
    std::optional<run_failure> refused;
    std::string_view           not_resumed = "attempts or retry budget";
    for (;;) {
        resume_prepared_ = false;
        if (diverted())
            return relay(may_have_run ? attempt_result::failed
                                      : attempt_result::not_run);
        if (stream_started_ && !prepare_results()) {
            not_resumed = "stages";
            break;
        }
        refused = refuse_if_quarantined();
        if (!refused)
            refused = refuse_if_stopping();
        if (refused) {
            not_resumed = to_string(refused->reason);
            break;
        }
        const auto found = await_target();
        if (!found && diverted() && !interrupted())
            continue;
        if (!found || deadline_passed()) {
            not_resumed = found ? "deadline" : "no target";
            break;
        }
        const auto& chosen = *found;
        request_unsent_    = false;
        permit_lapsed_     = false;
        last               = attempt(chosen);
        if (last == attempt_result::answered || caller_gone_)
            return std::nullopt;
        if (!permit_lapsed_)
            tried_targets_.push_back(chosen.id);
        may_have_run = may_have_run || last != attempt_result::not_run;
        if (!request_unsent_)
            filter_.set_trial(std::nullopt);
        if (request_unsent_) {
            if ((++connects >= max_connect_attempts && !diverted()) ||
                deadline_passed())
                break;
            continue;
        }
        ++attempts_;
        if (!may_retry(last) ||
            (!resume_prepared_ &&
             !parts_.budget.take(service_->name, daemon_now())))
            break;
        parts_.counters.reasons().add(
            last == attempt_result::not_run ? retry_reason::target_not_run
            : last == attempt_result::cut   ? retry_reason::stream_resume
                                            : retry_reason::target_failed);
    }
    if (stream_started_) {
        ++parts_.continuations.not_resumed;
        log(log_level::warning, "stream cut",
            {{"request", call_.attempt},
             {"not_resumed", ended_ ? "draining" : not_resumed}});
        log_end("cut", 0);
        exchange_.abort();
        return std::nullopt;
    }
    if (saved_error_response_) {
        // No later attempt succeeded: pass on the earlier error response.
        log_end("answered", saved_error_response_->result_int());
        exchange_.respond(*std::move(saved_error_response_));
        return std::nullopt;
    }
    auto out = refused ? *refused : attempt_failure(last);
    if (may_have_run)
        out.result = execution::unknown;
    return out;
}

void forward_run::finish_call(const target& chosen, call_outcome how)
{
    parts_.picker.finish(chosen.id, call_number_,
                         interrupted() ? call_outcome::cancelled : how,
                         daemon_now());
}

forward_run::attempt_result forward_run::attempt(const target& chosen)
{
    const auto tokens = call_.prompt_tokens;
    attempt_started_  = daemon_now();
    call_number_ =
        parts_.picker.start(chosen.id, tokens, attempt_started_, work());
    parts_.targets.gate().sent(chosen.id, attempt_started_);
    error_code ec;
    const auto most = service_->max_connections / std::max(1U, parts_.daemons);
    auto       time_to_connect = std::min(connect_timeout, remaining_time());
    if (parts_.drain)
        time_to_connect =
            std::min(time_to_connect, remaining_until(parts_.drain->ends_at));
    auto lease     = parts_.connections.open(chosen, connection_use::call, most,
                                             time_to_connect, ec);
    permit_lapsed_ = !may_send(chosen);
    const auto* entry     = parts_.targets.find(chosen.id);
    const bool  restarted = entry && (entry->started_at != chosen.started_at ||
                                     entry->version != chosen.version);
    if (lease &&
        (restarted || parts_.targets.gate().refuses(chosen, daemon_now()) ||
         parts_.targets.evacuated(chosen) || permit_lapsed_ ||
         filter_.is_quarantined(chosen, daemon_now())))
    {
        request_unsent_ = true;
        finish_call(chosen, call_outcome::cancelled);
        parts_.connections.give_back_unused(std::move(lease));
        return attempt_result::not_run;
    }
    if (!lease) {
        request_unsent_ = true;
        permit_lapsed_  = false;
        finish_call(chosen, ec == boost::asio::error::no_descriptors
                                ? call_outcome::cancelled
                                : call_outcome::connect_failed);
        log(log_level::warning, "connecting to the target failed",
            {{"request", call_.attempt},
             {"target", chosen.id},
             {"error", ec.message()}});
        return attempt_result::not_run;
    }
    connection_       = &*lease;
    const auto result = send(chosen, lease);
    connection_       = nullptr;
    waiting_.reset();
    return result;
}

forward_run::attempt_result forward_run::send(const target&     chosen,
                                              connection_lease& lease)
{
    if (interrupted() || deadline_passed()) {
        finish_call(chosen, call_outcome::cancelled);
        return attempt_result::not_run;
    }
    call_context context;
    context.target    = chosen.id;
    context.account   = account_ ? account_->name : "";
    context.time_left = remaining_time();
    if (results_)
        context.inputs = results_->inputs();
    if (service_->engine)
        context.request_priority =
            std::min(9U, default_engine_priority + priority_ - 1);
    context.resume_after = last_event_id_;
    const auto request = parts_.codec.encode_call(exchange_.request(), context);
    log(log_level::info, "request sent",
        {{"request", call_.attempt},
         {"target", chosen.id},
         {"target_version", chosen.version},
         {"in_flight", parts_.picker.in_flight(chosen.id)},
         {"left_ms", context.time_left.count()},
         {"resumed", last_event_id_.has_value()},
         {"takes_up", call_.resumed_attempt}});
    sent_at_        = daemon_now();
    earlier_events_ = events_;
    first_event_at_.reset();
    reported_progress_ = answer_progress::none;
    waiting_           = parts_.crashes.watch(prompt_, chosen);
    const auto ec =
        lease->send(request, exchange_.shared_request(), remaining_time());
    if (ec) {
        report_broken(chosen, ec);
        log(log_level::warning, "no response from the target",
            {{"request", call_.attempt},
             {"target", chosen.id},
             {"error", ec.message()},
             {"parts", shared_part_ids(call_.prompt)},
             {"client_gone", caller_gone_}});
        finish_call(chosen, call_outcome::broken);
        return stream_started_ ? attempt_result::cut : attempt_result::failed;
    }
    parts_.crashes.heard(chosen, lease->connected_at());
    if (!skip_foreign_responses(chosen, lease)) {
        finish_call(chosen, call_outcome::broken);
        return stream_started_ ? attempt_result::cut : attempt_result::failed;
    }
    return handle_response(chosen, lease);
}

/// The connection may serve another request as soon as it is returned, so
/// connection_ is reset first: a caller that leaves must not cancel it.
void forward_run::return_connection(connection_lease lease)
{
    connection_ = nullptr;
    parts_.connections.give_back(
        std::move(lease), reuse_check::after_request(head_, call_.attempt),
        head_.idle_time);
}

// Reads up to the response to this request. A connection may still hold
// responses to earlier requests.
bool forward_run::skip_foreign_responses(const target&     chosen,
                                         connection_lease& lease)
{
    error_code ec;
    for (std::uint32_t n = 0; n < max_foreign_responses; ++n) {
        head_ = parts_.codec.decode_response(lease->head());
        handle_notice(parts_.targets, chosen, head_, {"request", call_.attempt},
                      daemon_now());
        if (head_.attempt == call_.attempt)
            return true;
        // A target may refuse a request before it has read the attempt id.
        if (head_.not_run && head_.attempt.empty())
            return true;
        log(log_level::warning, "discarded a response to another request",
            {{"request", call_.attempt}, {"answer_to", head_.attempt}});
        lease->read_all(remaining_time(), ec, max_discarded_body);
        if (!ec)
            ec = lease->read_head(remaining_time());
        if (ec) {
            report_broken(chosen, ec);
            return false;
        }
    }
    return false;
}

/// Only an end of the connection may mean that the target crashed.
void forward_run::report_broken(const target& at, const error_code& ec)
{
    namespace asio_error = boost::asio::error;
    if (interrupted() || prompt_.shared.empty())
        return;
    const auto now = daemon_now();
    if (ec == http::error::end_of_stream ||
        ec == http::error::partial_message || ec == asio_error::eof ||
        ec == asio_error::connection_reset || ec == asio_error::broken_pipe ||
        ec == asio_error::connection_aborted)
        parts_.crashes.broke_off(prompt_, at, progress_when_broken(), now);
    // A stream that still had events at its deadline was not silent.
    else if ((ec == boost::beast::error::timeout ||
              ec == asio_error::timed_out) &&
             (!first_event_at_ ||
              now - last_event_at_ >= stream_silence_timeout))
        parts_.crashes.fell_silent(prompt_, at, progress_when_broken(), now);
}

void forward_run::report_whole(const target& by, const http_client& from)
{
    const auto now = daemon_now();
    if (prompt_.shared.empty())
        return;
    // A target that crashes ends its connections, too.
    if (from.ends_with_connection())
        parts_.crashes.ended_with_connection(prompt_, by,
                                             progress_when_broken(), now);
    else
        parts_.quarantine.answered(prompt_, by, now, answer_progress::whole);
}

milliseconds forward_run::answered_for() const
{
    return std::chrono::duration_cast<milliseconds>(last_event_at_ -
                                                    *first_event_at_);
}

answer_progress forward_run::progress_when_broken() const
{
    return first_event_at_ ? broken_progress(answered_for())
                           : answer_progress::none;
}

void forward_run::note_progress(const target& by)
{
    last_event_at_ = daemon_now();
    if (!first_event_at_) {
        first_event_at_ = last_event_at_;
        if (waiting_)
            waiting_->begun(last_event_at_);
    }
    const auto progress = unharmed_progress(answered_for());
    if (progress == std::exchange(reported_progress_, progress))
        return;
    parts_.quarantine.answered(prompt_, by, last_event_at_, progress);
}

call_outcome forward_run::refusal_outcome() const
{
    if (head_.status ==
        static_cast<unsigned>(http::status::misdirected_request))
        return call_outcome::misdirected;
    const bool idle = head_.load && head_.load->waiting == 0 &&
                      head_.load->running < head_.load->slots;
    return idle ? call_outcome::refused_idle : call_outcome::refused;
}

forward_run::attempt_result
forward_run::handle_response(const target& chosen, connection_lease& lease)
{
    const auto now = daemon_now();
    parts_.picker.answered(chosen.id, call_number_, now);
    if (head_.load)
        parts_.picker.load_reported(chosen.id, *head_.load, now);
    if (head_.not_run) {
        log(log_level::info, "target refused the request",
            {{"request", call_.attempt},
             {"target", chosen.id},
             {"status", head_.status}});
        const auto how = refusal_outcome();
        if (how != call_outcome::misdirected) {
            handle_rejection(parts_.targets, chosen, parts_.daemons,
                             {"request", call_.attempt}, now);
            handle_limit(parts_.targets, chosen, head_,
                         {"request", call_.attempt}, sent_at_, now);
        }
        error_code ec;
        lease->read_all(remaining_time(), ec, max_discarded_body);
        finish_call(chosen, how);
        if (!ec)
            return_connection(std::move(lease));
        return attempt_result::not_run;
    }
    const bool good = head_.status >= 200 && head_.status < 300;
    if (!head_.signed_by_target || head_.encoded) {
        log(log_level::warning,
            "response is not signed by the target or is encoded",
            {{"request", call_.attempt},
             {"target", chosen.id},
             {"status", head_.status}});
        finish_call(chosen, call_outcome::broken);
        return stream_started_ ? attempt_result::cut : attempt_result::failed;
    }
    handle_limit(parts_.targets, chosen, head_, {"request", call_.attempt},
                 sent_at_, now);
    const bool stream = good && head_.event_body;
    if (stream_started_ && !stream) {
        log(log_level::warning, "stream is not continued by the next target",
            {{"request", call_.attempt},
             {"target", chosen.id},
             {"status", head_.status}});
        finish_call(chosen, call_outcome::error);
        return attempt_result::cut;
    }
    if (stream)
        return relay_stream(chosen, lease);
    return relay_response(chosen, lease);
}

forward_run::attempt_result forward_run::relay_response(const target& chosen,
                                                        connection_lease& lease)
{
    error_code ec;
    auto       head = caller_head(*lease);
    // Until the caller has read the response.
    body_reservation memory(lease->context());
    auto             body = lease->read_all(remaining_time(), ec,
                                            http_client::max_body_bytes, &memory);
    const bool       good = head_.status >= 200 && head_.status < 300;
    if (good && !body.empty())
        note_progress(chosen);
    const bool server_error = head_.status >= 500;
    finish_call(chosen, ec             ? call_outcome::broken
                        : server_error ? call_outcome::error
                                       : call_outcome::done);
    if (ec) {
        report_broken(chosen, ec);
        log(log_level::warning, "response ended early",
            {{"request", call_.attempt},
             {"target", chosen.id},
             {"error", ec.message()}});
        return attempt_result::failed;
    }
    if (good)
        report_whole(chosen, *lease);
    return_connection(std::move(lease));
    if (server_error && route_->repeatable() &&
        attempts_ + 1 < route_->max_attempts && !deadline_passed() &&
        parts_.budget.left(service_->name, daemon_now()) >= 1)
    {
        head.body()           = std::move(body);
        saved_error_response_ = std::move(head);
        saved_error_memory_   = std::move(memory);
        return attempt_result::failed;
    }
    head.body() = std::move(body);
    log_end("answered", head_.status);
    exchange_.respond(std::move(head));
    return attempt_result::answered;
}

forward_run::attempt_result forward_run::relay_stream(const target&     chosen,
                                                      connection_lease& lease)
{
    error_code ec;
    const bool whole = relay_events(chosen, *lease, ec);
    finish_call(chosen, whole ? call_outcome::done : call_outcome::broken);
    if (whole) {
        // The target sent no event: an empty stream, or one resumed after its
        // last event.
        if (!stream_started_)
            begin_stream(*lease);
        exchange_.end_stream();
        report_whole(chosen, *lease);
        if (work_)
            parts_.work.completed(*work_, events_);
        if (earlier_events_ == 0)
            parts_.stream_times.add(route_->name,
                                    daemon_now() - attempt_started_);
        log_end("answered", head_.status);
        return_connection(std::move(lease));
        return attempt_result::answered;
    }
    report_broken(chosen, ec ? ec : http::error::partial_message);
    log(log_level::warning, "stream ended early",
        {{"request", call_.attempt},
         {"target", chosen.id},
         {"events", events_},
         {"parts", shared_part_ids(call_.prompt)},
         {"client_gone", caller_gone_},
         {"draining", ended_},
         {"error", ec.message()}});
    return stream_started_ ? attempt_result::cut : attempt_result::failed;
}

/// \return the head for the caller, or for the daemon that relayed the request.
http_response forward_run::caller_head(const http_client& from) const
{
    auto out = parts_.codec.relay_head(from.head());
    clear_relay_refused(out);
    return out;
}

/// Sends the head to the caller.
void forward_run::begin_stream(http_client& from)
{
    stream_started_ = true;
    const auto now  = daemon_now();
    first_event_after_ =
        std::chrono::duration_cast<milliseconds>(now - arrived_at_);
    if (events_ > 0 && now <= goal_at_)
        parts_.times.add(service_->name, now - attempt_started_);
    exchange_.begin_stream(caller_head(from));
    parts_.counters.observe_first_text(route_->name, now - arrived_at_);
}

/// True when another target could resume the stream.
bool forward_run::may_resume()
{
    return route_->repeatable() && attempts_ + 1 < route_->max_attempts &&
           last_event_id_.has_value() &&
           parts_.budget.left(service_->name, daemon_now()) >= 1;
}

bool forward_run::stream_continues() const
{
    return silent_stream_ && silent_stream_->readable();
}

bool forward_run::await_events(const target& chosen, http_client& from,
                               time_point& silent_at)
{
    while (stream_started_ && may_resume()) {
        from.notify_readable(signal_);
        if (signal_->wait_until(
                std::min(deadline_, silent_at),
                [&] { return interrupted() || from.readable(); }) ||
            deadline_passed())
            return true;
        // After a pause of this process its timer may come before the events.
        if (!from.idle_and_open())
            return true;
        silent_stream_      = &from;
        const bool prepared = prepare_resume(chosen);
        silent_stream_      = nullptr;
        if (prepared)
            return false;
        silent_at = daemon_now() + stream_silence_timeout;
    }
    return true;
}

bool forward_run::prepare_resume(const target& chosen)
{
    // Results of the attempt itself stay: its target may not have read them.
    const bool held = has_results();
    tried_targets_.push_back(chosen.id);
    // The target may have gone while the stages ran.
    const bool usable = !refuse_if_stopping() && pick_target() &&
                        prepare_results() && pick_target();
    tried_targets_.pop_back();
    const bool continues = stream_continues();
    resume_prepared_     = usable && !interrupted() && !continues &&
                       parts_.budget.take(service_->name, daemon_now());
    if (!resume_prepared_ && !held)
        results_.reset();
    log(log_level::info,
        resume_prepared_ ? "silent stream is given up"
                         : "silent stream is kept",
        {{"request", call_.attempt},
         {"target", chosen.id},
         {"events", events_},
         {"continues", continues}});
    return resume_prepared_;
}

/// \return true when the target ended the stream and all of it was relayed.
bool forward_run::relay_events(const target& chosen, http_client& from,
                               error_code& ec)
{
    event_splitter   events;
    body_reservation memory(from.context());
    bool             first_event = true;
    // Only whole events show that the target makes progress.
    auto silent_at = daemon_now() + stream_silence_timeout;
    for (;;) {
        if (!await_events(chosen, from, silent_at)) {
            ec = boost::asio::error::timed_out;
            return false;
        }
        const auto text = from.read_some(remaining_time(), ec);
        if (ec || interrupted())
            return false;
        if (text.empty())
            return events.rest().empty();
        parts_.crashes.heard(chosen, from.connected_at());
        // The first part of an event ends the silence, further ones do not.
        if (events.rest().empty())
            silent_at =
                std::max(silent_at, daemon_now() + stream_silence_timeout);
        events.add(text);
        std::string batch;
        while (auto it = events.next()) {
            // The stream goes on after the last event that the caller got, so
            // that one that is not passed on must not count.
            if (std::exchange(first_event, false) && !keep_software(chosen)) {
                ec = boost::asio::error::operation_aborted;
                return false;
            }
            if (it->id)
                last_event_id_ = usable_event_id(std::move(*it->id));
            batch += it->text;
            const auto now = daemon_now();
            silent_at      = now + stream_silence_timeout;
            parts_.picker.event(chosen.id, call_number_, now);
            ++events_;
            note_progress(chosen);
        }
        if (events.overflowed())
            ec = boost::asio::error::message_size;
        else if (!memory.grow_to(events.rest().size()))
            ec = boost::asio::error::no_buffer_space;
        else if (deadline_passed())
            ec = boost::asio::error::timed_out;
        else if (daemon_now() >= silent_at && stream_started_ && may_resume()) {
            // The bytes that arrived complete no event.
            if (prepare_resume(chosen))
                ec = boost::asio::error::timed_out;
            else
                silent_at = daemon_now() + stream_silence_timeout;
        }
        if (ec && batch.empty())
            return false;
        if (batch.empty())
            continue;
        if (!stream_started_)
            begin_stream(from);
        // The target of this attempt has read its inputs by now.
        results_.reset();
        if (!exchange_.write(batch)) {
            caller_gone_ = true;
            return false;
        }
        // While the caller did not read, neither did this daemon.
        silent_at = std::max(silent_at, daemon_now() + stream_silence_timeout);
        if (ec)
            return false;
    }
}

// Other daemons --------------------------------------------------------------

bool forward_run::diverted() const
{
    return !relayed_ && !stream_started_ &&
           (parts_.relay.cut_off() || (diverts_ && attempts_ == 0));
}

relay_terms forward_run::terms() const
{
    return {remaining_time(),
            std::chrono::duration_cast<milliseconds>(goal_at_ - daemon_now()),
            attempts_};
}

std::optional<run_failure> forward_run::relay(attempt_result last)
{
    results_.reset();
    relaying_         = true;
    bool may_have_run = last != attempt_result::not_run;
    for (std::vector<std::string> tried; tried.size() < max_relay_attempts &&
                                         !interrupted() && !deadline_passed();)
    {
        const auto to = parts_.relay.choose(tried);
        if (!to)
            break;
        tried.push_back(*to);
        log(log_level::info, "request relayed to another daemon",
            {{"request", call_.attempt},
             {"daemon", *to},
             {"left_ms", remaining_time().count()},
             {"attempts", attempts_}});
        unsigned   status = 0;
        const auto how =
            parts_.relay.run(exchange_, *to, terms(), connection_, status);
        caller_gone_ = caller_gone_ || exchange_.client_gone();
        if (how == request_relay::result::answered) {
            log_end("relayed", status);
            return std::nullopt;
        }
        if (caller_gone_)
            return std::nullopt;
        log(log_level::warning, "another daemon did not answer the request",
            {{"request", call_.attempt},
             {"daemon", *to},
             {"not_run", how == request_relay::result::not_run}});
        if (how == request_relay::result::cut) {
            log_end("cut", 0);
            exchange_.abort();
            return std::nullopt;
        }
        if (how == request_relay::result::not_run)
            continue;
        may_have_run = true;
        ++attempts_;
        if (!may_retry(attempt_result::failed) ||
            !parts_.budget.take(service_->name, daemon_now()))
            break;
        parts_.counters.reasons().add(retry_reason::target_failed);
    }
    ++parts_.relay.stats().refused;
    if (may_have_run)
        return attempt_failure(attempt_result::failed);
    if (ended_)
        return refuse_if_stopping();
    return run_failure{refusal_reason::no_target, execution::not_run,
                       no_target_retry_after};
}

void forward_run::refuse_relayed()
{
    auto response =
        problem_response(refusal(parts_.drain ? refusal_reason::draining
                                              : refusal_reason::no_target,
                                 no_target_retry_after),
                         call_.attempt);
    mark_relay_refused(response);
    log(log_level::info, "relayed request refused",
        {{"request", call_.attempt}, {"draining", parts_.drain.has_value()}});
    exchange_.respond(std::move(response));
}

// Completion -----------------------------------------------------------------

void forward_run::refuse(const run_failure& it)
{
    problem out{it.reason, it.result, it.retry_after, ""};
    parts_.counters.reasons().add(it.reason);
    auto response = problem_response(out, call_.attempt);
    if (it.retry_after > milliseconds{0}) {
        // Callers accept fractions of a second here.
        const auto ms = it.retry_after.count();
        response.set(http::field::retry_after,
                     std::to_string(static_cast<double>(ms) / 1000));
    }
    // A status must not promise "not run" when the request may have run: 502
    // and 504 leave that open, 503 states that it did not run.
    if (it.result == execution::unknown)
        response.result(it.reason == refusal_reason::deadline_exceeded
                            ? http::status::gateway_timeout
                            : http::status::bad_gateway);
    else if (it.reason == refusal_reason::overloaded ||
             it.reason == refusal_reason::no_target ||
             it.reason == refusal_reason::not_ready ||
             it.reason == refusal_reason::quarantined ||
             it.reason == refusal_reason::stream_not_resumable ||
             it.reason == refusal_reason::draining ||
             it.reason == refusal_reason::stage_failed ||
             it.reason == refusal_reason::deadline_unreachable)
        response.result(http::status::service_unavailable);
    log_end(to_string(it.reason), response.result_int());
    exchange_.respond(std::move(response));
}

void forward_run::log_end(std::string_view outcome, unsigned status)
{
    const auto took =
        std::chrono::duration_cast<milliseconds>(daemon_now() - arrived_at_);
    parts_.counters.count_request(route_ ? route_->name : "none", outcome,
                                  took);
    log(log_level::info, "request ended",
        {{"request", call_.attempt},
         {"route", route_ ? route_->name : ""},
         {"outcome", outcome},
         {"status", status},
         {"took_ms", took.count()},
         {"first_event_ms",
          first_event_after_ ? first_event_after_->count() : -1},
         {"goal_ms", route_ ? route_->latency_goal.count() : 0},
         {"attempts", attempts_},
         {"events", events_},
         {"config", table_ ? table_->version() : 0}});
}

} // namespace arbutusgate::gateway
