#include "load_caller.hpp"

#include "http_client.hpp"
#include "io_thread.hpp"
#include "log.hpp"
#include "sse_reader.hpp"
#include "standin_http.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>

namespace arbutusgate {

namespace json = boost::json;
using boost::system::error_code;

namespace {

constexpr std::uint32_t max_attempts = 3;
constexpr seconds       connect_timeout{1};
// Time to wait for a response after the deadline, to distinguish late
// responses from lost ones.
constexpr seconds      late_response_grace{3};
constexpr milliseconds refused_exclusion{1000};
constexpr milliseconds not_run_exclusion{100};
// Minimum delay before a request with an idempotency key is retried after an
// unknown result.
constexpr milliseconds min_key_retry_delay{200};

} // namespace

/// State of one request in flight.
struct load_caller::call_state
{
    const planned_request& request;
    const mix_pipeline&    pipeline;
    clock::time_point      start;
    load_result            result;
    /// Outcome of an earlier attempt that may have run the request, if any.
    std::optional<load_outcome> unresolved_outcome;
    // State of the current attempt:
    http_client*      client = nullptr;
    clock::time_point last_token;
    std::string       streamed_text; ///< Stream text received so far.
    bool              stream_ended = false;
    milliseconds      retry_after{0}; ///< From the Retry-After header.

    milliseconds remaining() const
    {
        const auto time = std::chrono::duration_cast<milliseconds>(
            start + pipeline.deadline + late_response_grace - clock::now());
        return std::max(time, milliseconds{1});
    }
    /// Clears the data of the previous attempt, so that none of it is
    /// attributed to the next one.
    void reset_attempt()
    {
        last_token   = {};
        stream_ended = false;
        retry_after  = {};
        streamed_text.clear();
        result.status      = 0;
        result.first_token = {};
        result.reason.clear();
        result.request_id.clear();
        result.gaps.clear();
        result.stages.clear();
    }
    /// Restores the outcome of an earlier attempt that may have run the
    /// request: a refusal of the last attempt says nothing about that one.
    void resolve_outcome()
    {
        if (unresolved_outcome && (result.outcome == load_outcome::not_run ||
                                   result.outcome == load_outcome::refused))
            result.outcome = *unresolved_outcome;
    }
    void add_violation(std::string what)
    {
        result.violations.push_back(std::move(what));
    }
};

std::string_view to_string(load_outcome outcome)
{
    switch (outcome) {
    case load_outcome::whole:
        return "whole";
    case load_outcome::late:
        return "late";
    case load_outcome::not_run:
        return "not_run";
    case load_outcome::unknown:
        return "unknown";
    case load_outcome::failed:
        return "failed";
    case load_outcome::lost:
        return "lost";
    case load_outcome::refused:
        return "refused";
    case load_outcome::wrong:
        return "wrong";
    case load_outcome::count:
        break;
    }
    return "";
}

load_result load_caller::call(const planned_request& request,
                              std::size_t            except)
{
    call_state it{request,      mix_.pipelines[request.pipeline],
                  clock::now(), {},
                  {},           nullptr,
                  {},           {},
                  false,        {}};
    it.result.number = request.number;
    do {
        it.result.daemon = balancer_.pick(clock::now(), except);
        except           = it.result.daemon;
        ++it.result.attempts;
        try_daemon(it);
    } while (it.result.attempts < max_attempts && prepare_retry(it));
    it.resolve_outcome();
    it.result.latency =
        std::chrono::duration_cast<microseconds>(clock::now() - it.start);
    if (it.result.outcome == load_outcome::whole &&
        it.result.latency > it.pipeline.deadline)
        it.result.outcome = load_outcome::late;
    return std::move(it.result);
}

void load_caller::try_daemon(call_state& it)
{
    http_client client(io_);
    const auto& daemon = daemons_[it.result.daemon];
    it.reset_attempt();
    if (client.connect(daemon, connect_timeout)) {
        it.result.outcome = load_outcome::refused;
        return;
    }
    it.client         = &client;
    it.result.outcome = load_outcome::lost;
    if (!client.send(make_request(it.request, daemon), it.remaining())) {
        const auto& head     = client.head();
        it.result.status     = head.result_int();
        it.result.request_id = std::string(head["X-Request-Id"]);
        double wait          = 0;
        if (absl::SimpleAtod(std::string(head[http::field::retry_after]),
                             &wait))
            it.retry_after = milliseconds{
                static_cast<std::int64_t>(std::clamp(wait, 0.0, 60.0) * 1000)};
        read_response(it);
        client.cancel();
    }
    log(log_level::debug, "attempt ended",
        {{"tag", it.request.tag},
         {"daemon", daemon},
         {"outcome", to_string(it.result.outcome)},
         {"status", it.result.status},
         {"reason", it.result.reason},
         {"request_id", it.result.request_id}});
    if (it.result.outcome == load_outcome::lost)
        it.result.lost_by.push_back(it.result.daemon);
}

bool load_caller::prepare_retry(call_state& it)
{
    const auto now = clock::now();
    if (it.result.outcome == load_outcome::refused) {
        balancer_.exclude(it.result.daemon, now + refused_exclusion);
        return true;
    }
    if (it.result.outcome == load_outcome::not_run) {
        if (it.result.status != 503)
            return false;
        balancer_.exclude(it.result.daemon, now + not_run_exclusion);
        return true;
    }
    const bool unknown = it.result.outcome == load_outcome::unknown ||
                         it.result.outcome == load_outcome::lost;
    const auto wait = std::max(it.retry_after, min_key_retry_delay);
    if (it.request.key.empty() || !unknown ||
        now + wait > it.start + it.pipeline.deadline)
        return false;
    it.unresolved_outcome = it.result.outcome;
    fiber_sleep(io_, wait);
    return true;
}

http_request load_caller::make_request(const planned_request& request,
                                       const std::string&     daemon) const
{
    const auto&  pipeline = mix_.pipelines[request.pipeline];
    json::object body{{"input", request.input}};
    if (pipeline.max_tokens)
        body["max_tokens"] = pipeline.max_tokens;
    http_request it(http::verb::post,
                    absl::StrCat("/v1/pipelines/", pipeline.name), 11);
    it.set(http::field::host, daemon);
    it.set(http::field::content_type, "application/json");
    it.set(http::field::authorization,
           absl::StrCat("Bearer ", mix_.accounts[request.account].key));
    it.set("Request-Timeout-Ms", std::to_string(pipeline.deadline.count()));
    if (!request.key.empty())
        it.set("Idempotency-Key", request.key);
    if (request.stream)
        it.set(http::field::accept, "text/event-stream");
    it.body() = json::serialize(body);
    it.prepare_payload();
    return it;
}

void load_caller::read_response(call_state& it)
{
    const auto type = it.client->head()[http::field::content_type];
    if (it.result.status == 200 && type.starts_with("text/event-stream"))
        return read_stream(it);
    error_code ec;
    const auto text = it.client->read_all(it.remaining(), ec);
    if (ec)
        return;
    if (it.result.status == 200)
        handle_summary(it, text);
    else
        handle_problem(it, text);
}

void load_caller::read_stream(call_state& it)
{
    sse_reader reader;
    for (;;) {
        error_code ec;
        const auto part = it.client->read_some(it.remaining(), ec);
        if (ec)
            return;
        if (part.empty())
            break;
        reader.add(part);
        while (const auto event = reader.next()) {
            if (it.stream_ended)
                it.add_violation("event after the end of the stream");
            else if (!handle_event(it, event->name, event->data))
                it.stream_ended = true;
        }
    }
    if (!it.stream_ended)
        it.add_violation("stream ended without a done or error event");
}

bool load_caller::handle_event(call_state& it, const std::string& name,
                               const std::string& data)
{
    if (name == "message") {
        handle_chunk(it, data);
        return true;
    }
    if (name == "done")
        handle_summary(it, data);
    else if (name == "error")
        handle_problem(it, data);
    else
        return true;
    return false;
}

void load_caller::handle_chunk(call_state& it, const std::string& data)
{
    json::object chunk;
    if (!parse_object(data, chunk) || !chunk.contains("text"))
        return it.add_violation("malformed stream event");
    const auto now    = clock::now();
    const auto offset = number_of(chunk, "offset", -1);
    if (offset != static_cast<std::int64_t>(it.streamed_text.size()))
        it.add_violation(absl::StrCat("stream offset ", offset, ", expected ",
                                      it.streamed_text.size()));
    if (it.streamed_text.empty())
        it.result.first_token =
            std::chrono::duration_cast<microseconds>(now - it.start);
    else
        it.result.gaps.push_back(
            std::chrono::duration_cast<microseconds>(now - it.last_token));
    it.last_token = now;
    it.streamed_text += text_of(chunk, "text");
}

void load_caller::handle_summary(call_state& it, const std::string& text)
{
    json::object summary;
    if (!parse_object(text, summary))
        return it.add_violation("malformed response");
    if (const auto id = text_of(summary, "request_id"); !id.empty())
        it.result.request_id = id;
    const auto* stages = summary.if_contains("stages");
    if (stages && stages->is_array()) {
        for (const auto& row : stages->get_array()) {
            if (!row.is_object())
                continue;
            const auto& stage = row.get_object();
            error_code  ec;
            const auto* cost = stage.if_contains("cost");
            it.result.stages.push_back(
                {text_of(stage, "name"),
                 cost ? cost->to_number<double>(ec) : 0.0,
                 static_cast<std::uint32_t>(number_of(stage, "attempts", 1))});
        }
    }
    const auto output = text_of(summary, "output");
    if (!it.streamed_text.empty() && summary.contains("output") &&
        output != it.streamed_text)
        it.add_violation("stream differs from the output of its summary");
    check_output(it, it.streamed_text.empty() ? output : it.streamed_text);
}

void load_caller::check_output(call_state& it, const std::string& output)
{
    if (is_complete_output(it.pipeline, it.request.input, output)) {
        it.result.outcome = load_outcome::whole;
        if (!it.request.key.empty())
            it.result.output = output;
        return;
    }
    it.result.outcome = load_outcome::wrong;
    it.add_violation(
        absl::StrCat("response to ", it.request.tag, " of ", output.size(),
                     " bytes is incomplete or belongs to another request: ...",
                     output.substr(output.size() -
                                   std::min<std::size_t>(output.size(), 120))));
}

void load_caller::handle_problem(call_state& it, const std::string& text)
{
    json::object problem;
    it.result.outcome = load_outcome::failed;
    if (!parse_object(text, problem))
        return it.add_violation(absl::StrCat("status ", it.result.status,
                                             " without a problem document"));
    it.result.reason     = text_of(problem, "reason");
    const auto execution = text_of(problem, "execution");
    if (const auto id = text_of(problem, "request_id"); !id.empty())
        it.result.request_id = id;
    if (execution == "not_run") {
        it.result.outcome = load_outcome::not_run;
        it.result.not_run_ids.push_back(it.result.request_id);
        if (!it.streamed_text.empty())
            it.add_violation("not_run after streamed text");
    }
    else if (execution == "unknown")
        it.result.outcome = load_outcome::unknown;
}

} // namespace arbutusgate
