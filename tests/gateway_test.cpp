#include "daemon_clock.hpp"
#include "gateway_fixture.hpp"
#include "peer_codec.hpp"
#include "stage_scheduler.hpp"
#include "state_follower.hpp"
#include "target_connections.hpp"

#include <boost/asio/read.hpp>

#include <catch2/catch.hpp>

#include <future>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;
using arbutusgate::test::run_on;

namespace {

bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// Script that responds to each request with the text.
scripted_target::script always(std::string text)
{
    return [text = std::move(text)](target_session& session) {
        while (!session.read().empty())
            session.write(text);
    };
}

/// Script that resets each connection after its first request.
void reset_always(target_session& session)
{
    session.read();
    session.reset();
}

} // namespace

// Guards against a response that the gateway alters, and against a request that
// reaches its target with the caller's key.
TEST_CASE("a request and its response are forwarded unchanged",
          "[gateway][sockets]")
{
    std::string     seen;
    scripted_target t([&](target_session& session) {
        seen = session.read();
        session.write(answer("result", "200 OK", "X-Mine: 7\r\n"));
    });
    gateway_fixture g({make_target("i-1", t.address())});
    const auto      out = g.exchange(g.request("/once/x?q=1", "payload"));
    CHECK(has(out, "HTTP/1.1 200 OK"));
    CHECK(has(out, "Arbutusgate-Server-Signature: sig"));
    CHECK(has(out, "X-Mine: 7"));
    CHECK(out.ends_with("\r\n\r\nresult"));
    CHECK(has(seen, "POST /once/x?q=1 HTTP/1.1"));
    CHECK(has(seen, "Arbutusgate-Tenant: acc"));
    CHECK(has(seen, "Arbutusgate-Expect-Replica: i-1"));
    CHECK_FALSE(has(seen, "Bearer"));
    CHECK(seen.ends_with("payload"));
}

// Guards against requests that are forwarded although no configuration allows
// them.
TEST_CASE("requests without route, key or id reach no target",
          "[gateway][sockets]")
{
    scripted_target t(always(answer("x")));
    gateway_fixture g({make_target("i-1", t.address())});
    CHECK(has(g.exchange(g.request("/none/")), "HTTP/1.1 404"));
    auto wrong_key = g.request("/once/");
    wrong_key.replace(wrong_key.find("Bearer k"), 8, "Bearer z");
    CHECK(has(g.exchange(wrong_key), "HTTP/1.1 401"));
    auto without_id = g.request("/once/");
    without_id.erase(without_id.find("Arbutusgate-Attempt"), 30);
    CHECK(has(g.exchange(without_id), "HTTP/1.1 400"));
    CHECK(has(g.exchange("nonsense\r\n\r\n"), "HTTP/1.1 400"));
}

// Guards against one request whose numbers exhaust the memory of the process,
// make the daemon consider an owner dead, or crash it by an overflow.
TEST_CASE("out-of-range numbers of a caller affect only its own request",
          "[gateway][sockets]")
{
    scripted_target t(always(answer("fine")));
    gateway_fixture g({make_target("i-1", t.address())});
    const auto      staged = [&](const std::string& pieces) {
        return g.exchange(g.request("/staged/", "body",
                                         "Arbutusgate-Piece-Key: k\r\n"
                                              "Arbutusgate-Pieces: " +
                                             pieces + "\r\n"));
    };
    CHECK(has(staged("4294967295,1"), "HTTP/1.1 400"));
    CHECK(has(staged("1,4097"), "HTTP/1.1 400"));
    CHECK(has(staged("99999999999999999999,-1,,x"), "HTTP/1.1"));
    for (const auto* deadline : {"9223372036854775807", "-9223372036854775808",
                                 "99999999999999999999", "-1", "0", "x"})
    {
        auto text = g.request("/once/");
        text.replace(text.find("15000"), 5, deadline);
        CHECK(has(g.exchange(text), "HTTP/1.1"));
    }
    CHECK(g.exchange(g.request("/once/")).ends_with("fine"));
}

// Guards against a non-idempotent request that is executed twice, and against
// one that may have been executed and is reported as not executed.
TEST_CASE(
    "a request is retried after a lost response only where the route allows",
    "[gateway][sockets]")
{
    std::atomic<int> runs{0};
    scripted_target  bad([&](target_session& session) {
        ++runs;
        reset_always(session);
    });
    scripted_target  good(always(answer("fine")));
    gateway_fixture  g({make_target("i-1", bad.address())});
    CHECK(has(g.exchange(g.request("/once/")), "HTTP/1.1 502"));
    CHECK(runs == 1);
    gateway_fixture both({make_target("i-1", bad.address()),
                          make_target("i-2", good.address())});
    for (int n = 0; n < 4; ++n)
        CHECK(both.exchange(both.request("/again/")).ends_with("fine"));
}

// Guards against a target's response that is replaced by an error of the
// gateway.
TEST_CASE("an error response is delivered when no other target succeeds",
          "[gateway][sockets]")
{
    scripted_target one(always(answer("sorry", "500 Error")));
    scripted_target two(reset_always);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    // Either target may be tried first; a reset leaves no response to deliver.
    bool delivered = false;
    for (int n = 0; n < 20 && !delivered; ++n) {
        const auto out = g.exchange(g.request("/again/"));
        delivered      = has(out, "HTTP/1.1 500") && out.ends_with("sorry") &&
                    has(out, "Arbutusgate-Server-Signature: sig");
        CHECK((delivered || has(out, "HTTP/1.1 502") ||
               has(out, "HTTP/1.1 503")));
    }
    CHECK(delivered);
}

// Guards against the use of a target whose entry is removed while a stage call
// to it connects, and against calls to a target that is gone.
TEST_CASE("a stage call survives the removal of its target's entry",
          "[gateway][sockets]")
{
    std::promise<void> arrived;
    scripted_target    stage([&](target_session& session) {
        session.read();
        arrived.set_value();
        session.write(answer(R"({"items":[{"handle":"h/0"}]})"));
        session.read();
    });
    io_thread          thread;
    run_on(thread, [&] {
        target_directory targets{milliseconds{0}};
        state_follower   state({}, {}, targets, daemon_now());
        configuration    config;
        service          p{"p", "", 100, stage_limits{}, {}};
        p.stage->batch            = 4;
        p.stage->result_retention = milliseconds{1000};
        config.services           = {p};
        state.on_configuration(configuration_read{config, 1}, daemon_now());
        targets.put(make_target("p-1", stage.address(), "p"));
        const platform::http_codec codec;
        target_connections         connections(thread.io());
        stage_scheduler            scheduler(
                       {thread.io(), codec, state, targets, connections});
        auto        changed = std::make_shared<fiber_signal>();
        stage_order order;
        order.service     = "p";
        order.group.count = 1;
        order.group.goal = order.group.limit = daemon_now() + seconds{30};
        order.source = std::make_shared<const stage_source>(
            stage_source{"9c41", 0, "kk", {}});
        const auto ticket = scheduler.submit(order, changed);
        // Let the call's fiber start to connect; then remove the entry.
        fiber_sleep(thread.io(), milliseconds{0});
        targets.remove("p-1", daemon_now());
        changed->wait_until(daemon_now() + seconds{30}, [&] {
            return ticket->state != order_state::waiting;
        });
        CHECK(ticket->state == order_state::done);
        return true;
    });
    arrived.get_future().wait();
}

// Guards against a response that is delivered as a success although it is not
// the target's complete response.
TEST_CASE("truncated, unsigned and encoded responses are failures",
          "[gateway][sockets]")
{
    const auto complete          = answer("0123456789");
    auto       without_signature = complete;
    without_signature.erase(
        without_signature.find("Arbutusgate-Server-Signature: sig\r\n"), 35);
    for (const auto& text :
         {complete.substr(0, complete.size() - 3), without_signature,
          answer("x", "200 OK", "Content-Encoding: gzip\r\n"),
          std::string("garbage\r\n\r\n")})
    {
        scripted_target t([&](target_session& session) {
            session.read();
            session.write(text);
        });
        gateway_fixture g({make_target("i-1", t.address())});
        CHECK(has(g.exchange(g.request("/once/")), "HTTP/1.1 502"));
    }
}

// Guards against a target's guarantee "not executed" that does not reach the
// caller, and against one that the target did not give.
TEST_CASE("a target's refusal is passed on with a retry time",
          "[gateway][sockets]")
{
    scripted_target t(always("HTTP/1.1 503 Full\r\n"
                             "Arbutusgate-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n"));
    gateway_fixture g({make_target("i-1", t.address())});
    const auto      out = g.exchange(g.request("/once/"));
    CHECK(has(out, "HTTP/1.1 503"));
    CHECK(has(out, "Retry-After: 0.25"));
    CHECK_FALSE(has(out, "Arbutusgate-Server-Signature"));
}

// Guards against a response to another request that is delivered for this one,
// and against bytes after a response that are taken for the next one.
TEST_CASE("responses to other requests are dropped", "[gateway][sockets]")
{
    auto other = answer("other");
    other.replace(other.find("9c41"), 4, "0000");
    std::atomic<int> connections{0};
    scripted_target  t([&](target_session& session) {
        ++connections;
        session.read();
        session.write(other + answer("mine") + other);
        session.wait_closed();
    });
    gateway_fixture  g({make_target("i-1", t.address())});
    CHECK(g.exchange(g.request("/once/")).ends_with("mine"));
    CHECK(g.exchange(g.request("/once/")).ends_with("mine"));
    CHECK(connections == 2);
}

// Guards against a response that is lost because the target sent it before it
// had read the whole request.
TEST_CASE("a response before the end of a long body is delivered",
          "[gateway][sockets]")
{
    scripted_target t([&](target_session& session) {
        session.read_head();
        session.write(answer("early"));
        session.wait_closed();
    });
    gateway_fixture g({make_target("i-1", t.address())});
    const auto      out =
        g.exchange(g.request("/once/", std::string(3'000'000, 'x')));
    CHECK(out.ends_with("early"));
}

// Guards against a stream that ends without a response head. A caller that lost
// only the end of a stream resumes after its last event and gets no more
// events.
TEST_CASE("a stream without events has a head and an end", "[gateway][sockets]")
{
    scripted_target t(always(stream_head() + "0\r\n\r\n"));
    gateway_fixture g({make_target("i-1", t.address())});
    for (const auto* path : {"/stream/", "/resume/"}) {
        const auto out =
            g.exchange(g.request(path, "body", "Last-Event-Id: 7\r\n"));
        CHECK(out.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(has(out, "Arbutusgate-Server-Signature: sig\r\n"));
        CHECK(out.ends_with("\r\n\r\n0\r\n\r\n"));
    }
}

// Guards against a truncated stream that looks complete to the caller.
TEST_CASE("a stream that breaks off gets no terminating chunk",
          "[gateway][sockets]")
{
    scripted_target t([&](target_session& session) {
        session.read();
        session.write(stream_head() + chunk("id: 1\ndata: a\n\nid: 2\nda"));
        session.reset();
    });
    gateway_fixture g({make_target("i-1", t.address())});
    const auto      out = g.exchange(g.request("/stream/"));
    CHECK_FALSE(has(out, "\r\n0\r\n"));
    CHECK_FALSE(has(out, "id: 2"));
}

// Guards against a resumed stream in which an event is missing, duplicated or
// truncated.
TEST_CASE("a stream is resumed after the last complete event",
          "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    std::string      second;
    const auto       script = [&](target_session& session) {
        const auto request = session.read();
        if (request.empty())
            return;
        if (++calls == 1) {
            session.write(stream_head() + chunk("id: 1\ndata: a\n\nid: 2\nda"));
            session.reset();
            return;
        }
        second = request;
        session.write(stream_head() + chunk("id: 2\ndata: b\n\n") +
                            chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CHECK(has(second, "Last-Event-Id: 1"));
    CHECK(has(out, "id: 1\ndata: a\n\n"));
    CHECK(has(out, "id: 2\ndata: b\n\n"));
    CHECK(has(out, "id: 3\ndata: c\n\n"));
    CHECK(out.find("id: 2") == out.rfind("id: 2"));
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against a target that keeps working for a caller that has
// disconnected.
TEST_CASE("a caller's disconnect ends the call at the target",
          "[gateway][sockets]")
{
    std::promise<void> arrived;
    std::promise<void> closed;
    scripted_target    t([&](target_session& session) {
        session.read();
        arrived.set_value();
        session.wait_closed();
        closed.set_value();
    });
    gateway_fixture    g({make_target("i-1", t.address())});
    {
        asio::io_context io;
        tcp::socket      caller(io);
        caller.connect({asio::ip::address_v4::loopback(), g.port()});
        asio::write(caller, asio::buffer(g.request("/stream/")));
        arrived.get_future().wait();
    }
    closed.get_future().wait();
}

// Guards against pieces that are called with the inputs of others, or without
// inputs.
TEST_CASE("stages run in order and their results reach the request",
          "[gateway][sockets]")
{
    std::string     final_request;
    scripted_target stage([&](target_session& session) {
        for (auto text = session.read(); !text.empty(); text = session.read()) {
            if (has(text, "/stage-free")) {
                session.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const bool second = has(text, R"("stage":1)");
            if (second) {
                CHECK(has(text, R"("inputs":["h/0","h/1"])"));
            }
            else {
                CHECK(has(text, R"("key":"kk")"));
            }
            session.write(answer(second ? R"({"items":[{"handle":"h/2"}]})"
                                        : R"({"items":[{"handle":"h/0"},)"
                                          R"({"handle":"h/1"}]})"));
        }
    });
    scripted_target engine([&](target_session& session) {
        final_request = session.read();
        session.write(answer("done"));
    });
    gateway_fixture g({make_target("i-1", engine.address()),
                       make_target("p-1", stage.address(), "p")});
    const auto      out = g.exchange(
             g.request("/staged/", "body",
                       "Arbutusgate-Pieces: 2,1\r\nArbutusgate-Piece-Key: kk\r\n"));
    CHECK(out.ends_with("done"));
    CHECK(has(final_request, "Arbutusgate-Inputs: h/2\r\n"));
}

// Guards against a request that ends the process, since the handles of its
// inputs do not fit in one header field.
TEST_CASE("a request with too many inputs for a header field is refused",
          "[gateway][sockets]")
{
    const std::string handle(10'000, 'h');
    std::atomic<int>  results{0};
    scripted_target   stage([&](target_session& session) {
        for (auto text = session.read(); !text.empty(); text = session.read()) {
            std::string items;
            for (auto n = text.find("\"stage\""); n != std::string::npos;
                 n      = text.find("\"stage\"", n + 1))
                items += (items.empty() ? "" : ",") +
                         (R"({"handle":")" + handle) +
                         std::to_string(++results) + R"("})";
            session.write(answer(R"({"items":[)" + items + "]}"));
        }
    });
    scripted_target   last(always(stream_head() + "0\r\n\r\n"));
    gateway_fixture   g({make_target("i-1", last.address()),
                         make_target("p-1", stage.address(), "p")});
    const auto        staged = [&](const std::string& pieces) {
        return g.exchange(g.request("/staged-stream/", "body",
                                           "Arbutusgate-Piece-Key: kk\r\n"
                                                  "Arbutusgate-Pieces: " +
                                               pieces + "\r\n"));
    };
    CHECK(has(staged("7"), "HTTP/1.1 413"));
    CHECK(has(staged("2"), "HTTP/1.1 200"));
}

// Guards against an event's id that ends the process when the stream is
// resumed, since it does not fit in a header field.
TEST_CASE("a stream is not resumed at an id that fits in no header field",
          "[gateway][sockets]")
{
    const std::string id(70'000, 'i');
    std::atomic<int>  calls{0};
    const auto        script = [&](target_session& session) {
        if (session.read().empty())
            return;
        ++calls;
        session.write(stream_head() + chunk("id: " + id + "\ndata: a\n\n"));
        session.reset();
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CHECK(has(out, "data: a"));
    CHECK_FALSE(out.ends_with("0\r\n\r\n"));
    CHECK(calls == 1);
}

// Guards against stage results that occupy the result memory of their targets
// for the whole duration of a resumable stream, and against a resumed stream
// without its inputs.
TEST_CASE(
    "stage results are released at the first event and recomputed on resume",
    "[gateway][sockets]")
{
    std::promise<void> freed;
    std::atomic<int>   made{0};
    scripted_target    stage([&](target_session& session) {
        for (auto text = session.read(); !text.empty(); text = session.read()) {
            if (has(text, "/stage-free")) {
                if (has(text, "h/1"))
                    freed.set_value();
                session.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            session.write(answer(R"({"items":[{"handle":"h/)" +
                                    std::to_string(++made) + R"("}]})"));
        }
    });
    std::atomic<int>   calls{0};
    std::string        second;
    const auto         script = [&](target_session& session) {
        const auto request = session.read();
        if (request.empty())
            return;
        if (++calls == 1) {
            CHECK(has(request, "Arbutusgate-Inputs: h/1\r\n"));
            session.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
            CHECK(freed.get_future().wait_for(seconds{10}) ==
                          std::future_status::ready);
            session.reset();
            return;
        }
        second = request;
        session.write(stream_head() + chunk("id: 2\ndata: b\n\n") +
                              "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g({make_target("i-1", one.address()),
                       make_target("i-2", two.address()),
                       make_target("p-1", stage.address(), "p")});
    const auto      out = g.exchange(
             g.request("/staged-stream/", "body",
                       "Arbutusgate-Pieces: 1\r\nArbutusgate-Piece-Key: kk\r\n"));
    CHECK(has(second, "Last-Event-Id: 1"));
    CHECK(has(second, "Arbutusgate-Inputs: h/2\r\n"));
    CHECK(has(out, "id: 2\ndata: b\n\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against a duplicate of a stage response that is taken for the response
// to the next call: its handles are results of other pieces.
TEST_CASE("a duplicate of a stage response is ignored", "[gateway][sockets]")
{
    std::string      final_request;
    std::atomic<int> made{0};
    scripted_target  stage([&](target_session& session) {
        std::string last;
        for (auto text = session.read(); !text.empty(); text = session.read()) {
            if (has(text, "/stage-free")) {
                session.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const auto reply = answer(R"({"items":[{"handle":"h/)" +
                                       std::to_string(++made) + R"("}]})");
            session.write(last + reply);
            last = reply;
        }
    });
    scripted_target  engine([&](target_session& session) {
        final_request = session.read();
        session.write(answer("done"));
    });
    gateway_fixture  g({make_target("i-1", engine.address()),
                        make_target("p-1", stage.address(), "p")});
    const auto       out = g.exchange(
              g.request("/staged/", "body",
                        "Arbutusgate-Pieces: 1,1\r\nArbutusgate-Piece-Key: kk\r\n"));
    CHECK(out.ends_with("done"));
    CHECK_FALSE(has(final_request, "Arbutusgate-Inputs: h/1\r\n"));
    CHECK(has(final_request, "Arbutusgate-Inputs: h/"));
}

// Guards against a target that sends bytes without end in place of a response:
// a few such responses at once exhaust the memory of a small VM.
TEST_CASE("an endless stage response is abandoned early", "[gateway][sockets]")
{
    std::promise<std::size_t> sent;
    std::atomic<bool>         reported{false};
    scripted_target           stage([&](target_session& session) {
        if (session.read().empty())
            return;
        session.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        const auto  part = chunk(std::string(64 * 1024, ' '));
        std::size_t n    = 0;
        while (session.write(part))
            n += part.size();
        // A retry of the call runs this script again.
        if (!reported.exchange(true))
            sent.set_value(n);
    });
    gateway_fixture           g({make_target("p-1", stage.address(), "p")});
    stage_order               order;
    order.service     = "p";
    order.group.count = 1;
    order.group.goal = order.group.limit = daemon_now() + milliseconds{300};
    order.source =
        std::make_shared<const stage_source>(stage_source{"9c41", 0, "kk", {}});
    const auto body = encode(order, daemon_now());
    g.exchange("POST /v1/orders HTTP/1.1\r\nHost: a\r\n"
               "Connection: close\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               g.daemon().peer_port());
    // The bound includes what the socket buffers hold.
    CHECK(sent.get_future().get() < 12 * 1024 * 1024);
}

// Guards against a stalled stream that occasional bytes keep open.
TEST_CASE("bytes that complete no event do not keep a stream open",
          "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& session) {
        if (session.read().empty())
            return;
        if (++calls == 1) {
            session.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
            while (session.write(chunk(":")))
                std::this_thread::sleep_for(milliseconds{50});
            return;
        }
        session.write(stream_head() + chunk("id: 2\ndata: b\n\n") +
                            "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CHECK(has(out, "id: 2\ndata: b\n\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against a slow but intact stream that is aborted although no other
// target may resume it.
TEST_CASE("a slow stream at its last target is not aborted",
          "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& session) {
        if (session.read().empty())
            return;
        if (++calls == 1) {
            session.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
            session.reset();
            return;
        }
        session.write(stream_head() + chunk("id: 2\ndata: b\n\n"));
        std::this_thread::sleep_for(milliseconds{1700});
        session.write(chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CHECK(has(out, "id: 3\ndata: c\n\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against a caller that loses a stream although its target only paused:
// the stream was given up before it was known that another target takes it.
TEST_CASE("a silent stream is kept while no other target can continue it",
          "[gateway][sockets]")
{
    const bool       staged = GENERATE(false, true);
    std::atomic<int> stage_calls{0};
    scripted_target  stage([&](target_session& session) {
        for (auto text = session.read(); !text.empty(); text = session.read()) {
            if (has(text, "/stage-free"))
                session.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            else if (++stage_calls == 1)
                session.write(answer(R"({"items":[{"handle":"h/1"}]})"));
            else
                session.write(answer(R"({"items":[{"reason":"error"}]})"));
        }
    });
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& session) {
        if (session.read().empty())
            return;
        ++calls;
        session.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
        std::this_thread::sleep_for(milliseconds{1700});
        session.write(chunk("id: 2\ndata: b\n\n"));
        std::this_thread::sleep_for(milliseconds{1700});
        session.write(chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    };
    scripted_target     one(script);
    scripted_target     two(script);
    std::vector<target> targets{make_target("i-1", one.address()),
                                make_target("p-1", stage.address(), "p")};
    if (staged)
        targets.push_back(make_target("i-2", two.address()));
    gateway_fixture g(targets);
    const auto out = staged ? g.exchange(g.request("/staged-stream/", "body",
                                                   "Arbutusgate-Pieces: 1\r\n"
                                                   "Arbutusgate-Piece-Key: "
                                                   "kk\r\n"))
                            : g.exchange(g.request("/resume/"));
    CAPTURE(staged);
    CHECK(calls == 1);
    CHECK(has(out, "id: 3\ndata: c\n\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against a caller that waits for a stream whose target is frozen until
// its deadline, though another target can continue it.
TEST_CASE("a silent stream is continued by another target",
          "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& session) {
        if (session.read().empty())
            return;
        if (++calls == 1) {
            session.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
            return session.wait_closed();
        }
        session.write(stream_head() + chunk("id: 2\ndata: b\n\n") +
                            "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto begin = std::chrono::steady_clock::now();
    const auto out   = g.exchange(g.request("/resume/"));
    CHECK(has(out, "id: 2\ndata: b\n\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
    // Half of the request's deadline.
    CHECK(std::chrono::steady_clock::now() - begin < milliseconds{7500});
}

// Guards against a stream that is given up as silent after its last event,
// since its connection stays open.
TEST_CASE("a stream of stated length is not silent at its end",
          "[gateway][sockets]")
{
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    std::atomic<int>  calls{0};
    const auto        script = [&](target_session& session) {
        if (session.read().empty())
            return;
        ++calls;
        const auto text =
            answer(events, "200 OK", "Content-Type: text/event-stream\r\n");
        session.write(text.substr(0, text.size() - 10));
        std::this_thread::sleep_for(milliseconds{100});
        session.write(text.substr(text.size() - 10));
        session.wait_closed();
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CHECK(calls == 1);
    CHECK(has(out, "id: 2\ndata: b\n\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against a stream that is given up as silent after a pause of the
// daemon itself, when its events are there already.
TEST_CASE("a pause of the daemon does not make a stream silent",
          "[gateway][sockets]")
{
    std::promise<void> begun;
    std::promise<void> paused;
    auto               pause = paused.get_future().share();
    std::atomic<int>   calls{0};
    const auto         script = [&](target_session& session) {
        if (session.read().empty())
            return;
        if (++calls > 1)
            return;
        session.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
        begun.set_value();
        pause.wait();
        session.write(chunk("id: 2\ndata: b\n\n"));
        std::this_thread::sleep_for(milliseconds{1700});
        session.write(chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    auto response = std::async(
        std::launch::async, [&] { return g.exchange(g.request("/resume/")); });
    begun.get_future().wait();
    // Longer than the silence after which a stream is given up.
    g.pause(milliseconds{1600});
    paused.set_value();
    const auto out = response.get();
    CHECK(calls == 1);
    CHECK(has(out, "id: 3\ndata: c\n\n"));
}

// Guards against a stream that is given up as silent while its caller, not its
// target, is slow.
TEST_CASE("a slow reader does not make a stream silent", "[gateway][sockets]")
{
    constexpr std::size_t events = 160; // More than all buffers hold.
    const std::string     data(50'000, 'x');
    std::atomic<int>      calls{0};
    const auto            script = [&](target_session& session) {
        if (session.read().empty() || ++calls > 1)
            return;
        session.write(stream_head());
        for (std::size_t n = 1; n <= events; ++n)
            session.write(
                           chunk("id: " + std::to_string(n) + "\ndata: " + data + "\n\n"));
        session.write("0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    asio::io_context io;
    tcp::socket      socket(io);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(256 * 1024));
    socket.connect({asio::ip::address_v4::loopback(), g.port()});
    asio::write(socket, asio::buffer(g.request("/resume/")));
    std::this_thread::sleep_for(milliseconds{1700});
    std::string               out;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    CHECK(calls == 1);
    CHECK(has(out, "id: " + std::to_string(events) + "\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against a daemon that exits with another daemon's order in its queue,
// whose pieces would then have to be computed again elsewhere.
TEST_CASE("a draining daemon finishes the orders of other daemons",
          "[gateway][sockets]")
{
    std::promise<void> arrived;
    std::promise<void> drained;
    auto               draining = drained.get_future().share();
    scripted_target    stage([&](target_session& session) {
        session.read();
        arrived.set_value();
        draining.wait();
        session.write(answer(R"({"items":[{"handle":"h/0"}]})"));
    });
    gateway_fixture    g({make_target("p-1", stage.address(), "p")});
    stage_order        order;
    order.service     = "p";
    order.group.count = 1;
    order.group.goal  = daemon_now() + seconds{30};
    order.group.limit = daemon_now() + seconds{30};
    order.source =
        std::make_shared<const stage_source>(stage_source{"9c41", 0, "kk", {}});
    const auto body     = encode(order, daemon_now());
    auto       response = std::async(std::launch::async, [&] {
        return g.exchange("POST /v1/orders HTTP/1.1\r\nHost: a\r\n"
                                      "Connection: close\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body,
                                g.daemon().peer_port());
    });
    arrived.get_future().wait();
    auto drain = std::async(std::launch::async, [&] { g.daemon().drain(); });
    drained.set_value();
    drain.wait();
    const auto reply = response.get();
    const auto outcome =
        decode_outcome(reply.substr(reply.find("\r\n\r\n") + 4), {});
    REQUIRE(outcome);
    CHECK(outcome->state == order_state::done);
    CHECK(outcome->handles == std::vector<std::string>{"h/0"});
}
