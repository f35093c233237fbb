#include "arbutusgate/configuration.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace arbutusgate {

namespace {

using value_map = std::map<std::string_view, const config_value*>;

// Paths that take effect only when a daemon restarts. The claim voters and the
// lifetime of claims depend on them, and a node core gets them only when its
// process starts.
constexpr std::array<std::string_view, 2> restart_only_paths = {
    "fleet.slots.", "fleet.retry_window_ms"};

bool is_immediate(std::string_view path)
{
    return std::none_of(
        restart_only_paths.begin(), restart_only_paths.end(),
        [&](std::string_view it) { return path.starts_with(it); });
}

value_map index_by_path(const checked_config& it)
{
    value_map out;
    for (const auto& value : it.values)
        out.emplace(value.path, &value);
    return out;
}

config_change make_change(change_kind kind, std::string_view path,
                          const config_value& before, const config_value& after)
{
    return {kind, std::string(path), before, after, is_immediate(path)};
}

} // namespace

std::string_view to_string(change_kind it)
{
    switch (it) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "changed";
}

std::vector<config_change> diff_configs(const checked_config& before,
                                        const checked_config& after)
{
    std::vector<config_change> out;
    const auto                 old_values = index_by_path(before);
    const auto                 new_values = index_by_path(after);
    for (const auto& [path, value] : old_values) {
        const auto found = new_values.find(path);
        if (found == new_values.end())
            out.push_back(make_change(change_kind::removed, path, *value, {}));
        else if (found->second->value != value->value)
            out.push_back(make_change(change_kind::changed, path, *value,
                                      *found->second));
    }
    for (const auto& [path, value] : new_values) {
        if (!old_values.contains(path))
            out.push_back(make_change(change_kind::added, path, {}, *value));
    }
    std::sort(out.begin(), out.end(),
              [](const config_change& a, const config_change& b) {
                  return a.path < b.path;
              });
    return out;
}

} // namespace arbutusgate
