#include "gateway_fixture.hpp"
#include "http_codec.hpp"
#include "store_client.hpp"
#include "store_codec.hpp"

#include "absl/strings/escaping.h"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::platform;
using arbutusgate::test::run_on;

namespace {

constexpr const char* config_text = R"({"version":7,"routes":[
{"name":"r1","host":"A.example","pathPrefix":"/p/","routeType":"streaming",
"timeoutMs":6000,"targetLatencyMs":800,"priority":1,
"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
"maxAttempts":1,"stages":[{"service":"s3","after":[],"bytes":3000000},
{"service":"s4","after":[0],"bytes":60000}],"public":false,
"sessionAffinity":true,"streamResume":false,"gapTargetMs":250},
{"name":"r2","host":"b.example","pathPrefix":"/","routeType":"idempotent",
"timeoutMs":800,"service":"s2","maxAttempts":2,"public":true}],
"services":[{"name":"s1","healthCheck":"/health","maxConnections":630,
"engine":{"slots":128,"kvCapacity":607517}},
{"name":"s2","healthCheck":"/health","maxConnections":110},
{"name":"s3","healthCheck":"/health","maxConnections":630,"pieces":{"slots":1,
"queue":2,"batch":10,"callMs":150.0,"itemMs":13.5,"headroomMb":58.0,
"handleS":4.0,"linkMbps":10000}}],
"limits":{"maxHeaderBytes":9000,"maxBodyBytes":100000,"headerTimeoutMs":3000,
"idleTimeoutMs":20000},
"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":0}],"new":[1]})";

constexpr const char* target_text =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"gp-a","version":"v1",
"slots":128,"state":"ready","coldRemainingMs":0,"sequence":4,"born":1764})";

std::string item(const std::string& key, const std::string& value)
{
    return R"({"key":")" + key + R"(","value":")" + absl::Base64Escape(value) +
           R"(","revision":412,"lease":0,"currentRev":530})";
}

std::string with_replacement(std::string text, const std::string& from,
                             const std::string& to)
{
    const auto n = text.find(from);
    REQUIRE(n != std::string::npos);
    return text.replace(n, from.size(), to);
}

http_request make_call()
{
    http_request it(http::verb::post, "/p/x?q=1", 11);
    it.set(http::field::host, "a.example");
    it.set(http::field::authorization, "Bearer k1");
    it.set("Arbutusgate-Attempt-Id", "9c41");
    it.set("Arbutusgate-Deadline-Ms", "6000");
    it.set("Arbutusgate-Token-Usage", "1460,80");
    it.set("Arbutusgate-Prompt-Prefix", "5c:800,91:410");
    it.set("Arbutusgate-Pieces", "2,0,16");
    it.set("Arbutusgate-Piece-Key", "7c1e");
    it.set("Arbutusgate-Tenant", "forged");
    it.set("Arbutusgate-Hold", "forged");
    it.set("Kv-From", "forged");
    it.body() = "body";
    it.prepare_payload();
    return it;
}

} // namespace

// Guards against mixed-up fields of the configuration.
TEST_CASE("all parts of a configuration are decoded", "[platform]")
{
    const auto it = decode_configuration(config_text);
    REQUIRE(it.ok());
    CHECK(it->version == 7);
    const auto& r = it->routes.at(0);
    CHECK(r.host == "a.example");
    CHECK(r.rule == repeat_rule::stream);
    CHECK(r.services.size() == 2);
    CHECK(r.services[1].weight == 10);
    CHECK(r.needs_account);
    CHECK_FALSE(r.repeatable());
    CHECK(r.gap_goal == milliseconds{250});
    CHECK(r.latency_goal == milliseconds{800});
    CHECK(r.stages[1].after == std::vector<std::uint32_t>{0});
    CHECK_FALSE(it->routes[1].needs_account);
    CHECK(it->routes[1].services[0].service == "s2");
    CHECK(it->services[0].engine->slots == 128);
    CHECK(it->services[2].stage->piece_time == microseconds{13'500});
    CHECK(it->services[2].stage->result_memory == 58'000'000);
    CHECK(it->services[2].stage->result_retention == milliseconds{4000});
    CHECK(it->limits.header_bytes == 9000);
    CHECK(it->limits.idle_time == milliseconds{20'000});
    CHECK(it->accounts[0].keys.size() == 2);
    CHECK(it->accounts[0].rank == 0U);
    CHECK(it->has_accounts);
    CHECK_FALSE(decode_configuration("{}").ok());
    CHECK_FALSE(decode_configuration("[").ok());
    const auto wrong = decode_configuration(with_replacement(
        config_text, R"("timeoutMs":6000)", R"("timeoutMs":"x")"));
    CHECK(wrong.status().message() ==
          "routes.timeoutMs: missing or of the wrong type");
}

// Guards against sending work to entries that another program wrote below the
// targets' keys.
TEST_CASE("entries with missing or wrong fields are not targets", "[platform]")
{
    const auto it = decode_target("i-1", target_text);
    REQUIRE(it.ok());
    CHECK(it->service == "s1");
    CHECK(it->failure_domain == "gp-a");
    CHECK(it->slots == 128);
    CHECK(it->started_at == 1764);
    CHECK_FALSE(it->leaving);
    CHECK(
        decode_target("i-1", with_replacement(target_text, "ready", "draining"))
            ->leaving);
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
             {R"("service":"s1",)", ""},
             {R"("slots":128)", R"("slots":"128")"},
             {R"("slots":128)", R"("slots":-1)"},
             {"ready", "gone"},
             {"10.0.0.9:8080", "10.0.0.9"},
             {"10.0.0.9:8080", "host:8080"},
             {R"("sequence":4)", R"("sequence":null)"},
             {R"("born":1764)", R"("born":1.5)"},
             {R"("born":1764)", R"("born":"x")"},
             {"{", "["}})
        CHECK_FALSE(
            decode_target("i-1", with_replacement(target_text, from, to)).ok());
    CHECK_FALSE(decode_target("", target_text).ok());
}

// Guards against missed or confused changes.
TEST_CASE("pages and changes of the store are decoded", "[platform]")
{
    const auto page =
        decode_page(R"({"items":[)" + item("servers/i-1", target_text) + "," +
                    item("servers/i-2", "junk") +
                    R"(],"morePages":true,"currentRev":530})");
    REQUIRE(page.ok());
    CHECK(page->next_page == "servers/i-2");
    CHECK(page->revision == 530);
    CHECK(std::get<target>(page->entries[0]).id == "i-1");
    CHECK(std::get<target_removed>(page->entries[1]).unreadable);
    const auto changes = decode_changes(
        R"({"events":[)" + item("op/config", config_text) +
        R"(,{"key":"servers/i-1","revision":413,"removed":true},)" +
        item("op/config", "junk") + "," + item("other/x", "y") +
        R"(],"currentRev":413})");
    REQUIRE(changes.ok());
    REQUIRE(changes->changes.size() == 3);
    CHECK(std::get<configuration>(changes->changes[0]).version == 7);
    CHECK_FALSE(std::get<target_removed>(changes->changes[1]).unreadable);
    CHECK(
        std::holds_alternative<configuration_unreadable>(changes->changes[2]));
    CHECK(decode_configuration_item(item("op/config", config_text)).ok());
    CHECK_FALSE(decode_configuration_item("{}").ok());
    CHECK_FALSE(decode_changes("{}").ok());
    CHECK_FALSE(decode_page("x").ok());
}

// Guards against an entry of another writer that ends the process, or that
// hides the entries beside it or those that follow.
TEST_CASE("an odd entry does not hide other targets", "[platform]")
{
    const std::string deep(100'000, '[');
    const auto        large = [](const char* from, const char* to) {
        return with_replacement(target_text, from, to);
    };
    const auto odd = GENERATE_COPY(values<std::string>(
        {deep, R"({"service":)" + deep,
         large(R"("slots":128)", R"("slots":1e300)"),
         large(R"("slots":128)", R"("slots":1e999)"),
         large(R"("sequence":4)", R"("sequence":99999999999999999999999)"),
         large(R"("born":1764)", R"("born":1e300)"),
         large(R"("born":1764)", R"("born":-1e300)"),
         large("10.0.0.9:8080", "10.0.0.9:70000"),
         large("10.0.0.9:8080", "10.0.0.9:-1"),
         large("10.0.0.9:8080", "10.0.0.9:0"),
         large("10.0.0.9:8080", "10.0.0.9:99999999999999999999")}));
    CAPTURE(odd.substr(0, 80));
    const auto sound = item("servers/i-1", target_text);
    const auto after = item("servers/i-3", target_text);
    const auto list  = sound + "," + item("servers/i-2", odd) + "," + after;
    const auto page  = decode_page(R"({"items":[)" + list +
                                   R"(],"morePages":false,"currentRev":530})");
    REQUIRE(page.ok());
    REQUIRE(page->entries.size() == 3);
    CHECK(std::get<target>(page->entries[0]).id == "i-1");
    CHECK(std::get<target_removed>(page->entries[1]).unreadable);
    CHECK(std::get<target>(page->entries[2]).id == "i-3");
    const auto changes =
        decode_changes(R"({"events":[)" + list + R"(],"currentRev":531})");
    REQUIRE(changes.ok());
    CHECK(changes->revision == 531);
    CHECK(changes->changes.size() == 3);
    CHECK(std::get<target>(changes->changes[2]).id == "i-3");
}

// Guards against numbers of a configuration that no time or size can hold.
TEST_CASE("a configuration with numbers out of range is rejected", "[platform]")
{
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
             {R"("timeoutMs":6000)", R"("timeoutMs":1e300)"},
             {R"("timeoutMs":6000)", R"("timeoutMs":-1)"},
             {R"("weight":90)", R"("weight":1e300)"}})
        CHECK_FALSE(
            decode_configuration(with_replacement(config_text, from, to)).ok());
}

// Guards against forwarding a changed call, the caller's key, or a caller's
// value of a header that only the gateway may set.
TEST_CASE("a forwarded call has only the gateway's own internal headers",
          "[platform]")
{
    const http_codec codec;
    const auto       in   = make_call();
    const auto       call = codec.decode_call(in);
    CHECK(call.host == "a.example");
    CHECK(call.path == "/p/x");
    CHECK(call.key == "k1");
    CHECK(call.attempt == "9c41");
    CHECK(call.caller_timeout == milliseconds{6000});
    CHECK(call.prompt_tokens == 1460);
    CHECK(call.prompt[1].id == "91");
    CHECK(call.prompt[1].tokens == 410);
    CHECK(call.pieces == std::vector<std::uint32_t>{2, 0, 16});
    CHECK(call.piece_key == "7c1e");
    CHECK_FALSE(call.last_event_id);
    auto taken_up = in;
    taken_up.set("Last-Event-Id", "7");
    taken_up.set("Resumes", "5b20");
    CHECK(codec.decode_call(taken_up).last_event_id == "7");
    CHECK(codec.decode_call(taken_up).resumed_attempt == "5b20");
    call_context context;
    context.target           = "i-1";
    context.account          = "t1";
    context.time_left        = milliseconds{5500};
    context.inputs           = {"h1", "h2"};
    context.request_priority = 4;
    const auto out           = codec.encode_call(in, context);
    CHECK(out.method() == http::verb::post);
    CHECK(out.target() == "/p/x?q=1");
    // The body is sent from the caller's request; its length is stated here.
    CHECK(out.body().empty());
    CHECK(out["Content-Length"] == "4");
    CHECK(out["Arbutusgate-Tenant"] == "t1");
    CHECK(out["Arbutusgate-Expect-Replica"] == "i-1");
    CHECK(out["Arbutusgate-Deadline-Ms"] == "5500");
    CHECK(out["Arbutusgate-Inputs"] == "h1,h2");
    CHECK(out["Arbutusgate-Request-Priority"] == "4");
    CHECK(out["Arbutusgate-Token-Usage"] == "1460,80");
    CHECK(out.find(http::field::authorization) == out.end());
    CHECK(out.find("Arbutusgate-Hold") == out.end());
    CHECK(out.find("Kv-From") == out.end());
    CHECK(out.find("Last-Event-Id") == out.end());
    // Without an account the header is omitted, whatever the caller sent.
    const auto plain = codec.encode_call(in, {});
    CHECK(plain.find("Arbutusgate-Tenant") == plain.end());
}

// Guards against a response that is wrongly taken as signed by the target, or
// as a call that did not run.
TEST_CASE("a response's head is decoded", "[platform]")
{
    const http_codec        codec;
    http::response_header<> in;
    in.result(200);
    in.set("Arbutusgate-Attempt-Id", "9c41");
    in.set("Arbutusgate-Server-Signature", "3e1b");
    in.set("Arbutusgate-Replica-Load", "3,1,8");
    in.set(http::field::content_type, "text/event-stream");
    in.set(http::field::keep_alive, "timeout=7");
    const auto it = codec.decode_response(in);
    CHECK(it.signed_by_target);
    CHECK_FALSE(it.not_run);
    CHECK(it.event_body);
    CHECK(it.load->waiting == 1);
    CHECK(it.load->slots == 8);
    CHECK(it.idle_time == milliseconds{7000});
    http::response_header<> full;
    full.result(503);
    CHECK_FALSE(codec.decode_response(full).not_run);
    full.set("Arbutusgate-Not-Executed", "1");
    CHECK(codec.decode_response(full).not_run);
    http::response_header<> other;
    other.result(421);
    CHECK(codec.decode_response(other).not_run);
    const auto relayed = codec.relay_head(in);
    CHECK(relayed["Arbutusgate-Server-Signature"] == "3e1b");
    CHECK(relayed.find(http::field::keep_alive) == relayed.end());
}

// Guards against ignoring the load of a target that also reports how long work
// takes at the moment, or that reports a figure that is no time.
TEST_CASE("a target's momentary slowdown is decoded", "[platform]")
{
    const http_codec codec;
    const auto       load = [&](const char* text) {
        http::response_header<> in;
        in.result(200);
        in.set("Arbutusgate-Replica-Load", text);
        return codec.decode_response(in).load;
    };
    CHECK(load("3,1,8")->slowdown == std::nullopt);
    CHECK(load("3,1,8,250")->slowdown == 2.5);
    CHECK(load("3,1,8,250")->running == 3);
    CHECK(load("3,1,8,0")->slowdown == std::nullopt);
    CHECK(load("3,1,8,x")->slowdown == std::nullopt);
    CHECK_FALSE(load("3,1,8,100,1"));
}

// Guards against requests to targets that a route or account excludes, and
// against cold targets that are taken for warm ones.
TEST_CASE("regions, cold targets and evacuations are decoded", "[platform]")
{
    const auto config = decode_configuration(
        R"({"version":1,"routes":[{"name":"r","host":"a","pathPrefix":"/",
"routeType":"idempotent","service":"s","allowedRegions":["eu","us"]}],
"services":[{"name":"s","coldStartS":3.0,"coldPerS":15.0},
{"name":"t","coldStartS":0.0,"coldPerS":0.0}],
"tenants":[{"name":"t","apiKeys":[],"allowedRegions":["eu"]}]})");
    REQUIRE(config.ok());
    CHECK(config->routes[0].regions == std::vector<std::string>{"eu", "us"});
    CHECK(config->accounts[0].regions == std::vector<std::string>{"eu"});
    // A restriction that cannot be read must not be lifted.
    CHECK_FALSE(decode_configuration(
                    R"({"version":1,"routes":[],"services":[],
"tenants":[{"name":"t","apiKeys":[],"allowedRegions":[null]}]})")
                    .ok());
    REQUIRE(config->services[0].cold);
    CHECK(config->services[0].cold->time == milliseconds{3000});
    CHECK(config->services[0].cold->calls_per_s == 15);
    CHECK_FALSE(config->services[1].cold);
    const auto cold = decode_target(
        "i", with_replacement(target_text, R"("coldRemainingMs":0)",
                              R"("coldRemainingMs":1700)"));
    CHECK(cold->cold_for == milliseconds{1700});
    const auto changes = decode_changes(
        R"({"events":[{"key":"op/evacuate/z","revision":5,"removed":true}],
"currentRev":5})");
    REQUIRE(changes->changes.size() == 1);
    const auto* ended = std::get_if<domain_evacuation>(&changes->changes[0]);
    REQUIRE(ended);
    CHECK(ended->failure_domain == "z");
    CHECK_FALSE(ended->active);
}

// Guards against missed or wrongly detected notices of a target: that it is
// leaving, or that it asks for no work for some time.
TEST_CASE("a target's notices in a response are decoded", "[platform]")
{
    const http_codec        codec;
    http::response_header<> in;
    in.result(200);
    CHECK_FALSE(codec.decode_response(in).notice.leaving);
    in.set("Server-Leaving", "1");
    CHECK(codec.decode_response(in).notice.leaving);
    in.set("Server-Leaving", "0");
    CHECK_FALSE(codec.decode_response(in).notice.leaving);
    in.set(http::field::retry_after, "2");
    // Retry-After counts only in a refusal for lack of capacity (503).
    CHECK_FALSE(codec.decode_response(in).notice.closed_for);
    in.result(503);
    CHECK(codec.decode_response(in).notice.closed_for == milliseconds{2000});
    in.set(http::field::retry_after, "0.25");
    CHECK(codec.decode_response(in).notice.closed_for == milliseconds{250});
    for (const auto* bad :
         {"", "soon", "-2", "nan", "inf", "1e40", "1 2", "0x"}) {
        in.set(http::field::retry_after, bad);
        const auto it = codec.decode_response(in).notice;
        CHECK_FALSE(it.closed_for);
        CHECK(it.unreadable_time);
    }
}

// Guards against a limit that is missed, or misread from a text that is not a
// number of calls.
TEST_CASE("a target's limit on its calls is decoded", "[platform]")
{
    const http_codec        codec;
    http::response_header<> in;
    in.result(200);
    CHECK_FALSE(codec.decode_response(in).notice.call_limit);
    CHECK_FALSE(codec.decode_response(in).notice.unreadable_limit);
    for (const auto& [text, calls] :
         {std::pair<const char*, double>{"1.6", 1.6},
          {"0", 0},
          {"5", 5},
          {" 0.25 ", 0.25},
          {"1e3", 1000},
          {"1e300", 1e300}})
    {
        in.set("Server-Limit", text);
        const auto it = codec.decode_response(in).notice;
        REQUIRE(it.call_limit);
        CHECK(*it.call_limit == calls);
        CHECK_FALSE(it.unreadable_limit);
    }
    for (const auto* bad : {"", " ", "-1", "-0.5", "nan", "inf", "-inf",
                            "1e999", "many", "2/s", "1,5", "1 2"})
    {
        in.set("Server-Limit", bad);
        const auto it = codec.decode_response(in).notice;
        CHECK_FALSE(it.call_limit);
        CHECK(it.unreadable_limit);
    }
}

// Guards against assigning results to the wrong pieces.
TEST_CASE("stage calls and results are encoded in order", "[platform]")
{
    const http_codec codec;
    target           at;
    at.id            = "i-1";
    at.address       = "10.0.0.9:8080";
    const auto first = std::make_shared<const stage_source>(
        stage_source{"e5b2", 0, "7c1e", {}});
    const auto last = std::make_shared<const stage_source>(
        stage_source{"14da", 2, "", {"h1"}});
    const auto call = codec.encode_stage_call(
        {{first, 2, milliseconds{900}}, {last, 0, milliseconds{0}}}, at);
    CHECK(call.target() == "/stage-run");
    CHECK(call["Arbutusgate-Expect-Replica"] == "i-1");
    CHECK(call.body() ==
          R"({"items":[{"id":"e5b2","stage":0,"piece":2,"remainingMs":900,)"
          R"("key":"7c1e"},{"id":"14da","stage":2,"piece":0,)"
          R"("inputs":["h1"]}]})");
    const auto results = codec.decode_stage_results(
        R"({"items":[{"handle":"h2"},{"reason":"gone"},{"reason":"room"},)"
        R"({"reason":"late"},{"reason":"error"}]})",
        5);
    REQUIRE(results.ok());
    CHECK(results->at(0).handle == "h2");
    CHECK(results->at(1).failure == piece_failure::input_gone);
    CHECK(results->at(2).failure == piece_failure::no_room);
    CHECK(results->at(3).failure == piece_failure::late);
    CHECK(results->at(4).failure == piece_failure::failed);
    CHECK_FALSE(codec.decode_stage_results(R"({"items":[]})", 1).ok());
    CHECK_FALSE(codec.decode_stage_results(R"({"items":[{}]})", 1).ok());
    CHECK_FALSE(codec.decode_stage_results("x", 1).ok());
    CHECK(codec.encode_release({"h1"}, at).body() == R"({"handles":["h1"]})");
}

// Guards against confusing the store's errors (refusal, discarded history, lost
// response), and against reusing a connection after a lost response.
TEST_CASE("the store client reads, watches and reports errors", "[platform]")
{
    using namespace arbutusgate::gateway::test;
    const auto reply = [](const std::string& status, const std::string& body) {
        return "HTTP/1.1 " + status +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    };
    std::atomic<int> connections{0};
    scripted_target  store([&](target_session& it) {
        ++connections;
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            const auto line = text.substr(0, text.find('\r'));
            if (line == "GET /kv-key?key=op/config HTTP/1.1")
                it.write(reply("200 OK", item("op/config", config_text)));
            else if (line == "GET /kv-range?pathPrefix=op/evacuate/ HTTP/1.1")
                it.write(reply(
                     "200 OK", R"({"items":[)" + item("op/evacuate/gp-a", "{}") +
                                   R"(],"morePages":false,"currentRev":7})"));
            else if (line == "GET /kv-range?pathPrefix=servers/&after="
                              "servers/ HTTP/1.1")
                it.write(reply("200 OK",
                                R"({"items":[)" +
                                    item("servers/i-1", target_text) +
                                    R"(],"morePages":true,"currentRev":7})"));
            else if (line == "GET /kv-range?pathPrefix=servers/&after="
                              "servers/i-1 HTTP/1.1")
                it.write(reply("503 Busy", ""));
            else if (line == "GET /kv-watch?pathPrefix=&after=7&waitMs=300 "
                              "HTTP/1.1")
                it.write(reply("410 Gone", ""));
            else
                return;
        }
    });
    io_thread        thread;
    run_on(thread, [&] {
        constexpr milliseconds limit{20'000};
        store_client           it(thread.io(), store.address());
        CHECK(it.read_configuration(limit)->config.version == 7);
        CHECK(it.read_configuration(limit)->revision == 530);
        const auto evacuated = it.read_targets("", limit);
        REQUIRE(evacuated->entries.size() == 1);
        const auto* first =
            std::get_if<domain_evacuation>(&evacuated->entries[0]);
        REQUIRE(first);
        CHECK(first->failure_domain == "gp-a");
        CHECK(first->active);
        const auto page = it.read_targets(evacuated->next_page, limit);
        CHECK(page->entries.size() == 1);
        CHECK(absl::IsResourceExhausted(
            it.read_targets(page->next_page, limit).status()));
        CHECK(
            absl::IsOutOfRange(it.watch(7, milliseconds{300}, limit).status()));
        CHECK(connections == 1);
        CHECK(absl::IsUnavailable(
            it.watch(8, milliseconds{300}, limit).status()));
        CHECK(it.read_configuration(limit).ok());
        CHECK(connections == 2);
        return true;
    });
}

// Guards against an era of the store that is not read, so that a store that was
// restored from an older copy goes unnoticed.
TEST_CASE("the store client reads the era of each response", "[platform][era]")
{
    using namespace arbutusgate::gateway::test;
    std::atomic<int> responses{0};
    scripted_target  store([&](target_session& it) {
        const std::array<std::string, 4> eras{
            "Store-Era: 3\r\n", "Store-Era: 4\r\n", "", "Store-Era: x\r\n"};
        const std::string body = R"({"events":[],"currentRev":7})";
        while (!it.read().empty())
            it.write("HTTP/1.1 200 OK\r\n" + eras.at(responses++) +
                      "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
    });
    io_thread        thread;
    run_on(thread, [&] {
        constexpr milliseconds limit{20'000};
        store_client           it(thread.io(), store.address());
        for (const std::uint64_t era : {3, 4, 4, 4})
            CHECK(it.watch(7, limit, limit)->revision ==
                  state_revision(7, era));
        return true;
    });
}
