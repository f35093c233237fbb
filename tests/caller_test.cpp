#include "daemon_fixture.hpp"
#include "prompt_guard.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

using namespace arbutusgate;
using namespace arbutusgate::test;

// Guards against the delivery of a result to another request (P1).
TEST_CASE("a result with another request id is dropped")
{
    fake_target target([](http_exchange& it, int call) {
        auto body =
            service_response(request_json(it), call == 0 ? "other" : "own");
        if (call == 0)
            body["request_id"] = "someone-else";
        it.respond(make_json_response(body));
    });
    front_end   front(one_stage_deployment(stage_kind::service, true,
                                           {target.address(), target.address()}));
    const auto  response = front.call(front.request());
    CHECK(response.status == 200);
    CHECK(response.text("output") == "own");
    CHECK(front.counts.wrong_results() == 1);
}

// Guards against refusals without the documented status and reason.
TEST_CASE("malformed and unauthorized requests are refused with a reason")
{
    fake_target target([](http_exchange& it, int) {
        it.respond(make_json_response(service_response(request_json(it))));
    });
    front_end   front(
          one_stage_deployment(stage_kind::service, false, {target.address()}));
    const auto expect = [&front](const http_request& it, unsigned status,
                                 std::string_view reason) {
        const auto response = front.call(it);
        INFO(reason);
        CHECK(response.status == status);
        CHECK(response.text("reason") == reason);
        CHECK(response.text("execution") == "not_run");
        CHECK(!response.request_id.empty());
    };
    auto it = front.request();
    it.set(http::field::authorization, "Bearer wrong");
    expect(it, 401, "unauthorized");
    it = front.request();
    // The account may not use the pipeline.
    it.set(http::field::authorization, "Bearer key-two");
    expect(it, 404, "no_such_pipeline");
    it = front.request();
    it.target("/v1/pipelines/none");
    expect(it, 404, "no_such_pipeline");
    expect(front.request("{"), 400, "bad_request");
    expect(front.request(R"({"input":1})"), 400, "bad_request");
    expect(front.request(R"({"input":"a","max_tokens":-1})"), 400,
           "bad_request");
    it = front.request();
    it.set("Request-Timeout-Ms", "soon");
    expect(it, 400, "bad_request");
    it = front.request();
    it.set("Idempotency-Key", std::string(limits::idempotency_key + 1, 'k'));
    expect(it, 400, "bad_request");
    it = front.request();
    it.erase("Idempotency-Key");
    expect(it, 400, "missing_key");
    it = front.request();
    it.set("X-Large", std::string(limits::request_header, 'x'));
    expect(it, 431, "header_too_large");
    expect(front.request(std::string(limits::request_body + 1, ' ')), 413,
           "too_large");
    CHECK(target.calls() == 0);
}

// Guards against dropping an incomplete request at its read timeout without a
// response or a count. The client sends nothing more, so only the timeout can
// end the request.
TEST_CASE("a request that is not complete in time gets 408")
{
    namespace asio = boost::asio;
    fake_target target([](http_exchange& it, int) {
        it.respond(make_json_response(service_response(request_json(it))));
    });
    front_end   front(
          one_stage_deployment(stage_kind::service, true, {target.address()}),
          milliseconds{20});
    for (const std::string part :
         {"POST /v1/pipelines/work HTTP/1.1\r\nHost: a\r\n",
          "POST /v1/pipelines/work HTTP/1.1\r\nHost: a\r\n"
          "Authorization: Bearer key-one\r\nContent-Length: 14\r\n\r\n"
          "{\"input\""})
    {
        INFO(part);
        const auto before =
            front.counts.reasons().get(refusal_reason::too_slow);
        asio::io_context      io;
        asio::ip::tcp::socket socket(io);
        socket.connect({asio::ip::address_v4::loopback(), front.port()});
        asio::write(socket, asio::buffer(part));
        boost::beast::flat_buffer buffer;
        http_response             response;
        http::read(socket, buffer, response);
        CHECK(response.result_int() == 408);
        CHECK(!response["X-Request-Id"].empty());
        CHECK(!response.keep_alive());
        const auto problem = json::parse(response.body()).as_object();
        CHECK(problem.at("reason") == json::value("too_slow"));
        CHECK(problem.at("execution") == json::value("not_run"));
        CHECK(front.counts.reasons().get(refusal_reason::too_slow) ==
              before + 1);
    }
    CHECK(target.calls() == 0);
}

// Guards against running work again although its result is recorded (P4).
TEST_CASE("a repeated key gets the recorded response byte for byte")
{
    fake_target target([](http_exchange& it, int) {
        it.respond(make_json_response(service_response(request_json(it))));
    });
    front_end   front(
          one_stage_deployment(stage_kind::service, false, {target.address()}));
    const auto first = front.call(front.request());
    REQUIRE(first.status == 200);
    CHECK(front.claims.recorded.body == first.body);

    front.claims.next = {2, claim_outcome::taken_done, front.claims.recorded};
    const auto second = front.call(front.request());
    CHECK(second.status == 200);
    CHECK(second.body == first.body);
    CHECK(target.calls() == 1);

    auto streamed = front.request();
    streamed.set(http::field::accept, "text/event-stream");
    CHECK(front.call(streamed).body.ends_with(
        "event: done\ndata: " + first.body + "\n\n"));
}

// Guards against sending work after a pause during which the claim was lost
// (P4).
TEST_CASE("work is not sent when the claim may no longer be used")
{
    fake_target target([](http_exchange& it, int) {
        it.respond(make_json_response(service_response(request_json(it))));
    });
    front_end   front(
          one_stage_deployment(stage_kind::service, false, {target.address()}));
    front.claims.usable = false;
    const auto response = front.call(front.request());
    CHECK(response.status == 503);
    CHECK(response.text("execution") == "not_run");
    CHECK(front.claims.released == 1);
    CHECK(target.calls() == 0);
}

// Guards against reporting work that may have run as not run (P3).
TEST_CASE("non-idempotent work whose response is lost is reported unknown")
{
    fake_target target([](http_exchange& it, int) { it.abort(); });
    front_end   front(one_stage_deployment(stage_kind::service, false,
                                           {target.address(), target.address()}));
    const auto  response = front.call(front.request());
    CHECK(response.status == 504);
    CHECK(response.text("execution") == "unknown");
    CHECK(front.claims.released == 0);
    CHECK(target.calls() == 1);
}

// Guards against failed requests when the target has closed an idle connection
// that the pool then reuses.
TEST_CASE("a connection closed while idle costs no attempt")
{
    // The target closes the connection after each response although the
    // response keeps it alive. An idle timeout of 1 ms instead would, on a busy
    // machine, also close new connections before their request arrives.
    fake_target target([](http_exchange& it, int) {
        it.respond(make_json_response(service_response(request_json(it))));
        it.abort();
    });
    front_end   front(
          one_stage_deployment(stage_kind::service, true, {target.address()}));
    for (int n = 0; n < 3; ++n) {
        const auto response = front.call(front.request());
        REQUIRE(response.status == 200);
        const auto stages = response.parsed().at("stages").as_array();
        CHECK(stages.at(0).at("attempts") == json::value(1));
        REQUIRE(eventually([&] { return target.connections() == 0; }));
    }
}

// Guards against a second copy of a refusal that is taken for the response to
// the next call on its connection: a call that runs is reported as not run.
TEST_CASE("a connection is not used again after a refusal")
{
    fake_target target([](http_exchange& it, int) {
        http_response out(http::status::service_unavailable, 11);
        out.body() = R"({"execution":"not_run"})";
        it.respond(std::move(out));
    });
    front_end   front(
          one_stage_deployment(stage_kind::service, true, {target.address()}));
    CHECK(front.call(front.request()).status == 503);
    CHECK(target.calls() > 0);
    CHECK(eventually([&] { return target.connections() == 0; }));
}

// Guards against calls that each read the response to the one before: a
// response to another request, after which the call's own one follows, is left
// on a connection that is used again.
TEST_CASE("a connection is not used again after a response to another request")
{
    fake_target target([](http_exchange& it, int) {
        auto body          = service_response(request_json(it));
        body["request_id"] = "someone-else";
        it.respond(make_json_response(body));
    });
    front_end   front(
          one_stage_deployment(stage_kind::service, true, {target.address()}));
    CHECK(front.call(front.request()).status != 200);
    CHECK(target.calls() > 0);
    CHECK(eventually([&] { return target.connections() == 0; }));
}

namespace {

/// Records what the requests report.
struct fake_prompts final : prompt_guard
{
    std::optional<milliseconds> refused(const prompt_call&) override
    {
        return quarantined ? std::optional(milliseconds{1500}) : std::nullopt;
    }
    void answered(const prompt_call&) override { ++answers; }
    void broke_off(const prompt_call& it) override
    {
        ++breaks;
        prefix = it.prefix;
    }

    std::atomic<bool>          quarantined{false};
    std::atomic<int>           answers{0};
    std::atomic<int>           breaks{0};
    std::atomic<std::uint64_t> prefix{0};
};

std::string long_input(const std::string& end)
{
    return R"({"input":")" + std::string(600, 'c') + end + R"("})";
}

} // namespace

// Guards against prompts that crash engines and of which the fleet does not
// learn, and against requests that reach engines although it did.
TEST_CASE("requests report engine calls that break off")
{
    std::atomic<bool> crash{true};
    fake_target       target([&](http_exchange& it, int) {
        if (crash)
            return it.abort();
        const auto call = request_json(it);
        it.begin_stream(http_response(http::status::ok, 11));
        it.write(chunk(call, 0, "first"));
        it.write("data: [DONE]\n\n");
        it.end_stream();
    });
    fake_prompts      prompts;
    front_end         front(
                one_stage_deployment(stage_kind::generate, true, {target.address()}),
                limits::request_read, &prompts);
    CHECK(front.call(front.request(long_input("1"))).status >= 500);
    CHECK(prompts.breaks > 0);
    CHECK(prompts.answers == 0);
    CHECK(prompts.prefix != 0);
    // A short input is a request's own.
    const int before = prompts.breaks;
    front.call(front.request());
    CHECK(prompts.breaks == before);
    crash = false;
    CHECK(front.call(front.request(long_input("2"))).status == 200);
    CHECK(prompts.answers == 1);
    prompts.quarantined = true;
    const int  calls    = target.calls();
    const auto refused  = front.call(front.request(long_input("3")));
    CHECK(refused.status == 503);
    CHECK(refused.text("reason") == "quarantined");
    CHECK(refused.text("execution") == "not_run");
    CHECK(target.calls() == calls);
}

// Guards against targets that continue to work for callers that disconnected.
TEST_CASE("a caller that closes its connection cancels the target's work")
{
    std::atomic<bool> gone{false};
    fake_target       target([&gone](http_exchange& it, int) {
        const auto call = request_json(it);
        it.begin_stream(http_response(http::status::ok, 11));
        it.write(chunk(call, 0, "first"));
        eventually([&] {
            fiber_sleep(it.thread().io(), milliseconds{2});
            return it.client_gone();
        });
        gone = it.client_gone();
    });
    front_end         front(
                one_stage_deployment(stage_kind::generate, true, {target.address()}));
    auto request = front.request();
    request.set(http::field::accept, "text/event-stream");
    front.call(request, [](http_client& it) { it.cancel(); });
    CHECK(eventually([&] { return gone.load(); }));
    CHECK(eventually([&] { return front.gate.running() == 0; }));
    CHECK(target.calls() == 1);
}

// Guards against reporting work that ran as not run (P3). In a load run the
// second stage missed its deadline and the caller received "not_run".
TEST_CASE("a request whose first stage ran is not reported as not run")
{
    fake_target first([](http_exchange& it, int) {
        it.respond(make_json_response(service_response(request_json(it))));
    });
    fake_target second([](http_exchange& it, int) {
        http_response response(http::status::service_unavailable, 11);
        response.body() = R"({"execution":"not_run"})";
        it.respond(std::move(response));
    });
    auto        config =
        one_stage_deployment(stage_kind::service, true, {first.address()});
    auto stage = config->pipelines[0].stages[0];
    stage.name = "later";
    stage.pool = pool_id{1};
    config->pipelines[0].stages.push_back(stage);
    config->targets.push_back({"late", second.address(), "a", pool_id{1}});
    config->pools.push_back(config->pools[0]);
    config->pools[1].name    = "later";
    config->pools[1].targets = {target_id{1}};
    front_end  front(config);
    const auto response = front.call(front.request());
    CHECK(first.calls() == 1);
    CHECK(response.status == 503);
    CHECK(response.text("execution") == "failed");
}
