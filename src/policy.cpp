#include "policy_impl.hpp"

namespace arbutusgate {

target_id policy::impl::acquire(pool_id pool, target_id avoid)
{
    std::lock_guard lock(mutex);
    target_id       best;
    const auto&     ids = config->pools[pool.idx].targets;
    if (ids.empty())
        return best;
    const auto first =
        strategy == policy_strategy::round_robin ? turn++ : random();
    for (std::size_t n = 0; n < ids.size(); ++n) {
        const auto  it    = ids[(first + n) % ids.size()];
        const auto& state = targets[it.idx];
        if (state.leaving ||
            (strategy == policy_strategy::adaptive && it == avoid))
            continue;
        if (strategy == policy_strategy::random ||
            strategy == policy_strategy::round_robin)
        {
            best = it;
            break;
        }
        if (!best.valid() || state.in_flight < targets[best.idx].in_flight)
            best = it;
    }
    if (best.valid())
        ++targets[best.idx].in_flight;
    return best;
}

void policy::impl::release(target_id target)
{
    std::lock_guard lock(mutex);
    --targets[target.idx].in_flight;
}

policy::policy(std::shared_ptr<const deployment> config,
               const policy_init& init, reason_counters& counters)
    : impl_(std::make_unique<impl>())
{
    impl_->targets.resize(config->targets.size());
    impl_->config = std::move(config);
    impl_->random.seed(init.seed);
    impl_->counters = &counters;
    impl_->strategy = init.strategy;
}

policy::~policy() = default;

void policy::set_deployment(std::shared_ptr<const deployment> config,
                            time_point)
{
    std::lock_guard lock(impl_->mutex);
    impl_->targets.resize(config->targets.size());
    impl_->config = std::move(config);
}

std::shared_ptr<const deployment> policy::current() const
{
    std::lock_guard lock(impl_->mutex);
    return impl_->config;
}

void policy::set_daemons(std::uint32_t) {}

void policy::on_load_report(target_id target, const load_report& report,
                            time_point)
{
    set_leaving(target, report.leaving);
}

void policy::on_load_report(std::string_view target, const load_report& report,
                            time_point)
{
    set_leaving(target, report.leaving);
}

void policy::set_leaving(std::string_view target, bool leaving)
{
    const auto config = current();
    for (std::uint32_t n = 0; n < config->targets.size(); ++n) {
        if (config->targets[n].name == target)
            set_leaving(target_id{n}, leaving);
    }
}

void policy::set_leaving(target_id target, bool leaving)
{
    std::lock_guard lock(impl_->mutex);
    impl_->targets[target.idx].leaving = leaving;
}

} // namespace arbutusgate
