#include "standin_engine.hpp"

#include "standin_http.hpp"
#include "standin_text.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace arbutusgate {

namespace json = boost::json;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t   max_kv_entries     = 256;
constexpr std::uint32_t default_max_tokens = 64;
constexpr std::uint32_t max_tokens_limit   = 8192;

} // namespace

/// State of one running completion call.
struct standin_engine::completion
{
    std::string   request_id;
    std::int64_t  attempt = 0;
    std::string   model;
    std::string   prompt;
    std::uint32_t max_tokens    = 0;
    std::uint64_t resume_offset = 0;
    bool          stream        = false;
    call_plan     plan;
    std::string   text; ///< Generated text of a response that is not streamed.
};

standin_engine::standin_engine(replica_init init, const engine_init& engine,
                               execution_log&     executions,
                               deadly_call_check& deadly_calls)
    : standin_replica(std::move(init), executions), engine_(engine),
      deadly_calls_(deadly_calls), cache_(engine.cache_blocks),
      events_(engine.event_delay, engine.event_loss)
{
}

bool standin_engine::handle(http_exchange& exchange, const request_path& path)
{
    const auto method = exchange.request().method();
    if (method == http::verb::post) {
        if (path.path == "/v1/completions")
            handle_completion(exchange);
        else if (path.path == "/v1/kv")
            import_kv(exchange);
        else if (path.path == "/v1/orders")
            apply_order(exchange);
        else
            return false;
        return true;
    }
    if (path.path == "/v1/cache-events")
        respond(exchange, json_response(http::status::ok,
                                        events_.page(path.number("after", 0),
                                                     steady_clock::now())));
    else if (path.path == "/v1/orders")
        respond(exchange, json_response(http::status::ok, state_json()));
    else if (const auto id = path.after("/v1/kv/"); !id.empty())
        export_kv(exchange, id);
    else
        return false;
    return true;
}

void standin_engine::handle_completion(http_exchange& exchange)
{
    json::object body;
    completion   it;
    if (parse_object(exchange.request().body(), body)) {
        it.request_id = text_of(body, "request_id");
        it.prompt     = text_of(body, "prompt");
        it.model      = text_of(body, "model");
        it.attempt    = number_of(body, "attempt", 0);
    }
    if (it.prompt.empty())
        return respond(exchange, problem_response(http::status::bad_request,
                                                  "bad_request"));
    it.max_tokens    = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        number_of(body, "max_tokens", default_max_tokens), 1,
        max_tokens_limit));
    it.resume_offset = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, number_of(body, "resume_offset", 0)));
    it.stream = body.contains("stream") && body.at("stream").is_bool() &&
                body.at("stream").get_bool();
    it.plan = plan_call();
    if (is_deadly(it))
        deadly_calls_.add_call(request_tag(it.prompt), steady_clock::now());
    if (!serves(it.model))
        it.plan.outcome = call_outcome::not_run;
    if (!acquire_slot(exchange, it.plan, number_of(body, "priority", 0)))
        return;
    record({it.request_id, text_of(body, "stage"),
            text_of(body, "idempotency_key"),
            std::string(request_tag(it.prompt))});
    run(exchange, it);
}

bool standin_engine::is_deadly(const completion& it)
{
    return it.prompt.find(deadly_mark) != std::string::npos;
}

// Releases the slot as soon as the sequence ends or its client disconnects. A
// stalled connection does not hold a slot.
void standin_engine::run(http_exchange& exchange, completion& it)
{
    const bool prefilled = prefill(exchange, it);
    if (prefilled && is_deadly(it)) {
        deadly_calls_.add_crash(steady_clock::now());
        crash(engine_.crash_time);
        release_slot();
        return exchange.abort();
    }
    const bool starts = prefilled && it.plan.outcome != call_outcome::failed &&
                        it.plan.outcome != call_outcome::hang;
    if (starts && it.stream) {
        http_response head(http::status::ok, 11);
        head.set(http::field::content_type, "text/event-stream");
        head.set("Load-Report", load_report());
        exchange.begin_stream(std::move(head));
    }
    const bool completed = starts && generate(exchange, it);
    release_slot();
    if (prefilled && it.plan.outcome == call_outcome::failed)
        return respond_failed(exchange);
    if (prefilled && (it.plan.outcome == call_outcome::hang ||
                      (it.plan.outcome == call_outcome::silent && !completed)))
        return stay_silent(exchange);
    if (!completed) {
        count_cancelled();
        return exchange.abort();
    }
    if (it.stream) {
        exchange.write("data: [DONE]\n\n");
        return exchange.end_stream();
    }
    respond(exchange,
            json_response(http::status::ok,
                          {{"id", it.request_id},
                           {"object", "text_completion"},
                           {"model", it.model},
                           {"request_id", it.request_id},
                           {"attempt", it.attempt},
                           {"offset", it.resume_offset},
                           {"choices", json::array{json::object{
                                           {"index", 0},
                                           {"text", it.text},
                                           {"finish_reason", "stop"}}}}}));
}

// The prefill time falls with the share of cached blocks. A request whose KV
// cache was imported or kept from an earlier attempt counts as fully cached.
bool standin_engine::prefill(http_exchange& exchange, const completion& it)
{
    const auto all =
        std::max<std::size_t>(prefix_cache::count_blocks(it.prompt), 1);
    const auto known  = kv_.find(it.request_id);
    const bool kv_hit = known != kv_.end() &&
                        known->second.prompt == it.prompt &&
                        known->second.offset >= it.resume_offset;
    const auto cached = kv_hit ? all : cache_.match(it.prompt);
    const auto share =
        1 - static_cast<double>(cached) / static_cast<double>(all);
    const auto time =
        draw(engine_.cached_ms + engine_.prefill_ms * share, it.plan);
    if (!sleep(exchange, time))
        return false;
    events_.add(cache_.insert(it.prompt), steady_clock::now(), random());
    return true;
}

double standin_engine::token_ms(const completion& it) const
{
    return it.plan.behaviour.latency_ms *
           (1 + engine_.batch_slope * (in_flight() - 1.0));
}

bool standin_engine::generate(http_exchange& exchange, completion& it)
{
    const auto tokens =
        engine_text_tokens(it.prompt, engine_tokens(it.prompt, it.max_tokens));
    std::size_t silent_at = tokens.size();
    if (it.plan.outcome == call_outcome::silent)
        silent_at = random()() % tokens.size();
    std::uint64_t end = 0;
    for (std::size_t n = 0; n < tokens.size(); ++n) {
        const auto start = end;
        end += tokens[n].size();
        if (end <= it.resume_offset)
            continue;
        if (n >= silent_at || !sleep(exchange, draw(token_ms(it), it.plan)))
            return false;
        const auto from = std::max(start, it.resume_offset);
        const auto text = std::string_view(tokens[n]).substr(from - start);
        if (!send_chunk(exchange, it, from, text))
            return false;
        it.text += text;
        save_kv(it.request_id, it.prompt, end);
    }
    return true;
}

bool standin_engine::send_chunk(http_exchange& exchange, const completion& it,
                                std::uint64_t offset, std::string_view text)
{
    if (!it.stream)
        return true;
    const json::object chunk{
        {"id", it.request_id},
        {"object", "text_completion"},
        {"model", it.model},
        {"request_id", it.request_id},
        {"attempt", it.attempt},
        {"offset", offset},
        {"choices",
         json::array{json::object{
             {"index", 0}, {"text", text}, {"finish_reason", nullptr}}}}};
    return exchange.write("data: " + json::serialize(chunk) + "\n\n");
}

bool standin_engine::serves(const std::string& model) const
{
    const auto desired_model = text_of(state_.desired, "model");
    return steady_clock::now() >= ready_at_ &&
           (desired_model.empty() || model.empty() || desired_model == model);
}

void standin_engine::save_kv(const std::string& request_id,
                             const std::string& prompt, std::uint64_t offset)
{
    if (request_id.empty())
        return;
    const auto known = kv_.find(request_id);
    if (known != kv_.end()) {
        if (known->second.prompt != prompt)
            known->second.prompt = prompt;
        known->second.offset = offset;
        return;
    }
    kv_.emplace(request_id, kv_entry{prompt, offset});
    kv_order_.push_back(request_id);
    while (kv_order_.size() > max_kv_entries) {
        kv_.erase(kv_order_.front());
        kv_order_.pop_front();
    }
}

void standin_engine::export_kv(http_exchange&     exchange,
                               const std::string& request_id)
{
    const auto known = kv_.find(request_id);
    if (known == kv_.end())
        return respond(exchange,
                       problem_response(http::status::not_found, "not_found"));
    respond(exchange, json_response(http::status::ok,
                                    {{"request_id", request_id},
                                     {"prompt", known->second.prompt},
                                     {"offset", known->second.offset}}));
}

void standin_engine::import_kv(http_exchange& exchange)
{
    json::object body;
    if (!parse_object(exchange.request().body(), body) ||
        text_of(body, "request_id").empty() || text_of(body, "prompt").empty())
        return respond(exchange, problem_response(http::status::bad_request,
                                                  "bad_request"));
    const auto offset = std::max<std::int64_t>(0, number_of(body, "offset", 0));
    const auto prompt = text_of(body, "prompt");
    events_.add(cache_.insert(prompt), steady_clock::now(), random());
    save_kv(text_of(body, "request_id"), prompt,
            static_cast<std::uint64_t>(offset));
    respond(exchange, json_response(http::status::ok, {{"imported", true}}));
}

void standin_engine::apply_order(http_exchange& exchange)
{
    json::object body;
    if (!parse_object(exchange.request().body(), body) ||
        !body.contains("fence"))
        return respond(exchange, problem_response(http::status::bad_request,
                                                  "bad_request"));
    const auto fence = number_of(body, "fence", 0);
    if (engine_.checks_fencing && fence < state_.fence)
        return respond(exchange, json_response(http::status::conflict,
                                               {{"reason", "old_fence"},
                                                {"fence", state_.fence}}));
    body.erase("fence");
    if (body != state_.desired)
        ready_at_ = steady_clock::now() + engine_.load_time;
    state_ = {fence, std::move(body)};
    respond(exchange, json_response(http::status::ok, state_json()));
}

json::object standin_engine::state_json() const
{
    auto all     = state_.desired;
    all["fence"] = state_.fence;
    all["ready"] = steady_clock::now() >= ready_at_;
    return all;
}

} // namespace arbutusgate
