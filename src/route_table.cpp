#include "route_table.hpp"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

std::string host_name(std::string_view host)
{
    const auto colon = host.find(':');
    return absl::AsciiStrToLower(std::string(host.substr(0, colon)));
}

} // namespace

route_table::route_table(configuration it) : config_(std::move(it))
{
    for (const auto& entry : config_.routes)
        by_host_[entry.host].push_back(&entry);
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(
            routes.begin(), routes.end(), [](const route* a, const route* b) {
                return a->path_prefix.size() > b->path_prefix.size();
            });
    }
    for (const auto& entry : config_.accounts) {
        for (const auto& key : entry.keys)
            by_key_.emplace(key, &entry);
    }
    for (const auto& entry : config_.services)
        by_name_.emplace(entry.name, &entry);
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const auto it = by_host_.find(host_name(host));
    if (it == by_host_.end())
        return nullptr;
    for (const auto* entry : it->second) {
        if (path.starts_with(entry->path_prefix))
            return entry;
    }
    return nullptr;
}

const account* route_table::account_of(std::string_view key) const
{
    const auto it = by_key_.find(std::string(key));
    return it == by_key_.end() ? nullptr : it->second;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto it = by_name_.find(std::string(name));
    return it == by_name_.end() ? nullptr : it->second;
}

const service_share* pick_share(const std::vector<service_share>& shares,
                                double                            point)
{
    std::uint64_t total = 0;
    for (const auto& it : shares)
        total += it.weight;
    auto left = point * static_cast<double>(total);
    for (const auto& it : shares) {
        left -= it.weight;
        if (it.weight > 0 && left < 0)
            return &it;
    }
    return nullptr;
}

} // namespace arbutusgate::gateway
