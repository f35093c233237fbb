#include "region_map.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

bool allows(const std::vector<std::string>& regions, const std::string& region)
{
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

bool restricts_regions(const configuration& it)
{
    const auto restricted = [](const auto& entry) {
        return !entry.regions.empty();
    };
    return std::any_of(it.routes.begin(), it.routes.end(), restricted) ||
           std::any_of(it.accounts.begin(), it.accounts.end(), restricted);
}

std::optional<std::set<std::string>> region_map::permitted_domains(
    const std::vector<std::string>& route_regions,
    const std::vector<std::string>& account_regions) const
{
    if (route_regions.empty() && account_regions.empty())
        return std::nullopt;
    std::set<std::string> out;
    for (const auto& it : domains_) {
        if (allows(route_regions, it.region) &&
            allows(account_regions, it.region))
            out.insert(it.failure_domain);
    }
    return out;
}

} // namespace arbutusgate::gateway
