#include "arbutusgate/pipeline_run.hpp"

#include "policy_impl.hpp"

namespace arbutusgate {

pipeline_run::pipeline_run(policy& shared, const request_info& info, time_point)
    : policy_(shared), info_(info), config_(shared.current())
{
}

pipeline_run::~pipeline_run()
{
    if (running_)
        policy_.impl_->release(target_);
}

run_actions pipeline_run::start(time_point now)
{
    if (config_->pipelines[info_.pipeline.idx].has_non_idempotent())
        return {obtain_claim{}};
    return step(now);
}

run_actions pipeline_run::on_claim(claim_outcome outcome, time_point now)
{
    switch (outcome) {
    case claim_outcome::granted:
        claimed_ = true;
        return step(now);
    case claim_outcome::taken_done:
        return end(execution::done, refusal_reason::none, now, milliseconds{0});
    case claim_outcome::taken_in_progress:
        return end(execution::unknown, refusal_reason::key_in_progress, now,
                   seconds{1});
    case claim_outcome::reused:
        return end(execution::not_run, refusal_reason::key_reused, now,
                   milliseconds{0});
    case claim_outcome::unavailable:
        break;
    }
    return end(execution::not_run, refusal_reason::claim_unavailable, now,
               seconds{1});
}

run_actions pipeline_run::step(time_point now)
{
    const auto& pipeline = config_->pipelines[info_.pipeline.idx];
    if (stage_ == pipeline.stages.size())
        return end(execution::done, refusal_reason::none, now, milliseconds{0});
    if (now >= info_.deadline)
        return end(sent_ ? execution::unknown : execution::not_run,
                   refusal_reason::deadline_exceeded, now, milliseconds{0});
    const auto& stage = pipeline.stages[stage_];
    target_           = policy_.impl_->acquire(stage.pool, target_);
    if (!target_.valid())
        return end(sent_ ? execution::unknown : execution::not_run,
                   refusal_reason::no_target, now, seconds{1});
    running_       = true;
    attempt_start_ = now;
    ++attempt_;
    if (!stage.idempotent)
        sent_ = true;
    return {start_attempt{
        attempt_, stage_, target_,
        std::chrono::duration_cast<milliseconds>(info_.deadline - now),
        offset_}};
}

run_actions pipeline_run::on_attempt(const attempt_result& result,
                                     time_point            now)
{
    if (!running_ || result.attempt != attempt_)
        return {};
    running_ = false;
    policy_.impl_->release(target_);
    if (result.status != attempt_status::done)
        return retry(result.status, now, result.retry_after);
    ++stage_;
    offset_ = 0;
    target_ = {};
    return step(now);
}

run_actions pipeline_run::retry(attempt_status status, time_point now,
                                milliseconds retry_after)
{
    const auto& pipeline = config_->pipelines[info_.pipeline.idx];
    const bool  not_run  = status == attempt_status::connect_failed ||
                         status == attempt_status::not_run;
    const bool idempotent = pipeline.stages[stage_].idempotent;
    if (not_run && !idempotent)
        sent_ = false;
    if (!not_run && !idempotent)
        return end(execution::unknown, refusal_reason::stage_failed, now,
                   seconds{1});
    if (retries_ == pipeline.retries)
        return end(sent_ ? execution::unknown : execution::not_run,
                   refusal_reason::retry_exhausted, now, retry_after);
    ++retries_;
    policy_.impl_->counters->add(not_run ? retry_reason::target_not_run
                                         : retry_reason::target_failed);
    return step(now);
}

run_actions pipeline_run::on_wake(time_point now)
{
    return running_ ? run_actions{} : step(now);
}

run_actions pipeline_run::on_client_gone(time_point now)
{
    run_actions actions;
    if (running_)
        actions.push_back(cancel_attempt{attempt_});
    auto rest = end(sent_ ? execution::unknown : execution::not_run,
                    refusal_reason::client_gone, now, milliseconds{0});
    actions.insert(actions.end(), rest.begin(), rest.end());
    return actions;
}

run_actions pipeline_run::end(execution result, refusal_reason reason,
                              time_point, milliseconds         retry_after)
{
    finished_ = true;
    if (reason != refusal_reason::none)
        policy_.impl_->counters->add(reason);
    run_actions actions;
    if (claimed_ && result == execution::not_run)
        actions.push_back(release_claim{});
    actions.push_back(finish{result, reason, retry_after});
    return actions;
}

} // namespace arbutusgate
