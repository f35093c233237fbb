#include "request_executor.hpp"

#include "arbutusgate/policy.hpp"

#include "daemon_clock.hpp"
#include "json_memory.hpp"
#include "log.hpp"
#include "prompt_guard.hpp"
#include "stream_reader.hpp"

#include <xxhash.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace arbutusgate {

namespace json = boost::json;

namespace {

// The cost of generate stages is stated per 1000 tokens.
constexpr double tokens_per_cost_unit = 1000.0;

std::string_view name_of(claim_outcome it)
{
    switch (it) {
    case claim_outcome::granted:
        return "granted";
    case claim_outcome::taken_done:
        return "taken_done";
    case claim_outcome::taken_in_progress:
        return "taken_in_progress";
    case claim_outcome::reused:
        return "reused";
    case claim_outcome::unavailable:
        break;
    }
    return "unavailable";
}

bool certainly_not_run(attempt_status it)
{
    return it == attempt_status::connect_failed ||
           it == attempt_status::not_run;
}

double cost_of(const stage_config& stage, const stage_result& result)
{
    if (certainly_not_run(result.attempt.status))
        return 0;
    if (stage.kind == stage_kind::generate)
        return stage.cost * result.attempt.tokens / tokens_per_cost_unit;
    return stage.cost;
}

} // namespace

request_executor::request_executor(const request_services&  services,
                                   caller_request           request,
                                   boost::asio::io_context& io,
                                   connection_pool& pool, text_sink& sink)
    : services_(services), request_(std::move(request)), sink_(sink),
      caller_(pool), waiter_(std::make_shared<run_waiter>(io)),
      run_(*services.rules, request_.info, daemon_now()),
      stages_(pipeline().stages.size()), input_(request_.input)
{
    services_.runs->add(request_.info.run, waiter_);
    trace_.request_id     = request_.request_id;
    trace_.pipeline       = pipeline().name;
    trace_.account        = config().accounts[request_.info.account.idx].name;
    trace_.config_version = config().version;
}

request_executor::~request_executor()
{
    services_.runs->remove(request_.info.run);
}

const pipeline_config& request_executor::pipeline() const
{
    return config().pipelines[request_.info.pipeline.idx];
}

request_outcome request_executor::execute()
{
    if (refuse_quarantined()) {
        record_end();
        return std::move(outcome_);
    }
    queue_actions(run_.start(daemon_now()));
    bool cancelled = false;
    while (!actions_.empty()) {
        if (abandoned() && !cancelled && !run_.finished()) {
            cancelled = true;
            actions_.clear();
            queue_actions(run_.on_client_gone(daemon_now()));
        }
        const auto action = std::move(actions_.front());
        actions_.pop_front();
        apply(action);
    }
    record_end();
    return std::move(outcome_);
}

void request_executor::client_gone()
{
    client_gone_ = true;
    if (non_idempotent_sent_)
        return;
    caller_.cancel();
    waiter_->wake_on_io_thread();
}

void request_executor::queue_actions(run_actions actions)
{
    for (auto& it : actions)
        actions_.push_back(it);
}

void request_executor::apply(const run_action& action)
{
    std::visit([this](const auto& it) { perform(it); }, action);
}

void request_executor::perform(const start_attempt& action)
{
    if (action.stage != stage_) {
        stage_  = action.stage;
        input_  = std::move(output_);
        output_ = {};
        offset_ = 0;
    }
    const auto started = daemon_now();
    const auto result  = run_attempt(action);
    if (certainly_not_run(result.attempt.status))
        non_idempotent_sent_ = false;
    else
        any_stage_ran_ = true;
    record_attempt(action, result, started);
    queue_actions(run_.on_attempt(result.attempt, daemon_now()));
}

bool request_executor::use_claim()
{
    non_idempotent_sent_ = services_.claims->use(claim_.claim);
    return non_idempotent_sent_;
}

stage_work request_executor::make_work(const start_attempt& action)
{
    stage_work work;
    work.stage      = &pipeline().stages[action.stage];
    work.target     = &config().targets[action.target.idx];
    work.request_id = request_.request_id;
    work.start      = action;
    work.input      = input_;
    work.priority   = pipeline().priority;
    work.max_tokens = request_.info.max_tokens > 0 ? request_.info.max_tokens
                                                   : work.stage->max_tokens;
    if (!work.stage->idempotent) {
        work.key      = request_.key;
        work.may_send = [this] {
            return use_claim();
        };
    }
    work.on_load = [this, &target = work.target->name](const load_report& it) {
        services_.on_load(target, it);
    };
    work.on_text = [this](std::string_view text) {
        on_stream_text(text);
    };
    return work;
}

stage_result request_executor::run_attempt(const start_attempt& action)
{
    // A stream must resume at the end of the text received so far; another
    // offset would lose or repeat text.
    const auto work     = make_work(action);
    const bool streamed = work.stage->kind == stage_kind::generate;
    if (streamed && action.resume_offset != offset_) {
        stage_result mismatch;
        mismatch.attempt = {action.attempt, attempt_status::wrong_result,
                            offset_};
        return mismatch;
    }
    auto result = streamed ? call_engine(work) : caller_.call(work);
    if (!streamed && result.attempt.status == attempt_status::done) {
        output_ = std::move(result.output);
        if (action.stage + 1 == pipeline().stages.size())
            sink_.on_text(0, output_);
    }
    return result;
}

prompt_call request_executor::call_of(const stage_config& stage,
                                      std::string_view    target) const
{
    const auto& id = request_.request_id;
    return {config().pools[stage.pool.idx].name, target,
            request_.info.prefix_hash, XXH3_64bits(id.data(), id.size()),
            daemon_now()};
}

stage_result request_executor::call_engine(const stage_work& work)
{
    auto* const guard =
        request_.info.shares_prefix ? services_.prompts : nullptr;
    if (!guard)
        return caller_.call(work);
    const auto call = call_of(*work.stage, work.target->name);
    if (guard->refused(call)) {
        stage_result out;
        out.attempt = {work.start.attempt, attempt_status::not_run, offset_};
        out.detail  = "the prompt is in quarantine";
        return out;
    }
    unanswered_ = call;
    auto result = caller_.call(work);
    if (result.attempt.status == attempt_status::done)
        note_answered();
    else if (unanswered_ && result.connection_ended && !client_gone_)
        guard->broke_off(call);
    unanswered_.reset();
    return result;
}

void request_executor::note_answered()
{
    if (const auto call = std::exchange(unanswered_, std::nullopt))
        services_.prompts->answered(*call);
}

bool request_executor::refuse_quarantined()
{
    const auto& stages = pipeline().stages;
    const auto  engine =
        std::find_if(stages.begin(), stages.end(), [](const auto& it) {
            return it.kind == stage_kind::generate;
        });
    if (!services_.prompts || !request_.info.shares_prefix ||
        engine == stages.end())
        return false;
    const auto wait = services_.prompts->refused(call_of(*engine, ""));
    if (!wait)
        return false;
    services_.counts->reasons().add(refusal_reason::quarantined);
    trace_.reason    = refusal_reason::quarantined;
    trace_.result    = execution::not_run;
    outcome_.failure = refusal(refusal_reason::quarantined, *wait);
    outcome_.body    = problem_body(outcome_.failure, request_.request_id);
    outcome_.status =
        static_cast<std::uint32_t>(problem_status(outcome_.failure));
    return true;
}

void request_executor::on_stream_text(std::string_view text)
{
    note_answered();
    const auto offset = offset_;
    output_.append(text);
    offset_ += count_code_points(text);
    if (stage_ + 1 == pipeline().stages.size())
        sink_.on_text(offset, text);
}

void request_executor::record_attempt(const start_attempt& action,
                                      const stage_result&  result,
                                      time_point           started)
{
    const auto& stage  = pipeline().stages[action.stage];
    const auto& target = config().targets[action.target.idx].name;
    const auto  now    = daemon_now();
    const auto  name   = to_string(result.attempt.status);
    auto&       state  = stages_[action.stage];
    state.target       = target;
    state.cost += cost_of(stage, result);
    ++state.attempts;
    services_.counts->count_attempt(pipeline().name, stage.name, name,
                                    now - started);
    if (result.attempt.status == attempt_status::wrong_result)
        services_.counts->count_wrong_result();
    if (result.attempt.status != attempt_status::done)
        failure_detail_ = "stage " + stage.name + ": " + std::string(name);
    trace_.attempts.push_back(
        {action.attempt, stage.name, target, started - request_.arrival,
         now - request_.arrival, std::string(name), result.detail});
}

void request_executor::perform(const obtain_claim&)
{
    const auto& account = config().accounts[request_.info.account.idx].name;
    claim_ =
        services_.claims->obtain(account, request_.key, request_.body_hash);
    trace_.claim = name_of(claim_.outcome);
    queue_actions(run_.on_claim(claim_.outcome, daemon_now()));
}

void request_executor::perform(const release_claim&)
{
    services_.claims->release(claim_.claim);
}

void request_executor::perform(const cancel_attempt&)
{
    caller_.cancel();
}

void request_executor::perform(const wait_until& action)
{
    if (!abandoned())
        waiter_->wait_until(action.at);
    if (!abandoned())
        queue_actions(run_.on_wake(daemon_now()));
    else
        // Keeps the loop of execute() running, which replaces this action by
        // those of on_client_gone.
        actions_.push_back(finish{});
}

// pipeline_run reports not_run if no non-idempotent stage ran. The caller gets
// not_run only if no stage ran at all.
void request_executor::perform(const finish& action)
{
    trace_.reason = action.reason;
    trace_.result = action.result;
    if (action.result == execution::not_run && any_stage_ran_)
        trace_.result = execution::failed;
    const bool claimed = !trace_.claim.empty();
    if (claimed && claim_.outcome == claim_outcome::taken_done) {
        outcome_ = {claim_.answer.status == 200,
                    {},
                    claim_.answer.status,
                    claim_.answer.body,
                    true};
        return;
    }
    outcome_.complete = action.result == execution::done;
    outcome_.failure  = {action.reason, trace_.result, action.retry_after,
                         failure_detail_};
    if (outcome_.complete)
        outcome_.body = summary();
    else
        outcome_.body = problem_body(outcome_.failure, request_.request_id);
    if (!outcome_.complete)
        outcome_.status =
            static_cast<std::uint32_t>(problem_status(outcome_.failure));
    if (claimed && claim_.outcome == claim_outcome::granted)
        record_response(outcome_, action.result == execution::failed);
}

std::string request_executor::summary() const
{
    json_memory  memory;
    json::array  stages(memory.get());
    json::object body(memory.get());
    for (std::size_t n = 0; n < stages_.size(); ++n)
        stages.push_back({{"name", pipeline().stages[n].name},
                          {"target", stages_[n].target},
                          {"attempts", stages_[n].attempts},
                          {"cost", stages_[n].cost}});
    body["request_id"] = request_.request_id;
    body["pipeline"]   = pipeline().name;
    body["output"]     = output_;
    body["stages"]     = std::move(stages);
    return json::serialize(body);
}

// An unknown result is not recorded, so that a retry with the same key is
// refused because the work may still be running.
void request_executor::record_response(const request_outcome& outcome,
                                       bool                   is_final_failure)
{
    if (trace_.result != execution::done && !is_final_failure)
        return;
    if (outcome.body.size() > limits::max_recorded_body)
        log(log_level::warning, "response too large to be recorded",
            {{"request_id", request_.request_id},
             {"bytes", outcome.body.size()}});
    else
        services_.claims->record(claim_.claim, {outcome.status, outcome.body});
}

void request_executor::record_end()
{
    const bool complete = outcome_.complete;
    const auto latency  = daemon_now() - request_.arrival;
    services_.counts->count_request(
        pipeline().name,
        outcome_.recorded ? "recorded" : to_string(trace_.result), latency);
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        if (stages_[n].attempts > 0)
            services_.counts->add_cost(pipeline().name,
                                       pipeline().stages[n].name,
                                       stages_[n].cost, !complete);
    }
    trace_.latency = latency;
    log(log_level::debug, "request ended",
        {{"request_id", trace_.request_id},
         {"pipeline", trace_.pipeline},
         {"execution", to_string(trace_.result)},
         {"reason", to_string(trace_.reason)},
         {"latency_us", latency.count()}});
    services_.explain->add(std::move(trace_));
}

} // namespace arbutusgate
