/// JSON encoding of the engine command protocol (docs/design.md, section 7.5).
#pragma once

#include "command_types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Encodes the body of `POST /v1/orders`.
std::string encode_command(const engine_command& command);

/// Decodes the response to `GET /v1/orders`. Absent strings and lists are
/// empty. \return nullopt when the body is malformed.
std::optional<engine_state> decode_engine_state(std::string_view body);

} // namespace arbutusgate
