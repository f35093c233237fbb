#include "config_codecs.hpp"

#include "http_client.hpp"

#include "absl/strings/escaping.h"

#include <openssl/sha.h>

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr std::size_t max_name_length    = 63;
constexpr std::size_t shown_digest_bytes = 6;

bool is_name(std::string_view text)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyz0123456789-_";
    return !text.empty() && text.size() <= max_name_length && text[0] != '-' &&
           text[0] != '_' &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

std::string_view describe_kind(const config_node& it)
{
    switch (it.kind) {
    case node_kind::null:
        return "empty";
    case node_kind::scalar:
        return "a scalar";
    case node_kind::sequence:
        return "a list";
    case node_kind::mapping:
        return "a mapping";
    }
    return "";
}

bool is_address(const std::string& text)
{
    std::string   host;
    std::uint16_t port = 0;
    return parse_address(text, host, port);
}

std::string digest(std::string_view text)
{
    unsigned char out[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           out);
    return concat("sha256:",
                  absl::BytesToHexString(
                      {reinterpret_cast<char*>(out), shown_digest_bytes}));
}

} // namespace

void report_wrong_value(config_reader& reader, const located_node& at,
                        std::string_view expected)
{
    const auto& it    = at.node;
    std::string found = it.kind == node_kind::scalar
                            ? quote_text(it.text)
                            : std::string(describe_kind(it));
    if (it.quoted)
        found += " in quotes";
    reader.error(at, concat("must be ", expected, ", is ", found));
}

bool require_scalar(config_reader& reader, const located_node& at,
                    std::string_view expected)
{
    if (at.node.kind == node_kind::scalar)
        return true;
    report_wrong_value(reader, at, expected);
    return false;
}

std::optional<std::string>
duration_value::read(config_reader& reader, const located_node& at,
                     std::chrono::milliseconds& out) const
{
    const number_value<std::int64_t> codec{min.count(), max.count(),
                                           "milliseconds"};
    std::int64_t                     n    = 0;
    auto                             text = codec.read(reader, at, n);
    if (text)
        out = std::chrono::milliseconds(n);
    return text;
}

std::optional<std::string>
bool_value::read(config_reader& reader, const located_node& at, bool& out) const
{
    const auto& it = at.node;
    if (it.kind != node_kind::scalar || it.quoted ||
        (it.text != "true" && it.text != "false"))
    {
        report_wrong_value(reader, at, "true or false");
        return std::nullopt;
    }
    out = it.text == "true";
    return it.text;
}

std::optional<std::string> text_value::read(config_reader&      reader,
                                            const located_node& at,
                                            std::string&        out) const
{
    const auto expected = concat(
        "text of ",
        min_length == max_length ? concat(max_length)
                                 : concat(min_length, " to ", max_length),
        alphabet.empty() ? " visible ASCII characters"
                         : concat(" characters of ", alphabet));
    if (!require_scalar(reader, at, expected))
        return std::nullopt;
    const auto& text    = at.node.text;
    const bool  allowed = std::all_of(text.begin(), text.end(), [&](char c) {
        return alphabet.empty() ? c > ' ' && c <= '~'
                                 : alphabet.find(c) != std::string_view::npos;
    });
    if (!allowed || text.size() < min_length || text.size() > max_length) {
        if (secret)
            reader.error(at, concat("must be ", expected));
        else
            report_wrong_value(reader, at, expected);
        return std::nullopt;
    }
    if (!unique_as.empty())
        reader.require_unique(unique_as, text, at, at.node.position);
    out = text;
    return secret && reader.keeps_values() ? digest(text) : text;
}

std::optional<std::string> name_value::read(config_reader&      reader,
                                            const located_node& at,
                                            std::string&        out) const
{
    constexpr std::string_view expected =
        "a name of at most 63 characters of a-z, 0-9, - and _ that starts "
        "with a letter or digit";
    if (!require_scalar(reader, at, expected))
        return std::nullopt;
    if (!is_name(at.node.text)) {
        report_wrong_value(reader, at, expected);
        return std::nullopt;
    }
    if (!refers_to.empty() && !reader.resolve(refers_to, at))
        return std::nullopt;
    if (!declared_as.empty())
        reader.declare(declared_as, at.node.text, 0);
    out = at.node.text;
    return out;
}

std::optional<std::string> address_value::read(config_reader&      reader,
                                               const located_node& at,
                                               std::string&        out) const
{
    constexpr std::string_view expected = "a numeric IP:port";
    if (!require_scalar(reader, at, expected))
        return std::nullopt;
    if (!is_address(at.node.text)) {
        report_wrong_value(reader, at, expected);
        return std::nullopt;
    }
    if (!unique_as.empty())
        reader.require_unique(unique_as, at.node.text, at, at.node.position);
    out = at.node.text;
    return out;
}

} // namespace arbutusgate
