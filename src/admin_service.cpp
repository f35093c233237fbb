#include "admin_service.hpp"

namespace arbutusgate {

namespace {

constexpr std::string_view explain_prefix = "/admin/explain/";

http_response make_response(http::status status, std::string_view type,
                            std::string body)
{
    http_response it(status, 11);
    it.set(http::field::content_type, type);
    it.body() = std::move(body);
    return it;
}

http_response text_response(http::status status, std::string body)
{
    return make_response(status, "text/plain; charset=utf-8", body + "\n");
}

http_response json_response(std::string body)
{
    return make_response(http::status::ok, "application/json", std::move(body));
}

http_response not_found()
{
    return text_response(http::status::not_found, "not found");
}

} // namespace

void admin_service::handle(http_exchange& exchange)
{
    exchange.respond(make_reply(exchange.request()));
}

http_response admin_service::on_error(http_error)
{
    return text_response(http::status::bad_request, "malformed request");
}

http_response admin_service::make_reply(const http_request& request)
{
    const std::string_view target(request.target().data(),
                                  request.target().size());
    if (request.method() == http::verb::get)
        return reply_to_get(target);
    if (request.method() != http::verb::post || target != "/admin/drain")
        return not_found();
    backend_.drain();
    return text_response(http::status::accepted, "draining");
}

http_response admin_service::reply_to_get(std::string_view target)
{
    if (target == "/healthz")
        return text_response(http::status::ok, "ok");
    if (target == "/readyz") {
        const auto reason = backend_.not_ready_reason();
        if (reason.empty())
            return text_response(http::status::ok, "ready");
        return text_response(http::status::service_unavailable, reason);
    }
    if (target == "/metrics")
        return make_response(http::status::ok, "text/plain; version=0.0.4",
                             backend_.metrics_text());
    if (target == "/admin/status")
        return json_response(backend_.status_json());
    if (!target.starts_with(explain_prefix))
        return not_found();
    auto text = backend_.explain_json(target.substr(explain_prefix.size()));
    return text.empty() ? not_found() : json_response(std::move(text));
}

} // namespace arbutusgate
