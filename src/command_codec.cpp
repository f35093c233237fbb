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

constexpr std::array all_roles = {engine_role::mixed, engine_role::prefill,
                                  engine_role::decode};

/// \return an empty string when the member is absent. Throws when it is not a
/// string.
std::string string_member(const json::object& from, std::string_view name)
{
    const auto* it = from.if_contains(name);
    return it ? json::value_to<std::string>(*it) : std::string();
}

std::optional<engine_role> role_member(const json::object& from)
{
    const auto text = string_member(from, "role");
    if (text.empty())
        return engine_role::mixed;
    for (const auto it : all_roles) {
        if (text == to_string(it))
            return it;
    }
    return std::nullopt;
}

std::optional<engine_state> decode_state(const json::object& from)
{
    const auto role = role_member(from);
    if (!role)
        return std::nullopt;
    engine_state out;
    out.fence           = from.at("fence").to_number<std::uint64_t>();
    out.ready           = from.at("ready").as_bool();
    out.desired.model   = string_member(from, "model");
    out.desired.version = string_member(from, "version");
    out.desired.role    = *role;
    if (const auto* it = from.if_contains("adapters"))
        out.desired.adapters = json::value_to<std::vector<std::string>>(*it);
    return out;
}

} // namespace

std::string encode_command(const engine_command& command)
{
    const auto& it = command.desired;
    return json::serialize(
        json::object{{"fence", command.fence},
                     {"model", it.model},
                     {"version", it.version},
                     {"adapters", json::value_from(it.adapters)},
                     {"role", to_string(it.role)}});
}

std::optional<engine_state> decode_engine_state(std::string_view body)
{
    try {
        return decode_state(json::parse(body).as_object());
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace arbutusgate
