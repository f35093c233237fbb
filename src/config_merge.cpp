#include "config_merge.hpp"
#include "text.hpp"

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <unordered_map>

namespace arbutusgate {

namespace {

/// Patterns listed in an error message.
constexpr std::size_t shown_patterns = 8;

bool is_prefix(const path_pattern& pattern, std::size_t n,
               const std::vector<std::string>& path)
{
    for (std::size_t i = 0; i < n; ++i) {
        if (pattern[i] != "*" && pattern[i] != path[i])
            return false;
    }
    return true;
}

/// Carries out one merge.
class overlay_merge
{
public:
    overlay_merge(config_reader& reader, const std::vector<path_pattern>& open)
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
                add(base, std::move(it));
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
        if (!opened())
            return report_closed(overlay);
        if (overlay.kind == node_kind::null)
            base.removed = true;
        else
            base = std::move(overlay);
    }

    void add(config_node& base, config_node overlay)
    {
        if (overlay.kind == node_kind::null) {
            reader_.error(overlay.key_position,
                          concat(path_text(),
                                 ": null removes a value, but the base "
                                 "has none here",
                                 suggest(overlay.key, keys_of(base))));
        }
        else if (opened()) {
            drop_nulls(overlay);
            base.children.push_back(std::move(overlay));
        }
        else if (overlay.kind == node_kind::mapping && leads_to_open()) {
            config_node section = overlay;
            section.children.clear();
            merge(section, std::move(overlay));
            base.children.push_back(std::move(section));
        }
        else {
            report_closed(overlay);
        }
    }

    // In a part that only the overlay has there is nothing to remove.
    void drop_nulls(config_node& it)
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
            drop_nulls(entry);
            path_.pop_back();
        }
        std::erase_if(it.children,
                      [](const config_node& entry) { return entry.removed; });
    }

    bool opened() const
    {
        return std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
            return it.size() <= path_.size() && is_prefix(it, it.size(), path_);
        });
    }

    // A name that only "*" matches must exist in the base: else a misspelt
    // name would add an entry.
    bool leads_to_open() const
    {
        const auto n = path_.size();
        return std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
            return it.size() > n && it[n - 1] != "*" && is_prefix(it, n, path_);
        });
    }

    bool below_open_name() const
    {
        const auto n = path_.size();
        return std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
            return it.size() > n && is_prefix(it, n, path_);
        });
    }

    void report_closed(const config_node& it)
    {
        if (it.kind == node_kind::mapping && below_open_name()) {
            reader_.error(it.key_position,
                          concat(path_text(),
                                 ": the base has no entry of this name, "
                                 "and does not open adding one"));
            return;
        }
        std::vector<std::string> patterns;
        for (const auto& pattern : open_) {
            if (patterns.size() == shown_patterns) {
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

/// Reports the first element that the shape does not have.
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
        overlay_merge(reader, open).merge(base, std::move(overlay));
}

} // namespace arbutusgate
