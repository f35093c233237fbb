#include "config_reader.hpp"
#include "text.hpp"

#include "absl/strings/escaping.h"

#include <algorithm>
#include <numeric>

namespace arbutusgate {

namespace {

/// A longer list of known names would make an error message hard to read.
constexpr std::size_t max_listed_names = 16;

/// Levenshtein distance.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0]               = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitution =
                diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j]   = std::min({substitution, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string join_path(std::string_view path, std::string_view key)
{
    // Longer keys are never valid; they are truncated to keep messages short.
    constexpr std::size_t max_key_length = 64;
    const auto            shown =
        absl::Utf8SafeCEscape(to_absl(key.substr(0, max_key_length)));
    return path.empty() ? shown : concat(path, ".", shown);
}

std::string quote_text(std::string_view text)
{
    constexpr std::size_t max_length = 60;
    const bool            truncated  = text.size() > max_length;
    return concat("'",
                  absl::Utf8SafeCEscape(to_absl(text.substr(0, max_length))),
                  truncated ? "...'" : "'");
}

std::string suggest(std::string_view                     name,
                    const std::vector<std::string_view>& known)
{
    // Longer names are not similar to any known one.
    constexpr std::size_t max_name_length = 64;
    std::string_view      nearest;
    std::size_t best_distance = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (auto it : known) {
        if (name.size() > max_name_length)
            break;
        const auto n = edit_distance(name, it);
        if (n < best_distance && n < it.size()) {
            best_distance = n;
            nearest       = it;
        }
    }
    if (!nearest.empty())
        return concat("; did you mean '", nearest, "'?");
    if (known.empty() || known.size() > max_listed_names)
        return "";
    std::string out = "; known: ";
    for (auto it : known)
        out += concat(it.data() == known[0].data() ? "" : ", ", it);
    return out;
}

void config_reader::report_unknown_key(const source_position& at,
                                       std::string            message)
{
    if (unknown_ == unknown_key::error)
        error(at, std::move(message));
    else
        add_issue(ignored_keys_, at, std::move(message));
}

void config_reader::error(const source_position& at, std::string message)
{
    add_issue(issues_, at, std::move(message));
}

void config_reader::error(const located_node& at, std::string_view message)
{
    error(at.node.position, at.path.empty() ? std::string(message)
                                            : concat(at.path, ": ", message));
}

void config_reader::record_value(std::string path, std::string value,
                                 const source_position& at)
{
    if (keep_values_)
        values_.push_back({std::move(path), std::move(value),
                           std::string(at.document), at.line});
}

void config_reader::record_default(std::string path, std::string value)
{
    if (keep_values_)
        values_.push_back({std::move(path), std::move(value), "default", 0});
}

void config_reader::declare(std::string_view category, std::string_view name,
                            std::uint32_t idx)
{
    names_[std::string(category)].emplace(name, idx);
}

const std::uint32_t* config_reader::resolve(std::string_view    category,
                                            const located_node& at)
{
    const auto& names = names_[std::string(category)];
    const auto  found = names.find(at.node.text);
    if (found != names.end())
        return &found->second;
    std::vector<std::string_view> known;
    known.reserve(names.size());
    for (const auto& it : names)
        known.push_back(it.first);
    error(at, concat("unknown ", category, " ", quote_text(at.node.text),
                     suggest(at.node.text, known)));
    return nullptr;
}

void config_reader::require_unique(std::string_view       category,
                                   std::string_view       text,
                                   const located_node&    at,
                                   const source_position& where)
{
    auto [found, added] =
        unique_[std::string(category)].try_emplace(std::string(text), at.path);
    if (!added)
        error(where,
              concat(at.path, ": the same ", category, " as ", found->second));
}

std::string to_string(const config_issue& it)
{
    return concat(it.document, ":", it.line, ":", it.column, ": ", it.message);
}

} // namespace arbutusgate
