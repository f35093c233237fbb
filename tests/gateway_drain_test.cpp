#include "gateway_fixture.hpp"

#include <boost/asio/read.hpp>

#include <catch2/catch.hpp>

#include <future>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

/// Longer than a draining daemon accepts requests.
constexpr milliseconds grace{3500};

bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a request that is cut without an answer when the grace of a
// planned stop ends, and against one that is cut without having been sent.
TEST_CASE("requests that are open when a drain ends get an answer",
          "[gateway][sockets]")
{
    struct request_case
    {
        std::string path;
        std::string extra;
        std::string response; ///< Start.
        bool        sent;     ///< To the target of the last stage.
    };
    const std::string pieces =
        "Arbutusgate-Pieces: 1,0\r\nArbutusgate-Piece-Key: kk\r\n";
    const auto it = GENERATE_COPY(
        values<request_case>({{"/once/", "", "HTTP/1.1 502", true},
                              {"/again/", "", "HTTP/1.1 502", true},
                              {"/stream/", "", "HTTP/1.1 502", true},
                              {"/staged/", pieces, "HTTP/1.1 503", false}}));
    std::atomic<bool> arrived{false};
    std::atomic<bool> sent{false};
    const auto        script = [&](target_session& session) {
        if (session.read().empty())
            return;
        arrived = true;
        session.wait_closed();
    };
    scripted_target stage(script);
    scripted_target last([&](target_session& session) {
        sent = true;
        script(session);
    });
    gateway_fixture g({make_target("i-1", last.address()),
                       make_target("p-1", stage.address(), "p")});
    auto            response = std::async(std::launch::async, [&] {
        return g.exchange(g.request(it.path, "body", it.extra));
    });
    while (!arrived)
        std::this_thread::sleep_for(milliseconds{1});
    g.drain(grace);
    CAPTURE(it.path);
    CHECK(response.get().starts_with(it.response));
    CHECK(sent == it.sent);
}

// Guards against a stream that is cut at the end of a planned stop: its request
// was read late in the stop, and only its first event was expected in time.
TEST_CASE("a request that is read late in a drain is sent if its deadline "
          "precedes the end of the drain",
          "[gateway][sockets]")
{
    struct request_case
    {
        std::string path;
        std::string deadline_ms;
        std::string status;
        int         sent;
    };
    const auto it =
        GENERATE(values<request_case>({{"/stream/", "15000", "HTTP/1.1 503", 0},
                                       {"/resume/", "15000", "HTTP/1.1 503", 0},
                                       {"/once/", "15000", "HTTP/1.1 503", 0},
                                       {"/stream/", "1000", "HTTP/1.1 200", 1},
                                       {"/once/", "1000", "HTTP/1.1 200", 1}}));
    std::atomic<int> sent{0};
    scripted_target  target([&](target_session& session) {
        while (!session.read().empty()) {
            ++sent;
            if (it.path == "/once/")
                session.write(answer("x"));
            else
                session.write(stream_head() + chunk("id: 1\ndata: a\n\n") +
                               "0\r\n\r\n");
        }
    });
    gateway_fixture  g({make_target("i-1", target.address())});
    auto             text = g.request(it.path);
    const auto       at   = text.find("15000");
    text.replace(at, 5, it.deadline_ms);
    asio::io_context io;
    tcp::socket      socket(io);
    socket.connect({asio::ip::address_v4::loopback(), g.port()});
    asio::write(socket, asio::buffer(text, at));
    auto drain = std::async(std::launch::async, [&] { g.drain(seconds{6}); });
    // Idle connections are closed 2.3 s after the start of the drain.
    std::this_thread::sleep_for(milliseconds{2600});
    asio::write(socket, asio::buffer(text.substr(at)));
    std::string               out;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    drain.wait();
    CAPTURE(it.path, it.deadline_ms);
    CHECK(out.starts_with(it.status));
    CHECK(has(out, "\"not_run\"") == (it.sent == 0));
    CHECK(sent == it.sent);
}

// Guards against a stream that is sent to a target and cut although streams of
// its route usually take longer than the drain.
TEST_CASE("a stream that usually outlasts the drain is refused",
          "[gateway][sockets]")
{
    std::atomic<int> sent{0};
    scripted_target  target([&](target_session& session) {
        while (!session.read().empty()) {
            ++sent;
            session.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
            std::this_thread::sleep_for(milliseconds{2500});
            session.write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
        }
    });
    gateway_fixture  g({make_target("i-1", target.address())});
    CHECK(g.exchange(g.request("/stream/")).ends_with("0\r\n\r\n"));
    auto drain =
        std::async(std::launch::async, [&] { g.drain(milliseconds{2500}); });
    while (!has(g.exchange("GET /readyz HTTP/1.1\r\nHost: a\r\n"
                           "Connection: close\r\n\r\n",
                           g.daemon().ready_port()),
                "HTTP/1.1 503"))
        std::this_thread::sleep_for(milliseconds{1});
    const auto out = g.exchange(g.request("/stream/"));
    drain.wait();
    CHECK(out.starts_with("HTTP/1.1 503"));
    CHECK(sent == 1);
}

// Guards against a request that may not be repeated and that is sent to a
// target although the daemon stops before the target can answer.
TEST_CASE("a request whose stages end with the grace is not sent",
          "[gateway][sockets]")
{
    std::atomic<bool>  arrived{false};
    std::promise<void> stopping;
    auto               stop = stopping.get_future().share();
    std::atomic<int>   sent{0};
    scripted_target    stage([&](target_session& session) {
        if (session.read().empty())
            return;
        arrived = true;
        stop.wait();
        session.write(answer(R"({"items":[{"handle":"h/0"}]})"));
        session.wait_closed();
    });
    scripted_target    last([&](target_session& session) {
        while (!session.read().empty())
            ++sent;
    });
    gateway_fixture    g({make_target("i-1", last.address()),
                          make_target("p-1", stage.address(), "p")});
    auto               response = std::async(std::launch::async, [&] {
        return g.exchange(g.request(
                          "/staged/", "body",
                          "Arbutusgate-Pieces: 1,0\r\nArbutusgate-Piece-Key: kk\r\n"));
    });
    while (!arrived)
        std::this_thread::sleep_for(milliseconds{1});
    auto drain = std::async(std::launch::async, [&] { g.drain(grace); });
    while (!has(g.exchange("GET /readyz HTTP/1.1\r\nHost: a\r\n"
                           "Connection: close\r\n\r\n",
                           g.daemon().ready_port()),
                "HTTP/1.1 503"))
        std::this_thread::sleep_for(milliseconds{1});
    // Open requests are ended 600 ms before the end of the grace. The stage
    // ends at most 150 ms before that; the target is expected to need 200 ms.
    std::this_thread::sleep_for(grace - milliseconds{600 + 150});
    stopping.set_value();
    const auto out = response.get();
    drain.wait();
    CHECK(has(out, "HTTP/1.1 503"));
    CHECK(has(out, "\"not_run\""));
    CHECK(sent == 0);
}
