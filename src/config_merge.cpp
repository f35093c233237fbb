#include "config_merge.hpp"
#include "text.hpp"

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <unordered_map>

namespace arbutusgate {

namespace {

/// Limits the number of patterns in an error message.
constexpr std::size_t max_listed_patterns = 8;

/// True when the first \p n elements of the pattern match those of the path.
bool matches_prefix(const path_pattern& pattern, std::size_t n,
                    const std::vector<std::string>& path)
{
    for (std::size_t i = 0; i < n; ++i) {
        if (pattern[i] != "*" && pattern[i] != path[i])
            return false;
    }
    return true;
}

/// Merges one overlay and keeps the path of the entry being merged.
class overlay_merger
{
public:
    overlay_merger(config_reader& reader, const std::vector<path_pattern>& open)
        : reader_(reader), open_(open)
    {
    }

    void merge(config_node& base, config_node overlay)
    {
        std::unordered_map<std::string, std::size_t> index;
        for (std::size_t i = 0; i < base.children.size(); ++i)
            index.emplace(base.children[i].key, i);
        for (auto& it : overlay.children) {
            path_.push_back(it.key);
            const auto found = index.find(it.key);
            if (found == index.end())
                add_entry(base, std::move(it));
            else
                override_entry(base.children[found->second], std::move(it));
            path_.pop_back();
        }
        std::erase_if(base.children,
                      [](const config_node& it) { return it.removed; });
    }

private:
    void override_entry(config_node& base, config_node overlay)
    {
        if (base.kind == node_kind::mapping &&
            overlay.kind == node_kind::mapping)
            return merge(base, std::move(overlay));
        if (!is_open())
            return report_not_open(overlay);
        if (overlay.kind == node_kind::null)
            base.removed = true;
        else
            base = std::move(overlay);
    }

    void add_entry(config_node& base, config_node overlay)
    {
        if (overlay.kind == node_kind::null) {
            reader_.error(overlay.key_position,
                          concat(path_text(),
                                 ": null removes a value, but the base "
                                 "has none here",
                                 suggest(overlay.key, keys_of(base))));
        }
        else if (is_open()) {
            reject_nulls(overlay);
            base.children.push_back(std::move(overlay));
        }
        else if (overlay.kind == node_kind::mapping && can_add_parent()) {
            config_node parent = overlay;
            parent.children.clear();
            merge(parent, std::move(overlay));
            base.children.push_back(std::move(parent));
        }
        else {
            report_not_open(overlay);
        }
    }

    // An entry that exists only in the overlay has no base value to remove.
    void reject_nulls(config_node& it)
    {
        if (it.kind != node_kind::mapping)
            return;
        for (auto& entry : it.children) {
            path_.push_back(entry.key);
            if (entry.kind == node_kind::null) {
                entry.removed = true;
                reader_.error(entry.key_position,
                              concat(path_text(),
                                     ": null removes a value, but the "
                                     "base has none here"));
            }
            reject_nulls(entry);
            path_.pop_back();
        }
        std::erase_if(it.children,
                      [](const config_node& entry) { return entry.removed; });
    }

    // True when a pattern matches the current path or one of its parents.
    bool is_open() const
    {
        return std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
            return it.size() <= path_.size() &&
                   matches_prefix(it, it.size(), path_);
        });
    }

    // True when the overlay may add a mapping at the current path to reach an
    // open path below it. The last element must match by name: if "*" were
    // enough, a misspelt entry name would add an entry.
    bool can_add_parent() const
    {
        const auto n = path_.size();
        return std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
            return it.size() > n && it[n - 1] != "*" &&
                   matches_prefix(it, n, path_);
        });
    }

    // True when a pattern matches a path below the current one.
    bool has_open_descendant() const
    {
        const auto n = path_.size();
        return std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
            return it.size() > n && matches_prefix(it, n, path_);
        });
    }

    void report_not_open(const config_node& it)
    {
        if (it.kind == node_kind::mapping && has_open_descendant()) {
            reader_.error(it.key_position,
                          concat(path_text(),
                                 ": the base has no entry of this name "
                                 "and does not allow overlays to add one"));
            return;
        }
        std::vector<std::string> patterns;
        for (const auto& pattern : open_) {
            if (patterns.size() == max_listed_patterns) {
                patterns.emplace_back("...");
                break;
            }
            patterns.push_back(absl::StrJoin(pattern, "."));
        }
        reader_.error(it.key_position,
                      concat(path_text(),
                             ": not open to overlays; the base opens ",
                             patterns.empty() ? "nothing"
                                              : absl::StrJoin(patterns, ", ")));
    }

    static std::vector<std::string_view> keys_of(const config_node& it)
    {
        std::vector<std::string_view> out;
        for (const auto& entry : it.children)
            out.push_back(entry.key);
        return out;
    }

    std::string path_text() const
    {
        std::string out;
        for (const auto& it : path_)
            out = join_path(out, it);
        return out;
    }

    config_reader&                   reader_;
    const std::vector<path_pattern>& open_;
    std::vector<std::string>         path_;
};

/// Reports the first element that is not a key of the schema.
/// \return true when all elements are.
bool check_pattern(config_reader& reader, const located_node& at,
                   const path_pattern& pattern, const schema_shape& allowed)
{
    const schema_shape* shape = &allowed;
    for (const auto& element : pattern) {
        std::vector<std::string_view> known;
        const schema_shape*           next = nullptr;
        for (const auto& it : shape->children) {
            known.push_back(it.key);
            if (it.key == element || it.key == "*")
                next = &it;
        }
        if (!next) {
            reader.error(at, concat("no such key ", quote_text(element),
                                    suggest(element, known)));
            return false;
        }
        shape = next;
    }
    return true;
}

} // namespace

std::vector<path_pattern> read_open_patterns(config_reader&      reader,
                                             const config_node&  base,
                                             const schema_shape& allowed)
{
    constexpr entry_count     count{0, 256};
    std::vector<path_pattern> out;
    const auto*               list = base.find("open");
    if (!list || !require_sequence(reader, {*list, "open"}, count))
        return out;
    for (const auto& item : list->children) {
        const located_node at{item, join_path("open", item.key)};
        if (!require_scalar(reader, at, "a path"))
            continue;
        path_pattern pattern = absl::StrSplit(item.text, '.');
        if (check_pattern(reader, at, pattern, allowed))
            out.push_back(std::move(pattern));
    }
    return out;
}

void merge_overlay(config_reader& reader, config_node& base,
                   config_node overlay, const std::vector<path_pattern>& open)
{
    if (overlay.kind == node_kind::null)
        return; // an empty document changes nothing
    if (require_mapping(reader, {overlay, ""}))
        overlay_merger(reader, open).merge(base, std::move(overlay));
}

} // namespace arbutusgate
