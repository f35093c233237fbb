/// SHA-256 hash.
#pragma once

#include <string>
#include <string_view>

namespace arbutusgate {

/// \return the binary digest, 32 bytes.
std::string sha256(std::string_view text);

} // namespace arbutusgate
