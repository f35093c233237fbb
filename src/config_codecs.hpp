/// Codecs that convert the scalars of documents to typed values and check them.
///
/// The read() of a codec returns the canonical text of the value, or nothing
/// after it has reported an error. print() returns the text of a default value.
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

/// Returns true when the node is a scalar; otherwise reports that \p expected
/// is required.
bool require_scalar(config_reader& reader, const located_node& at,
                    std::string_view expected);
/// Reports "must be EXPECTED, is ACTUAL".
void report_wrong_value(config_reader& reader, const located_node& at,
                        std::string_view expected);

/// Number within [min, max].
template <class V>
struct number_value
{
    V                min;
    V                max;
    std::string_view unit = "";

    std::optional<std::string> read(config_reader&      reader,
                                    const located_node& at, V& out) const
    {
        const auto expected = concat(
            std::integral<V> ? "a whole number" : "a number",
            unit.empty() ? "" : " of ", unit, " from ", min, " to ", max);
        if (!require_scalar(reader, at, expected))
            return std::nullopt;
        const auto& text = at.node.text;
        const char* end  = text.data() + text.size();
        V           value{};
        const auto  result = std::from_chars(text.data(), end, value);
        // Written as a negated range check so that NaN is rejected, too.
        if (at.node.quoted || result.ec != std::errc{} || result.ptr != end ||
            !(value >= min && value <= max))
        {
            report_wrong_value(reader, at, expected);
            return std::nullopt;
        }
        out = value;
        return print(value);
    }

    /// Returns the shortest text that is read as the same value.
    std::string print(V value) const
    {
        char       buf[32]; // the text of a double has up to 24 characters
        const auto end = std::to_chars(std::begin(buf), std::end(buf), value);
        return {std::begin(buf), end.ptr};
    }
};

/// Whole milliseconds within [min, max].
struct duration_value
{
    std::chrono::milliseconds min;
    std::chrono::milliseconds max;

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

/// Text of limited length that consists of visible ASCII characters without
/// spaces.
struct text_value
{
    std::size_t min_length = 1;
    std::size_t max_length = 256;
    /// Category in which the text must be unique; empty: need not be unique.
    std::string_view unique_as = "";
    /// The value is recorded as a digest and never shown in messages.
    bool secret = false;
    /// Allowed characters; empty: all visible ASCII characters.
    std::string_view alphabet = "";

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, std::string& out) const;
    std::string print(const std::string& value) const { return value; }
};

/// Name that can be used in paths, URLs and metrics.
struct name_value
{
    /// Category in which the name is declared; empty: not declared.
    std::string_view declared_as = "";
    /// Category in which the name must have been declared; empty: any name.
    std::string_view refers_to = "";

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, std::string& out) const;
};

/// Numeric "IP:port" or "[IP]:port".
struct address_value
{
    /// Category in which the address must be unique; empty: need not be unique.
    std::string_view unique_as = "";

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, std::string& out) const;
};

/// Reference by name to an entry that has been declared. It is read as a
/// handle.
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

/// One of a fixed set of names.
template <class E>
struct choice_value
{
    std::vector<std::pair<std::string_view, E>> choices;

    std::optional<std::string> read(config_reader&      reader,
                                    const located_node& at, E& out) const
    {
        if (!require_scalar(reader, at, "a single word"))
            return std::nullopt;
        std::vector<std::string_view> known;
        for (const auto& [name, value] : choices) {
            if (name == at.node.text) {
                out = value;
                return at.node.text;
            }
            known.push_back(name);
        }
        reader.error(at, concat("unknown value ", quote_text(at.node.text),
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
