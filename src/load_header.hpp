/// Load-Report header of targets.
#pragma once

#include "arbutusgate/policy.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Reads "in_flight=N, queued=N, capacity=N, lag_ms=N, state=serving|leaving"
/// in any order; unknown names are ignored. \return nothing when a value is
/// malformed or the text is empty.
std::optional<load_report> parse_load_report(std::string_view text);

} // namespace arbutusgate
