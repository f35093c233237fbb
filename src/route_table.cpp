#include "route_table.hpp"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// Strips the port and converts to lower case.
std::string normalized_host(std::string_view host)
{
    const auto colon = host.find(':');
    return absl::AsciiStrToLower(std::string(host.substr(0, colon)));
}

} // namespace

route_table::route_table(configuration config) : config_(std::move(config))
{
    for (const auto& entry : config_.routes)
        routes_by_host_[entry.host].push_back(&entry);
    for (auto& [host, routes] : routes_by_host_) {
        std::stable_sort(
            routes.begin(), routes.end(), [](const route* a, const route* b) {
                return a->path_prefix.size() > b->path_prefix.size();
            });
    }
    for (const auto& entry : config_.accounts) {
        for (const auto& key : entry.keys)
            account_by_key_.emplace(key, &entry);
    }
    for (const auto& entry : config_.services)
        service_by_name_.emplace(entry.name, &entry);
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const auto it = routes_by_host_.find(normalized_host(host));
    if (it == routes_by_host_.end())
        return nullptr;
    for (const auto* entry : it->second) {
        if (path.starts_with(entry->path_prefix))
            return entry;
    }
    return nullptr;
}

const account* route_table::account_of(std::string_view key) const
{
    const auto it = account_by_key_.find(std::string(key));
    return it == account_by_key_.end() ? nullptr : it->second;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto it = service_by_name_.find(std::string(name));
    return it == service_by_name_.end() ? nullptr : it->second;
}

const service_share* pick_share(const std::vector<service_share>& shares,
                                double                            point)
{
    std::uint64_t total = 0;
    for (const auto& it : shares)
        total += it.weight;
    auto remaining = point * static_cast<double>(total);
    for (const auto& it : shares) {
        remaining -= it.weight;
        if (it.weight > 0 && remaining < 0)
            return &it;
    }
    return nullptr;
}

} // namespace arbutusgate::gateway
