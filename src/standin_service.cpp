#include "standin_service.hpp"

#include "standin_http.hpp"
#include "standin_text.hpp"

namespace arbutusgate {

namespace json = boost::json;

bool standin_service::handle(http_exchange& exchange, const request_path& path)
{
    if (path.path != "/v1/call" ||
        exchange.request().method() != http::verb::post)
        return false;
    call(exchange);
    return true;
}

void standin_service::call(http_exchange& exchange)
{
    json::object body;
    if (!parse_object(exchange.request().body(), body) ||
        text_of(body, "request_id").empty() || text_of(body, "stage").empty())
        return respond(exchange, problem_response(http::status::bad_request,
                                                  "bad_request"));
    const auto plan = plan_call();
    if (!acquire_slot(exchange, plan, number_of(body, "priority", 0)))
        return;
    run(exchange, plan, body);
}

void standin_service::run(http_exchange& exchange, const call_plan& plan,
                          const json::object& body)
{
    const auto input = text_of(body, "input");
    const auto stage = text_of(body, "stage");
    record({text_of(body, "request_id"), stage,
            text_of(body, "idempotency_key"), std::string(request_tag(input))});
    const bool finished = sleep(exchange, plan.time);
    release_slot();
    if (!finished) {
        count_cancelled();
        return exchange.abort();
    }
    switch (plan.outcome) {
    case call_outcome::failed:
        return respond_failed(exchange);
    case call_outcome::hang:
    case call_outcome::silent:
        return stay_silent(exchange);
    case call_outcome::normal:
    case call_outcome::not_run:
        break;
    }
    respond(exchange,
            json_response(http::status::ok,
                          {{"request_id", body.at("request_id")},
                           {"stage", stage},
                           {"attempt", number_of(body, "attempt", 0)},
                           {"output", service_output(stage, input)}}));
}

} // namespace arbutusgate
