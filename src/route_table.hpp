/// Lookup of routes, services and account keys in one configuration.
#pragma once

#include "gateway_types.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// Immutable after construction.
class route_table
{
public:
    explicit route_table(configuration config);

    const configuration& config() const { return config_; }
    std::uint64_t        version() const { return config_.version; }

    /// Finds the route with the longest prefix of the path.
    /// \param host as sent by the caller: in any case, possibly with a port.
    /// \param path without the query.
    /// \return null when no route matches.
    const route* find(std::string_view host, std::string_view path) const;
    /// \return null for an unknown key.
    const account* account_of(std::string_view key) const;
    /// \return null for an unknown name.
    const service* find_service(std::string_view name) const;

private:
    configuration                                              config_;
    std::unordered_map<std::string, std::vector<const route*>> routes_by_host_;
    std::unordered_map<std::string, const account*>            account_by_key_;
    std::unordered_map<std::string, const service*>            service_by_name_;
};

/// Picks a share in proportion to the weights.
/// \param point random number in [0, 1).
/// \return null when all weights are zero.
const service_share* pick_share(const std::vector<service_share>& shares,
                                double                            point);

} // namespace arbutusgate::gateway
