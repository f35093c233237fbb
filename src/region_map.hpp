/// Regions of the failure domains; restricts requests to the regions that their
/// route and account allow.
///
/// Failure: a request whose data must stay in one region reaches a target, or a
/// target of one of its stages, in another region.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutusgate::gateway {

/// Region that a failure domain lies in.
struct domain_region
{
    std::string failure_domain;
    std::string region;
};

class region_map
{
public:
    explicit region_map(std::vector<domain_region> domains = {})
        : domains_(std::move(domains))
    {
    }

    /// \return whether the failure domains lie in more than one region.
    bool has_several() const;
    /// Both lists of regions restrict the request; an empty one does not.
    /// \return the failure domains that may run the request, which may be none;
    /// nullopt: all. A domain without a known region is in no region.
    std::optional<std::set<std::string>>
    permitted_domains(const std::vector<std::string>& route_regions,
                      const std::vector<std::string>& account_regions) const;

private:
    std::vector<domain_region> domains_;
};

} // namespace arbutusgate::gateway
