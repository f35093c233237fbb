/// Parses settings files according to a schema.
#pragma once

#include "config_schema.hpp"
#include "config_tree.hpp"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace arbutusgate {

/// Converts the issues to an InvalidArgument status with one line for each.
absl::Status issues_status(const std::vector<config_issue>& issues);

/// Removes the keys without a value, at all depths.
void remove_empty_values(config_node& from);

/// Parses and checks the text of a settings file. A key without a value counts
/// as absent: it was rendered from a template for a value that is not set.
/// \param name precedes the line and column in each error message.
/// \param ignored_keys receives a line for each unknown key; if null, unknown
/// keys are errors.
/// \return InvalidArgument with one line for each error.
template <class T>
absl::StatusOr<T>
parse_settings_document(const std::string& text, const std::string& name,
                        const schema<T>&          keys,
                        std::vector<std::string>* ignored_keys = nullptr)
{
    using unknown_key = config_reader::unknown_key;
    auto document     = parse_document(name, text);
    if (!document.issues.empty())
        return issues_status(document.issues);
    remove_empty_values(document.root);
    config_reader reader(true, ignored_keys ? unknown_key::ignored
                                            : unknown_key::error);
    T             out;
    read_mapping(reader, {document.root, ""}, keys, out);
    if (!reader.issues().empty())
        return issues_status(reader.issues());
    for (const auto& it : reader.ignored_keys())
        ignored_keys->push_back(to_string(it));
    return out;
}

} // namespace arbutusgate
