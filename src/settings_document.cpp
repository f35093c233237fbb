#include "settings_document.hpp"

#include "text.hpp"

#include <vector>

namespace arbutusgate {

void remove_empty_values(config_node& from)
{
    if (from.kind == node_kind::mapping)
        std::erase_if(from.children, [](const auto& it) {
            return it.kind == node_kind::null;
        });
    for (auto& it : from.children)
        remove_empty_values(it);
}

absl::Status issues_status(const std::vector<config_issue>& issues)
{
    std::string out;
    for (const auto& it : issues)
        out += concat(out.empty() ? "" : "\n", to_string(it));
    return absl::InvalidArgumentError(out);
}

} // namespace arbutusgate
