#include "arbutusgate/pipeline_run.hpp"

#include "policy_impl.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusgate {

namespace {

constexpr milliseconds retry_later = seconds{1};
// An idempotent call that takes this much longer than almost all others is
// taken for lost, so that time is left to repeat it.
constexpr auto lost_call_factor = 4;
constexpr auto lost_call_margin = milliseconds{50};
// A request waits for admission for at most half of the time that it can
// spare. The rest covers what the learned times do not show; requests that
// waited for all of it were often late and their cost wasted.
constexpr auto spared_share = 2;
// More waiting does not raise the throughput, but lets a backlog of requests
// with long deadlines hold up others after a burst.
constexpr microseconds longest_wait = seconds{2};
constexpr double       cost_weight  = 0.05; // of a new sample in a moving mean
// Refusing everything would teach no new times after a slow period.
constexpr microseconds probe_interval = seconds{1};

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
    case attempt_status::claim_lost:
    case attempt_status::done:
        break;
    }
    return retry_reason::wrong_result;
}

/// A run is admitted once to a pool, until its last stage there; counted for
/// each stage it would never find room where the limit is one.
bool last_in_pool(const pipeline_config& pipeline, std::size_t stage)
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
      config_(view_->config), order_(++shared.impl_->arrivals)
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
    if (adaptive()) {
        auto wait = admit(now);
        // The rest of a stream takes less than the stage.
        if (wait.empty() && !probe_ && offset_ == 0 &&
            info_.deadline - now < needed(stage_))
            wait = give_up(refusal_reason::deadline_unreachable, retry_later);
        if (wait.empty())
            wait = enter(now);
        if (!wait.empty())
            return wait;
    }
    if (!choose_target(now))
        return give_up(refusal_reason::no_target, no_target_retry(now));
    attempt_start_ = now;
    ++attempt_;
    if (!pipeline().stages[stage_].idempotent)
        sent_ = true;
    return {start_attempt{attempt_, stage_, target_, attempt_timeout(now),
                          offset_}};
}

bool pipeline_run::choose_target(time_point now)
{
    const auto&     pool = pool_of(stage_);
    std::lock_guard lock(pool.state->mutex);
    const auto&     config = config_->pools[pipeline().stages[stage_].pool.idx];
    const auto      n      = pool.state->routes.choose(
                  pool.targets,
                  {now, failed_.get(), config.prefix_affinity ? info_.prefix_hash : 0});
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
        return commit(now);
    waiter_           = std::make_unique<pool_waiter>();
    waiter_->run      = info_.run;
    waiter_->priority = pipeline().priority;
    waiter_->order    = order_;
    committed_.resize(pipeline().stages.size());
    if (info_.deadline - now < needed(0)) {
        auto&      last = view_->probes[info_.pipeline.idx];
        const auto due  = now - probe_interval;
        auto       seen = last.load();
        probe_ =
            seen <= due.time_since_epoch().count() &&
            last.compare_exchange_strong(seen, now.time_since_epoch().count());
        if (!probe_)
            return give_up(refusal_reason::deadline_unreachable, retry_later);
    }
    if (!pools_reachable(now))
        return give_up(refusal_reason::no_target, no_target_retry(now));
    // Without time to spare it is admitted only where nothing waits.
    const auto spared = info_.deadline - now - needed_high();
    latest_ =
        now + std::clamp(spared / spared_share, microseconds{0}, longest_wait);
    return commit(now);
}

bool pipeline_run::pools_reachable(time_point now) const
{
    for (std::size_t n = 0; n < pipeline().stages.size(); ++n) {
        // A pool is asked once, as it counts probes.
        if (!last_in_pool(pipeline(), n))
            continue;
        const auto&     pool = pool_of(n);
        std::lock_guard lock(pool.state->mutex);
        if (!pool.state->routes.admits(pool.targets, now))
            return false;
        // Targets may be usable again since the last attempt ended.
        const auto& config = config_->pools[pipeline().stages[n].pool.idx];
        policy_.impl_->update_share(pool, config.slots_per_target, now);
    }
    return true;
}

/// When all targets of a pool asked for no work, the time until the first one
/// wants some.
milliseconds pipeline_run::no_target_retry(time_point now) const
{
    milliseconds out{retry_later};
    for (std::size_t n = 0; n < pipeline().stages.size(); ++n) {
        const auto&     pool = pool_of(n);
        std::lock_guard lock(pool.state->mutex);
        out = std::max(out, std::chrono::ceil<milliseconds>(
                                router::closed_for(pool.targets, now)));
    }
    return out;
}

run_actions pipeline_run::commit(time_point now)
{
    // A grant has counted the run in the pool that it waited for.
    for (std::size_t n = 0; waits_at_ && n < committed_.size(); ++n) {
        if (&pool_of(n) == waits_at_ && last_in_pool(pipeline(), n)) {
            committed_[n] = true;
            waits_at_     = nullptr;
        }
    }
    waiter_->granted = false;
    for (std::size_t n = 0; n < committed_.size(); ++n) {
        if (committed_[n] || !last_in_pool(pipeline(), n))
            continue;
        const auto&  pool = pool_of(n);
        microseconds wait{0};
        waiter_->upstream = needed(0, n);
        {
            std::lock_guard lock(pool.state->mutex);
            auto&           admission = pool.state->admission;
            if (const auto* account = account_of())
                waiter_->over = pool.state->shares.over(account->name,
                                                        account->weight, now);
            committed_[n] = admission.try_commit(*waiter_);
            if (!committed_[n])
                wait = admission.expected_wait(*waiter_);
        }
        if (committed_[n])
            continue;
        for (std::size_t back = 0; back < committed_.size(); ++back)
            uncommit(back);
        if (now + wait > latest_)
            return give_up(
                waiter_->over ? refusal_reason::account_over_share
                              : refusal_reason::overloaded,
                std::max(retry_later, std::chrono::ceil<milliseconds>(wait)));
        return queue_at(pool, latest_);
    }
    waiter_.reset();
    admitted_ = true;
    charge();
    return {};
}

const account_config* pipeline_run::account_of() const
{
    const auto n = info_.account.idx;
    return n < config_->accounts.size() ? &config_->accounts[n] : nullptr;
}

void pipeline_run::charge()
{
    const auto* account = account_of();
    const auto& costs   = view_->stages[info_.pipeline.idx];
    for (std::size_t n = 0; account && n < costs.size(); ++n) {
        const auto&     pool = pool_of(n);
        std::lock_guard lock(pool.state->mutex);
        pool.state->shares.charge(account->name, costs[n]->cost);
    }
}

run_actions pipeline_run::enter(time_point now)
{
    if (entered_)
        return {};
    if (!waiter_) {
        waiter_           = std::make_unique<pool_waiter>();
        waiter_->run      = info_.run;
        waiter_->priority = pipeline().priority;
        waiter_->order    = order_;
        waiter_->entry    = false;
        waiter_->latest   = std::max(now, info_.deadline - needed(stage_));
        const auto& pool  = pool_of(stage_);
        bool        room  = false;
        {
            std::lock_guard lock(pool.state->mutex);
            room = pool.state->admission.try_enter(*waiter_);
        }
        if (!room)
            return queue_at(pool, waiter_->latest);
    }
    waits_at_ = nullptr;
    waiter_.reset();
    entered_ = true;
    return {};
}

run_actions pipeline_run::queue_at(const pool_view& pool, time_point latest)
{
    std::lock_guard lock(pool.state->mutex);
    waits_at_ = &pool;
    latest_   = latest;
    pool.state->admission.enqueue(*waiter_);
    return {wait_until{latest}};
}

void pipeline_run::stop_waiting()
{
    if (!waits_at_)
        return;
    ready_runs ready;
    {
        std::lock_guard lock(waits_at_->state->mutex);
        waits_at_->state->admission.remove(*waiter_, ready);
    }
    waits_at_ = nullptr;
    policy_.impl_->notify(ready);
}

void pipeline_run::uncommit(std::size_t stage)
{
    if (stage >= committed_.size() || !committed_[stage])
        return;
    committed_[stage] = false;
    ready_runs  ready;
    const auto& pool = pool_of(stage);
    {
        std::lock_guard lock(pool.state->mutex);
        pool.state->admission.uncommit(ready);
    }
    policy_.impl_->notify(ready);
}

void pipeline_run::leave_target()
{
    ready_runs ready;
    if (route_ || entered_) {
        const auto&     pool = pool_of(stage_);
        std::lock_guard lock(pool.state->mutex);
        if (route_)
            router::release(*route_);
        if (entered_)
            pool.state->admission.leave(ready);
    }
    route_.reset();
    entered_ = false;
    policy_.impl_->notify(ready);
}

void pipeline_run::release_all()
{
    leave_target();
    stop_waiting();
    for (std::size_t n = 0; n < committed_.size(); ++n)
        uncommit(n);
}

microseconds pipeline_run::needed(std::size_t from, std::size_t to) const
{
    const auto&  times = view_->stages[info_.pipeline.idx];
    microseconds sum{0};
    for (auto n = from; n < to; ++n)
        sum += times[n]->time.median();
    return sum;
}

microseconds pipeline_run::needed(std::size_t from) const
{
    return needed(from, pipeline().stages.size());
}

microseconds pipeline_run::needed_high() const
{
    // The stages' deviations are independent, so their squares add up.
    double square = 0;
    for (const auto& it : view_->stages[info_.pipeline.idx]) {
        const auto over =
            static_cast<double>((it->time.high() - it->time.median()).count());
        square += over * over;
    }
    return needed(0) +
           microseconds{static_cast<std::int64_t>(std::sqrt(square))};
}

milliseconds pipeline_run::attempt_timeout(time_point now)
{
    auto left = info_.deadline - now;
    may_move_ = false;
    if (adaptive()) {
        left -= needed(stage_ + 1);
        const auto& stage = pipeline().stages[stage_];
        const auto& times = view_->stages[info_.pipeline.idx][stage_]->time;
        if (stage.idempotent && stage.kind != stage_kind::generate) {
            left = std::min<microseconds>(
                left, times.high() * lost_call_factor + lost_call_margin);
        }
        else if (stage.idempotent && route_->probing && retries_ == 0 &&
                 pipeline().retries > 0)
        {
            // A stream that probes a suspect target goes on elsewhere while
            // there is time. For all streams this cost other work: at 2x
            // load 2 to 4% of the cost, and long streams were cut needlessly.
            may_move_ = times.high() < left;
            left      = std::min(left, times.high());
        }
    }
    return std::max(milliseconds{1},
                    std::chrono::duration_cast<milliseconds>(left));
}

double pipeline_run::slowness(const attempt_result& result,
                              microseconds          elapsed)
{
    auto& learned = *view_->stages[info_.pipeline.idx][stage_];
    if (pipeline().stages[stage_].kind != stage_kind::generate)
        return static_cast<double>(elapsed.count()) /
               static_cast<double>(learned.time.median().count());
    // The time of a token says more than that of the whole stream, whose
    // length varies.
    const auto usual = learned.token_time.median();
    if (result.tokens == 0)
        return 0;
    const auto token = std::max(microseconds{1}, elapsed / result.tokens);
    learned.token_time.add(token);
    if (usual == microseconds{0})
        return 0;
    const auto pace =
        static_cast<double>(token.count()) / static_cast<double>(usual.count());
    // Of a few tokens, most of the time is queueing and prefill.
    return elapsed < learned.time.median() ? std::min(1.0, pace) : pace;
}

double pipeline_run::learn_cost(const attempt_result& result)
{
    const auto& stage = pipeline().stages[stage_];
    if (stage.kind != stage_kind::generate)
        return stage.cost;
    const auto cost = stage.cost * result.tokens / 1000;
    auto&      mean = view_->stages[info_.pipeline.idx][stage_]->cost;
    mean            = mean + (cost - mean) * cost_weight;
    return cost;
}

void pipeline_run::learn(const attempt_result& result, time_point now)
{
    const auto& stage   = pipeline().stages[stage_];
    const auto  elapsed = now - attempt_start_;
    auto&       times   = view_->stages[info_.pipeline.idx][stage_]->time;
    const bool  done    = result.status == attempt_status::done;
    const bool  late    = result.status == attempt_status::timeout;
    const bool  moves   = late && may_move_;
    const auto  slower  = done || late ? slowness(result, elapsed) : 0;
    bool        slow    = false;
    ready_runs  ready;
    {
        const auto&     pool  = pool_of(stage_);
        auto&           state = *pool.state;
        std::lock_guard lock(state.mutex);
        // A stream that advanced shows by its pace whether its target fails.
        state.routes.on_result(pool.targets, *route_,
                               moves && slower > 0 ? attempt_status::done
                                                   : result.status,
                               now, slower);
        slow = route_->slow;
        if (result.status == attempt_status::not_run)
            state.routes.on_refusal(*route_, result.retry_after, now);
        if (done)
            state.retries.on_success();
        policy_.impl_->update_share(
            pool, config_->pools[stage.pool.idx].slots_per_target, now);
        // A slow target says nothing about the pool's load.
        if (!slow && (done || late || result.status == attempt_status::not_run))
        {
            auto signal = load_signal::free;
            if (!done && !moves)
                signal = load_signal::refused;
            else if (router::full(pool.targets, now) ||
                     elapsed > times.high() * 2)
                signal = load_signal::queued;
            state.admission.on_result(signal, elapsed, now, ready);
            if (done)
                state.mean_cost += (learn_cost(result) - state.mean_cost) *
                                   (state.mean_cost > 0 ? cost_weight : 1);
            state.shares.set_rate(state.admission.rate() * state.mean_cost);
        }
    }
    policy_.impl_->notify(ready);
    // A time-out is a lower bound of the time; without it a stage that became
    // slow would be cut off for ever.
    if ((done || late) && !slow && offset_ == 0)
        times.add(elapsed);
}

run_actions pipeline_run::on_attempt(const attempt_result& result,
                                     time_point            now)
{
    if (finished_ || !route_ || result.attempt != attempt_)
        return {};
    if (result.status == attempt_status::claim_lost) {
        leave_target();
        sent_ = false;
        return end(execution::not_run, refusal_reason::claim_unavailable,
                   retry_later);
    }
    learn(result, now);
    const auto used = route_;
    leave_target();
    if (result.status != attempt_status::done) {
        failed_ = used;
        return retry(result, now);
    }
    uncommit(stage_);
    ++stage_;
    offset_ = 0;
    failed_.reset();
    return step(now);
}

bool pipeline_run::take_retry(attempt_status status)
{
    if (retries_ >= pipeline().retries)
        return false;
    ++retries_;
    // An attempt that did not reach its target added no load to the pool.
    if (!adaptive() || status == attempt_status::connect_failed)
        return true;
    const auto&     pool = pool_of(stage_);
    std::lock_guard lock(pool.state->mutex);
    // A stream that was cut off in order to move is not given up for lack of
    // budget.
    return pool.state->retries.take() ||
           (status == attempt_status::timeout && may_move_);
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
    if (!take_retry(result.status))
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
    if (finished_ || !waits_at_)
        return {};
    bool granted = false;
    {
        std::lock_guard lock(waits_at_->state->mutex);
        granted = waiter_->granted;
    }
    if (granted)
        return step(now);
    if (now < latest_)
        return {wait_until{latest_}};
    return give_up(waiter_->over ? refusal_reason::account_over_share
                                 : refusal_reason::overloaded,
                   retry_later);
}

run_actions pipeline_run::on_client_gone(time_point)
{
    if (finished_)
        return {};
    run_actions actions;
    if (route_)
        actions.push_back(cancel_attempt{attempt_});
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
    release_all();
    if (reason != refusal_reason::none)
        policy_.impl_->counters->add(reason);
    run_actions actions;
    if (claimed_ && !sent_)
        actions.push_back(release_claim{});
    actions.push_back(finish{result, reason, retry_after});
    return actions;
}

} // namespace arbutusgate
