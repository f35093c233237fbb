#include "gateway_fixture.hpp"

#include "body_memory.hpp"
#include "http_client.hpp"

#include "arbutusgate/config.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

// Guards against responses that take more memory together than the limit, and
// against memory that is never given back.
TEST_CASE("bodies of responses share a limited memory", "[gateway]")
{
    asio::io_context              io;
    std::vector<body_reservation> all;
    const std::size_t             each = limits::body_memory / 8;
    for (int n = 0; n < 8; ++n) {
        all.emplace_back(io);
        CHECK(all.back().grow_to(each / 2));
        CHECK(all.back().grow_to(each));
    }
    body_reservation more(io);
    CHECK(more.grow_to(limits::unreserved_body));
    CHECK_FALSE(more.grow_to(limits::unreserved_body + 1));
    all.pop_back();
    CHECK(more.grow_to(each));
    auto moved = std::move(more);
    CHECK(moved.grow_to(each));
    CHECK_FALSE(moved.grow_to(each + 1));
    all.clear();
    CHECK(asio::use_service<body_memory>(io).used() == each);
}

// Guards against a daemon that runs out of memory, and loses the requests of
// all clients, while a faulty target sends bodies without end.
TEST_CASE("responses that would take too much memory are abandoned",
          "[gateway][sockets]")
{
    constexpr std::size_t callers = 8;
    // Below the limit of a single body, and above what a connection buffers
    // outside the process.
    constexpr std::size_t                 body_bytes = 15 * 1024 * 1024;
    std::atomic<std::size_t>              ended{0};
    std::atomic<std::size_t>              whole{0};
    scripted_target                       t([&](target_session& it) {
        if (it.read().empty())
            return;
        it.write("HTTP/1.1 200 OK\r\nArbutusgate-Attempt-Id: 9c41\r\n"
                                                             "Arbutusgate-Server-Signature: sig\r\n"
                                                             "Transfer-Encoding: chunked\r\n\r\n");
        const std::string data(64 * 1024, ' ');
        std::size_t       sent = 0;
        while (sent < body_bytes && it.write(chunk(data)))
            sent += data.size();
        whole += sent >= body_bytes ? 1 : 0;
        // None ends before all others, so that all take memory at once.
        ++ended;
        while (ended < callers)
            std::this_thread::yield();
    });
    gateway_fixture                       g({make_target("i-1", t.address())});
    std::vector<std::future<std::string>> responses;
    for (std::size_t n = 0; n < callers; ++n)
        responses.push_back(std::async(std::launch::async, [&] {
            return g.exchange(g.request("/once/"));
        }));
    for (auto& it : responses)
        CHECK(it.get().starts_with("HTTP/1.1 502"));
    CHECK(whole <= limits::body_memory / body_bytes);
}
