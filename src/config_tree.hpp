/// Parses YAML documents into trees whose nodes hold their position.
#pragma once

#include "arbutusgate/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Position in a document. Lines and columns count from 1; line 0 means that
/// there is no position.
struct source_position
{
    std::string_view document;
    std::uint32_t    line   = 0;
    std::uint32_t    column = 0;
};

enum class node_kind
{
    null,
    scalar,
    sequence,
    mapping,
};

/// One node of a document.
struct config_node
{
    node_kind   kind = node_kind::null;
    std::string key; ///< Key in the mapping, or index in the sequence.
    std::string text;
    bool        quoted = false;
    bool removed       = false; ///< Set by a merge, which then erases the node.
    source_position key_position;
    source_position position;
    /// Entries of a mapping in document order, or items of a sequence.
    std::vector<config_node> children;

    /// Entry of a mapping; null when absent.
    const config_node* find(std::string_view name) const;
};

/// Adds an issue. Beyond a fixed number of issues it adds only one more, which
/// says that the others are left out. Without this limit a broken document of
/// 1 MB could exhaust the memory of a daemon.
void add_issue(std::vector<config_issue>& issues, const source_position& at,
               std::string message);

/// Result of parse_document. If there are issues, the tree may be incomplete.
struct parsed_document
{
    config_node               root;
    std::vector<config_issue> issues;
};

/// Parses one document of at most limits::config_value_size bytes. Reports
/// syntax errors, duplicate keys, anchors, aliases, additional YAML documents
/// and more values than any deployment needs. \param name must outlive the
/// tree, whose positions refer to it.
parsed_document parse_document(std::string_view name, const std::string& text);

} // namespace arbutusgate
