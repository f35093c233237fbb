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
    explicit route_table(configuration it);

    const configuration& config() const { return config_; }
    std::uint64_t        version() const { return config_.version; }

    /// The route with the longest prefix that begins the path.
    /// \param host as sent: any case, perhaps with a port.
    /// \param path without the query.
    /// \return null when no route fits.
    const route* find(std::string_view host, std::string_view path) const;
    /// \return null for an unknown key.
    const account* account_of(std::string_view key) const;
    /// \return null for an unknown name.
    const service* find_service(std::string_view name) const;

private:
    configuration                                              config_;
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
    std::unordered_map<std::string, const account*>            by_key_;
    std::unordered_map<std::string, const service*>            by_name_;
};

/// Picks a share by weight.
/// \param point in [0, 1).
/// \return null when no share has weight.
const service_share* pick_share(const std::vector<service_share>& shares,
                                double                            point);

} // namespace arbutusgate::gateway
