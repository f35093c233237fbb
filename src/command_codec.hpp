/// JSON of the engines' protocol for commands (docs/design.md, section 7.5).
#pragma once

#include "command_types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Body of `POST /v1/orders`.
std::string write_order(const engine_command& command);

/// Reads the answer to `GET /v1/orders`. Absent texts and lists are empty.
/// \return nothing when it is no such answer.
std::optional<engine_state> read_order_state(std::string_view body);

} // namespace arbutusgate
