#include "deadly_call_check.hpp"
#include "fiber_http.hpp"
#include "load_caller.hpp"
#include "load_report.hpp"
#include "load_summary.hpp"
#include "standin_text.hpp"

#include <boost/json/serialize.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <set>

using namespace arbutusgate;
using namespace arbutusgate::test;
namespace json = boost::json;

namespace {

constexpr const char* small_mix = R"(
name: small
pipelines:
  chat:
    deadline_ms: 30000
    max_tokens: 8
    stream_share: 1
    stages: [encode, reply]
    generates: [reply]
  order:
    deadline_ms: 30000
    stages: [confirm]
    non_idempotent: [confirm]
accounts:
  first: {key: k1}
)";

/// A run of one chat and one order request without violations.
struct fixed_run
{
    fixed_run()
    {
        plan.resize(2);
        plan[0].tag      = "t-0";
        plan[1].tag      = "t-1";
        plan[1].number   = 1;
        plan[1].pipeline = 1;
        plan[1].key      = "key-1";
        results.resize(2);
        for (std::uint32_t n = 0; n < 2; ++n) {
            results[n].number     = n;
            results[n].outcome    = load_outcome::whole;
            results[n].request_id = "r" + std::to_string(n);
            results[n].attempts   = 1;
        }
        executions = {{{"r0", "encode", "", "t-0", 1},
                       {"r0", "", "", "t-0", 1},
                       {"r1", "confirm", "", "t-1", 1}}};
    }

    check_input input(std::vector<std::size_t> may_die = {}) const
    {
        return {mix,     plan, results, executions, daemons, std::move(may_die),
                counters};
    }
    std::vector<std::string> violations(std::vector<std::size_t> may_die = {})
    {
        return find_violations(input(std::move(may_die)));
    }

    load_mix                                  mix = *parse_mix(small_mix);
    std::vector<planned_request>              plan;
    std::vector<load_result>                  results;
    std::optional<std::vector<executed_work>> executions;
    std::vector<std::string>                  daemons = {"d0", "d1"};
    standin_counters                          counters;
};

std::string event(const std::string& name, const json::object& data)
{
    return (name.empty() ? "" : "event: " + name + "\n") +
           "data: " + json::serialize(data) + "\n\n";
}

/// Sends a chat request to a daemon that responds with these stream events.
load_result call_stream(const std::vector<std::string>& events,
                        planned_request&                request)
{
    const auto       mix = *parse_mix(small_mix);
    io_thread        server_thread;
    io_thread        thread;
    http_server_init init;
    init.address = "127.0.0.1:0";
    init.handler = [&](http_exchange& it) {
        http_response head(http::status::ok, 11);
        head.set(http::field::content_type, "text/event-stream");
        it.begin_stream(std::move(head));
        for (const auto& text : events)
            it.write(text);
        it.end_stream();
    };
    init.on_error = read_error_response;
    http_server server(std::move(init), {&server_thread});
    REQUIRE(server.start().ok());
    const std::vector<std::string> daemons = {"127.0.0.1:" +
                                              std::to_string(server.port())};
    return run_on(thread, [&] {
        load_caller caller(mix, daemons, thread.io());
        return caller.call(request, load_balancer::none);
    });
}

/// Sends an order request with an idempotency key to daemons with these
/// handlers, in this order; a daemon without a handler refuses the connection.
load_result
call_daemons(const std::vector<std::function<void(http_exchange&)>>& handlers,
             bool                                                    stream)
{
    const auto                                mix = *parse_mix(small_mix);
    io_thread                                 server_thread;
    io_thread                                 thread;
    std::vector<std::string>                  daemons;
    std::vector<std::unique_ptr<http_server>> servers;
    for (const auto& handler : handlers) {
        http_server_init init;
        init.address  = "127.0.0.1:0";
        init.handler  = handler;
        init.on_error = read_error_response;
        auto& server  = servers.emplace_back(std::make_unique<http_server>(
            std::move(init), std::vector<io_thread*>{&server_thread}));
        REQUIRE(server->start().ok());
        daemons.push_back("127.0.0.1:" + std::to_string(server->port()));
        if (!handler)
            server->stop();
    }
    planned_request request;
    request.pipeline = 1;
    request.key      = "key-1";
    request.input    = "order [request t-1]";
    request.stream   = stream;
    return run_on(thread, [&] {
        load_caller caller(mix, daemons, thread.io());
        return caller.call(request, load_balancer::none);
    });
}

http_response make_problem(std::string_view execution, std::string_view id)
{
    auto it = json_response(http::status::service_unavailable,
                            {{"reason", "draining"}, {"execution", execution}});
    it.set("X-Request-Id", id);
    return it;
}

/// Sends the request id and part of the text, then aborts the connection.
void abort_stream(http_exchange& it)
{
    http_response head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Request-Id", "lost-id");
    it.begin_stream(std::move(head));
    it.write(event("", {{"offset", 0}, {"text", "begun"}}));
    it.abort();
}

} // namespace

// Failure: a request that may have run is reported as not_run or refused
// because a retry was refused, or the request id of a lost attempt is reported
// for a later one.
TEST_CASE("a refused retry does not replace the outcome of a lost attempt")
{
    const auto refused = call_daemons({abort_stream, {}, {}}, true);
    CHECK(refused.attempts == 3);
    CHECK(refused.outcome == load_outcome::lost);
    CHECK(refused.request_id.empty());
    CHECK(refused.not_run_ids.empty());
    CHECK(refused.lost_by == std::vector<std::size_t>{0});

    const auto not_run =
        call_daemons({abort_stream,
                      {},
                      [](http_exchange& it) {
                          it.respond(make_problem("not_run", "other"));
                      }},
                     true);
    CHECK(not_run.outcome == load_outcome::lost);
    CHECK(not_run.not_run_ids == std::vector<std::string>{"other"});
    CHECK(not_run.violations.empty());

    const auto unknown = call_daemons(
        {[](http_exchange& it) { it.respond(make_problem("unknown", "u")); },
         {},
         {}},
        false);
    CHECK(unknown.outcome == load_outcome::unknown);
    CHECK(call_daemons({{}, {}, {}}, false).outcome == load_outcome::refused);
}

// Failure: a server that is stopped before its first accept still accepts
// connections after stop().
TEST_CASE("a server stopped before its first accept refuses connections")
{
    for (int n = 0; n < 300; ++n) {
        const auto out = call_daemons({{}}, false);
        INFO("round " << n);
        REQUIRE(out.outcome == load_outcome::refused);
    }
}

// Failure: text streamed by a lost attempt counts as part of the next attempt's
// stream, which is then reported as a violation.
TEST_CASE("a stream is checked without the text of a lost attempt")
{
    const auto output  = service_output("confirm", "order [request t-1]");
    const auto respond = [&](http_exchange& it) {
        http_response head(http::status::ok, 11);
        head.set(http::field::content_type, "text/event-stream");
        it.begin_stream(std::move(head));
        it.write(event("", {{"offset", 0}, {"text", output}}));
        it.write(event("done", {{"request_id", "r"}, {"output", output}}));
        it.end_stream();
    };
    const auto result = call_daemons({abort_stream, respond}, true);
    CHECK(result.outcome == load_outcome::whole);
    CHECK(result.request_id == "r");
    CHECK(result.violations.empty());
    CHECK(result.gaps.empty());
}

// Failure: the checker accepts a stream with missing or duplicate text, or with
// that of another request.
TEST_CASE("streams are checked for missing, duplicate and foreign text")
{
    planned_request request;
    request.input    = "hello [request t-0]";
    request.stream   = true;
    const auto text  = engine_text(service_output("encode", request.input), 4);
    const auto first = event("", {{"offset", 0}, {"text", text.substr(0, 9)}});
    const auto rest  = event("", {{"offset", 9}, {"text", text.substr(9)}});
    const auto done  = event("done", {{"request_id", "r"}, {"output", text}});

    const auto good = call_stream({first, rest, done}, request);
    CHECK(good.outcome == load_outcome::whole);
    CHECK(good.violations.empty());
    CHECK(good.gaps.size() == 1);
    CHECK_FALSE(
        call_stream({first, first, rest, done}, request).violations.empty());
    CHECK_FALSE(call_stream({first, done}, request).violations.empty());
    CHECK_FALSE(call_stream({first, rest}, request).violations.empty());
    CHECK_FALSE(
        call_stream({first, rest, done, rest}, request).violations.empty());
    request.input = "another [request t-1]";
    CHECK(call_stream({first, rest, done}, request).outcome ==
          load_outcome::wrong);
    const auto refused = call_stream(
        {event("error", {{"execution", "unknown"}, {"reason", "draining"}})},
        request);
    CHECK(refused.outcome == load_outcome::unknown);
    CHECK(refused.reason == "draining");
    CHECK(refused.violations.empty());
}

// Failure: a violation of the guarantees is not reported.
TEST_CASE("violations are found in the execution records")
{
    fixed_run it;
    REQUIRE(it.violations().empty());

    SECTION("a key that ran twice")
    {
        it.executions->push_back({"r9", "confirm", "", "t-1", 1});
        CHECK(it.violations().size() == 1);
    }
    SECTION("a not_run response to a request that ran")
    {
        it.results[0].not_run_ids = {"r0"};
        CHECK(it.violations().size() == 2); // One for each stage.
    }
    SECTION("a complete response without an execution")
    {
        it.executions->pop_back();
        CHECK(it.violations().size() == 1);
    }
    SECTION("an execution of another request under this request id")
    {
        it.executions->push_back({"r0", "encode", "", "t-1", 1});
        CHECK(it.violations().size() == 1);
    }
    SECTION("two different responses to one key")
    {
        it.results.push_back(it.results[1]);
        it.results[2].repeated = true;
        CHECK(it.violations().empty());
        it.results[2].output = "other";
        CHECK(it.violations().size() == 1);
    }
    SECTION("a request lost by a daemon that was not killed")
    {
        it.results[0].outcome = load_outcome::lost;
        it.results[0].lost_by = {1};
        CHECK(it.violations().empty());
        CHECK(it.violations({1}).empty());
        CHECK(it.violations({0}).size() == 1);
    }
}

// Failure: the reports state wrong figures.
TEST_CASE("the reports state the figures of the results")
{
    fixed_run  it;
    const auto add = [&](load_outcome outcome, int ms) {
        auto result     = it.results[0];
        result.outcome  = outcome;
        result.number   = static_cast<std::uint32_t>(it.plan.size());
        result.latency  = milliseconds{ms};
        result.stages   = {{"encode", 1, 1}, {"reply", 4, 1}};
        auto request    = it.plan[0];
        request.number  = result.number;
        request.tag     = "t-" + std::to_string(result.number);
        request.arrival = seconds{result.number % 2};
        it.plan.push_back(request);
        it.results.push_back(result);
        it.executions->push_back({"x", "encode", "", request.tag, 1});
        it.executions->push_back({"x", "", "", request.tag, 1});
    };
    it.results.clear();
    it.executions->clear();
    for (int n = 1; n <= 98; ++n)
        add(load_outcome::whole, n);
    add(load_outcome::late, 5000);
    add(load_outcome::not_run, 1);
    const auto summary = summarize(it.input(), {"breach"});
    CHECK(summary.all.requests == 100);
    CHECK(summary.all.outcome_count(load_outcome::whole) == 98);
    CHECK(summary.pipelines[0].attainment() == Approx(0.98));
    CHECK(summary.accounts[0].requests == 100);
    // 99 responses of cost 5 and one execution without a response.
    CHECK(summary.cost() == Approx(100 * 5));
    CHECK(summary.wasted() == Approx(2 * 5));
    CHECK(result_line(summary) == "requests=100 whole=98 attainment=0.980 "
                                  "cost_per_whole=5.10 violations=1");
    const auto& times = summary.all.latency;
    CHECK(times.count() == 99);
    CHECK(times.quantile(0.5).count() == Approx(50000).epsilon(0.011));
    CHECK(times.quantile(0.95).count() == Approx(95000).epsilon(0.011));
    CHECK(times.quantile(1).count() == Approx(5e6).epsilon(0.011));
    const auto report = json_report(summary);
    CHECK(report.at("timeline").at(0).at("requests") == 50);
    CHECK(report.at("reasons").at("not_run") == 1);
    const auto page = html_report(summary);
    CHECK(page.find("violation: breach") != std::string::npos);
    CHECK(page.find("http") == std::string::npos); // No external resources.
}

// Failure: the same seed yields different plans, or two requests share a tag.
TEST_CASE("the same seed yields the same plan")
{
    for (const auto* name : {"kestrelveld", "brazos"}) {
        const auto mix = *read_mix(name);
        const auto one = make_plan(mix, 50, seconds{20}, 7, "r");
        const auto two = make_plan(mix, 50, seconds{20}, 7, "r");
        REQUIRE(one.size() == two.size());
        CHECK(one.size() > 800);
        CHECK(one.size() < 1200);
        std::set<std::string> tags;
        for (std::size_t n = 0; n < one.size(); ++n) {
            CHECK((one[n].input == two[n].input &&
                   one[n].arrival == two[n].arrival));
            const auto& pipeline = mix.pipelines[one[n].pipeline];
            CHECK(mix.accounts[one[n].account].may_use(pipeline.name));
            CHECK(pipeline.needs_key() == !one[n].key.empty());
            tags.insert(one[n].tag);
        }
        CHECK(tags.size() == one.size());
    }
    CHECK_FALSE(read_mix("no-such-mix").ok());
}

// Failure: the balancer picks an excluded daemon while others are available.
TEST_CASE("the balancer excludes daemons for a limited time")
{
    load_balancer                          it(3);
    const load_balancer::clock::time_point now{seconds{1}};
    CHECK(it.pick(now, load_balancer::none) == 0);
    CHECK(it.pick(now, load_balancer::none) == 1);
    it.exclude(2, now + seconds{1});
    CHECK(it.pick(now, load_balancer::none) == 0);
    CHECK(it.pick(now, 1) == 0);
    it.exclude(0, now + seconds{2});
    it.exclude(1, now + seconds{3});
    CHECK(it.pick(now, load_balancer::none) == 2);
    CHECK(it.pick(now + seconds{1}, load_balancer::none) == 2);
}

// Guards against a run that passes although daemons together sent a target more
// calls than the limit that it named.
TEST_CASE("calls beyond a target's limit are a violation")
{
    fixed_run it;
    it.counters.over_limit = {{"stock-01", 4}};
    CHECK(it.violations() ==
          std::vector<std::string>{
              "target stock-01 got 4 calls more than its limit allows"});
}

// Guards against a run that passes although requests with a deadly part went on
// to reach engines, or although others were refused.
TEST_CASE("late deadly requests and refused sound ones are violations")
{
    const auto mix  = *read_mix("kestrelveld");
    auto       plan = make_plan(mix, 50, seconds{20}, 7, "r", 0.2);
    const auto same = make_plan(mix, 50, seconds{20}, 7, "r");
    std::vector<planned_request> deadly;
    std::copy_if(plan.begin(), plan.end(), std::back_inserter(deadly),
                 [](const auto& it) { return it.deadly; });
    REQUIRE(deadly.size() > 50);
    CHECK(std::none_of(same.begin(), same.end(),
                       [](const auto& it) { return it.deadly; }));
    for (const auto& it : deadly) {
        CHECK(it.input.starts_with(deadly_mark));
        CHECK(it.input.substr(0, 512) == deadly[0].input.substr(0, 512));
    }
    std::vector<load_result> results(5);
    std::vector<std::string> late;
    for (std::uint32_t n = 0; n < results.size(); ++n) {
        results[n].number  = deadly[n].number;
        results[n].outcome = load_outcome::unknown;
        results[n].daemon  = n;
        late.push_back(deadly[n].tag);
    }
    const std::vector<std::string>                  daemons(5, "d");
    const std::optional<std::vector<executed_work>> no_records;
    const check_input all{mix,     plan, results,   no_records,
                          daemons, {},   {{}, late}};
    CHECK(find_violations(all) ==
          std::vector<std::string>{
              "5 requests with a deadly part reached engines too late"});
    // Two of the daemons may die.
    const check_input some{mix,     plan,   results,   no_records,
                           daemons, {0, 4}, {{}, late}};
    CHECK(find_violations(some).empty());
    results.resize(1);
    const auto sound  = std::find_if(plan.begin(), plan.end(),
                                     [](const auto& it) { return !it.deadly; });
    results[0].number = sound->number;
    results[0].reason = "quarantined";
    const check_input refused{mix, plan, results, no_records, daemons, {}, {}};
    CHECK(find_violations(refused) ==
          std::vector<std::string>{"request " + sound->tag +
                                   " refused for a part that crashes targets"});
}
