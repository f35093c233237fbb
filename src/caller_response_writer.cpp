#include "caller_response_writer.hpp"

#include "daemon_clock.hpp"
#include "http_server.hpp"
#include "json_memory.hpp"
#include "sse.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace arbutusgate {

namespace json = boost::json;

namespace {

/// \return the string "output" of a JSON object, or an empty one.
std::string output_in(const std::string& summary)
{
    boost::system::error_code ec;
    const auto                it     = json::parse(summary, ec);
    const auto*               object = ec ? nullptr : it.if_object();
    const auto* output = object ? object->if_contains("output") : nullptr;
    if (!output || !output->is_string())
        return {};
    return std::string(output->get_string());
}

} // namespace

caller_response_writer::caller_response_writer(http_exchange& exchange,
                                               metrics&       counts,
                                               std::string    request_id)
    : exchange_(exchange), counts_(counts), request_id_(std::move(request_id))
{
    const auto accept = exchange.request()[http::field::accept];
    accepts_events_   = accept.find("text/event-stream") != accept.npos;
}

void caller_response_writer::start(std::string pipeline, time_point arrival,
                                   std::function<void()> on_client_gone)
{
    pipeline_       = std::move(pipeline);
    arrival_        = arrival;
    on_client_gone_ = std::move(on_client_gone);
}

void caller_response_writer::on_text(std::uint64_t    offset,
                                     std::string_view text)
{
    if (!accepts_events_ || text.empty())
        return;
    if (!stream_begun_) {
        begin_stream();
        counts_.observe_first_text(pipeline_, daemon_now() - arrival_);
    }
    write_text(offset, text);
}

void caller_response_writer::write_text(std::uint64_t    offset,
                                        std::string_view text)
{
    json_memory        memory;
    const json::object body({{"offset", offset}, {"text", text}}, memory.get());
    const auto         data = json::serialize(body);
    if (!exchange_.write(format_sse_event("", data)) && on_client_gone_)
        on_client_gone_();
}

void caller_response_writer::begin_stream()
{
    http_response head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-store");
    head.set("X-Request-Id", request_id_);
    exchange_.begin_stream(std::move(head));
    stream_begun_ = true;
}

void caller_response_writer::refuse(const problem& it)
{
    exchange_.respond(problem_response(it, request_id_));
}

void caller_response_writer::finish(const request_outcome& outcome)
{
    if (stream_begun_ || (accepts_events_ && outcome.complete))
        finish_stream(outcome);
    else if (outcome.complete || outcome.recorded)
        respond(outcome);
    else
        refuse(outcome.failure);
}

void caller_response_writer::finish_stream(const request_outcome& outcome)
{
    if (!stream_begun_) {
        begin_stream();
        const auto text = outcome.recorded ? output_in(outcome.body) : "";
        if (!text.empty())
            write_text(0, text);
    }
    exchange_.write(
        format_sse_event(outcome.complete ? "done" : "error", outcome.body));
    exchange_.end_stream();
}

void caller_response_writer::respond(const request_outcome& outcome)
{
    http_response response(static_cast<http::status>(outcome.status), 11);
    response.set(http::field::content_type, outcome.complete
                                                ? "application/json"
                                                : "application/problem+json");
    response.set("X-Request-Id", request_id_);
    response.body() = outcome.body;
    exchange_.respond(std::move(response));
}

} // namespace arbutusgate
