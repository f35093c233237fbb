/// Declarative schema: the keys that a mapping may have and the struct members
/// that they set.
#pragma once

#include "config_codecs.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Tree of the keys that a document may have, without their types. The key "*"
/// stands for any name.
struct schema_shape
{
    std::string               key;
    std::vector<schema_shape> children;
};

/// Whether a key must be present, and what is recorded when it is absent.
enum class presence
{
    required,
    defaulted, ///< When absent, the default is recorded as its value.
    optional,  ///< When absent, nothing is recorded.
};

/// One key of a mapping that is read into a T.
template <class T>
struct schema_field
{
    schema_shape shape;
    presence     need = presence::required;
    std::function<void(config_reader&, const located_node&, T&)>    read;
    std::function<void(config_reader&, std::string path, const T&)> absent;
};

/// All keys of a mapping that is read into a T, in reading order.
template <class T>
using schema = std::vector<schema_field<T>>;

template <class T>
schema_shape make_shape(std::string key, const schema<T>& keys)
{
    schema_shape out{std::move(key), {}};
    for (const auto& it : keys)
        out.children.push_back(it.shape);
    return out;
}

/// Reports an unknown key, with a suggestion from the known ones.
void report_unknown_key(config_reader& reader, const source_position& at,
                        const std::string& path, std::string_view key,
                        const std::vector<std::string_view>& known);

/// Returns true when the node is a mapping; otherwise reports an error.
bool require_mapping(config_reader& reader, const located_node& at);

/// Reads a mapping into \p out. Reports every unknown key, missing key and
/// invalid value.
template <class T>
void read_mapping(config_reader& reader, const located_node& at,
                  const schema<T>& keys, T& out)
{
    if (!require_mapping(reader, at))
        return;
    std::vector<std::string_view> known;
    for (const auto& it : keys) {
        known.push_back(it.shape.key);
        const auto* node = at.node.find(it.shape.key);
        auto        path = join_path(at.path, it.shape.key);
        if (node)
            it.read(reader, {*node, path}, out);
        else if (it.need == presence::required)
            reader.error(at.node.key_position, path + ": missing");
        else if (it.absent)
            it.absent(reader, path, out);
    }
    for (const auto& it : at.node.children) {
        if (std::find(known.begin(), known.end(), it.key) == known.end())
            report_unknown_key(reader, it.key_position, at.path, it.key, known);
    }
}

/// Defines a key with a scalar value.
template <class T, class C, class V, value_codec<V> Codec>
schema_field<T> field(std::string_view key, V C::*member, const Codec& codec,
                      presence need = presence::required)
{
    schema_field<T> out;
    out.shape.key = key;
    out.need      = need;
    out.read      = [=](config_reader& reader, const located_node& at, T& it) {
        if (auto text = codec.read(reader, at, it.*member))
            reader.record_value(at.path, std::move(*text), at.node.position);
    };
    if constexpr (requires(const V& value) { codec.print(value); }) {
        if (need == presence::defaulted) {
            out.absent = [=](config_reader& reader, std::string path,
                             const T& it) {
                reader.record_default(std::move(path), codec.print(it.*member));
            };
        }
    }
    return out;
}

/// Inclusive bounds of the number of entries of a collection.
struct entry_count
{
    std::size_t min = 0;
    std::size_t max = 0;
};

/// Returns true when the node is a sequence whose size is within the bounds;
/// otherwise reports an error.
bool require_sequence(config_reader& reader, const located_node& at,
                      entry_count count);
/// Returns true when the number of entries is within the bounds; otherwise
/// reports an error.
bool require_count(config_reader& reader, const located_node& at,
                   entry_count count);
/// Records an empty collection as a value. It has no entries that would record
/// which document set it.
void record_empty(config_reader& reader, const located_node& at);

/// Defines a key with a list of scalars.
template <class T, class V, value_codec<V> Codec>
schema_field<T> list_of(std::string_view key, std::vector<V> T::*member,
                        const Codec& codec, entry_count count,
                        presence need = presence::optional)
{
    schema_field<T> out;
    out.shape.key = key;
    out.need      = need;
    out.read      = [=](config_reader& reader, const located_node& at, T& it) {
        if (!require_sequence(reader, at, count))
            return;
        record_empty(reader, at);
        for (const auto& item : at.node.children) {
            const located_node where{item, join_path(at.path, item.key)};
            V                  value{};
            if (auto text = codec.read(reader, where, value)) {
                reader.record_value(where.path, std::move(*text),
                                         item.position);
                (it.*member).push_back(std::move(value));
            }
        }
    };
    return out;
}

/// Defines a key with a list of mappings.
template <class T, class C, class V>
schema_field<T> list_of_mappings(std::string_view key,
                                 std::vector<V> C::*member,
                                 const schema<V>& item, entry_count count)
{
    schema_field<T> out;
    out.shape.key = key;
    out.read      = [=](config_reader& reader, const located_node& at, T& it) {
        if (!require_sequence(reader, at, count))
            return;
        for (const auto& node : at.node.children)
            read_mapping(reader, {node, join_path(at.path, node.key)}, item,
                              (it.*member).emplace_back());
    };
    return out;
}

/// Defines a key with one mapping.
template <class T, class V>
schema_field<T> section(std::string_view key, V T::*member,
                        const schema<V>& keys)
{
    schema_field<T> out;
    out.shape = make_shape(std::string(key), keys);
    out.read  = [=](config_reader& reader, const located_node& at, T& it) {
        read_mapping(reader, at, keys, it.*member);
    };
    return out;
}

/// Defines a key with one mapping that may be absent but not empty.
template <class T, class C, class V>
schema_field<T> optional_section(std::string_view key,
                                 std::optional<V> C::*member,
                                 const schema<V>&     keys)
{
    schema_field<T> out;
    out.shape = make_shape(std::string(key), keys);
    out.need  = presence::optional;
    out.read  = [=](config_reader& reader, const located_node& at, T& it) {
        if (!require_mapping(reader, at) || !require_count(reader, at, {1, 64}))
            return;
        read_mapping(reader, at, keys, (it.*member).emplace());
    };
    return out;
}

/// Reports an error when the key of an entry is not a valid name.
void check_entry_name(config_reader& reader, const located_node& at);

/// Defines a key whose value maps names to mappings. V::name receives the name,
/// which is declared in \p category.
template <class T, class V>
schema_field<T> by_name(std::string_view key, std::vector<V> T::*member,
                        const schema<V>& item, std::string_view category,
                        entry_count count, presence need = presence::required)
{
    schema_field<T> out;
    out.shape = schema_shape{std::string(key), {make_shape("*", item)}};
    out.need  = need;
    out.read  = [=](config_reader& reader, const located_node& at, T& it) {
        if (!require_mapping(reader, at) || !require_count(reader, at, count))
            return;
        record_empty(reader, at);
        auto& entries = it.*member;
        // All names are declared before the entries are read, so that entries
        // can refer to each other.
        for (const auto& node : at.node.children)
            reader.declare(
                 category, node.key,
                 static_cast<std::uint32_t>(&node - at.node.children.data()));
        for (const auto& node : at.node.children) {
            const located_node where{node, join_path(at.path, node.key)};
            check_entry_name(reader, where);
            reader.require_unique(category, node.key, where, node.key_position);
            entries.emplace_back().name = node.key;
            read_mapping(reader, where, item, entries.back());
        }
    };
    return out;
}

/// Defines a key whose value maps names to scalars. Each entry sets two members
/// of a V: its name and its value.
template <class T, class V, class U, value_codec<U> Codec>
schema_field<T> scalars_by_name(std::string_view key, std::vector<V> T::*member,
                                std::string V::*name, U V::*value,
                                const Codec& codec, entry_count count,
                                presence need = presence::optional)
{
    schema_field<T> out;
    out.shape = schema_shape{std::string(key), {{"*", {}}}};
    out.need  = need;
    out.read  = [=](config_reader& reader, const located_node& at, T& it) {
        if (!require_mapping(reader, at) || !require_count(reader, at, count))
            return;
        record_empty(reader, at);
        for (const auto& node : at.node.children) {
            const located_node where{node, join_path(at.path, node.key)};
            check_entry_name(reader, where);
            V& entry    = (it.*member).emplace_back();
            entry.*name = node.key;
            if (auto text = codec.read(reader, where, entry.*value))
                reader.record_value(where.path, std::move(*text),
                                     node.position);
        }
    };
    return out;
}

} // namespace arbutusgate
