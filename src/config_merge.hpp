/// Merges the trees of the base and an overlay into one effective tree.
#pragma once

#include "config_schema.hpp"

#include <string>
#include <vector>

namespace arbutusgate {

/// Path elements, where "*" matches any single element. The pattern matches
/// the path itself and all paths below it.
using path_pattern = std::vector<std::string>;

/// Reads the list `open` of the base: the paths that overlays may change.
/// Patterns that match no path of \p allowed are reported and skipped.
std::vector<path_pattern> read_open_patterns(config_reader&      reader,
                                             const config_node&  base,
                                             const schema_shape& allowed);

/// Merges the overlay into the base. Mappings are merged recursively, other
/// values replace those of the base, and null removes an entry. Changes of
/// paths that match no pattern of \p open are reported and not applied.
void merge_overlay(config_reader& reader, config_node& base,
                   config_node overlay, const std::vector<path_pattern>& open);

} // namespace arbutusgate
