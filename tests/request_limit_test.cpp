#include "body_memory.hpp"
#include "http_server.hpp"
#include "io_thread.hpp"
#include "read_errors.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <future>
#include <thread>

using namespace arbutusgate;

namespace {

namespace asio = boost::asio;
using tcp      = asio::ip::tcp;

constexpr std::size_t mib = 1024 * 1024;

struct counted_body final : incomplete_body
{
    explicit counted_body(asio::io_context& io) : memory(io) {}
    std::size_t held() const override { return memory.bytes(); }
    void        evict() override
    {
        evicted = true;
        memory.release();
    }
    body_reservation memory;
    bool             evicted = false;
};

/// Answers with the size of the request's body; errors by their limit.
class size_server
{
public:
    explicit size_server(std::size_t memory) : server_(make_init(), {&thread_})
    {
        asio::use_service<body_memory>(thread_.io()).set_limit(memory);
        REQUIRE(server_.start().ok());
    }
    /// Bytes that bodies take now.
    std::size_t used()
    {
        std::promise<std::size_t> out;
        thread_.spawn([&] {
            out.set_value(asio::use_service<body_memory>(thread_.io()).used());
        });
        return out.get_future().get();
    }
    tcp::socket connect()
    {
        tcp::socket out(io_);
        out.connect({asio::ip::address_v4::loopback(), server_.port()});
        return out;
    }

private:
    static http_server_init make_init()
    {
        http_server_init out;
        out.address = "127.0.0.1:0";
        out.handler = [](http_exchange& it) {
            http_response response(http::status::ok, 11);
            response.body() = std::to_string(it.request().body().size());
            it.respond(std::move(response));
        };
        out.on_error = [](http_error it) {
            http_response response(http::status::bad_request, 11);
            response.body() = limit_of(it);
            return response;
        };
        return out;
    }

    io_thread        thread_;
    asio::io_context io_;
    http_server      server_;
};

const std::string chunked_head =
    "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string head_of(std::size_t body)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(body) + "\r\n\r\n";
}

/// The body of the response that ends the connection.
std::string last_body(tcp::socket& from)
{
    std::string               out;
    boost::system::error_code ec;
    asio::read(from, asio::dynamic_buffer(out), ec);
    const auto head = out.find("\r\n\r\n");
    return head == out.npos ? "" : out.substr(head + 4);
}

/// Writes the head, then the text until the server refuses it.
std::string refusal_of(size_server& to, const std::string& head,
                       const std::string& text)
{
    auto                      socket = to.connect();
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(head), ec);
    // As much as the server may read before it refuses, so that none is unread
    // when it closes the connection.
    for (std::size_t sent = 0; sent < 64 * 1024 && !ec; sent += text.size())
        asio::write(socket, asio::buffer(text), ec);
    socket.shutdown(tcp::socket::shutdown_send, ec);
    return last_body(socket);
}

} // namespace

// Guards against evictions that hit bodies which hold little, the body that
// needs the room, or more bodies than needed.
TEST_CASE("incomplete bodies that hold most are evicted first", "[http]")
{
    asio::io_context io;
    auto&            memory = asio::use_service<body_memory>(io);
    memory.set_limit(10 * mib);
    std::deque<counted_body> bodies;
    for (const std::size_t size : {2, 3, 3, 1}) {
        auto& it = bodies.emplace_back(io);
        it.memory.begin_incomplete(it);
        REQUIRE(it.memory.grow_to(size * mib));
    }
    // Not incomplete, so that it is not evicted.
    body_reservation response(io);
    CHECK(response.grow_to(3 * mib));
    CHECK_FALSE(bodies[0].evicted);
    CHECK(bodies[1].evicted);
    CHECK_FALSE(bodies[2].evicted);
    CHECK(memory.evicted() == 1);
    // The asker is not evicted, although it holds most.
    CHECK(bodies[2].memory.grow_to(7 * mib));
    CHECK(bodies[0].evicted);
    CHECK(bodies[3].evicted);
    CHECK_FALSE(bodies[2].evicted);
    CHECK(memory.used() == 10 * mib);
    CHECK_FALSE(bodies[2].memory.grow_to(7 * mib + 1));
    // A complete body is not evicted.
    bodies[2].memory.end_incomplete();
    CHECK_FALSE(bodies[0].memory.grow_to(mib));
    CHECK_FALSE(bodies[2].evicted);
}

// Guards against trailers and chunk extensions that the parser keeps without a
// bound.
TEST_CASE("trailers and chunk extensions are bounded", "[http]")
{
    size_server       server(limits::body_memory);
    const std::string field = "X-T: " + std::string(120, 't') + "\r\n";
    CHECK(refusal_of(server, chunked_head + "1\r\nb\r\n0\r\n", field) ==
          "size of the trailers");
    const std::string extension = ";e=" + std::string(120, 'e');
    CHECK(refusal_of(server, chunked_head + "1", extension) ==
          "size of the chunk extensions");
    // Of many chunks together.
    CHECK(refusal_of(server, chunked_head, "1" + extension + "\r\nb\r\n") ==
          "size of the chunk extensions");
}

// Guards against limits that also refuse what a single client may send: small
// trailers and extensions, and a whole body in chunks of one byte.
TEST_CASE("a request within the limits is read in any framing", "[http]")
{
    constexpr std::size_t size = 200'000;
    size_server           server(limits::body_memory);
    std::string           chunks;
    for (std::size_t n = 0; n < size; ++n)
        chunks += "1;e=abc\r\nb\r\n";
    auto socket = server.connect();
    asio::write(socket, asio::buffer(chunked_head + chunks +
                                     "0\r\nX-T: t\r\nX-U: u\r\n\r\n"));
    CHECK(last_body(socket) == std::to_string(size));
    auto by_length = server.connect();
    asio::write(by_length,
                asio::buffer(head_of(limits::request_body) +
                             std::string(limits::request_body, 'b')));
    CHECK(last_body(by_length) == std::to_string(limits::request_body));
}

// Guards against incomplete bodies that hold all memory and keep a request
// within the limits from being served.
TEST_CASE("an incomplete body makes room for one that arrives", "[http]")
{
    constexpr std::size_t size = mib;
    size_server           server(3 * size / 2);
    auto                  held = server.connect();
    asio::write(held, asio::buffer(head_of(size) + std::string(size - 1, 'h')));
    while (server.used() < size)
        std::this_thread::sleep_for(milliseconds{1});
    // The stalled body is evicted once the other one needs its room.
    auto served = server.connect();
    asio::write(served, asio::buffer(head_of(size) + std::string(size, 's')));
    CHECK(last_body(served) == std::to_string(size));
    CHECK(last_body(held) == "memory of all bodies");
    auto next = server.connect();
    asio::write(next, asio::buffer(head_of(size) + std::string(size, 's')));
    CHECK(last_body(next) == std::to_string(size));
}

// Guards against a log line for each request of a hostile client.
TEST_CASE("errors of one kind get one log line in a second", "[http]")
{
    const time_point start{};
    read_errors      errors;
    CHECK(errors.add(http_error::no_memory, start) == 1);
    CHECK(errors.add(http_error::no_memory, start + milliseconds{10}) == 0);
    CHECK(errors.add(http_error::too_slow, start + milliseconds{20}) == 1);
    CHECK(errors.add(http_error::no_memory, start + milliseconds{999}) == 0);
    CHECK(errors.add(http_error::no_memory, start + milliseconds{1000}) == 3);
    CHECK(errors.count(http_error::no_memory) == 4);
}
