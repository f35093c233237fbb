#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count(const std::string& text, std::string_view part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at      = text.find(part, at + 1))
        ++n;
    return n;
}

/// Head of a signed response with neither a length nor chunks: it ends with its
/// connection.
std::string open_ended_head(const std::string& type = "text/plain")
{
    return "HTTP/1.1 200 OK\r\nArbutusgate-Attempt-Id: 9c41\r\n"
           "Arbutusgate-Server-Signature: sig\r\nContent-Type: " +
           type + "\r\n\r\n";
}

const std::string events_type = "text/event-stream";

/// A target that answers the first request on each connection with a text and
/// ends the connection.
class ending_target
{
public:
    ending_target(std::string text, bool resets)
        : server([this, text = std::move(text), resets](target_session& it) {
              if (it.read().empty())
                  return;
              ++requests;
              it.write(text);
              if (resets)
                  it.reset();
          })
    {
    }

    std::atomic<int> requests{0};
    scripted_target  server;
};

} // namespace

// Guards against a response without a length that is not delivered, or whose
// connection is used again.
TEST_CASE("a plain response may end with its connection", "[gateway][sockets]")
{
    const std::string body = GENERATE("", "body of the target");
    ending_target     t(open_ended_head() + body, false);
    gateway_fixture   g({make_target("i-1", t.server.address())});
    for (int n = 0; n < 3; ++n) {
        const auto out = g.exchange(g.request("/once/"));
        CHECK(out.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(out.ends_with("\r\n\r\n" + body));
    }
    CHECK(t.requests == 3);
}

// Guards against a response without a length that was cut and reaches the
// caller as a success.
TEST_CASE("a plain response whose connection is reset is a failure",
          "[gateway][sockets]")
{
    const std::string body = GENERATE("", "half of the bo");
    ending_target     t(open_ended_head() + body, true);
    gateway_fixture   g({make_target("i-1", t.server.address())});
    const auto        out = g.exchange(g.request("/once/"));
    CHECK(has(out, "HTTP/1.1 502"));
    CHECK_FALSE(has(out, "Arbutusgate-Server-Signature"));
}

// Guards against a part of a response without a length that reaches the caller
// as the whole: the reset was reported to the upload, which was still being
// written, and the read saw the end of the connection.
TEST_CASE("a plain response that is reset during its upload is a failure",
          "[gateway][sockets]")
{
    const auto        delay = GENERATE(0, 2, 20, 200);
    scripted_target   t([delay](target_session& it) {
        if (it.read_head().empty())
            return;
        it.write(open_ended_head() + "half of the bo");
        std::this_thread::sleep_for(milliseconds{delay});
        it.reset();
    });
    gateway_fixture   g({make_target("i-1", t.address())});
    const std::string upload(4'000'000, 'x');
    for (int n = 0; n < 10; ++n) {
        const auto out = g.exchange(g.request("/once/", upload));
        CHECK(out.starts_with("HTTP/1.1 502"));
        CHECK_FALSE(has(out, "half of the bo"));
    }
}

// Guards against the same in a stream, whose part looked like the whole.
TEST_CASE("a stream that is reset during its upload is cut",
          "[gateway][sockets]")
{
    const auto        delay = GENERATE(0, 20, 200);
    scripted_target   t([delay](target_session& it) {
        if (it.read_head().empty())
            return;
        it.write(open_ended_head(events_type) + "id: 1\ndata: a\n\n");
        std::this_thread::sleep_for(milliseconds{delay});
        it.reset();
    });
    gateway_fixture   g({make_target("i-1", t.address())});
    const std::string upload(4'000'000, 'x');
    for (int n = 0; n < 10; ++n) {
        const auto out = g.exchange(g.request("/stream/", upload));
        CHECK_FALSE(has(out, "\r\n0\r\n\r\n"));
    }
}

// Guards against streams without chunks whose end is taken for a failure, or
// whose failure is taken for the end.
TEST_CASE("a stream may end with its connection", "[gateway][sockets]")
{
    struct ending
    {
        std::string events;
        bool        resets;
        bool        whole;
    };
    const auto it = GENERATE(
        values<ending>({{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true},
                        {"", false, true},
                        {"id: 1\ndata: a\n\n", true, false},
                        {"", true, false},
                        {"id: 1\ndata: a\n\nid: 2\nda", false, false},
                        {"id: 1\nda", false, false},
                        {"id: 1\ndata: a\n\nid: 2\nda", true, false}}));
    ending_target   t(open_ended_head(events_type) + it.events, it.resets);
    gateway_fixture g({make_target("i-1", t.server.address())});
    const auto      out = g.exchange(g.request("/stream/"));
    CAPTURE(it.events, it.resets, out);
    CHECK(has(out, "\r\n0\r\n\r\n") == it.whole);
    CHECK(count(out, "data: a") == count(it.events, "data: a\n\n"));
    CHECK_FALSE(has(out, "id: 2\nda\r"));
    CHECK(count(out, "HTTP/1.1") <= 1);
    // The connection that ended is not used again.
    g.exchange(g.request("/stream/"));
    CHECK(t.requests == 2);
}

// Guards against a stream that breaks off inside an event at the end of its
// connection and is not resumed.
TEST_CASE("a stream that ends inside an event is resumed", "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& it) {
        if (it.read().empty())
            return;
        it.write(open_ended_head(events_type) +
                       (++calls == 1 ? "id: 1\ndata: a\n\nid: 2\ndat"
                                     : "id: 2\ndata: b\n\n"));
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CHECK(count(out, "id: 1\ndata: a\n\n") == 1);
    CHECK(count(out, "id: 2\ndata: b\n\n") == 1);
    CHECK(out.ends_with("0\r\n\r\n"));
}

// Guards against bytes after a stated length that are taken for the next
// response on the connection.
TEST_CASE("bytes after a response of stated length are dropped",
          "[gateway][sockets]")
{
    const bool       late = GENERATE(false, true);
    std::atomic<int> connections{0};
    scripted_target  t([&](target_session& it) {
        const auto n = std::to_string(++connections);
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            const auto extra = answer("stale");
            if (late) {
                it.write(answer("mine" + n));
                std::this_thread::sleep_for(milliseconds{20});
                it.write(extra);
            }
            else {
                it.write(answer("mine" + n) + extra);
            }
        }
    });
    gateway_fixture  g({make_target("i-1", t.address())});
    for (int n = 1; n <= 3; ++n) {
        CHECK(g.exchange(g.request("/once/"))
                  .ends_with("mine" + std::to_string(n)));
        std::this_thread::sleep_for(milliseconds{60});
    }
}

// Guards against a caller that is told "not run" of a request that runs: a
// faulty target writes a refusal without attempt id once more, in place of the
// response to a later request on the connection.
TEST_CASE("a refusal that comes twice is not believed of the next request",
          "[gateway][sockets]")
{
    const std::string refusal = "HTTP/1.1 503 Full\r\n"
                                "Arbutusgate-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    std::atomic<int>  connections{0};
    scripted_target   t([&](target_session& it) {
        if (++connections > 1) {
            while (!it.read().empty())
                it.write(answer("ran"));
            return;
        }
        it.read();
        it.write(refusal);
        // The second request runs, but an old refusal is written before its
        // response.
        if (!it.read().empty())
            it.write(refusal + answer("ran"));
    });
    gateway_fixture   g({make_target("i-1", t.address())});
    CHECK(has(g.exchange(g.request("/once/")), "HTTP/1.1 503"));
    CHECK(g.exchange(g.request("/once/")).ends_with("ran"));
}

// Guards against a stage call whose response is left on the connection, since
// an earlier refusal was written once more before it: the next call would take
// it for its own.
TEST_CASE("a refused stage call ends its connection", "[gateway][sockets]")
{
    std::atomic<int> refused{0};
    std::atomic<int> later_calls{0};
    scripted_target  stage([&](target_session& it) {
        bool refused_here = false;
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            if (has(text, "/stage-free")) {
                it.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            later_calls += refused_here ? 1 : 0;
            if (refused++ == 0) {
                refused_here = true;
                it.write("HTTP/1.1 503 Full\r\n"
                           "Arbutusgate-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
                continue;
            }
            it.write(answer(R"({"items":[{"handle":"h/1"}]})"));
        }
    });
    scripted_target  engine([&](target_session& it) {
        if (!it.read().empty())
            it.write(answer("done"));
    });
    gateway_fixture  g({make_target("i-1", engine.address()),
                        make_target("p-1", stage.address(), "p")});
    const auto       out = g.exchange(
              g.request("/staged/", "body",
                        "Arbutusgate-Pieces: 1,0\r\nArbutusgate-Piece-Key: kk\r\n"));
    CHECK(out.ends_with("done"));
    CHECK(refused >= 2);
    CHECK(later_calls == 0);
}

// Guards against results of a stage that go to other requests (review/2): an
// answer without any handle comes twice, and each later answer on the
// connection is then taken for the answer to the call after it.
TEST_CASE("a stage answer without results ends its connection",
          "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    std::atomic<int> later_calls{0};
    scripted_target  stage([&](target_session& it) {
        const std::string failed = answer(R"({"items":[{"reason":"error"}]})");
        bool              failed_here = false;
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            if (has(text, "/stage-free")) {
                it.write(answer("{}"));
                continue;
            }
            if (calls++ == 0) {
                failed_here = true;
                it.write(failed);
                continue;
            }
            if (failed_here && later_calls++ == 0)
                it.write(failed);
            it.write(answer(R"({"items":[{"handle":"h/)" +
                             std::to_string(calls) + R"("}]})"));
        }
    });
    scripted_target  engine([&](target_session& it) {
        if (!it.read().empty())
            it.write(answer("done"));
    });
    gateway_fixture  g({make_target("i-1", engine.address()),
                        make_target("p-1", stage.address(), "p")});
    for (int n = 0; n < 3; ++n) {
        CHECK(g.exchange(g.request("/staged/", "body",
                                   "Arbutusgate-Pieces: 1,0\r\n"
                                   "Arbutusgate-Piece-Key: kk\r\n"))
                  .ends_with("done"));
    }
    CHECK(calls >= 4);
    CHECK(later_calls == 0);
}

// Guards against a caller that is told "not run" of a request that runs
// (review/3): the refusal of a release comes once more, in place of the
// response to a request that is sent next to the same target. Also guards
// against a new connection for each release.
TEST_CASE("an answer to a release is not believed of a request",
          "[gateway][sockets]")
{
    const bool        twice   = GENERATE(true, false);
    const std::string refusal = "HTTP/1.1 503 Full\r\n"
                                "Arbutusgate-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    std::atomic<int>  results{0};
    std::atomic<int>  releases{0};
    std::atomic<int>  release_connections{0};
    std::atomic<int>  calls_after_release{0};
    scripted_target   stock([&](target_session& it) {
        bool        released = false;
        std::string copy;
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            it.write(std::exchange(copy, ""));
            if (has(text, "/stage-free")) {
                release_connections += std::exchange(released, true) ? 0 : 1;
                copy = twice ? refusal : "";
                it.write(refusal);
                ++releases;
                continue;
            }
            calls_after_release += released ? 1 : 0;
            it.write(has(text, "/order/")
                           ? answer("ran")
                           : answer(R"({"items":[{"handle":"h/)" +
                                    std::to_string(++results) + R"("}]})"));
        }
    });
    scripted_target   engine([&](target_session& it) {
        if (!it.read().empty())
            it.write(answer("done"));
    });
    gateway_fixture   g({make_target("i-1", engine.address()),
                         make_target("p-1", stock.address(), "p")});
    for (int n = 1; n <= 5; ++n) {
        REQUIRE(g.exchange(g.request("/staged/", "body",
                                     "Arbutusgate-Pieces: 1,0\r\n"
                                     "Arbutusgate-Piece-Key: kk\r\n"))
                    .ends_with("done"));
        for (int k = 0; k < 1000 && releases < n; ++k)
            std::this_thread::sleep_for(milliseconds{5});
        REQUIRE(releases == n);
        // Until the gateway has read the answer to the release.
        std::this_thread::sleep_for(milliseconds{30});
        CHECK(g.exchange(g.request("/order/")).ends_with("ran"));
    }
    CHECK(calls_after_release == 0);
    if (!twice)
        CHECK(release_connections == 1);
}

// Guards against a stream that broke off and into which the next target's
// response is written, or which then ends as if it were complete.
TEST_CASE("a stream is only continued by events", "[gateway][sockets]")
{
    const std::string next = GENERATE(
        answer("error text", "500 Internal Server Error"),
        answer("not a stream"), answer("error text", "404 Not Found"),
        answer("", "204 No Content"),
        std::string("HTTP/1.1 503 Full\r\nArbutusgate-Not-Executed: 1\r\n"
                    "Content-Length: 10\r\n\r\nerror text"),
        std::string("HTTP/1.1 500 Oops\r\nContent-Length: 10\r\n\r\n"
                    "error text"),
        open_ended_head() + "not a stream");
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& it) {
        if (it.read().empty())
            return;
        if (++calls == 1) {
            it.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
            it.reset();
            return;
        }
        it.write(next);
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CAPTURE(next, out);
    CHECK(calls == 2);
    CHECK(out.ends_with("\r\n\r\n" + chunk("id: 1\ndata: a\n\n")));
    CHECK(count(out, "HTTP/1.1") == 1);
}

// Guards against an answer whose status is none of HTTP and that reaches the
// caller as a final one.
TEST_CASE("a response with an invalid status is a failure",
          "[gateway][sockets]")
{
    const auto      status = GENERATE("000", "099", "600", "700", "999", "101");
    scripted_target t([&](target_session& it) {
        if (!it.read().empty())
            it.write(answer("body", std::string(status) + " Odd"));
    });
    gateway_fixture g({make_target("i-1", t.address())});
    for (const auto* path : {"/once/", "/stream/"}) {
        const auto out = g.exchange(g.request(path));
        CAPTURE(status, out);
        CHECK(out.starts_with("HTTP/1.1 502"));
        CHECK_FALSE(has(out, "Arbutusgate-Server-Signature"));
    }
}

// Guards against an interim response that is taken for the final one, which
// comes after it.
TEST_CASE("interim responses are not passed on as the final one",
          "[gateway][sockets]")
{
    const auto status = GENERATE("100 Continue", "103 Early Hints", "199 X");
    scripted_target t([&](target_session& it) {
        while (!it.read().empty()) {
            const auto interim = "HTTP/1.1 " + std::string(status) +
                                 "\r\nArbutusgate-Attempt-Id: 9c41\r\n"
                                 "Arbutusgate-Server-Signature: sig\r\n\r\n";
            it.write(interim + interim + answer("final"));
        }
    });
    gateway_fixture g({make_target("i-1", t.address())});
    for (int n = 0; n < 3; ++n) {
        const auto out = g.exchange(g.request("/once/"));
        CAPTURE(status, out);
        CHECK(out.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(out.ends_with("final"));
    }
}

// Guards against interim responses without end, and against bytes that follow
// one and are no response.
TEST_CASE("interim responses without a final one are a failure",
          "[gateway][sockets]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const bool        endless = GENERATE(true, false);
    scripted_target   t([&](target_session& it) {
        if (it.read().empty())
            return;
        if (!endless)
            it.write(interim + "no response\r\n\r\n");
        while (endless && it.write(interim))
            continue;
    });
    gateway_fixture   g({make_target("i-1", t.address())});
    CHECK(g.exchange(g.request("/once/")).starts_with("HTTP/1.1 502"));
}

// Guards against the same in a stage call, whose results would be used.
TEST_CASE("a stage call with an invalid status has failed",
          "[gateway][sockets]")
{
    const auto       status = GENERATE("000 Odd", "700 Odd", "199 Odd");
    std::atomic<int> calls{0};
    scripted_target  stage([&](target_session& it) {
        for (auto text = it.read(); !text.empty(); text = it.read())
            it.write(answer(R"({"items":[{"handle":"h/1"}]})",
                            ++calls == 1 ? status : "200 OK"));
    });
    scripted_target  engine([&](target_session& it) {
        if (!it.read().empty())
            it.write(answer("done"));
    });
    gateway_fixture  g({make_target("i-1", engine.address()),
                        make_target("p-1", stage.address(), "p")});
    CHECK(g.exchange(g.request("/staged/", "body",
                               "Arbutusgate-Pieces: 1,0\r\n"
                               "Arbutusgate-Piece-Key: kk\r\n"))
              .ends_with("done"));
    CHECK(calls >= 2);
}

// Guards against a response that breaks off in its head and reaches the caller
// as a success with an empty or a short body.
TEST_CASE("a response that breaks off in its head is a failure",
          "[gateway][sockets]")
{
    const std::string path   = GENERATE("/once/", "/again/", "/stream/");
    const bool        resets = GENERATE(false, true);
    const std::string whole =
        path == "/stream/" ? stream_head() : answer("body of the target");
    const auto head = whole.substr(0, whole.find("\r\n\r\n") + 4);
    // In the status line, between lines, in a line and before the empty line.
    for (const auto n : {head.find(' ') + 2, head.find("\r\n") + 2,
                         head.size() / 2, head.size() - 2, head.size() - 1})
    {
        ending_target   t(head.substr(0, n), resets);
        gateway_fixture g({make_target("i-1", t.server.address())});
        const auto      out = g.exchange(g.request(path));
        CAPTURE(path, resets, n, out);
        CHECK(has(out, "HTTP/1.1 502"));
        CHECK_FALSE(has(out, "Arbutusgate-Server-Signature"));
    }
}

// Guards against a resumed stream that ends as if it were complete, since the
// next target's response breaks off in its head.
TEST_CASE("a stream whose continuation breaks off in its head is cut",
          "[gateway][sockets]")
{
    const bool       resets = GENERATE(false, true);
    const auto       head   = stream_head();
    const auto       n      = GENERATE_COPY(values<std::size_t>(
        {2, head.find("\r\n") + 2, head.size() / 2, head.size() - 2}));
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& it) {
        if (it.read().empty())
            return;
        if (++calls == 1) {
            it.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
            it.reset();
            return;
        }
        it.write(head.substr(0, n));
        if (resets)
            it.reset();
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g(
        {make_target("i-1", one.address()), make_target("i-2", two.address())});
    const auto out = g.exchange(g.request("/resume/"));
    CAPTURE(n, out);
    CHECK(calls == 2);
    CHECK(out.ends_with("\r\n\r\n" + chunk("id: 1\ndata: a\n\n")));
}

// Guards against a stage call that is taken for answered, without results,
// since its response breaks off in its head.
TEST_CASE("a stage call that is answered with a part of a head has failed",
          "[gateway][sockets]")
{
    const std::string whole = answer(R"({"items":[{"handle":"h/1"}]})");
    const auto        n     = GENERATE_COPY(values<std::size_t>(
        {2, whole.find("\r\n") + 2, whole.find("\r\n\r\n") + 2}));
    std::atomic<int>  calls{0};
    scripted_target   stage([&](target_session& it) {
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            if (has(text, "/stage-free")) {
                it.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (++calls == 1) {
                it.write(whole.substr(0, n));
                return;
            }
            it.write(whole);
        }
    });
    scripted_target   engine([&](target_session& it) {
        if (!it.read().empty())
            it.write(answer("done"));
    });
    gateway_fixture   g({make_target("i-1", engine.address()),
                         make_target("p-1", stage.address(), "p")});
    CHECK(g.exchange(g.request("/staged/", "body",
                               "Arbutusgate-Pieces: 1,0\r\n"
                               "Arbutusgate-Piece-Key: kk\r\n"))
              .ends_with("done"));
    CHECK(calls == 2);
}

// Guards against a body that does not reach the target whole, or not again with
// a retry: it is written from the caller's request, not from a copy.
TEST_CASE("each attempt sends the whole body of the request",
          "[gateway][sockets]")
{
    std::string body;
    while (body.size() < 300'000)
        body += std::to_string(body.size()) + ";";
    std::atomic<int> whole{0};
    const auto       script = [&](target_session& session) {
        const auto text = session.read();
        if (text.ends_with("\r\n\r\n" + body))
            ++whole;
        session.reset();
    };
    scripted_target a(script);
    scripted_target b(script);
    gateway_fixture g(
        {make_target("i-1", a.address()), make_target("i-2", b.address())});
    const auto out = g.exchange(g.request("/again/", body));
    CHECK(out.starts_with("HTTP/1.1 502 "));
    CHECK(whole == 2);
}
