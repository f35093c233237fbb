/// SHA-256 of a text.
#pragma once

#include <string>
#include <string_view>

namespace arbutusgate {

/// \return 32 bytes.
std::string sha256(std::string_view text);

} // namespace arbutusgate
