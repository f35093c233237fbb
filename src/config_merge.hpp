/// Base and overlay trees to one effective tree.
#pragma once

#include "config_schema.hpp"

#include <string>
#include <vector>

namespace arbutusgate {

/// Path pattern with "*" for one element; it opens everything below.
using path_pattern = std::vector<std::string>;

/// Reads the list `open:` of the base. Patterns that match no path of
/// \p allowed are reported and left out.
std::vector<path_pattern> read_open_patterns(config_reader&      reader,
                                             const config_node&  base,
                                             const schema_shape& allowed);

/// Merges the overlay into the base: mappings deep, anything else replaces,
/// null removes. Reports each path that the patterns do not open.
void merge_overlay(config_reader& reader, config_node& base,
                   config_node overlay, const std::vector<path_pattern>& open);

} // namespace arbutusgate
