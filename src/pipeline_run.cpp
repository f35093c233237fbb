#include "arbutusgate/pipeline_run.hpp"

#include "policy_impl.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusgate {

namespace {

constexpr milliseconds default_retry_after = seconds{1};
// An idempotent call is considered lost after this multiple of the 95th
// percentile of its stage plus the margin, so that time remains for a retry.
constexpr auto lost_call_factor = 4;
constexpr auto lost_call_margin = milliseconds{50};
// A request waits for admission for at most half of its slack. The other half
// covers delays that the learned times do not include; requests that waited for
// all of their slack were often late, and their cost was wasted.
constexpr auto slack_divisor = 2;
// A longer wait does not raise the throughput, but after a burst a backlog of
// requests with long deadlines would delay the others.
constexpr microseconds max_admission_wait = seconds{2};
constexpr double       cost_smoothing     = 0.05; // weight of a new sample
// While the learned times exceed the deadline, one request per interval is
// admitted as a probe: if all were refused after a slow period, no newer times
// would be learned.
constexpr microseconds probe_interval = seconds{1};

retry_reason retry_reason_of(attempt_status status, bool resumes)
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
    case attempt_status::claim_lost:
    case attempt_status::done:
        break;
    }
    return retry_reason::wrong_result;
}

/// A run counts once in each pool, until its last stage there has ended. If it
/// counted once per stage, a pool with a limit of one would never admit it.
bool is_last_stage_in_pool(const pipeline_config& pipeline, std::size_t stage)
{
    for (auto n = stage + 1; n < pipeline.stages.size(); ++n) {
        if (pipeline.stages[n].pool == pipeline.stages[stage].pool)
            return false;
    }
    return true;
}

} // namespace

pipeline_run::pipeline_run(policy& shared, const request_info& info, time_point)
    : policy_(shared), info_(info), view_(shared.impl_->current_view()),
      config_(view_->config), arrival_number_(++shared.impl_->arrival_count)
{
}

pipeline_run::~pipeline_run()
{
    release_all();
}

const pipeline_config& pipeline_run::pipeline() const
{
    return config_->pipelines[info_.pipeline.idx];
}

const pool_view& pipeline_run::pool_of(std::size_t stage) const
{
    return view_->pools[pipeline().stages[stage].pool.idx];
}

bool pipeline_run::adaptive() const
{
    return policy_.impl_->init.strategy == policy_strategy::adaptive;
}

run_actions pipeline_run::start(time_point now)
{
    if (!pipeline().has_non_idempotent())
        return advance(now);
    may_hold_claim_ = true;
    awaiting_claim_ = true;
    return {obtain_claim{}};
}

run_actions pipeline_run::on_claim(claim_outcome outcome, time_point now)
{
    if (finished_ || !awaiting_claim_)
        return {};
    awaiting_claim_ = false;
    may_hold_claim_ = outcome == claim_outcome::granted;
    switch (outcome) {
    case claim_outcome::granted:
        return advance(now);
    case claim_outcome::taken_done:
        return end(execution::done, refusal_reason::none, {});
    case claim_outcome::taken_in_progress:
        return end(execution::unknown, refusal_reason::key_in_progress,
                   default_retry_after);
    case claim_outcome::reused:
        return end(execution::not_run, refusal_reason::key_reused, {});
    case claim_outcome::unavailable:
        break;
    }
    return end(execution::not_run, refusal_reason::claim_unavailable,
               default_retry_after);
}

run_actions pipeline_run::advance(time_point now)
{
    if (stage_ == pipeline().stages.size())
        return end(execution::done, refusal_reason::none, {});
    if (now >= info_.deadline)
        return abandon(refusal_reason::deadline_exceeded, {});
    if (adaptive()) {
        auto actions = admit(now);
        // Resuming a stream takes less time than the whole stage, so it is not
        // checked against the stage's time.
        if (actions.empty() && !is_probe_ && stream_offset_ == 0 &&
            info_.deadline - now < expected_time(stage_))
            actions = abandon(refusal_reason::deadline_unreachable,
                              default_retry_after);
        if (actions.empty())
            actions = acquire_slot(now);
        if (!actions.empty())
            return actions;
    }
    if (!choose_target(now))
        return abandon(refusal_reason::no_target, no_target_retry_after(now));
    attempt_start_ = now;
    ++attempt_;
    if (!pipeline().stages[stage_].idempotent)
        may_have_run_ = true;
    return {start_attempt{attempt_, stage_, target_, attempt_timeout(now),
                          stream_offset_}};
}

bool pipeline_run::choose_target(time_point now)
{
    const auto&     pool = pool_of(stage_);
    std::lock_guard lock(pool.state->mutex);
    const auto&     config = config_->pools[pipeline().stages[stage_].pool.idx];
    const auto      n      = pool.state->routes.choose(
                  pool.targets, {now, failed_target_.get(),
                       config.prefix_affinity ? info_.prefix_hash : 0});
    if (n < 0)
        return false;
    route_  = pool.targets[static_cast<std::size_t>(n)];
    target_ = config.targets[static_cast<std::size_t>(n)];
    return true;
}

run_actions pipeline_run::admit(time_point now)
{
    if (admitted_)
        return {};
    if (waiter_)
        return admit_to_pools(now);
    waiter_                 = std::make_unique<pool_waiter>();
    waiter_->run            = info_.run;
    waiter_->priority       = pipeline().priority;
    waiter_->arrival_number = arrival_number_;
    pool_admissions_.resize(pipeline().stages.size());
    if (info_.deadline - now < expected_time(0)) {
        auto&      last = view_->last_probes[info_.pipeline.idx];
        const auto due  = now - probe_interval;
        auto       seen = last.load();
        is_probe_ =
            seen <= due.time_since_epoch().count() &&
            last.compare_exchange_strong(seen, now.time_since_epoch().count());
        if (!is_probe_)
            return abandon(refusal_reason::deadline_unreachable,
                           default_retry_after);
    }
    if (!pools_reachable(now))
        return abandon(refusal_reason::no_target, no_target_retry_after(now));
    // Without slack, the request is admitted only if it need not wait.
    const auto slack = info_.deadline - now - expected_time_high();
    wait_deadline_   = now + std::clamp(slack / slack_divisor, microseconds{0},
                                        max_admission_wait);
    return admit_to_pools(now);
}

bool pipeline_run::pools_reachable(time_point now) const
{
    for (std::size_t n = 0; n < pipeline().stages.size(); ++n) {
        // Check each pool once, as the router counts each check as a probe.
        if (!is_last_stage_in_pool(pipeline(), n))
            continue;
        const auto&     pool = pool_of(n);
        std::lock_guard lock(pool.state->mutex);
        if (!pool.state->routes.admits_request(pool.targets, now))
            return false;
        // Targets may have become usable since the last attempt ended.
        const auto& config = config_->pools[pipeline().stages[n].pool.idx];
        policy_.impl_->update_share(pool, config.slots_per_target, now);
    }
    return true;
}

/// \return the time until every pool has a target that accepts work again, at
/// least the default.
milliseconds pipeline_run::no_target_retry_after(time_point now) const
{
    milliseconds out{default_retry_after};
    for (std::size_t n = 0; n < pipeline().stages.size(); ++n) {
        const auto&     pool = pool_of(n);
        std::lock_guard lock(pool.state->mutex);
        out = std::max(out, std::chrono::ceil<milliseconds>(
                                router::closed_for(pool.targets, now)));
    }
    return out;
}

run_actions pipeline_run::admit_to_pools(time_point now)
{
    // A granted run already counts as admitted to the pool that it waited for.
    for (std::size_t n = 0; awaited_pool_ && n < pool_admissions_.size(); ++n) {
        if (&pool_of(n) == awaited_pool_ &&
            is_last_stage_in_pool(pipeline(), n)) {
            pool_admissions_[n] = true;
            awaited_pool_       = nullptr;
        }
    }
    waiter_->granted = false;
    for (std::size_t n = 0; n < pool_admissions_.size(); ++n) {
        if (pool_admissions_[n] || !is_last_stage_in_pool(pipeline(), n))
            continue;
        const auto&  pool = pool_of(n);
        microseconds wait{0};
        waiter_->upstream = expected_time(0, n);
        {
            std::lock_guard lock(pool.state->mutex);
            auto&           admission = pool.state->admission;
            if (const auto* account = account_of())
                waiter_->over_share = pool.state->shares.over_share(
                    account->name, account->weight, now);
            pool_admissions_[n] = admission.try_admit(*waiter_);
            if (!pool_admissions_[n])
                wait = admission.expected_wait(*waiter_);
        }
        if (pool_admissions_[n])
            continue;
        for (std::size_t admitted = 0; admitted < pool_admissions_.size();
             ++admitted)
            release_admission(admitted);
        if (now + wait > wait_deadline_)
            return abandon(waiter_->over_share
                               ? refusal_reason::account_over_share
                               : refusal_reason::overloaded,
                           std::max(default_retry_after,
                                    std::chrono::ceil<milliseconds>(wait)));
        return wait_for_pool(pool, wait_deadline_);
    }
    waiter_.reset();
    admitted_ = true;
    charge_account();
    return {};
}

const account_config* pipeline_run::account_of() const
{
    const auto n = info_.account.idx;
    return n < config_->accounts.size() ? &config_->accounts[n] : nullptr;
}

void pipeline_run::charge_account()
{
    const auto* account = account_of();
    const auto& costs   = view_->stages[info_.pipeline.idx];
    for (std::size_t n = 0; account && n < costs.size(); ++n) {
        const auto&     pool = pool_of(n);
        std::lock_guard lock(pool.state->mutex);
        pool.state->shares.charge(account->name, costs[n]->cost);
    }
}

run_actions pipeline_run::acquire_slot(time_point now)
{
    if (holds_slot_)
        return {};
    if (!waiter_) {
        waiter_                 = std::make_unique<pool_waiter>();
        waiter_->run            = info_.run;
        waiter_->priority       = pipeline().priority;
        waiter_->arrival_number = arrival_number_;
        waiter_->for_admission  = false;
        waiter_->wait_deadline =
            std::max(now, info_.deadline - expected_time(stage_));
        const auto& pool     = pool_of(stage_);
        bool        acquired = false;
        {
            std::lock_guard lock(pool.state->mutex);
            acquired = pool.state->admission.try_acquire_slot(*waiter_);
        }
        if (!acquired)
            return wait_for_pool(pool, waiter_->wait_deadline);
    }
    awaited_pool_ = nullptr;
    waiter_.reset();
    holds_slot_ = true;
    return {};
}

run_actions pipeline_run::wait_for_pool(const pool_view& pool,
                                        time_point       wait_deadline)
{
    std::lock_guard lock(pool.state->mutex);
    awaited_pool_  = &pool;
    wait_deadline_ = wait_deadline;
    pool.state->admission.enqueue(*waiter_);
    return {wait_until{wait_deadline}};
}

void pipeline_run::cancel_wait()
{
    if (!awaited_pool_)
        return;
    ready_runs ready;
    {
        std::lock_guard lock(awaited_pool_->state->mutex);
        awaited_pool_->state->admission.remove(*waiter_, ready);
    }
    awaited_pool_ = nullptr;
    policy_.impl_->notify(ready);
}

void pipeline_run::release_admission(std::size_t stage)
{
    if (stage >= pool_admissions_.size() || !pool_admissions_[stage])
        return;
    pool_admissions_[stage] = false;
    ready_runs  ready;
    const auto& pool = pool_of(stage);
    {
        std::lock_guard lock(pool.state->mutex);
        pool.state->admission.release_admission(ready);
    }
    policy_.impl_->notify(ready);
}

void pipeline_run::release_target()
{
    ready_runs ready;
    if (route_ || holds_slot_) {
        const auto&     pool = pool_of(stage_);
        std::lock_guard lock(pool.state->mutex);
        if (route_)
            router::release(*route_);
        if (holds_slot_)
            pool.state->admission.release_slot(ready);
    }
    route_.reset();
    holds_slot_ = false;
    policy_.impl_->notify(ready);
}

void pipeline_run::release_all()
{
    release_target();
    cancel_wait();
    for (std::size_t n = 0; n < pool_admissions_.size(); ++n)
        release_admission(n);
}

microseconds pipeline_run::expected_time(std::size_t from, std::size_t to) const
{
    const auto&  times = view_->stages[info_.pipeline.idx];
    microseconds sum{0};
    for (auto n = from; n < to; ++n)
        sum += times[n]->time.median();
    return sum;
}

microseconds pipeline_run::expected_time(std::size_t from) const
{
    return expected_time(from, pipeline().stages.size());
}

microseconds pipeline_run::expected_time_high() const
{
    // The deviations of the stages are taken as independent, so their squares
    // add up.
    double sum_of_squares = 0;
    for (const auto& it : view_->stages[info_.pipeline.idx]) {
        const auto deviation =
            static_cast<double>((it->time.high() - it->time.median()).count());
        sum_of_squares += deviation * deviation;
    }
    return expected_time(0) +
           microseconds{static_cast<std::int64_t>(std::sqrt(sum_of_squares))};
}

milliseconds pipeline_run::attempt_timeout(time_point now)
{
    auto remaining = info_.deadline - now;
    early_timeout_ = false;
    if (adaptive()) {
        remaining -= expected_time(stage_ + 1);
        const auto& stage = pipeline().stages[stage_];
        const auto& times = view_->stages[info_.pipeline.idx][stage_]->time;
        if (stage.idempotent && stage.kind != stage_kind::generate) {
            remaining = std::min<microseconds>(
                remaining, times.high() * lost_call_factor + lost_call_margin);
        }
        else if (stage.idempotent && route_->probing && retries_ == 0 &&
                 pipeline().retries > 0)
        {
            // Only a stream that probes a suspect target gets a short timeout,
            // so that it can resume elsewhere in time. When all streams had
            // one, the cost rose by 2 to 4% at 2x load, and long streams were
            // cut off needlessly.
            early_timeout_ = times.high() < remaining;
            remaining      = std::min(remaining, times.high());
        }
    }
    return std::max(milliseconds{1},
                    std::chrono::duration_cast<milliseconds>(remaining));
}

double pipeline_run::slowness(const attempt_result& result,
                              microseconds          elapsed)
{
    auto& learned = *view_->stages[info_.pipeline.idx][stage_];
    if (pipeline().stages[stage_].kind != stage_kind::generate)
        return static_cast<double>(elapsed.count()) /
               static_cast<double>(learned.time.median().count());
    // Compare the time per token, as the length of streams varies.
    const auto usual_time = learned.token_time.median();
    if (result.tokens == 0)
        return 0;
    const auto token = std::max(microseconds{1}, elapsed / result.tokens);
    learned.token_time.add(token);
    if (usual_time == microseconds{0})
        return 0;
    const auto slowdown = static_cast<double>(token.count()) /
                          static_cast<double>(usual_time.count());
    // With few tokens, queueing and prefill dominate the time, so a short
    // attempt does not count as slow.
    return elapsed < learned.time.median() ? std::min(1.0, slowdown) : slowdown;
}

double pipeline_run::update_cost(const attempt_result& result)
{
    const auto& stage = pipeline().stages[stage_];
    if (stage.kind != stage_kind::generate)
        return stage.cost;
    const auto cost = stage.cost * result.tokens / 1000;
    auto&      mean = view_->stages[info_.pipeline.idx][stage_]->cost;
    mean            = mean + (cost - mean) * cost_smoothing;
    return cost;
}

void pipeline_run::record_result(const attempt_result& result, time_point now)
{
    const auto& stage     = pipeline().stages[stage_];
    const auto  elapsed   = now - attempt_start_;
    auto&       times     = view_->stages[info_.pipeline.idx][stage_]->time;
    const bool  done      = result.status == attempt_status::done;
    const bool  timed_out = result.status == attempt_status::timeout;
    const bool  cut_early = timed_out && early_timeout_;
    const auto  measured_slowness =
        done || timed_out ? slowness(result, elapsed) : 0;
    bool       slow = false;
    ready_runs ready;
    {
        const auto&     pool  = pool_of(stage_);
        auto&           state = *pool.state;
        std::lock_guard lock(state.mutex);
        // A stream that was cut early but sent tokens is no failure: its
        // slowness shows whether the target is slow.
        state.routes.on_result(pool.targets, *route_,
                               cut_early && measured_slowness > 0
                                   ? attempt_status::done
                                   : result.status,
                               now, measured_slowness);
        slow = route_->slow;
        if (result.status == attempt_status::not_run)
            state.routes.on_refusal(*route_, result.retry_after, now);
        if (done)
            state.retries.on_success();
        policy_.impl_->update_share(
            pool, config_->pools[stage.pool.idx].slots_per_target, now);
        // Results of a slow target do not reflect the load of the pool.
        if (!slow &&
            (done || timed_out || result.status == attempt_status::not_run)) {
            auto signal = load_signal::free;
            if (!done && !cut_early)
                signal = load_signal::refused;
            else if (router::is_full(pool.targets, now) ||
                     elapsed > times.high() * 2)
                signal = load_signal::queued;
            state.admission.on_result(signal, elapsed, now, ready);
            if (done)
                state.mean_cost += (update_cost(result) - state.mean_cost) *
                                   (state.mean_cost > 0 ? cost_smoothing : 1);
            state.shares.set_rate(state.admission.rate() * state.mean_cost);
        }
    }
    policy_.impl_->notify(ready);
    // A timeout is a lower bound of the stage's time. If timeouts were left
    // out, the learned time of a stage that became slow would never grow, and
    // all its calls would time out.
    if ((done || timed_out) && !slow && stream_offset_ == 0)
        times.add(elapsed);
}

run_actions pipeline_run::on_attempt(const attempt_result& result,
                                     time_point            now)
{
    if (finished_ || !route_ || result.attempt != attempt_)
        return {};
    if (result.status == attempt_status::claim_lost) {
        release_target();
        may_have_run_ = false;
        return end(execution::not_run, refusal_reason::claim_unavailable,
                   default_retry_after);
    }
    record_result(result, now);
    const auto target = route_;
    release_target();
    if (result.status != attempt_status::done) {
        failed_target_ = target;
        return retry(result, now);
    }
    release_admission(stage_);
    ++stage_;
    stream_offset_ = 0;
    failed_target_.reset();
    return advance(now);
}

bool pipeline_run::take_retry(attempt_status status)
{
    if (retries_ >= pipeline().retries)
        return false;
    ++retries_;
    // A failed connection added no load, so it does not use the pool's budget.
    if (!adaptive() || status == attempt_status::connect_failed)
        return true;
    const auto&     pool = pool_of(stage_);
    std::lock_guard lock(pool.state->mutex);
    // A stream that was cut early to resume elsewhere continues even if the
    // budget is spent.
    return pool.state->retries.take() ||
           (status == attempt_status::timeout && early_timeout_);
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
        may_have_run_ = false;
    }
    if (now >= info_.deadline)
        return abandon(refusal_reason::deadline_exceeded, {});
    if (!take_retry(result.status))
        return result.status == attempt_status::failed && !may_have_run_ &&
                       !may_hold_claim_
                   ? end(execution::failed, refusal_reason::retry_exhausted,
                         default_retry_after)
                   : abandon(refusal_reason::retry_exhausted,
                             std::max(result.retry_after, default_retry_after));
    const bool streams = stage.kind == stage_kind::generate;
    if (streams)
        stream_offset_ = std::max(stream_offset_, result.stream_offset);
    policy_.impl_->counters->add(
        retry_reason_of(result.status, streams && stream_offset_ > 0));
    return advance(now);
}

run_actions pipeline_run::on_wake(time_point now)
{
    if (finished_ || !awaited_pool_)
        return {};
    bool granted = false;
    {
        std::lock_guard lock(awaited_pool_->state->mutex);
        granted = waiter_->granted;
    }
    if (granted)
        return advance(now);
    if (now < wait_deadline_)
        return {wait_until{wait_deadline_}};
    return abandon(waiter_->over_share ? refusal_reason::account_over_share
                                       : refusal_reason::overloaded,
                   default_retry_after);
}

run_actions pipeline_run::on_client_gone(time_point)
{
    if (finished_)
        return {};
    run_actions actions;
    if (route_)
        actions.push_back(cancel_attempt{attempt_});
    auto rest = abandon(refusal_reason::client_gone, {});
    actions.insert(actions.end(), rest.begin(), rest.end());
    return actions;
}

run_actions pipeline_run::abandon(refusal_reason reason,
                                  milliseconds   retry_after)
{
    return end(may_have_run_ ? execution::unknown : execution::not_run, reason,
               retry_after);
}

run_actions pipeline_run::end(execution result, refusal_reason reason,
                              milliseconds retry_after)
{
    finished_ = true;
    release_all();
    if (reason != refusal_reason::none)
        policy_.impl_->counters->add(reason);
    run_actions actions;
    if (may_hold_claim_ && !may_have_run_)
        actions.push_back(release_claim{});
    actions.push_back(finish{result, reason, retry_after});
    return actions;
}

} // namespace arbutusgate
