#include "deadly_call_check.hpp"
#include "fiber_http.hpp"
#include "sse_reader.hpp"
#include "standin_fleet.hpp"
#include "standin_platform.hpp"
#include "standin_text.hpp"

#include <boost/json/serialize.hpp>

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::test;
namespace json = boost::json;

namespace {

replica_init local_replica()
{
    replica_init it;
    it.name                 = "one";
    it.address              = "127.0.0.1:0";
    it.behaviour.latency_ms = 0;
    return it;
}

engine_init fast_engine()
{
    engine_init it;
    it.prefill_ms  = 0;
    it.cached_ms   = 0;
    it.event_delay = milliseconds{0};
    it.event_loss  = 0;
    it.load_time   = milliseconds{0};
    return it;
}

/// A fleet of one replica and its control listener.
struct local_fleet
{
    explicit local_fleet(const replica_init& init)
    {
        fleet.add_service(init);
        start();
    }
    local_fleet(const replica_init& init, const engine_init& engine)
    {
        fleet.add_engine(init, engine);
        start();
    }

    void start()
    {
        REQUIRE(fleet.start("127.0.0.1:0").ok());
        address = fleet.replicas().front()->address();
    }
    reply get(const std::string& target)
    {
        return fetch(thread, address, target);
    }
    reply post(const std::string& target, const json::object& body)
    {
        return fetch(thread, address, target, json::serialize(body));
    }
    std::uint64_t executions()
    {
        const auto page = fleet.executions().page(0, 100);
        return page.at("total").to_number<std::uint64_t>();
    }

    io_thread     thread;
    replica_fleet fleet{1};
    std::string   address;
};

json::object completion(const std::string& prompt, std::uint32_t max_tokens,
                        std::uint64_t resume_offset = 0)
{
    return {{"request_id", "r1"}, {"attempt", 1},
            {"prompt", prompt},   {"max_tokens", max_tokens},
            {"stream", true},     {"resume_offset", resume_offset}};
}

/// Text of a complete stream; empty when the stream is incomplete or an offset
/// does not continue the text.
std::string stream_text(const std::string& body, std::uint64_t offset)
{
    sse_reader  reader;
    std::string text;
    reader.add(body);
    while (const auto event = reader.next()) {
        json::object chunk;
        if (event->data == "[DONE]")
            return text;
        if (!parse_object(event->data, chunk) ||
            number_of(chunk, "offset", -1) !=
                static_cast<std::int64_t>(offset + text.size()))
            return {};
        text += text_of(chunk.at("choices").at(0).as_object(), "text");
    }
    return {};
}

json::object call_body(const std::string& id)
{
    return {{"request_id", id},
            {"stage", "confirm"},
            {"attempt", 2},
            {"idempotency_key", "k1"},
            {"input", "order [request t-1]"}};
}

/// A platform without latency that listens on the loopback address.
struct local_platform
{
    explicit local_platform(platform_init init) : platform(fill(init), thread)
    {
        REQUIRE(platform.start().ok());
    }

    static platform_init fill(platform_init init)
    {
        init.address   = "127.0.0.1:0";
        init.control   = "127.0.0.1:0";
        init.latency   = milliseconds{0};
        init.documents = {{"base", "a: 1\n"}};
        init.vms       = {{"vm-1", "a1", "127.0.0.1:1", false}};
        return init;
    }
    reply get(const std::string& target)
    {
        return fetch(client, "127.0.0.1:" + std::to_string(platform.port()),
                     target);
    }
    reply control(const std::string& target, const std::string& body = {})
    {
        return fetch(client,
                     "127.0.0.1:" + std::to_string(platform.control_port()),
                     target, body);
    }

    io_thread        thread;
    io_thread        client;
    standin_platform platform;
};

} // namespace

// Guards against resumed streams that repeat or skip text, for any offset.
TEST_CASE("engine text resumed at an offset continues the complete text")
{
    local_fleet       it(local_replica(), fast_engine());
    const std::string prompt = "prompt [request t-1]";
    const auto        complete =
        stream_text(it.post("/v1/completions", completion(prompt, 16)).body, 0);
    REQUIRE(is_engine_text(prompt, complete));
    CHECK(complete == engine_text(prompt, engine_tokens(prompt, 16)));
    for (std::uint64_t n = 0; n < complete.size(); n += 5) {
        const auto rest = stream_text(
            it.post("/v1/completions", completion(prompt, 16, n)).body, n);
        CHECK(complete.substr(0, n) + rest == complete);
    }
}

// Guards against a truncated or repeated text that is accepted as complete.
TEST_CASE("only the complete engine text is accepted")
{
    const auto text = engine_text("p", 5);
    CHECK(is_engine_text("p", text));
    CHECK_FALSE(is_engine_text("q", text));
    CHECK_FALSE(is_engine_text("p", text + text));
    CHECK_FALSE(is_engine_text("p", text.substr(0, text.size() - 1)));
    CHECK_FALSE(is_engine_text("p", text.substr(3)));
}

// Guards against a cancelled stream that keeps its slot: the second call would
// wait forever.
TEST_CASE("cancelling a completion frees its slot")
{
    auto init                 = local_replica();
    init.slots                = 1;
    init.behaviour.latency_ms = 1e6;
    local_fleet it(init, fast_engine());
    http_client first(it.thread.io());
    const auto  status = run_on(it.thread, [&] {
        auto request = make_request("/v1/completions",
                                     json::serialize(completion("a", 9)));
        if (first.connect(it.address, seconds{20}) ||
            first.send(request, seconds{20}))
            return 0U;
        return first.head().result_int();
    });
    REQUIRE(status == 200);
    auto& replica   = *it.fleet.replicas().front();
    auto  behaviour = replica.behaviour();
    CHECK(replica.in_flight() == 1);
    behaviour.latency_ms = 0;
    replica.set_behaviour(behaviour);
    it.thread.spawn([&] { first.cancel(); });
    const auto text =
        stream_text(it.post("/v1/completions", completion("b", 4)).body, 0);
    CHECK(is_engine_text("b", text));
    CHECK(replica.stats().cancelled == 1);
}

// Guards against a full replica that runs or drops calls instead of refusing.
TEST_CASE("refused calls say not_run and are not recorded")
{
    auto init                   = local_replica();
    init.behaviour.not_run_rate = 1;
    local_fleet it(init);
    const auto  refused = it.post("/v1/call", call_body("r1"));
    CHECK(refused.status == 503);
    CHECK(text_of(refused.json, "execution") == "not_run");
    CHECK(it.executions() == 0);
}

// Guards against refusals without a Retry-After header, and against calls
// within that time that are not counted as early.
TEST_CASE("refusals carry Retry-After, and calls before its end are counted")
{
    auto init                    = local_replica();
    init.behaviour.not_run_rate  = 1;
    init.behaviour.retry_after_s = 600.5;
    local_fleet it(init);
    const auto  stats = [&] {
        return it.fleet.replicas().front()->stats();
    };
    run_on(it.thread, [&] {
        http_client client(it.thread.io());
        REQUIRE_FALSE(client.connect(it.address, seconds{20}));
        REQUIRE_FALSE(client.send(
            make_request("/v1/call", json::serialize(call_body("r1"))),
            seconds{20}));
        CHECK(client.head()["Retry-After"] == "600.5");
        return true;
    });
    // Calls already in transit at the refusal do not count.
    CHECK(stats().early_calls == 0);
    std::this_thread::sleep_for(milliseconds{600});
    it.post("/v1/call", call_body("r2"));
    CHECK(stats().early_calls == 1);
}

// Guards against wrong execution counts: the check for at-most-once execution
// relies on them.
TEST_CASE("each execution is recorded with its key and tag")
{
    local_fleet it(local_replica());
    const auto  response = it.post("/v1/call", call_body("r1"));
    CHECK(response.status == 200);
    CHECK(text_of(response.json, "output") ==
          service_output("confirm", "order [request t-1]"));
    CHECK(number_of(response.json, "attempt", 0) == 2);
    CHECK(response.load_report.find("state=serving") != std::string::npos);
    it.post("/v1/call", call_body("r1"));
    it.post("/v1/call", call_body("r2"));
    const auto rows = it.fleet.executions().page(0, 100);
    const auto row  = rows.at("executions").at(0).as_object();
    CHECK(it.executions() == 2);
    CHECK(number_of(row, "count", 0) == 2);
    CHECK(text_of(row, "idempotency_key") == "k1");
    CHECK(text_of(row, "tag") == "t-1");
}

// Guards against an engine that obeys a sender whose fence is outdated.
TEST_CASE("an order with an old fence is refused only when fencing is checked")
{
    const bool checks     = GENERATE(true, false);
    auto       engine     = fast_engine();
    engine.checks_fencing = checks;
    local_fleet it(local_replica(), engine);
    CHECK(it.post("/v1/orders", {{"fence", 5}, {"model", "m"}}).status == 200);
    CHECK(it.post("/v1/orders", {{"fence", 4}, {"model", "n"}}).status ==
          (checks ? 409 : 200));
    CHECK(text_of(it.get("/v1/orders").json, "model") == (checks ? "m" : "n"));
}

// Guards against an imported KV cache that differs from the exported one.
TEST_CASE("an exported KV cache can be imported elsewhere")
{
    local_fleet from(local_replica(), fast_engine());
    local_fleet to(local_replica(), fast_engine());
    from.post("/v1/completions", completion("prompt", 4));
    const auto kv = from.get("/v1/kv/r1");
    REQUIRE(kv.status == 200);
    CHECK(to.get("/v1/kv/r1").status == 404);
    CHECK(to.post("/v1/kv", kv.json).status == 200);
    CHECK(to.get("/v1/kv/r1").json == kv.json);
}

// Guards against a cache that exceeds its capacity, and against events without
// gaps.
TEST_CASE("the prefix cache is limited and its events have gaps")
{
    prefix_cache      cache(4);
    const std::string a(3 * prefix_cache::block_size, 'a');
    const std::string b(3 * prefix_cache::block_size, 'b');
    std::mt19937_64   random(1);
    cache_event_log   events(milliseconds{500}, 0.5);
    const cache_event_log::clock::time_point now{};
    events.add(cache.insert(a), now, random);
    CHECK(cache.match(a) == 3);
    events.add(cache.insert(b), now, random);
    CHECK(cache.size() == 4);
    CHECK(cache.match(b) == 3);
    CHECK(cache.match(a) == 0); // The first block was evicted first.
    const auto late = events.page(0, now + milliseconds{499});
    CHECK(late.at("events").as_array().empty());
    const auto rows = events.page(0, now + milliseconds{500});
    CHECK(!rows.at("events").as_array().empty());
    CHECK(rows.at("events").as_array().size() < 8); // Six stored, two evicted.
}

// Guards against a misspelled fault name that is accepted but injects no fault.
TEST_CASE("unknown names and invalid values in a behaviour are refused")
{
    standin_behaviour it;
    CHECK_FALSE(update_behaviour({{"fail_rat", 1}}, it).ok());
    CHECK_FALSE(update_behaviour({{"fail_rate", 2}}, it).ok());
    CHECK(update_behaviour({{"fail_rate", 0.5}, {"leaving", true}}, it).ok());
    CHECK(it.fail_rate == 0.5);
    CHECK(it.leaving);
}

// Guards against a limiter that drifts from its rate.
TEST_CASE("the call limiter allows its rate and burst")
{
    call_limiter::clock::time_point now{};
    call_limiter                    it(10, 3);
    for (int n = 0; n < 3; ++n)
        CHECK(it.take(now));
    CHECK_FALSE(it.take(now));
    CHECK_FALSE(it.take(now + milliseconds{99}));
    CHECK(it.take(now + milliseconds{201}));
    CHECK(it.take(now + milliseconds{201}));
    CHECK_FALSE(it.take(now + milliseconds{201}));
}

// Guards against a platform that does not enforce its read limit: the read
// rates of its readers would go unchecked.
TEST_CASE("reads over the platform's limit get 429")
{
    platform_init init;
    init.read_rate  = 1e-6;
    init.read_burst = 3;
    local_platform it(init);
    for (int n = 0; n < 3; ++n)
        CHECK(it.get("/v1/config/head").status == 200);
    CHECK(it.get("/v1/vms").status == 429);
    CHECK(number_of(it.control("/control/status").json, "over_limit", 0) == 1);
}

// Guards against a watch that counts as several reads because of its duration
// or its wake-ups.
TEST_CASE("a waiting watch counts as one call and ends at a new version")
{
    local_platform it({});
    io_thread      other;
    auto           watch = std::async(std::launch::async, [&] {
        return fetch(other, "127.0.0.1:" + std::to_string(it.platform.port()),
                               "/v1/config/head?after=1&wait_ms=60000");
    });
    while (number_of(it.control("/control/status").json, "open_watches", 0) ==
           0) {
    }
    it.control("/control/vms", R"({"id": "vm-2", "state": "live"})");
    it.control("/control/publish", R"({"base": "a: 2\n"})");
    const auto head = watch.get();
    CHECK(number_of(head.json, "version", 0) == 2);
    const auto status = it.control("/control/status").json;
    CHECK(number_of(status, "reads", 0) == 1);
    CHECK(number_of(status, "watches", 0) == 1);
    CHECK(it.get("/v1/config/document/base?version=1").body == "a: 1\n");
    CHECK(it.get("/v1/config/document/base?version=2").body == "a: 2\n");
}

// Guards against a pinned service that still serves the newest version.
TEST_CASE("a stale platform serves the chosen version only")
{
    local_platform it({});
    it.control("/control/publish", R"({"base": "a: 2\n"})");
    it.control("/control/serve", R"({"version": 1})");
    CHECK(number_of(it.get("/v1/config/head").json, "version", 0) == 1);
    CHECK(it.get("/v1/config/document/base?version=2").status == 404);
    CHECK(it.control("/control/serve", R"({"version": 9})").status == 400);
    it.control("/control/fault", R"({"fault": "unavailable"})");
    CHECK(it.get("/v1/config/head").status == 503);
    it.control("/control/fault", R"({"fault": "closed"})");
    CHECK(it.get("/v1/config/head").status == 0);
}

// Guards against a list of VMs without its lag, and against accepted values
// over the size limit.
TEST_CASE("the list of VMs lags and large values are refused")
{
    const bool    lags = GENERATE(true, false);
    platform_init init;
    init.list_lag = lags ? seconds{3600} : seconds{0};
    local_platform it(init);
    it.control("/control/vms", R"({"id": "vm-1", "state": "leaving"})");
    const auto vms = it.get("/v1/vms").json.at("vms").as_array();
    REQUIRE(vms.size() == 1);
    CHECK(text_of(vms[0].as_object(), "state") == (lags ? "live" : "leaving"));
    const json::object large{
        {"base", std::string(limits::config_value_size + 1, 'x')}};
    CHECK(it.control("/control/publish", json::serialize(large)).status == 400);
}

// Guards against a stand-in that names no limit, or that does not notice calls
// beyond it.
TEST_CASE("a stand-in names its limit and counts calls beyond it")
{
    auto init                 = local_replica();
    init.behaviour.call_limit = 1.5;
    local_fleet it(init);
    CHECK(it.post("/v1/call", call_body("r1")).load_report.find("limit=1.5") !=
          std::string::npos);
    call_limit_check check;
    using time    = call_limit_check::time;
    const auto at = [](int ms) {
        return time{} + milliseconds{ms};
    };
    check.set_limit(1, at(0));
    // The fleet learns of the limit; these do not count.
    for (int n = 0; n < 100; ++n)
        check.add_call(at(2900));
    CHECK(check.allowed_calls(1) == 11);
    for (int n = 0; n < 11; ++n)
        check.add_call(at(3000 + n * 300));
    CHECK(check.most_excess() == 0);
    check.add_call(at(6900));
    CHECK(check.most_excess() == 1);
    check.add_call(at(7100));
    check.add_call(at(20'000));
    CHECK(check.most_excess() == 1);
    check.set_limit(0, at(20'000));
    for (int n = 0; n < 100; ++n)
        check.add_call(at(30'000));
    CHECK(check.most_excess() == 1);
}

// Guards against a stand-in that does not play the failure: a request with a
// deadly part ends an engine for a time, with all that it serves.
TEST_CASE("a deadly prompt crashes an engine")
{
    auto engine       = fast_engine();
    engine.crash_time = milliseconds{300};
    local_fleet it(local_replica(), engine);
    const auto  deadly = std::string(deadly_mark) + " [request t-1]";
    CHECK(it.post("/v1/completions", completion(deadly, 4)).status == 0);
    CHECK(it.post("/v1/completions", completion("sound", 4)).status == 0);
    std::this_thread::sleep_for(milliseconds{400});
    CHECK(it.post("/v1/completions", completion("sound", 4)).status == 200);
}
