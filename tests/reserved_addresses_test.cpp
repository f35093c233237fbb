#include "reserved_addresses.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using arbutusgate::gateway::test::reserved_addresses;
namespace asio = boost::asio;
using tcp      = asio::ip::tcp;

namespace {

tcp::endpoint endpoint_of(const std::string& address)
{
    const auto port = std::stoi(address.substr(address.find(':') + 1));
    return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)};
}

std::string address_of(const tcp::acceptor& it)
{
    return "127.0.0.1:" + std::to_string(it.local_endpoint().port());
}

} // namespace

// Guards against a daemon of a test that listens at an address where the test
// expects no server, or a different daemon.
TEST_CASE("a reserved port is given to no other socket", "[sockets]")
{
    // Several times the ports that the system has to give.
    constexpr int            listeners = 100'000;
    asio::io_context         io;
    const reserved_addresses reserved(3);
    int                      taken = 0;
    for (int n = 0; n < listeners; ++n) {
        const tcp::acceptor it(io, {asio::ip::address_v4::loopback(), 0});
        taken += static_cast<int>(std::count(
            reserved.all().begin(), reserved.all().end(), address_of(it)));
    }
    CHECK(taken == 0);
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
