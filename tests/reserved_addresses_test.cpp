#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace arbutusgate::gateway::test;

namespace {

std::string address_of(const tcp::acceptor& it)
{
    return "127.0.0.1:" + std::to_string(it.local_endpoint().port());
}

/// \return how many of the listeners that are opened one after another, several
/// times as many as the system has ports to give, have one of the addresses.
int count_listeners_at(const std::vector<std::string>& addresses)
{
    constexpr int    listeners = 100'000;
    asio::io_context io;
    int              out = 0;
    for (int n = 0; n < listeners; ++n) {
        const tcp::acceptor it(io, {asio::ip::address_v4::loopback(), 0});
        out += static_cast<int>(
            std::count(addresses.begin(), addresses.end(), address_of(it)));
    }
    return out;
}

} // namespace

// Guards against a daemon of a test that listens at an address where the test
// expects no server, or a different daemon.
TEST_CASE("a reserved port is given to no other socket", "[sockets]")
{
    const reserved_addresses reserved(3);
    CHECK(count_listeners_at(reserved.all()) == 0);
}

// Guards against a target of a test that has crashed, but whose address leads
// to a server of another test program.
TEST_CASE("a target that stops listening keeps its port", "[sockets]")
{
    scripted_target target([](target_session&) {});
    target.stop_listening();
    CHECK(count_listeners_at({target.address()}) == 0);
}

// Guards against daemons that cannot listen at their reserved address.
TEST_CASE("a reserved address refuses connections until a server listens there",
          "[sockets]")
{
    asio::io_context         io;
    const reserved_addresses reserved(1);
    const auto               to      = endpoint_of(reserved[0]);
    const auto               connect = [&] {
        tcp::socket               caller(io);
        boost::system::error_code ec;
        caller.connect(to, ec);
        return ec;
    };
    CHECK(connect() == asio::error::connection_refused);
    {
        const tcp::acceptor server(io, to);
        CHECK_FALSE(connect());
    }
    CHECK(connect() == asio::error::connection_refused);
}
