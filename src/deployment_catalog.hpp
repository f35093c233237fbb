/// The deployment in force and its lookup tables.
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

/// Lookup of accounts by key and of pipelines by name in one deployment.
struct deployment_index
{
    explicit deployment_index(std::shared_ptr<const deployment> it);

    /// \return an invalid id for an unknown key.
    account_id find_account(const std::string& key) const;
    /// \return an invalid id when no pipeline has the name or the account may
    /// not use it.
    pipeline_id find_pipeline(const std::string& name,
                              account_id         account) const;

    std::shared_ptr<const deployment>            config;
    std::unordered_map<std::string, account_id>  accounts;  ///< By key.
    std::unordered_map<std::string, pipeline_id> pipelines; ///< By name.
};

/// Replaces the deployment in the policy and in the front end's lookup tables
/// in one step. Thread-safe.
class deployment_catalog
{
public:
    /// \param rules outlives the catalog.
    explicit deployment_catalog(policy& rules);

    void set(std::shared_ptr<const deployment> config, time_point now);

    /// Read access to the index under a shared lock: the deployment stays in
    /// force while the view exists. A fiber must not hold it while suspended.
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
