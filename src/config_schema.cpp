#include "config_schema.hpp"

namespace arbutusgate {

void report_unknown_key(config_reader& reader, const source_position& at,
                        const std::string& path, std::string_view key,
                        const std::vector<std::string_view>& known)
{
    reader.report_unknown_key(at, concat(path, path.empty() ? "" : ": ",
                                         "unknown key ", quote_text(key),
                                         suggest(key, known)));
}

bool require_mapping(config_reader& reader, const located_node& at)
{
    if (at.node.kind == node_kind::mapping)
        return true;
    report_wrong_value(reader, at, "a mapping");
    return false;
}

bool require_sequence(config_reader& reader, const located_node& at,
                      entry_count count)
{
    if (at.node.kind != node_kind::sequence) {
        report_wrong_value(reader, at, "a list");
        return false;
    }
    return require_count(reader, at, count);
}

bool require_count(config_reader& reader, const located_node& at,
                   entry_count count)
{
    const auto n = at.node.children.size();
    if (n >= count.min && n <= count.max)
        return true;
    reader.error(at, concat("must have ", count.min, " to ", count.max,
                            " entries, has ", n));
    return false;
}

void record_empty(config_reader& reader, const located_node& at)
{
    if (at.node.children.empty())
        reader.record_value(at.path,
                            at.node.kind == node_kind::mapping ? "{}" : "[]",
                            at.node.position);
}

void check_entry_name(config_reader& reader, const located_node& at)
{
    config_node key;
    key.kind     = node_kind::scalar;
    key.text     = at.node.key;
    key.position = at.node.key_position;
    std::string name;
    name_value{}.read(reader, {key, at.path}, name);
}

} // namespace arbutusgate
