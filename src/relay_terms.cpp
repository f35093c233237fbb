#include "relay_terms.hpp"

#include "text.hpp"

#include <charconv>

namespace arbutusgate::gateway {

namespace {

constexpr const char* time_left_header       = "Relay-Time-Left-Ms";
constexpr const char* time_until_goal_header = "Relay-Time-Until-Goal-Ms";
constexpr const char* attempts_header        = "Relay-Attempts";
constexpr const char* refused_header         = "Relay-Refused";

std::optional<std::int64_t> number(const http::fields& headers,
                                   const char*         name)
{
    const auto found = headers.find(name);
    if (found == headers.end())
        return std::nullopt;
    const auto   text = found->value();
    std::int64_t out  = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return out;
}

} // namespace

void set_relay_terms(http_request& request, const relay_terms& it)
{
    request.set(time_left_header, std::to_string(it.time_left.count()));
    request.set(time_until_goal_header,
                std::to_string(it.time_until_goal.count()));
    request.set(attempts_header, std::to_string(it.attempts));
    request.set(http::field::connection,
                concat("keep-alive, ", time_left_header, ", ",
                       time_until_goal_header, ", ", attempts_header));
}

std::optional<relay_terms> relay_terms_of(const http::fields& headers)
{
    const auto left     = number(headers, time_left_header);
    const auto goal     = number(headers, time_until_goal_header);
    const auto attempts = number(headers, attempts_header);
    if (!left || !goal || !attempts || *attempts < 0 ||
        *attempts > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return relay_terms{milliseconds{*left}, milliseconds{*goal},
                       static_cast<std::uint32_t>(*attempts)};
}

void mark_relay_refused(http_response& response)
{
    response.set(refused_header, "1");
}

bool relay_refused(const http::fields& headers, bool signed_by_target)
{
    return !signed_by_target && headers.find(refused_header) != headers.end();
}

void clear_relay_refused(http_response& response)
{
    response.erase(refused_header);
}

} // namespace arbutusgate::gateway
