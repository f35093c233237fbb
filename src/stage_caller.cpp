#include "stage_caller.hpp"

#include "body_memory.hpp"
#include "connection_pool.hpp"
#include "daemon_clock.hpp"
#include "http_client.hpp"
#include "json_memory.hpp"
#include "load_report_header.hpp"
#include "sse.hpp"
#include "stream_reader.hpp"

#include "absl/strings/numbers.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace arbutusgate {

namespace json = boost::json;
using boost::system::error_code;

namespace {

// A reachable target accepts a connection within a few round trips. A target in
// a failed failure domain must not consume the request's whole deadline.
constexpr auto connect_timeout = milliseconds{500};
// Engines send text or a heartbeat comment several times within this period.
constexpr auto stream_idle_timeout = seconds{2};
// An engine whose response has not begun after this time counts as silent. The
// goal for the first token is 0.87 s at the 95th percentile.
constexpr auto stream_start_timeout = seconds{5};
// The end of the body normally arrives together with the last event.
constexpr auto end_of_body_timeout = milliseconds{50};

/// Time remaining until the deadline, at least 1 ms.
milliseconds remaining_until(time_point deadline)
{
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(deadline - daemon_now());
    return std::max(remaining, milliseconds{1});
}

/// Time that the target has to send the response's head.
milliseconds head_timeout(const stage_work& work, time_point deadline)
{
    if (work.stage->kind == stage_kind::generate)
        return std::min<milliseconds>(stream_start_timeout,
                                      remaining_until(deadline));
    return remaining_until(deadline);
}

http_request make_request(const stage_work& work)
{
    const bool   engine = work.stage->kind == stage_kind::generate;
    http_request request(http::verb::post,
                         engine ? "/v1/completions" : "/v1/call", 11);
    json_memory  memory;
    json::object body({{"request_id", work.request_id},
                       {"stage", work.stage->name},
                       {"attempt", work.start.attempt}},
                      memory.get());
    if (engine) {
        body["model"]         = work.stage->model;
        body["prompt"]        = work.input;
        body["stream"]        = true;
        body["resume_offset"] = work.start.resume_offset;
        body["priority"]      = work.priority;
        if (work.max_tokens > 0)
            body["max_tokens"] = work.max_tokens;
    }
    else {
        body["input"] = work.input;
    }
    if (!work.key.empty())
        body["idempotency_key"] = work.key;
    request.set(http::field::host, work.target->address);
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(body);
    request.prepare_payload();
    return request;
}

std::string_view header(const http::response_header<>& head,
                        std::string_view               name)
{
    const auto value = head[{name.data(), name.size()}];
    return {value.data(), value.size()};
}

/// Returns the time of Retry-After, at most one hour, or zero when the header
/// is missing or is not a positive number.
milliseconds parse_retry_after(const http::response_header<>& head)
{
    const auto text = header(head, "Retry-After");
    double     n    = 0;
    if (!absl::SimpleAtod({text.data(), text.size()}, &n) || !(n > 0))
        return milliseconds{0};
    constexpr double max_seconds = 3600;
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(std::min(n, max_seconds)));
}

/// True when the body of an error response states that the work did not run.
bool states_not_run(const std::string& body)
{
    error_code ec;
    const auto parsed = json::parse(body, ec);
    if (ec || !parsed.is_object())
        return false;
    const auto* it = parsed.get_object().if_contains("execution");
    return it && it->is_string() && it->get_string() == "not_run";
}

bool has_string(const json::object& from, std::string_view name,
                std::string_view expected)
{
    const auto* it = from.if_contains(name);
    return it && it->is_string() && it->get_string() == expected;
}

bool has_number(const json::object& from, std::string_view name,
                std::uint32_t expected)
{
    const auto* it = from.if_contains(name);
    return it && *it == expected;
}

} // namespace

std::string_view to_string(attempt_status it)
{
    switch (it) {
    case attempt_status::done:
        return "done";
    case attempt_status::connect_failed:
        return "connect_failed";
    case attempt_status::claim_lost:
        return "claim_lost";
    case attempt_status::not_run:
        return "not_run";
    case attempt_status::failed:
        return "failed";
    case attempt_status::timeout:
        return "timeout";
    case attempt_status::silent:
        return "silent";
    case attempt_status::wrong_result:
        break;
    }
    return "wrong_result";
}

/// One call to a target and its result so far.
class stage_caller::attempt_call
{
public:
    attempt_call(stage_caller& owner, const stage_work& work)
        : owner_(owner), work_(work),
          deadline_(daemon_now() + work.start.timeout)
    {
        result_.attempt.attempt       = work.start.attempt;
        result_.attempt.stream_offset = work.start.resume_offset;
    }

    ~attempt_call() { owner_.active_ = nullptr; }

    attempt_call(const attempt_call&)            = delete;
    attempt_call& operator=(const attempt_call&) = delete;

    stage_result run()
    {
        if (!send())
            return std::move(result_);
        const auto& head = client_->head();
        if (auto load = parse_load_report(header(head, "Load-Report"));
            load && work_.on_load)
        {
            load->call_age = std::chrono::duration_cast<microseconds>(
                daemon_now() - sent_at_);
            work_.on_load(*load);
        }
        if (head.result() != http::status::ok)
            read_error_response();
        else if (work_.stage->kind == stage_kind::generate)
            read_stream();
        else
            read_service_response();
        // Only a complete result names its request: a second copy of another
        // response could not be told from the response to the next call, and
        // after a response to another request, that to this one may follow.
        if (result_.attempt.status == attempt_status::done &&
            client_->reusable())
            owner_.pool_.put(work_.target->address, std::move(client_));
        return std::move(result_);
    }

private:
    bool       send();
    error_code send_on_idle_connection(const http_request& request);
    bool       connect();
    void       read_error_response();
    void       read_service_response();
    void       check_service_response(const std::string& body);
    void       read_stream();
    bool       read_events(sse_parser& events, stream_reader& reader);
    bool       handle_step(stream_step step);
    void       set_client(std::unique_ptr<http_client> client);
    /// Sets the status and the detail. \return false.
    bool fail(attempt_status status, std::string detail);
    bool fail_connection(error_code ec);

    stage_caller&                owner_;
    const stage_work&            work_;
    time_point                   deadline_;
    time_point                   sent_at_{}; ///< When the call was sent.
    std::unique_ptr<http_client> client_;
    stage_result                 result_;
};

void stage_caller::attempt_call::set_client(std::unique_ptr<http_client> client)
{
    client_        = std::move(client);
    owner_.active_ = client_.get();
}

bool stage_caller::attempt_call::fail(attempt_status status, std::string detail)
{
    result_.attempt.status = status;
    result_.detail         = std::move(detail);
    return false;
}

bool stage_caller::attempt_call::fail_connection(error_code ec)
{
    const bool late = daemon_now() >= deadline_;
    owner_.pool_.drop(work_.target->address);
    result_.connection_ended =
        !late && !owner_.cancelled_ && ec != boost::beast::error::timeout;
    return fail(late ? attempt_status::timeout : attempt_status::silent,
                ec.message());
}

// Non-idempotent work is always sent on a new connection. After a failure on a
// reused one it would be unknown whether the target had read the request.
bool stage_caller::attempt_call::send()
{
    const auto request = make_request(work_);
    if (work_.stage->idempotent) {
        if (const auto ec = send_on_idle_connection(request); !ec)
            return true;
        else if (ec == boost::beast::error::timeout)
            return fail_connection(ec);
    }
    if (owner_.cancelled_ || !connect())
        return fail(attempt_status::connect_failed,
                    result_.detail.empty() ? "cancelled" : result_.detail);
    if (work_.may_send && !work_.may_send())
        return fail(attempt_status::connect_failed,
                    "claim may no longer be used");
    sent_at_ = daemon_now();
    if (const auto ec = client_->send(request, head_timeout(work_, deadline_)))
        return fail_connection(ec);
    return true;
}

// A connection that the target closed while it was idle fails before any
// response arrives; the caller then sends the work again on a new connection. A
// timeout counts as a silent target.
error_code
stage_caller::attempt_call::send_on_idle_connection(const http_request& request)
{
    auto idle = owner_.pool_.take(work_.target->address);
    if (!idle)
        return boost::asio::error::not_connected;
    set_client(std::move(idle));
    sent_at_      = daemon_now();
    const auto ec = client_->send(request, head_timeout(work_, deadline_));
    if (ec)
        owner_.pool_.drop(work_.target->address);
    return ec;
}

bool stage_caller::attempt_call::connect()
{
    set_client(owner_.pool_.create());
    const auto limit =
        std::min<milliseconds>(connect_timeout, remaining_until(deadline_));
    const auto ec = client_->connect(work_.target->address, limit);
    if (ec)
        result_.detail = ec.message();
    return !ec;
}

void stage_caller::attempt_call::read_error_response()
{
    error_code       ec;
    body_reservation memory(client_->context());
    const auto       body = client_->read_all(remaining_until(deadline_), ec,
                                              http_client::max_body_bytes, &memory);
    result_.attempt.retry_after = parse_retry_after(client_->head());
    const auto status           = std::to_string(client_->head().result_int());
    if (ec)
        fail_connection(ec);
    else if (states_not_run(body))
        fail(attempt_status::not_run, "status " + status);
    else
        fail(attempt_status::failed, "status " + status);
}

void stage_caller::attempt_call::read_service_response()
{
    error_code       ec;
    body_reservation memory(client_->context());
    const auto       body = client_->read_all(remaining_until(deadline_), ec,
                                              http_client::max_body_bytes, &memory);
    if (ec)
        fail_connection(ec);
    else
        check_service_response(body);
}

void stage_caller::attempt_call::check_service_response(const std::string& body)
{
    json_memory memory;
    error_code  ec;
    const auto  parsed = json::parse(body, ec, memory.get());
    if (ec || !parsed.is_object()) {
        fail(attempt_status::failed, "response is not a JSON object");
        return;
    }
    const auto& it = parsed.get_object();
    if (!has_string(it, "request_id", work_.request_id) ||
        !has_string(it, "stage", work_.stage->name) ||
        !has_number(it, "attempt", work_.start.attempt))
    {
        fail(attempt_status::wrong_result,
             "response names another request, stage or attempt");
        return;
    }
    const auto* output = it.if_contains("output");
    if (!output || !output->is_string()) {
        fail(attempt_status::failed, "response has no string \"output\"");
        return;
    }
    result_.output = output->get_string();
}

void stage_caller::attempt_call::read_stream()
{
    sse_parser    events;
    stream_reader reader(work_.request_id, work_.start.attempt,
                         work_.start.resume_offset);
    for (;;) {
        error_code ec;
        const auto part = client_->read_some(
            std::min<milliseconds>(stream_idle_timeout,
                                   remaining_until(deadline_)),
            ec);
        if (ec) {
            fail_connection(ec);
            break;
        }
        if (part.empty()) {
            fail(attempt_status::silent, "stream ended before [DONE]");
            break;
        }
        if (daemon_now() >= deadline_) {
            fail(attempt_status::timeout, "attempt timed out");
            break;
        }
        events.feed(part);
        if (!read_events(events, reader))
            break;
    }
    // Reads the end of the body so that the connection can be reused.
    error_code ec;
    if (result_.attempt.status == attempt_status::done)
        client_->read_some(end_of_body_timeout, ec);
    result_.attempt.stream_offset = reader.offset();
    result_.attempt.tokens        = reader.tokens();
}

/// Handles all complete events.
/// \return false when the stream has ended.
bool stage_caller::attempt_call::read_events(sse_parser&    events,
                                             stream_reader& reader)
{
    while (const auto event = events.next()) {
        std::string text;
        if (!handle_step(reader.on_data(event->data, text)))
            return false;
        if (!text.empty() && work_.on_text)
            work_.on_text(text);
        if (owner_.cancelled_)
            return fail(attempt_status::silent, "cancelled");
    }
    if (events.overflowed())
        return fail(attempt_status::failed, "event exceeds the size limit");
    return true;
}

bool stage_caller::attempt_call::handle_step(stream_step step)
{
    switch (step) {
    case stream_step::text:
        return true;
    case stream_step::done:
        return false;
    case stream_step::gap:
        return fail(attempt_status::silent, "gap in the stream");
    case stream_step::wrong:
        return fail(attempt_status::wrong_result,
                    "chunk names another request or attempt");
    case stream_step::malformed:
        break;
    }
    return fail(attempt_status::failed, "malformed chunk");
}

stage_result stage_caller::call(const stage_work& work)
{
    return attempt_call(*this, work).run();
}

void stage_caller::cancel()
{
    cancelled_ = true;
    if (active_)
        active_->cancel();
}

} // namespace arbutusgate
