#include "standin_http.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <charconv>

namespace arbutusgate {

namespace json = boost::json;

request_path::request_path(const http_request& request)
    : target(request.target())
{
    if (const auto url = boost::urls::parse_origin_form(target))
        path = url->path();
}

std::string request_path::query(std::string_view name) const
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return {};
    for (const auto& it : url->params()) {
        if (it.key == name)
            return it.value;
    }
    return {};
}

std::uint64_t request_path::number(std::string_view name,
                                   std::uint64_t    fallback) const
{
    const auto    text  = query(name);
    std::uint64_t value = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc{} && end == text.data() + text.size() ? value
                                                                 : fallback;
}

std::string request_path::after(std::string_view prefix) const
{
    return path.starts_with(prefix) ? path.substr(prefix.size()) : "";
}

http_response json_response(http::status status, const json::object& body)
{
    http_response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(body);
    return response;
}

http_response problem_response(http::status status, std::string_view reason)
{
    auto response = json_response(status, {{"type", "about:blank"},
                                           {"title", reason},
                                           {"status", unsigned(status)},
                                           {"reason", reason}});
    response.set(http::field::content_type, "application/problem+json");
    return response;
}

bool parse_object(std::string_view body, json::object& object)
{
    boost::system::error_code ec;
    auto                      value = json::parse(body, ec);
    if (ec || !value.is_object())
        return false;
    object = std::move(value.get_object());
    return true;
}

std::string text_of(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it && it->is_string() ? std::string(it->get_string())
                                 : std::string();
}

std::int64_t number_of(const json::object& object, std::string_view name,
                       std::int64_t fallback)
{
    const auto* it = object.if_contains(name);
    if (!it)
        return fallback;
    boost::system::error_code ec;
    const auto                value = it->to_number<std::int64_t>(ec);
    return ec ? fallback : value;
}

http_response read_error_response(http_error error)
{
    switch (error) {
    case http_error::header_too_large:
    case http_error::trailer_too_large:
    case http_error::chunk_extension_too_large:
        return problem_response(http::status::request_header_fields_too_large,
                                "header_too_large");
    case http_error::body_too_large:
        return problem_response(http::status::payload_too_large, "too_large");
    case http_error::no_memory:
        return problem_response(http::status::service_unavailable,
                                "overloaded");
    case http_error::too_slow:
        return problem_response(http::status::request_timeout, "too_slow");
    case http_error::handler_failed:
        return problem_response(http::status::internal_server_error,
                                "internal");
    case http_error::malformed:
    case http_error::count:
        break;
    }
    return problem_response(http::status::bad_request, "bad_request");
}

} // namespace arbutusgate
