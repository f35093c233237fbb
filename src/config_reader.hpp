/// Collects the issues, values and declared names while a document tree is
/// read.
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

/// Quotes the text for an error message: escapes it and truncates long text.
std::string quote_text(std::string_view text);

/// Suggests a known name for an unknown one, as the end of an error message.
/// \return "; did you mean 'X'?" with the name of \p known that has the
/// smallest edit distance to \p name; when none is similar, the list of all
/// known names if it is short, else an empty text.
std::string suggest(std::string_view                     name,
                    const std::vector<std::string_view>& known);

/// Collects the results of reading one document tree. Not thread-safe.
class config_reader
{
public:
    using name_map = std::map<std::string, std::uint32_t, std::less<>>;

    /// What a key means that the schema does not have.
    enum class unknown_key
    {
        error,
        ignored, ///< It is listed in ignored_keys().
    };

    /// \param keep_values when false, values are checked but not recorded. This
    /// takes half the time and suits a daemon, which needs only the issues and
    /// the deployment.
    explicit config_reader(bool        keep_values = true,
                           unknown_key unknown     = unknown_key::error)
        : keep_values_(keep_values), unknown_(unknown)
    {
    }

    bool keeps_values() const { return keep_values_; }

    /// Handles a key that the schema does not have.
    void report_unknown_key(const source_position& at, std::string message);
    const std::vector<config_issue>& ignored_keys() const
    {
        return ignored_keys_;
    }

    void error(const source_position& at, std::string message);
    /// Reports an error at the position of the value, prefixed with its path.
    void error(const located_node& at, std::string_view message);
    /// Records a value with the document and line that set it.
    void record_value(std::string path, std::string value,
                      const source_position& at);
    /// Records a default value, which no document sets.
    void record_default(std::string path, std::string value);

    /// Declares a name of a category, such as "pool". \p idx is its index among
    /// the entries of the category.
    void declare(std::string_view category, std::string_view name,
                 std::uint32_t idx);
    /// \return index of a declared name, or null after an error.
    const std::uint32_t* resolve(std::string_view    category,
                                 const located_node& at);
    /// Reports an error at \p where if the text has occurred in the category
    /// before. The message omits the text because it may be a secret.
    void require_unique(std::string_view category, std::string_view text,
                        const located_node& at, const source_position& where);

    std::vector<config_issue>&       issues() { return issues_; }
    const std::vector<config_issue>& issues() const { return issues_; }
    std::vector<config_value>&       values() { return values_; }

private:
    bool                                         keep_values_;
    unknown_key                                  unknown_;
    std::vector<config_issue>                    issues_;
    std::vector<config_issue>                    ignored_keys_;
    std::vector<config_value>                    values_;
    std::map<std::string, name_map, std::less<>> names_;
    std::map<std::string, std::unordered_map<std::string, std::string>,
             std::less<>>
        unique_;
};

} // namespace arbutusgate
