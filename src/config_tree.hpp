/// YAML documents as trees whose nodes know their position.
#pragma once

#include "arbutusgate/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Place in a document. Lines and columns count from 1; line 0: no place.
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
    node_kind       kind = node_kind::null;
    std::string     key; ///< In its mapping, or the index in its sequence.
    std::string     text;
    bool            quoted  = false;
    bool            removed = false; ///< Marked by a merge, then erased.
    source_position key_position;
    source_position position;
    /// Entries of a mapping in document order, or items of a sequence.
    std::vector<config_node> children;

    /// Entry of a mapping; null when absent.
    const config_node* find(std::string_view name) const;
};

/// Adds an issue. After many, one more says that the others are left out, so
/// that a broken document of 1 MB cannot exhaust a daemon's memory.
void add_issue(std::vector<config_issue>& issues, const source_position& at,
               std::string message);

/// Outcome of parse_document. With issues the tree may be incomplete.
struct parsed_document
{
    config_node               root;
    std::vector<config_issue> issues;
};

/// Parses one document of at most limits::config_value_size bytes. Reports
/// syntax errors, duplicate keys, anchors, aliases, further documents and more
/// values than any deployment needs.
/// \param name outlives the tree.
parsed_document parse_document(std::string_view name, const std::string& text);

} // namespace arbutusgate
