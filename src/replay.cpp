#include "replay.hpp"

#include "absl/strings/str_cat.h"
#include "reason_counters.hpp"
#include "replay_target.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace arbutusgate {

namespace {

constexpr auto same_domain_latency = microseconds{100};
constexpr auto connect_timeout     = milliseconds{500};
constexpr auto stall_timeout       = seconds{1}; ///< Time without a chunk.
constexpr auto claim_time          = milliseconds{2};
constexpr auto report_interval     = milliseconds{200};
constexpr auto poll_interval       = seconds{1};
/// Shortest time between the notice and the stop of a target.
constexpr auto min_leaving_time  = seconds{10};
constexpr auto replace_time      = seconds{3};
constexpr auto max_tokens_factor = 2.5; ///< Multiple of the mean.

time_point at_second(double it)
{
    return time_point{} + microseconds{static_cast<std::int64_t>(it * 1e6)};
}

microseconds from_ms(double it)
{
    return microseconds{static_cast<std::int64_t>(it * 1000)};
}

struct event
{
    time_point            at;
    std::uint64_t         order = 0;
    std::function<void()> run;

    bool operator<(const event& other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

struct request
{
    request_info                  info;
    replay_record                 record;
    std::uint64_t                 seed   = 0;
    std::size_t                   daemon = 0;
    std::unique_ptr<pipeline_run> run;
    std::vector<double>           cost, useful; ///< Index: stage.
    std::vector<std::uint32_t>    attempts, runs;
    bool                          ended = false;
};

struct open_call
{
    std::size_t   request = 0;
    start_attempt action;
    bool          at_target = false;
    bool          connected = false;
    double        streamed  = 0; ///< Tokens received from a lost target.
};

struct sim_daemon
{
    std::string                      domain;
    bool                             alive = true;
    std::unique_ptr<reason_counters> counters;
    std::unique_ptr<policy>          routing_policy;
};

struct sim_target
{
    replay_target model;
    /// Number of the latest scheduled completion event; earlier ones are void.
    std::uint64_t version = 0;
};

class replay_run
{
public:
    replay_run(const replay_trace& trace, const replay_options& options)
        : trace_(trace), options_(options),
          config_(std::make_shared<const deployment>(trace.config))
    {
        for (const auto& it : config_->targets)
            targets_.push_back({replay_target(
                trace.pools[it.pool.idx],
                config_->pools[it.pool.idx].kind == stage_kind::generate)});
        daemons_.resize(trace.daemons);
        for (std::size_t n = 0; n < daemons_.size(); ++n) {
            daemons_[n].domain = trace.domains[n % trace.domains.size()];
            start_daemon(n);
        }
        for (const auto& pipeline : config_->pipelines) {
            for (const auto& stage : pipeline.stages)
                result_.stages.push_back(
                    {absl::StrCat(pipeline.name, "/", stage.name)});
        }
    }

    replay_result run()
    {
        for (std::size_t n = 0; n < trace_.arrivals.size(); ++n)
            add_arrivals(trace_.arrivals[n], n);
        for (const auto& it : trace_.faults)
            add_fault(it);
        report_tick();
        poll_tick();
        while (!events_.empty()) {
            auto next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = next.at;
            next.run();
        }
        for (std::size_t n = 0; n < daemons_.size(); ++n)
            add_counters(n);
        for (auto& it : requests_)
            add_result(*it);
        return std::move(result_);
    }

private:
    void at(time_point when, std::function<void()> run)
    {
        events_.push({std::max(when, now_), ++order_, std::move(run)});
    }

    void start_daemon(std::size_t n)
    {
        auto& it    = daemons_[n];
        it.alive    = true;
        it.counters = std::make_unique<reason_counters>();
        policy_init init;
        init.seed     = trace_.seed * 1000 + ++incarnations_;
        init.daemons  = trace_.daemons;
        init.strategy = options_.strategy;
        init.on_ready = [this](std::uint64_t run) {
            at(now_, [this, run] { wake(run); });
        };
        it.routing_policy =
            std::make_unique<policy>(config_, init, *it.counters);
    }

    void add_counters(std::size_t n)
    {
        const auto& it = *daemons_[n].counters;
        for (std::size_t i = 0; i < result_.refusals.size(); ++i)
            result_.refusals[i] += it.get(static_cast<refusal_reason>(i));
        for (std::size_t i = 0; i < result_.retries.size(); ++i)
            result_.retries[i] += it.get(static_cast<retry_reason>(i));
    }

    // Arrivals.

    void add_arrivals(const replay_arrivals& it, std::size_t index)
    {
        if (!it.name.empty() && it.name == options_.without)
            return;
        auto rate = mix_capacity(trace_) * it.load * it.times;
        if (it.account.valid()) {
            double total = 0;
            for (const auto share : trace_.account_shares)
                total += share;
            rate *= trace_.account_shares[it.account.idx] / total;
        }
        if (rate <= 0)
            return;
        std::seed_seq                          seq{trace_.seed, index};
        std::mt19937_64                        random(seq);
        std::exponential_distribution<double>  gap(rate);
        std::vector<double>                    mix;
        std::uniform_real_distribution<double> unit;
        for (const auto& pipeline : trace_.pipelines)
            mix.push_back(pipeline.mix);
        std::discrete_distribution<std::uint32_t> pipelines(mix.begin(),
                                                            mix.end());
        std::discrete_distribution<std::uint32_t> accounts(
            trace_.account_shares.begin(), trace_.account_shares.end());
        for (double t = it.from + gap(random); t < it.to; t += gap(random)) {
            auto next              = std::make_unique<request>();
            next->info.run         = requests_.size();
            next->info.pipeline    = {pipelines(random)};
            next->info.account     = {accounts(random)};
            const auto skewed      = unit(random);
            next->info.prefix_hash = 1 + static_cast<std::uint64_t>(
                                             skewed * skewed * trace_.prefixes);
            next->seed = random();
            if (it.account.valid())
                next->info.account = it.account;
            next->record.arrival = t;
            const auto id        = requests_.size();
            requests_.push_back(std::move(next));
            at(at_second(t) + from_ms(trace_.client_ms),
               [this, id] { arrive(id); });
        }
    }

    void arrive(std::size_t id)
    {
        auto&                    it = *requests_[id];
        std::vector<std::size_t> alive;
        for (std::size_t n = 0; n < daemons_.size(); ++n) {
            if (daemons_[n].alive)
                alive.push_back(n);
        }
        const auto& pipeline = config_->pipelines[it.info.pipeline.idx];
        const auto  stages   = pipeline.stages.size();
        it.record.pipeline   = it.info.pipeline;
        it.record.account    = it.info.account;
        it.cost.resize(stages);
        it.useful.resize(stages);
        it.attempts.resize(stages);
        it.runs.resize(stages);
        it.info.deadline = now_ + pipeline.deadline;
        if (alive.empty()) {
            it.ended = true;
            return;
        }
        it.daemon = alive[it.seed % alive.size()];
        it.run    = std::make_unique<pipeline_run>(
            *daemons_[it.daemon].routing_policy, it.info, now_);
        perform(id, it.run->start(now_));
    }

    // Actions of a run.

    void perform(std::size_t id, const run_actions& actions)
    {
        for (const auto& action : actions)
            std::visit([&](const auto& it) { act(id, it); }, action);
    }

    void act(std::size_t id, const start_attempt& action)
    {
        auto& it = *requests_[id];
        ++it.attempts[action.stage];
        const auto call = ++last_call_;
        calls_[call]    = {id, action};
        at(now_ + action.timeout, [this, call] { expire(call); });
        if (!reachable(it.daemon, action.target))
            at(now_ + connect_timeout, [this, call] {
                end_attempt(call, attempt_status::connect_failed);
            });
        else if (targets_[action.target.idx].model.faults.down)
            at(now_ + latency(it.daemon, action.target) * 2, [this, call] {
                end_attempt(call, attempt_status::connect_failed);
            });
        else
            at(now_ + latency(it.daemon, action.target),
               [this, call] { reach_target(call); });
    }

    void act(std::size_t id, const obtain_claim&)
    {
        at(now_ + claim_time, [this, id] {
            auto& it = *requests_[id];
            if (!it.ended)
                perform(id, it.run->on_claim(claim_outcome::granted, now_));
        });
    }

    void act(std::size_t, const release_claim&) {}

    void act(std::size_t id, const cancel_attempt& action)
    {
        for (const auto& [call, open] : calls_) {
            if (open.request == id && open.action.attempt == action.attempt) {
                remove_call(call);
                return;
            }
        }
    }

    void act(std::size_t id, const wait_until& action)
    {
        at(action.at, [this, id] { wake(id); });
    }

    void act(std::size_t id, const finish& action)
    {
        auto& it           = *requests_[id];
        it.ended           = true;
        it.record.result   = action.result;
        it.record.reason   = action.reason;
        it.record.complete = action.result == execution::done &&
                             action.reason == refusal_reason::none &&
                             now_ <= it.info.deadline;
        at(now_, [this, id] { requests_[id]->run.reset(); });
    }

    void wake(std::size_t id)
    {
        auto& it = *requests_[id];
        if (!it.ended)
            perform(id, it.run->on_wake(now_));
    }

    // Calls to targets.

    bool reachable(std::size_t daemon, target_id target) const
    {
        if (targets_[target.idx].model.faults.lost)
            return false;
        for (const auto* it : parted_) {
            if (it->domain == config_->targets[target.idx].failure_domain &&
                it->other == daemons_[daemon].domain)
                return false;
        }
        return true;
    }

    microseconds latency(std::size_t daemon, target_id target) const
    {
        return daemons_[daemon].domain ==
                       config_->targets[target.idx].failure_domain
                   ? same_domain_latency
                   : from_ms(trace_.domain_ms);
    }

    double draw(std::uint64_t seed, std::size_t stage, double spread) const
    {
        std::seed_seq                    seq{seed, seed >> 32U, stage};
        std::minstd_rand                 random(seq);
        std::normal_distribution<double> normal(-spread * spread / 2, spread);
        return std::exp(normal(random));
    }

    replay_call make_call(std::uint64_t id, const open_call& open) const
    {
        const auto& it    = *requests_[open.request];
        const auto  index = open.action.stage;
        const auto& model =
            trace_.pipelines[it.info.pipeline.idx].stages[index];
        const auto  factor = draw(it.seed, index, model.spread);
        replay_call call;
        call.id         = id;
        call.prefix     = it.info.prefix_hash;
        call.priority   = config_->pipelines[it.info.pipeline.idx].priority;
        call.service_ms = model.service_ms * factor;
        if (model.tokens > 0) {
            const auto all =
                std::ceil(model.tokens * std::min(factor, max_tokens_factor));
            call.tokens = std::max(
                1.0, all - static_cast<double>(open.action.resume_offset));
        }
        return call;
    }

    void reach_target(std::uint64_t call)
    {
        const auto found = calls_.find(call);
        if (found == calls_.end())
            return;
        auto&      open   = found->second;
        const auto target = open.action.target;
        const auto daemon = requests_[open.request]->daemon;
        auto&      it     = targets_[target.idx];
        const auto back   = latency(daemon, target);
        if (!reachable(daemon, target)) {
            at(now_ + connect_timeout, [this, call] {
                end_attempt(call, attempt_status::connect_failed);
            });
            return;
        }
        open.connected = true;
        if (it.model.faults.fail) {
            charge(open, 1, 0);
            at(now_ + back,
               [this, call] { end_attempt(call, attempt_status::failed); });
            return;
        }
        if (!it.model.add(make_call(call, open), now_)) {
            at(now_ + back,
               [this, call] { end_attempt(call, attempt_status::not_run); });
            return;
        }
        open.at_target = true;
        if (it.model.faults.silent)
            watch_stall(call);
        schedule(target);
    }

    /// Ends a stream that has delivered no chunk for stall_timeout.
    void watch_stall(std::uint64_t call)
    {
        const auto& open = calls_.at(call);
        if (stage_of(open).kind == stage_kind::generate)
            at(now_ + stall_timeout,
               [this, call] { end_attempt(call, attempt_status::silent); });
    }

    const stage_config& stage_of(const open_call& open) const
    {
        const auto& info = requests_[open.request]->info;
        return config_->pipelines[info.pipeline.idx].stages[open.action.stage];
    }

    void schedule(target_id target)
    {
        auto&      it      = targets_[target.idx];
        const auto version = ++it.version;
        const auto when    = it.model.next_completion(now_);
        if (when == time_point::max())
            return;
        at(when, [this, target, version] {
            if (targets_[target.idx].version == version)
                complete(target);
        });
    }

    void complete(target_id target)
    {
        auto& it = targets_[target.idx];
        for (const auto call : it.model.complete(now_)) {
            const auto tokens = it.model.tokens_done(call, now_);
            it.model.remove(call, now_);
            auto& open     = calls_.at(call);
            open.at_target = false;
            charge(open, 1, tokens);
            const auto daemon = requests_[open.request]->daemon;
            if (it.model.faults.silent || !reachable(daemon, target))
                continue;
            at(now_ + latency(daemon, target), [this, call, tokens] {
                end_attempt(call, attempt_status::done, tokens);
            });
        }
        schedule(target);
    }

    void charge(const open_call& open, double share, double tokens)
    {
        auto&       it    = *requests_[open.request];
        const auto& stage = stage_of(open);
        if (share <= 0)
            return;
        ++it.runs[open.action.stage];
        it.cost[open.action.stage] += stage.kind == stage_kind::generate
                                          ? stage.cost * tokens / 1000
                                          : stage.cost;
    }

    /// Removes the call from its target.
    /// \return the number of tokens that it generated.
    double remove_call(std::uint64_t call)
    {
        const auto found = calls_.find(call);
        const auto open  = found->second;
        double     done  = open.streamed;
        if (open.at_target) {
            auto& it = targets_[open.action.target.idx];
            done     = it.model.tokens_done(call, now_);
            charge(open, it.model.remove(call, now_), done);
            schedule(open.action.target);
        }
        calls_.erase(found);
        return done;
    }

    void end_attempt(std::uint64_t call, attempt_status status,
                     double tokens = 0)
    {
        const auto found = calls_.find(call);
        if (found == calls_.end())
            return;
        const auto open = found->second;
        auto&      it   = *requests_[open.request];
        tokens += remove_call(call);
        if (it.ended)
            return;
        const auto& model = targets_[open.action.target.idx].model;
        if (status == attempt_status::done ||
            status == attempt_status::failed ||
            status == attempt_status::not_run)
            daemons_[it.daemon].routing_policy->on_load_report(
                config_->targets[open.action.target.idx].name, model.report(),
                now_);
        if (status == attempt_status::done) {
            const auto& stage = stage_of(open);
            it.useful[open.action.stage] += stage.kind == stage_kind::generate
                                                ? stage.cost * tokens / 1000
                                                : stage.cost;
        }
        attempt_result result;
        result.attempt = open.action.attempt;
        result.status  = status;
        result.tokens  = static_cast<std::uint32_t>(tokens);
        result.stream_offset =
            open.action.resume_offset + static_cast<std::uint64_t>(tokens);
        // The caller received the text of the unfinished stream, so its cost
        // counts as useful.
        if (status == attempt_status::silent ||
            status == attempt_status::timeout)
            it.useful[open.action.stage] += stage_of(open).cost * tokens / 1000;
        perform(open.request, it.run->on_attempt(result, now_));
    }

    void expire(std::uint64_t call)
    {
        const auto it = calls_.find(call);
        if (it != calls_.end())
            end_attempt(call, it->second.connected
                                  ? attempt_status::timeout
                                  : attempt_status::connect_failed);
    }

    // Load reports.

    void report_tick()
    {
        for (auto& it : targets_)
            it.model.snapshot();
        if (now_ < at_second(trace_.seconds))
            at(now_ + report_interval, [this] { report_tick(); });
    }

    void poll_tick()
    {
        for (std::size_t n = 0; n < daemons_.size(); ++n) {
            for (std::uint32_t i = 0; i < targets_.size(); ++i) {
                const auto& model = targets_[i].model;
                if (daemons_[n].alive && reachable(n, {i}) &&
                    !model.faults.down && !model.faults.silent)
                    daemons_[n].routing_policy->on_load_report(
                        target_id{i}, model.report(), now_);
            }
        }
        if (now_ < at_second(trace_.seconds))
            at(now_ + poll_interval, [this] { poll_tick(); });
    }

    // Faults.

    std::vector<target_id> targets_of(const replay_fault& it) const
    {
        std::vector<target_id> found;
        for (std::uint32_t n = 0; n < config_->pools.size(); ++n) {
            if (it.pool.valid() && it.pool.idx != n)
                continue;
            std::vector<target_id> ids;
            for (const auto id : config_->pools[n].targets) {
                if (it.domain.empty() ||
                    it.domain == config_->targets[id.idx].failure_domain)
                    ids.push_back(id);
            }
            ids.resize(static_cast<std::size_t>(
                std::lround(it.share * static_cast<double>(ids.size()))));
            found.insert(found.end(), ids.begin(), ids.end());
        }
        return found;
    }

    void add_fault(const replay_fault& it)
    {
        if (it.kind == "leaving") {
            auto when = at_second(it.from);
            for (const auto target : targets_of(it)) {
                at(when, [this, target] { start_leaving(target); });
                when += from_ms(it.every * 1000);
            }
            return;
        }
        at(at_second(it.from), [this, &it] { switch_fault(it, true); });
        at(at_second(it.to), [this, &it] { switch_fault(it, false); });
    }

    void switch_fault(const replay_fault& it, bool on)
    {
        if (it.kind == "parted") {
            if (on)
                parted_.push_back(&it);
            else
                std::erase(parted_, &it);
            cut_streams();
            return;
        }
        for (const auto target : targets_of(it))
            switch_target(it, target, on);
        cut_streams();
        if (it.kind == "lost" && !it.pool.valid())
            switch_daemons(it, on);
    }

    void switch_target(const replay_fault& it, target_id target, bool on)
    {
        auto& model  = targets_[target.idx].model;
        auto& faults = model.faults;
        if (it.kind == "slow")
            model.set_slow(on ? it.factor : 1, now_);
        else if (it.kind == "fail")
            faults.fail = on;
        else if (it.kind == "refuse")
            faults.refuse = on;
        else if (it.kind == "silent")
            faults.silent = on;
        else if (it.kind == "cold_cache" && on)
            model.clear_cache();
        else if (it.kind == "lost" || it.kind == "down") {
            (it.kind == "lost" ? faults.lost : faults.down) = on;
            if (on)
                abort_calls(target);
        }
        schedule(target);
    }

    /// Ends all calls at a target whose process ends.
    void abort_calls(target_id target)
    {
        auto& model = targets_[target.idx].model;
        for (auto& [call, open] : calls_) {
            if (open.action.target != target || !open.at_target)
                continue;
            const auto tokens = model.tokens_done(call, now_);
            charge(open, model.progress(call, now_), tokens);
            open.at_target = false;
            open.streamed  = tokens;
            open_lost_.push_back(call);
        }
        model.clear(now_);
        std::sort(open_lost_.begin(), open_lost_.end());
        for (const auto call : open_lost_) {
            if (model.faults.down)
                at(now_,
                   [this, call] { end_attempt(call, attempt_status::silent); });
            else
                watch_stall(call);
        }
        open_lost_.clear();
    }

    /// Stalls the streams that can no longer reach their daemon.
    void cut_streams()
    {
        std::vector<std::uint64_t> cut;
        for (const auto& [call, open] : calls_) {
            if (open.at_target &&
                (targets_[open.action.target.idx].model.faults.silent ||
                 !reachable(requests_[open.request]->daemon,
                            open.action.target)))
                cut.push_back(call);
        }
        std::sort(cut.begin(), cut.end());
        for (const auto call : cut)
            watch_stall(call);
    }

    void switch_daemons(const replay_fault& it, bool on)
    {
        for (std::size_t n = 0; n < daemons_.size(); ++n) {
            if (daemons_[n].domain != it.domain)
                continue;
            if (on)
                stop_daemon(n);
            else
                start_daemon(n);
        }
        at(now_ + limits::member_suspect, [this] { update_daemon_count(); });
    }

    void stop_daemon(std::size_t n)
    {
        std::vector<std::uint64_t> open;
        for (const auto& [call, it] : calls_) {
            if (requests_[it.request]->daemon == n)
                open.push_back(call);
        }
        std::sort(open.begin(), open.end());
        for (const auto call : open)
            remove_call(call);
        for (auto& it : requests_) {
            if (it->run && it->daemon == n) {
                it->ended = true;
                it->run.reset();
            }
        }
        add_counters(n);
        daemons_[n].alive    = false;
        daemons_[n].counters = std::make_unique<reason_counters>();
        daemons_[n].routing_policy.reset();
    }

    void update_daemon_count()
    {
        const auto alive = static_cast<std::uint32_t>(
            std::count_if(daemons_.begin(), daemons_.end(),
                          [](const auto& it) { return it.alive; }));
        for (auto& it : daemons_) {
            if (it.alive)
                it.routing_policy->set_daemons(alive);
        }
    }

    void start_leaving(target_id target)
    {
        targets_[target.idx].model.faults.leaving = true;
        at(now_ + min_leaving_time,
           [this, target] { restart_when_idle(target); });
    }

    void restart_when_idle(target_id target)
    {
        auto& model = targets_[target.idx].model;
        for (const auto& [call, open] : calls_) {
            if (open.action.target == target && open.at_target) {
                at(now_ + poll_interval,
                   [this, target] { restart_when_idle(target); });
                return;
            }
        }
        model.faults.down = true;
        model.clear(now_);
        at(now_ + replace_time, [this, target] {
            auto& faults   = targets_[target.idx].model.faults;
            faults.down    = false;
            faults.leaving = false;
        });
    }

    // Result.

    void add_result(request& it)
    {
        auto& record = it.record;
        auto  first  = std::size_t{0};
        for (std::uint32_t n = 0; n < it.info.pipeline.idx; ++n)
            first += config_->pipelines[n].stages.size();
        for (std::size_t n = 0; n < it.cost.size(); ++n) {
            const auto wasted = record.complete
                                    ? std::max(0.0, it.cost[n] - it.useful[n])
                                    : it.cost[n];
            auto&      stage  = result_.stages[first + n];
            stage.attempts += it.attempts[n];
            stage.cost += it.cost[n];
            stage.wasted += wasted;
            record.cost += it.cost[n];
            record.wasted += wasted;
            const auto& config =
                config_->pipelines[it.info.pipeline.idx].stages[n];
            if (!config.idempotent &&
                (it.runs[n] > 1 ||
                 (it.runs[n] == 1 && record.result == execution::not_run)))
                ++result_.violations;
        }
        record.attempts = std::move(it.attempts);
        result_.records.push_back(std::move(record));
    }

    const replay_trace&                   trace_;
    const replay_options&                 options_;
    std::shared_ptr<const deployment>     config_;
    time_point                            now_{};
    std::uint64_t                         order_        = 0;
    std::uint64_t                         last_call_    = 0;
    std::uint64_t                         incarnations_ = 0;
    std::priority_queue<event>            events_;
    std::vector<sim_target>               targets_;
    std::vector<sim_daemon>               daemons_;
    std::vector<std::unique_ptr<request>> requests_;
    std::map<std::uint64_t, open_call>    calls_;
    std::vector<std::uint64_t>            open_lost_;
    std::vector<const replay_fault*>      parted_;
    replay_result                         result_;
};

} // namespace

replay_result run_replay(const replay_trace&   trace,
                         const replay_options& options)
{
    return replay_run(trace, options).run();
}

} // namespace arbutusgate
