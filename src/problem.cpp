#include "problem.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace arbutusgate {

namespace {

http::status status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::bad_request:
    case refusal_reason::missing_key:
        return http::status::bad_request;
    case refusal_reason::unauthorized:
        return http::status::unauthorized;
    case refusal_reason::no_such_pipeline:
        return http::status::not_found;
    case refusal_reason::too_large:
        return http::status::payload_too_large;
    case refusal_reason::header_too_large:
        return http::status::request_header_fields_too_large;
    case refusal_reason::too_slow:
        return http::status::request_timeout;
    case refusal_reason::key_in_progress:
        return http::status::conflict;
    case refusal_reason::key_reused:
        return http::status::unprocessable_entity;
    case refusal_reason::account_over_share:
        return http::status::too_many_requests;
    case refusal_reason::deadline_exceeded:
        return http::status::gateway_timeout;
    case refusal_reason::internal:
        return http::status::internal_server_error;
    default:
        return http::status::service_unavailable;
    }
}

std::string title_of(refusal_reason reason)
{
    std::string it(to_string(reason));
    for (auto& c : it) {
        if (c == '_')
            c = ' ';
    }
    return it;
}

} // namespace

problem refusal(refusal_reason reason, milliseconds retry_after,
                std::string detail)
{
    return {reason, execution::not_run, retry_after, std::move(detail)};
}

http::status problem_status(const problem& it)
{
    if (it.reason == refusal_reason::key_in_progress)
        return http::status::conflict;
    if (it.result == execution::unknown)
        return http::status::gateway_timeout;
    if (it.reason == refusal_reason::stage_failed)
        return http::status::bad_gateway;
    return status_of(it.reason);
}

std::string problem_body(const problem& it, std::string_view request_id)
{
    const auto          reason = to_string(it.reason);
    boost::json::object body;
    body["type"]       = "urn:arbutusgate:problem:" + std::string(reason);
    body["title"]      = title_of(it.reason);
    body["status"]     = static_cast<unsigned>(problem_status(it));
    body["reason"]     = reason;
    body["execution"]  = to_string(it.result);
    body["request_id"] = request_id;
    if (!it.detail.empty())
        body["detail"] = it.detail;
    return boost::json::serialize(body);
}

http_response problem_response(const problem& it, std::string_view request_id)
{
    http_response response(problem_status(it), 11);
    response.set(http::field::content_type, "application/problem+json");
    response.set("X-Request-Id", request_id);
    if (it.reason == refusal_reason::unauthorized)
        response.set(http::field::www_authenticate, "Bearer");
    if (it.retry_after > milliseconds{0}) {
        const auto whole_seconds = std::chrono::ceil<seconds>(it.retry_after);
        response.set(http::field::retry_after,
                     std::to_string(whole_seconds.count()));
    }
    response.body() = problem_body(it, request_id);
    return response;
}

} // namespace arbutusgate
