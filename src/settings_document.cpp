#include "settings_document.hpp"

#include "text.hpp"

namespace arbutusgate {

absl::Status issues_status(const std::vector<config_issue>& issues)
{
    std::string out;
    for (const auto& it : issues)
        out += concat(out.empty() ? "" : "\n", to_string(it));
    return absl::InvalidArgumentError(out);
}

} // namespace arbutusgate
