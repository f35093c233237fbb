#include "standin_behaviour.hpp"

#include "absl/strings/str_cat.h"

#include <array>
#include <cmath>
#include <string_view>

namespace arbutusgate {

namespace {

namespace json = boost::json;

struct number_field
{
    std::string_view name;
    double standin_behaviour::*member;
    double                     max;
};

struct flag_field
{
    std::string_view name;
    bool standin_behaviour::*member;
};

constexpr std::array numbers = {
    number_field{"latency_ms", &standin_behaviour::latency_ms, 1e6},
    number_field{"spread", &standin_behaviour::spread, 4},
    number_field{"fail_rate", &standin_behaviour::fail_rate, 1},
    number_field{"not_run_rate", &standin_behaviour::not_run_rate, 1},
    number_field{"retry_after_s", &standin_behaviour::retry_after_s, 3600},
    number_field{"call_limit", &standin_behaviour::call_limit, 1e4},
    number_field{"hang_rate", &standin_behaviour::hang_rate, 1},
    number_field{"silent_rate", &standin_behaviour::silent_rate, 1},
};
constexpr std::array flags = {
    flag_field{"leaving", &standin_behaviour::leaving},
    flag_field{"down", &standin_behaviour::down},
};

bool set_field(std::string_view name, const json::value& value,
               standin_behaviour& behaviour)
{
    for (const auto& it : numbers) {
        if (it.name != name)
            continue;
        boost::system::error_code ec;
        const auto                number = value.to_number<double>(ec);
        if (ec || number < 0 || number > it.max)
            return false;
        behaviour.*it.member = number;
        return true;
    }
    for (const auto& it : flags) {
        if (it.name != name)
            continue;
        if (!value.is_bool())
            return false;
        behaviour.*it.member = value.get_bool();
        return true;
    }
    return false;
}

} // namespace

absl::Status update_behaviour(const json::object& values,
                              standin_behaviour&  behaviour)
{
    auto changed = behaviour;
    for (const auto& it : values) {
        if (!set_field(it.key(), it.value(), changed))
            return absl::InvalidArgumentError(absl::StrCat(
                "unknown name or invalid value: ", std::string(it.key())));
    }
    behaviour = changed;
    return absl::OkStatus();
}

json::object to_json(const standin_behaviour& behaviour)
{
    json::object all;
    for (const auto& it : numbers)
        all[it.name] = behaviour.*it.member;
    for (const auto& it : flags)
        all[it.name] = behaviour.*it.member;
    return all;
}

call_outcome draw_outcome(const standin_behaviour& behaviour,
                          std::mt19937_64&         random)
{
    auto       value   = std::uniform_real_distribution<double>(0, 1)(random);
    const auto selects = [&](double rate) {
        value -= rate;
        return value < 0;
    };
    if (selects(behaviour.not_run_rate))
        return call_outcome::not_run;
    if (selects(behaviour.fail_rate))
        return call_outcome::failed;
    if (selects(behaviour.hang_rate))
        return call_outcome::hang;
    return selects(behaviour.silent_rate) ? call_outcome::silent
                                          : call_outcome::normal;
}

microseconds draw_time(double median_ms, const standin_behaviour& behaviour,
                       std::mt19937_64& random)
{
    if (median_ms <= 0)
        return microseconds{0};
    std::lognormal_distribution<double> time(std::log(median_ms * 1000),
                                             behaviour.spread);
    return microseconds{static_cast<std::int64_t>(time(random))};
}

} // namespace arbutusgate
