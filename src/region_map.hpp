/// Regions of the failure domains; restricts requests to the regions that their
/// route and account allow.
///
/// Failure: a request whose data must stay in one region reaches a target, or a
/// target of one of its stages, in another region.
#pragma once

#include "gateway_types.hpp"

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

/// \return whether some route or account restricts its regions. The shards of
/// stage services then follow the failure domains; all daemons decide this by
/// the configuration alone, so that they cut the same shards.
bool restricts_regions(const configuration& it);

class region_map
{
public:
    explicit region_map(std::vector<domain_region> domains = {})
        : domains_(std::move(domains))
    {
    }

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
