/// Steps of checking the documents of one version.
#pragma once

#include "config_tree.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

inline constexpr std::string_view base_document = "base";

/// Name of a site's overlay.
std::string overlay_document(std::string_view site);

/// Sorts by place and drops repeated issues.
void sort_issues(std::vector<config_issue>& issues);

/// Parses the named document; a document that is absent is an issue.
parsed_document load_document(const config_documents& documents,
                              std::string_view        name);

/// Checks one site over the parsed base.
/// \param base issues included; its tree becomes the merged one.
/// \param keep_values false: the values are left out.
checked_config check_site(const config_documents& documents,
                          parsed_document base, const std::string& site,
                          std::uint64_t version, bool keep_values);

} // namespace arbutusgate
