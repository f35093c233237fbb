#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

/// Listens on a free port of its own.
class taken_port
{
public:
    taken_port() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {}

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    void release() { acceptor_.close(); }

private:
    asio::io_context io_;
    tcp::acceptor    acceptor_;
};

gateway_settings local_settings()
{
    gateway_settings out;
    out.listen = out.ready = out.peer = out.metrics = "127.0.0.1:0";
    return out;
}

/// A gateway without a published state.
struct lone_gateway
{
    explicit lone_gateway(const gateway_settings& settings)
        : daemon({settings, codec, [](asio::io_context& io) {
                      return std::make_unique<fixed_reader>(
                          io, configuration{}, std::vector<target>{});
                  }})
    {
    }

    platform::http_codec codec;
    gateway::gateway     daemon;
};

} // namespace

// Guards against a daemon that does not start since another one at the same IP
// address has the port for metrics.
TEST_CASE("a daemon starts while its metrics port is taken",
          "[gateway][sockets]")
{
    taken_port taken;
    auto       settings = local_settings();
    settings.metrics    = taken.address();
    lone_gateway g(settings);
    CHECK(g.daemon.start().ok());
}

// Guards against a daemon that ends since the process before it still holds its
// ports.
TEST_CASE("a daemon waits for a port that another process holds",
          "[gateway][sockets]")
{
    taken_port taken;
    auto       settings = local_settings();
    auto port = GENERATE(&gateway_settings::listen, &gateway_settings::ready,
                         &gateway_settings::peer);
    settings.*port = taken.address();
    lone_gateway g(settings);
    auto         started =
        std::async(std::launch::async, [&] { return g.daemon.start().ok(); });
    CHECK(started.wait_for(milliseconds{300}) == std::future_status::timeout);
    taken.release();
    CHECK(started.get());
}
