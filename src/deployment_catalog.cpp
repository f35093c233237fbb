#include "deployment_catalog.hpp"

#include <algorithm>
#include <mutex>

namespace arbutusgate {

deployment_index::deployment_index(std::shared_ptr<const deployment> it)
    : config(std::move(it))
{
    for (std::uint32_t n = 0; n < config->accounts.size(); ++n)
        accounts.emplace(config->accounts[n].key, account_id{n});
    for (std::uint32_t n = 0; n < config->pipelines.size(); ++n)
        pipelines.emplace(config->pipelines[n].name, pipeline_id{n});
}

account_id deployment_index::find_account(const std::string& key) const
{
    const auto it = accounts.find(key);
    return it == accounts.end() || key.empty() ? account_id{} : it->second;
}

pipeline_id deployment_index::find_pipeline(const std::string& name,
                                            account_id         account) const
{
    const auto it = pipelines.find(name);
    if (it == pipelines.end())
        return {};
    const auto& allowed = config->accounts[account.idx].pipelines;
    if (!allowed.empty() &&
        std::ranges::find(allowed, it->second) == allowed.end())
        return {};
    return it->second;
}

deployment_catalog::deployment_catalog(policy& rules)
    : rules_(rules), index_(std::make_unique<deployment_index>(rules.current()))
{
}

void deployment_catalog::set(std::shared_ptr<const deployment> config,
                             time_point                        now)
{
    auto             index = std::make_unique<deployment_index>(config);
    std::unique_lock lock(mutex_);
    rules_.set_deployment(std::move(config), now);
    index_ = std::move(index);
}

std::shared_ptr<const deployment> deployment_catalog::current() const
{
    std::shared_lock lock(mutex_);
    return index_->config;
}

} // namespace arbutusgate
