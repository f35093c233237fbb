#include "cli_table.hpp"

#include "text.hpp"

#include <boost/json/serialize.hpp>

#include "absl/strings/escaping.h"

#include <algorithm>
#include <ostream>

namespace arbutusgate {

namespace json = boost::json;

namespace {

std::string format_cell(const json::value& it)
{
    if (const auto* text = it.if_string())
        return std::string(*text);
    if (const auto* list = it.if_array()) {
        std::string out;
        for (const auto& item : *list)
            out += concat(out.empty() ? "" : ", ", format_cell(item));
        return out;
    }
    return it.is_null() ? "-" : json::serialize(it);
}

bool is_object_list(const json::value& it)
{
    const auto* list = it.if_array();
    return list && !list->empty() &&
           std::all_of(list->begin(), list->end(), [](const json::value& item) {
               return item.is_object();
           });
}

text_table to_table(const json::array& list)
{
    text_table out;
    for (const auto& item : list) {
        for (const auto& member : item.get_object()) {
            std::string name(member.key());
            if (std::find(out.heading.begin(), out.heading.end(), name) ==
                out.heading.end())
                out.heading.push_back(std::move(name));
        }
    }
    for (const auto& item : list) {
        auto& row = out.rows.emplace_back();
        for (const auto& name : out.heading) {
            const auto* value = item.get_object().if_contains(name);
            row.push_back(value ? format_cell(*value) : "");
        }
    }
    return out;
}

/// Splits the members of an object into scalars and lists of objects; nested
/// objects are flattened.
void collect_members(
    const std::string& prefix, const json::object& it, text_table& scalars,
    std::vector<std::pair<std::string, const json::array*>>& lists)
{
    for (const auto& member : it) {
        const auto  name  = concat(prefix, std::string(member.key()));
        const auto& value = member.value();
        if (const auto* nested = value.if_object())
            collect_members(name + ".", *nested, scalars, lists);
        else if (is_object_list(value))
            lists.emplace_back(name, &value.get_array());
        else
            scalars.rows.push_back({name, format_cell(value)});
    }
}

/// Escapes control characters: a daemon's values must not send control
/// sequences to the terminal.
std::string escape_cell(const std::string& cell)
{
    return absl::Utf8SafeCEscape(cell);
}

void print_row(std::ostream& out, const std::vector<std::string>& row,
               const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        const auto cell = escape_cell(row[i]);
        line += cell;
        if (i + 1 < row.size())
            line.append(widths[i] + 2 - std::min(cell.size(), widths[i]), ' ');
    }
    out << line << '\n';
}

} // namespace

void print(std::ostream& out, const text_table& it)
{
    std::vector<std::size_t> widths(it.heading.size());
    const auto               widen = [&](const std::vector<std::string>& row) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], escape_cell(row[i]).size());
    };
    widen(it.heading);
    for (const auto& row : it.rows)
        widen(row);
    if (!it.heading.empty())
        print_row(out, it.heading, widths);
    for (const auto& row : it.rows)
        print_row(out, row, widths);
}

void print_tables(std::ostream& out, const json::value& it)
{
    if (is_object_list(it))
        return print(out, to_table(it.get_array()));
    const auto* object = it.if_object();
    if (!object) {
        out << escape_cell(format_cell(it)) << '\n';
        return;
    }
    text_table                                              scalars;
    std::vector<std::pair<std::string, const json::array*>> lists;
    collect_members("", *object, scalars, lists);
    print(out, scalars);
    for (const auto& [name, list] : lists) {
        out << '\n' << escape_cell(name) << ":\n";
        print(out, to_table(*list));
    }
}

} // namespace arbutusgate
