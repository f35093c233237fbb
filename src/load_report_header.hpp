/// Parser of the Load-Report header that targets send.
#pragma once

#include "arbutusgate/policy.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Parses "in_flight=N, queued=N, capacity=N, lag_ms=N, state=serving|leaving,
/// limit=CALLS_A_SECOND" with its fields in any order; unknown fields are
/// ignored. \return nothing when the text is empty or a value other than the
/// limit is malformed.
std::optional<load_report> parse_load_report(std::string_view text);

} // namespace arbutusgate
