#include "stage_caller.hpp"

#include "connection_pool.hpp"
#include "daemon_clock.hpp"
#include "http_client.hpp"
#include "json_memory.hpp"
#include "load_header.hpp"
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

// A target in reach accepts within a few round trips; one whose failure
// domain is gone must not use up the request's deadline.
constexpr auto connect_timeout = milliseconds{500};
// Engines send text or a heartbeat comment several times in this time.
constexpr auto stream_silence = seconds{2};
// An engine that has not begun to answer by then is taken for silent; the
// first token is due within 0.87 s at the 95th percentile.
constexpr auto stream_start = seconds{5};
// Normally the end of the body comes with the last event.
constexpr auto end_of_body = milliseconds{50};

milliseconds until(time_point end)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - daemon_now());
    return std::max(left, milliseconds{1});
}

milliseconds head_timeout(const stage_work& work, time_point end)
{
    if (work.stage->kind == stage_kind::generate)
        return std::min<milliseconds>(stream_start, until(end));
    return until(end);
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

/// Zero when the target named no time, or one that is no number.
milliseconds retry_after(const http::response_header<>& head)
{
    const auto text = header(head, "Retry-After");
    double     n    = 0;
    if (!absl::SimpleAtod({text.data(), text.size()}, &n) || !(n > 0))
        return milliseconds{0};
    constexpr double most = 3600;
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(std::min(n, most)));
}

bool says_not_run(const std::string& body)
{
    error_code ec;
    const auto parsed = json::parse(body, ec);
    if (ec || !parsed.is_object())
        return false;
    const auto* it = parsed.get_object().if_contains("execution");
    return it && it->is_string() && it->get_string() == "not_run";
}

bool text_is(const json::object& from, std::string_view name,
             std::string_view expected)
{
    const auto* it = from.if_contains(name);
    return it && it->is_string() && it->get_string() == expected;
}

bool number_is(const json::object& from, std::string_view name,
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

/// State of one call.
class stage_caller::attempt_call
{
public:
    attempt_call(stage_caller& owner, const stage_work& work)
        : owner_(owner), work_(work), end_(daemon_now() + work.start.timeout)
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
        if (const auto load = parse_load_report(header(head, "Load-Report"));
            load && work_.on_load)
            work_.on_load(*load);
        if (head.result() != http::status::ok)
            read_refusal();
        else if (work_.stage->kind == stage_kind::generate)
            read_stream();
        else
            read_answer();
        if (client_->reusable())
            owner_.pool_.put(work_.target->address, std::move(client_));
        return std::move(result_);
    }

private:
    bool       send();
    error_code send_reused(const http_request& request);
    bool       connect();
    void       read_refusal();
    void       read_answer();
    void       check_answer(const std::string& body);
    void       read_stream();
    bool       read_events(sse_parser& events, stream_reader& reader);
    bool       on_step(stream_step step);
    void       use(std::unique_ptr<http_client> client);
    bool       fail(attempt_status status, std::string detail);
    bool       fail_read(error_code ec);

    stage_caller&                owner_;
    const stage_work&            work_;
    time_point                   end_;
    std::unique_ptr<http_client> client_;
    stage_result                 result_;
};

void stage_caller::attempt_call::use(std::unique_ptr<http_client> client)
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

bool stage_caller::attempt_call::fail_read(error_code ec)
{
    const bool late = daemon_now() >= end_;
    owner_.pool_.drop(work_.target->address);
    return fail(late ? attempt_status::timeout : attempt_status::silent,
                ec.message());
}

// Non-idempotent work always goes over a fresh connection: after a failure
// on a reused one it would be uncertain whether the target read it.
bool stage_caller::attempt_call::send()
{
    const auto request = make_request(work_);
    if (work_.stage->idempotent) {
        if (const auto ec = send_reused(request); !ec)
            return true;
        else if (ec == boost::beast::error::timeout)
            return fail_read(ec);
    }
    if (owner_.cancelled_ || !connect())
        return fail(attempt_status::connect_failed,
                    result_.detail.empty() ? "cancelled" : result_.detail);
    if (work_.may_send && !work_.may_send())
        return fail(attempt_status::connect_failed, "claim not usable");
    if (const auto ec = client_->send(request, head_timeout(work_, end_)))
        return fail_read(ec);
    return true;
}

// A connection that its target closed while it was idle fails before any
// response; the work is then sent again on a fresh one. One that is silent
// counts as a silent target.
error_code stage_caller::attempt_call::send_reused(const http_request& request)
{
    auto idle = owner_.pool_.take(work_.target->address);
    if (!idle)
        return boost::asio::error::not_connected;
    use(std::move(idle));
    const auto ec = client_->send(request, head_timeout(work_, end_));
    if (ec)
        owner_.pool_.drop(work_.target->address);
    return ec;
}

bool stage_caller::attempt_call::connect()
{
    use(owner_.pool_.create());
    const auto limit = std::min<milliseconds>(connect_timeout, until(end_));
    const auto ec    = client_->connect(work_.target->address, limit);
    if (ec)
        result_.detail = ec.message();
    return !ec;
}

void stage_caller::attempt_call::read_refusal()
{
    error_code ec;
    const auto body             = client_->read_all(until(end_), ec);
    result_.attempt.retry_after = retry_after(client_->head());
    const auto status           = std::to_string(client_->head().result_int());
    if (ec)
        fail_read(ec);
    else if (says_not_run(body))
        fail(attempt_status::not_run, "status " + status);
    else
        fail(attempt_status::failed, "status " + status);
}

void stage_caller::attempt_call::read_answer()
{
    error_code ec;
    const auto body = client_->read_all(until(end_), ec);
    if (ec)
        fail_read(ec);
    else
        check_answer(body);
}

void stage_caller::attempt_call::check_answer(const std::string& body)
{
    json_memory memory;
    error_code  ec;
    const auto  parsed = json::parse(body, ec, memory.get());
    if (ec || !parsed.is_object()) {
        fail(attempt_status::failed, "answer is not a JSON object");
        return;
    }
    const auto& it = parsed.get_object();
    if (!text_is(it, "request_id", work_.request_id) ||
        !text_is(it, "stage", work_.stage->name) ||
        !number_is(it, "attempt", work_.start.attempt))
    {
        fail(attempt_status::wrong_result, "answer to other work");
        return;
    }
    const auto* output = it.if_contains("output");
    if (!output || !output->is_string()) {
        fail(attempt_status::failed, "answer without output");
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
            std::min<milliseconds>(stream_silence, until(end_)), ec);
        if (ec) {
            fail_read(ec);
            break;
        }
        if (part.empty()) {
            fail(attempt_status::silent, "stream ended before [DONE]");
            break;
        }
        if (daemon_now() >= end_) {
            fail(attempt_status::timeout, "attempt timeout");
            break;
        }
        events.feed(part);
        if (!read_events(events, reader))
            break;
    }
    // Takes the end of the body, so that the connection can be used again.
    error_code ec;
    if (result_.attempt.status == attempt_status::done)
        client_->read_some(end_of_body, ec);
    result_.attempt.stream_offset = reader.offset();
    result_.attempt.tokens        = reader.tokens();
}

/// \return false when the stream is over.
bool stage_caller::attempt_call::read_events(sse_parser&    events,
                                             stream_reader& reader)
{
    while (const auto event = events.next()) {
        std::string text;
        if (!on_step(reader.on_data(event->data, text)))
            return false;
        if (!text.empty() && work_.on_text)
            work_.on_text(text);
        if (owner_.cancelled_)
            return fail(attempt_status::silent, "cancelled");
    }
    if (events.overflowed())
        return fail(attempt_status::failed, "event too long");
    return true;
}

bool stage_caller::attempt_call::on_step(stream_step step)
{
    switch (step) {
    case stream_step::text:
        return true;
    case stream_step::done:
        return false;
    case stream_step::gap:
        return fail(attempt_status::silent, "gap in the stream");
    case stream_step::wrong:
        return fail(attempt_status::wrong_result, "chunk of other work");
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
