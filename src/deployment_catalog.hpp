/// Deployment in force with its lookup tables.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/policy.hpp"

#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace arbutusgate {

/// Names of one deployment.
struct deployment_index
{
    explicit deployment_index(std::shared_ptr<const deployment> it);

    /// \return an invalid id for an unknown key.
    account_id find_account(const std::string& key) const;
    /// \return an invalid id when there is no such pipeline or the account
    /// may not use it.
    pipeline_id find_pipeline(const std::string& name, account_id by) const;

    std::shared_ptr<const deployment>            config;
    std::unordered_map<std::string, account_id>  accounts; ///< By key.
    std::unordered_map<std::string, pipeline_id> pipelines;
};

/// Puts deployments in force in the policy and the front end at once.
/// Thread-safe.
class deployment_catalog
{
public:
    /// \param rules outlives the catalog.
    explicit deployment_catalog(policy& rules);

    void set(std::shared_ptr<const deployment> config, time_point now);

    /// The deployment stays in force while the view lives; it must not be
    /// kept across a suspension of the fiber.
    class view
    {
    public:
        explicit view(const deployment_catalog& it)
            : lock_(it.mutex_), index_(*it.index_)
        {
        }
        const deployment_index* operator->() const { return &index_; }

    private:
        std::shared_lock<std::shared_mutex> lock_;
        const deployment_index&             index_;
    };

    view                              open() const { return view(*this); }
    std::shared_ptr<const deployment> current() const;

private:
    policy&                           rules_;
    mutable std::shared_mutex         mutex_;
    std::unique_ptr<deployment_index> index_;
};

} // namespace arbutusgate
