#include "policy_impl.hpp"

#include <algorithm>
#include <xxhash.h>

namespace arbutusgate {

namespace {

// Expected tokens of a generate stage without a configured maximum, until
// results replace it.
constexpr std::uint32_t default_expected_tokens = 100;

double expected_cost(const stage_config& it)
{
    if (it.kind != stage_kind::generate)
        return it.cost;
    const auto tokens =
        it.max_tokens > 0 ? it.max_tokens : default_expected_tokens;
    return it.cost * tokens / 1000;
}

} // namespace

std::shared_ptr<const policy_view>
policy::impl::make_view(std::shared_ptr<const deployment> config)
{
    auto next = std::make_shared<policy_view>();
    for (const auto& pool : config->pools) {
        pool_view entry;
        if (view) {
            for (std::size_t n = 0; n < view->pools.size(); ++n) {
                if (view->config->pools[n].name == pool.name)
                    entry.state = view->pools[n].state;
            }
        }
        if (!entry.state)
            entry.state = std::make_shared<pool_state>(
                init.strategy,
                XXH64(pool.name.data(), pool.name.size(), init.seed));
        std::lock_guard lock(entry.state->mutex);
        for (const auto id : pool.targets) {
            const auto& target = config->targets[id.idx];
            auto&       weak   = entry.state->targets[target.name];
            auto        state  = weak.lock();
            if (!state) {
                state            = std::make_shared<route_target>();
                state->name      = target.name;
                weak             = state;
                const auto limit = call_rates.find(target.name);
                if (limit != call_rates.end())
                    router::set_call_rate(*state, limit->second.rate,
                                          limit->second.set_at);
            }
            state->domain              = target.failure_domain;
            next->targets[state->name] = {next->pools.size(),
                                          entry.targets.size()};
            entry.targets.push_back(std::move(state));
        }
        update_share(entry, pool.slots_per_target, time_point{});
        std::erase_if(entry.state->targets,
                      [](const auto& it) { return it.second.expired(); });
        next->pools.push_back(std::move(entry));
    }
    for (const auto& pipeline : config->pipelines) {
        auto& learned = next->stages.emplace_back();
        for (const auto& stage : pipeline.stages) {
            auto& it = stages[pipeline.name + "/" + stage.name];
            if (!it)
                it = std::make_shared<learned_stage>(stage.expected,
                                                     expected_cost(stage));
            learned.push_back(it);
        }
    }
    next->last_probes =
        std::vector<std::atomic<std::int64_t>>(config->pipelines.size());
    next->config = std::move(config);
    return next;
}

std::shared_ptr<const policy_view> policy::impl::current_view() const
{
    std::lock_guard lock(mutex);
    return view;
}

void policy::impl::update_share(const pool_view& pool,
                                std::uint32_t    slots_per_target,
                                time_point       now) const
{
    pool.state->admission.set_share(
        slots_per_target * router::count_usable(pool.targets, now), daemons);
}

void policy::impl::notify(const ready_runs& ready) const
{
    for (const auto run : ready) {
        if (init.on_ready)
            init.on_ready(run);
    }
}

template <class Function>
void policy::impl::with_target(std::string_view name, Function fn)
{
    const auto current = current_view();
    const auto found   = current->targets.find(name);
    if (found == current->targets.end())
        return;
    const auto&     pool = current->pools[found->second.first];
    std::lock_guard lock(pool.state->mutex);
    fn(*pool.state, *pool.targets[found->second.second]);
}

policy::policy(std::shared_ptr<const deployment> config,
               const policy_init& init, reason_counters& counters)
    : impl_(std::make_unique<impl>())
{
    impl_->init     = init;
    impl_->daemons  = std::max(1U, init.daemons);
    impl_->counters = &counters;
    impl_->view     = impl_->make_view(std::move(config));
}

policy::~policy() = default;

void policy::set_deployment(std::shared_ptr<const deployment> config,
                            time_point)
{
    std::lock_guard lock(impl_->mutex);
    impl_->view = impl_->make_view(std::move(config));
}

std::shared_ptr<const deployment> policy::current() const
{
    return impl_->current_view()->config;
}

void policy::set_daemons(std::uint32_t n)
{
    impl_->daemons = std::max(1U, n);
}

void policy::on_load_report(target_id target, const load_report& report,
                            time_point now)
{
    const auto config = current();
    if (target.idx < config->targets.size())
        on_load_report(config->targets[target.idx].name, report, now);
}

void policy::on_load_report(std::string_view target, const load_report& report,
                            time_point now)
{
    impl_->with_target(target, [&](pool_state&, route_target& it) {
        router::on_report(it, report, now);
    });
}

void policy::set_leaving(target_id target, bool leaving)
{
    const auto config = current();
    if (target.idx < config->targets.size())
        set_leaving(config->targets[target.idx].name, leaving);
}

void policy::set_leaving(std::string_view target, bool leaving)
{
    impl_->with_target(
        target, [&](pool_state&, route_target& it) { it.leaving = leaving; });
}

void policy::set_call_rate(std::string_view target, std::optional<double> rate,
                           time_point now)
{
    {
        std::lock_guard lock(impl_->mutex);
        if (rate)
            impl_->call_rates[std::string(target)] = {*rate, now};
        else
            impl_->call_rates.erase(std::string(target));
    }
    impl_->with_target(target, [&](pool_state&, route_target& it) {
        router::set_call_rate(it, rate, now);
    });
}

} // namespace arbutusgate
