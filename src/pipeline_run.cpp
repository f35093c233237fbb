#include "arbutusgate/pipeline_run.hpp"

#include "policy_impl.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr milliseconds retry_later = seconds{1};

retry_reason reason_of(attempt_status status, bool resumes)
{
    switch (status) {
    case attempt_status::connect_failed:
        return retry_reason::connect_failed;
    case attempt_status::not_run:
        return retry_reason::target_not_run;
    case attempt_status::failed:
        return retry_reason::target_failed;
    case attempt_status::timeout:
        return retry_reason::timeout;
    case attempt_status::silent:
        return resumes ? retry_reason::stream_resume : retry_reason::silent;
    case attempt_status::wrong_result:
    case attempt_status::done:
        break;
    }
    return retry_reason::wrong_result;
}

} // namespace

pipeline_run::pipeline_run(policy& shared, const request_info& info, time_point)
    : policy_(shared), info_(info), view_(shared.impl_->current_view()),
      config_(view_->config)
{
}

pipeline_run::~pipeline_run()
{
    leave_target();
}

const pipeline_config& pipeline_run::pipeline() const
{
    return config_->pipelines[info_.pipeline.idx];
}

run_actions pipeline_run::start(time_point now)
{
    if (!pipeline().has_non_idempotent())
        return step(now);
    claimed_  = true;
    claiming_ = true;
    return {obtain_claim{}};
}

run_actions pipeline_run::on_claim(claim_outcome outcome, time_point now)
{
    if (finished_ || !claiming_)
        return {};
    claiming_ = false;
    claimed_  = outcome == claim_outcome::granted;
    switch (outcome) {
    case claim_outcome::granted:
        return step(now);
    case claim_outcome::taken_done:
        return end(execution::done, refusal_reason::none, {});
    case claim_outcome::taken_in_progress:
        return end(execution::unknown, refusal_reason::key_in_progress,
                   retry_later);
    case claim_outcome::reused:
        return end(execution::not_run, refusal_reason::key_reused, {});
    case claim_outcome::unavailable:
        break;
    }
    return end(execution::not_run, refusal_reason::claim_unavailable,
               retry_later);
}

run_actions pipeline_run::step(time_point now)
{
    if (stage_ == pipeline().stages.size())
        return end(execution::done, refusal_reason::none, {});
    if (now >= info_.deadline)
        return give_up(refusal_reason::deadline_exceeded, {});
    const auto& stage = pipeline().stages[stage_];
    const auto& pool  = view_->pools[stage.pool.idx];
    {
        std::lock_guard lock(pool.state->mutex);
        const auto      n =
            pool.state->routes.choose(pool.targets, {now, failed_.get()});
        if (n >= 0) {
            route_  = pool.targets[static_cast<std::size_t>(n)];
            target_ = config_->pools[stage.pool.idx]
                          .targets[static_cast<std::size_t>(n)];
            ++route_->in_flight;
        }
    }
    if (!route_)
        return give_up(refusal_reason::no_target, retry_later);
    attempt_start_ = now;
    ++attempt_;
    if (!stage.idempotent)
        sent_ = true;
    return {start_attempt{
        attempt_, stage_, target_,
        std::chrono::duration_cast<milliseconds>(info_.deadline - now),
        offset_}};
}

void pipeline_run::leave_target()
{
    if (!route_)
        return;
    const auto&     pool = view_->pools[pipeline().stages[stage_].pool.idx];
    std::lock_guard lock(pool.state->mutex);
    --route_->in_flight;
    route_.reset();
}

run_actions pipeline_run::on_attempt(const attempt_result& result,
                                     time_point            now)
{
    if (finished_ || !route_ || result.attempt != attempt_)
        return {};
    {
        const auto&     pool = view_->pools[pipeline().stages[stage_].pool.idx];
        std::lock_guard lock(pool.state->mutex);
        pool.state->routes.on_result(pool.targets, *route_, result.status, now);
        if (result.status == attempt_status::done)
            pool.state->retries.on_success();
    }
    const auto used = route_;
    leave_target();
    if (result.status != attempt_status::done) {
        failed_ = used;
        return retry(result, now);
    }
    ++stage_;
    offset_ = 0;
    failed_.reset();
    return step(now);
}

bool pipeline_run::take_retry()
{
    if (retries_ >= pipeline().retries)
        return false;
    ++retries_;
    if (policy_.impl_->init.strategy != policy_strategy::adaptive)
        return true;
    const auto&     pool = view_->pools[pipeline().stages[stage_].pool.idx];
    std::lock_guard lock(pool.state->mutex);
    return pool.state->retries.take();
}

run_actions pipeline_run::retry(const attempt_result& result, time_point now)
{
    const auto& stage   = pipeline().stages[stage_];
    const bool  not_run = result.status == attempt_status::connect_failed ||
                         result.status == attempt_status::not_run;
    if (!stage.idempotent) {
        if (!not_run)
            return end(result.status == attempt_status::failed
                           ? execution::failed
                           : execution::unknown,
                       refusal_reason::stage_failed, {});
        sent_ = false;
    }
    if (now >= info_.deadline)
        return give_up(refusal_reason::deadline_exceeded, {});
    if (!take_retry())
        return result.status == attempt_status::failed && !sent_ && !claimed_
                   ? end(execution::failed, refusal_reason::retry_exhausted,
                         retry_later)
                   : give_up(refusal_reason::retry_exhausted,
                             std::max(result.retry_after, retry_later));
    const bool streams = stage.kind == stage_kind::generate;
    if (streams)
        offset_ = std::max(offset_, result.stream_offset);
    policy_.impl_->counters->add(
        reason_of(result.status, streams && offset_ > 0));
    return step(now);
}

run_actions pipeline_run::on_wake(time_point now)
{
    return finished_ || claiming_ || route_ ? run_actions{} : step(now);
}

run_actions pipeline_run::on_client_gone(time_point)
{
    if (finished_)
        return {};
    run_actions actions;
    if (route_)
        actions.push_back(cancel_attempt{attempt_});
    leave_target();
    auto rest = give_up(refusal_reason::client_gone, {});
    actions.insert(actions.end(), rest.begin(), rest.end());
    return actions;
}

run_actions pipeline_run::give_up(refusal_reason reason,
                                  milliseconds   retry_after)
{
    return end(sent_ ? execution::unknown : execution::not_run, reason,
               retry_after);
}

run_actions pipeline_run::end(execution result, refusal_reason reason,
                              milliseconds retry_after)
{
    finished_ = true;
    if (reason != refusal_reason::none)
        policy_.impl_->counters->add(reason);
    run_actions actions;
    if (claimed_ && !sent_)
        actions.push_back(release_claim{});
    actions.push_back(finish{result, reason, retry_after});
    return actions;
}

} // namespace arbutusgate
