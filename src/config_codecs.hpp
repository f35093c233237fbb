/// Scalars of the documents: text to typed values with checks.
///
/// A codec's read() returns the canonical text of the value, or nothing after
/// it reported an error. print() gives the text of a default.
#pragma once

#include "config_reader.hpp"
#include "text.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <concepts>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusgate {

template <class C, class V>
concept value_codec = requires(const C& it, config_reader& reader,
                               const located_node& at, V& out)
{
    {
        it.read(reader, at, out)
        } -> std::same_as<std::optional<std::string>>;
};

/// True when the node is a scalar; else reports that \p wanted is needed.
bool require_scalar(config_reader& reader, const located_node& at,
                    std::string_view wanted);
/// Reports "must be WANTED, is ...".
void report_wrong_value(config_reader& reader, const located_node& at,
                        std::string_view wanted);

/// Number within [least, most].
template <class V>
struct number_value
{
    V                least;
    V                most;
    std::string_view unit = "";

    std::optional<std::string> read(config_reader&      reader,
                                    const located_node& at, V& out) const
    {
        const auto wanted = concat(
            std::integral<V> ? "a whole number" : "a number",
            unit.empty() ? "" : " of ", unit, " from ", least, " to ", most);
        if (!require_scalar(reader, at, wanted))
            return std::nullopt;
        const auto& text = at.node.text;
        const char* end  = text.data() + text.size();
        V           value{};
        const auto  result = std::from_chars(text.data(), end, value);
        // The negated comparison also refuses NaN.
        if (at.node.quoted || result.ec != std::errc{} || result.ptr != end ||
            !(value >= least && value <= most))
        {
            report_wrong_value(reader, at, wanted);
            return std::nullopt;
        }
        out = value;
        return print(value);
    }

    /// The shortest text that reads back as the same value.
    std::string print(V value) const
    {
        char       buf[32]; // a double needs 24
        const auto end = std::to_chars(std::begin(buf), std::end(buf), value);
        return {std::begin(buf), end.ptr};
    }
};

/// Whole milliseconds within [least, most].
struct duration_value
{
    std::chrono::milliseconds least;
    std::chrono::milliseconds most;

    std::optional<std::string> read(config_reader&             reader,
                                    const located_node&        at,
                                    std::chrono::milliseconds& out) const;
    std::string                print(std::chrono::milliseconds value) const
    {
        return concat(value.count());
    }
};

/// `true` or `false`.
struct bool_value
{
    std::optional<std::string> read(config_reader&      reader,
                                    const located_node& at, bool& out) const;
    std::string print(bool value) const { return value ? "true" : "false"; }
};

/// Text of limited length, of visible ASCII without spaces.
struct text_value
{
    std::size_t shortest = 1;
    std::size_t longest  = 256;
    /// Occurs once per category when set.
    std::string_view unique_as = "";
    /// Noted as a digest, never as text.
    bool secret = false;
    /// Characters that may occur; empty: all visible ones.
    std::string_view alphabet = "";

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, std::string& out) const;
    std::string print(const std::string& value) const { return value; }
};

/// Name that can stand in paths, URLs and metrics.
struct name_value
{
    /// Declares the name in this category when set.
    std::string_view declared_as = "";
    /// Must be declared in this category when set.
    std::string_view known_as = "";

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, std::string& out) const;
};

/// Numeric "IP:port" or "[IP]:port".
struct address_value
{
    std::string_view unique_as = "";

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, std::string& out) const;
};

/// Handle of a name that was declared earlier in the schema.
template <class Handle>
struct reference_value
{
    std::string_view category;

    std::optional<std::string> read(config_reader&      reader,
                                    const located_node& at, Handle& out) const
    {
        if (!require_scalar(reader, at, concat("the name of a ", category)))
            return std::nullopt;
        const auto* idx = reader.resolve(category, at);
        if (!idx)
            return std::nullopt;
        out = Handle{*idx};
        return at.node.text;
    }
};

/// One of a few words.
template <class E>
struct choice_value
{
    std::vector<std::pair<std::string_view, E>> choices;

    std::optional<std::string> read(config_reader&      reader,
                                    const located_node& at, E& out) const
    {
        if (!require_scalar(reader, at, "one word"))
            return std::nullopt;
        std::vector<std::string_view> known;
        for (const auto& [name, value] : choices) {
            if (name == at.node.text) {
                out = value;
                return at.node.text;
            }
            known.push_back(name);
        }
        reader.error(at, concat("unknown word ", quote_text(at.node.text),
                                suggest(at.node.text, known)));
        return std::nullopt;
    }

    std::string print(const E& value) const
    {
        for (const auto& it : choices) {
            if (it.second == value)
                return std::string(it.first);
        }
        return "";
    }
};

} // namespace arbutusgate
