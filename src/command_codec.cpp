#include "command_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <array>

namespace arbutusgate {

namespace json = boost::json;

namespace {

constexpr std::array roles = {engine_role::mixed, engine_role::prefill,
                              engine_role::decode};

/// Throws when the member is of another type.
std::string text_at(const json::object& from, std::string_view name)
{
    const auto* it = from.if_contains(name);
    return it ? json::value_to<std::string>(*it) : std::string();
}

std::optional<engine_role> role_at(const json::object& from)
{
    const auto text = text_at(from, "role");
    if (text.empty())
        return engine_role::mixed;
    for (const auto it : roles) {
        if (text == to_string(it))
            return it;
    }
    return std::nullopt;
}

std::optional<engine_state> to_state(const json::object& from)
{
    const auto role = role_at(from);
    if (!role)
        return std::nullopt;
    engine_state out;
    out.fence          = from.at("fence").to_number<std::uint64_t>();
    out.ready          = from.at("ready").as_bool();
    out.wanted.model   = text_at(from, "model");
    out.wanted.version = text_at(from, "version");
    out.wanted.role    = *role;
    if (const auto* it = from.if_contains("adapters"))
        out.wanted.adapters = json::value_to<std::vector<std::string>>(*it);
    return out;
}

} // namespace

std::string write_order(const engine_command& command)
{
    const auto& it = command.wanted;
    return json::serialize(
        json::object{{"fence", command.fence},
                     {"model", it.model},
                     {"version", it.version},
                     {"adapters", json::value_from(it.adapters)},
                     {"role", to_string(it.role)}});
}

std::optional<engine_state> read_order_state(std::string_view body)
{
    try {
        return to_state(json::parse(body).as_object());
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace arbutusgate
