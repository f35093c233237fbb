/// Functions that check the configuration documents of one version.
#pragma once

#include "config_tree.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

inline constexpr std::string_view base_document = "base";

/// Name of the overlay document of a site.
std::string overlay_document(std::string_view site);

/// Sorts the issues by document and position and removes duplicates.
void sort_issues(std::vector<config_issue>& issues);

/// Parses the named document. A missing document is reported as an issue.
parsed_document load_document(const config_documents& documents,
                              std::string_view        name);

/// Merges the overlay of a site into the parsed base and checks the result.
/// The issues of \p base are part of the result.
/// \param keep_values when false, checked_config::values stays empty.
checked_config check_site(const config_documents& documents,
                          parsed_document base, const std::string& site,
                          std::uint64_t version, bool keep_values);

} // namespace arbutusgate
