/// State of one pass over a document tree: issues, values, declared names.
#pragma once

#include "config_tree.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate {

/// A node and its path from the root, such as "pipelines.quote".
struct located_node
{
    const config_node& node;
    std::string        path;
};

/// Path of an entry of the mapping or sequence at \p path.
std::string join_path(std::string_view path, std::string_view key);

/// The text in quotes, shortened and escaped for an error message.
std::string quote_text(std::string_view text);

/// "; did you mean 'X'?" with the name of \p known that is nearest to
/// \p name, or the list of all when none is near and they are few.
std::string suggest(std::string_view                     name,
                    const std::vector<std::string_view>& known);

/// Collects what a pass over a document finds. Not thread-safe.
class config_reader
{
public:
    using name_map = std::map<std::string, std::uint32_t, std::less<>>;

    /// \param keep_values false: values are checked but not noted, which takes
    /// half the time for a daemon, which needs issues and the result only.
    explicit config_reader(bool keep_values = true) : keep_values_(keep_values)
    {
    }

    bool keeps_values() const { return keep_values_; }

    void error(const source_position& at, std::string message);
    /// Reports at the value of \p at, with its path.
    void error(const located_node& at, std::string_view message);
    void note_value(std::string path, std::string value,
                    const source_position& at);
    /// Notes a value that no document sets.
    void note_default(std::string path, std::string value);

    /// Declares a name of a category, such as "pool".
    void declare(std::string_view category, std::string_view name,
                 std::uint32_t idx);
    /// \return index of a declared name, or null after an error.
    const std::uint32_t* resolve(std::string_view    category,
                                 const located_node& at);
    /// Reports an error when the text occurred before in the category.
    /// The text itself stays out of the message: it may be a secret.
    void require_unique(std::string_view category, std::string_view text,
                        const located_node& at, const source_position& where);

    std::vector<config_issue>&       issues() { return issues_; }
    const std::vector<config_issue>& issues() const { return issues_; }
    std::vector<config_value>&       values() { return values_; }

private:
    bool                                         keep_values_;
    std::vector<config_issue>                    issues_;
    std::vector<config_value>                    values_;
    std::map<std::string, name_map, std::less<>> names_;
    std::map<std::string, std::unordered_map<std::string, std::string>,
             std::less<>>
        unique_;
};

} // namespace arbutusgate
