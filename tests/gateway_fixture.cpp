#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

namespace arbutusgate::gateway::test {

namespace {

route make_route(std::string path, repeat_rule rule, std::uint32_t attempts)
{
    route out;
    out.name         = path;
    out.host         = "a.example";
    out.path_prefix  = std::move(path);
    out.rule         = rule;
    out.timeout      = milliseconds{20'000};
    out.latency_goal = milliseconds{5000};
    out.max_attempts = attempts;
    out.services     = {{"s", 1}};
    return out;
}

configuration make_config()
{
    configuration out;
    out.version = 1;
    out.routes  = {make_route("/once/", repeat_rule::non_idempotent, 1),
                   make_route("/again/", repeat_rule::idempotent, 2),
                   make_route("/stream/", repeat_rule::stream, 1),
                   make_route("/resume/", repeat_rule::stream, 2),
                   make_route("/staged/", repeat_rule::idempotent, 1),
                   make_route("/staged-stream/", repeat_rule::stream, 2),
                   make_route("/quick/", repeat_rule::idempotent, 2),
                   make_route("/order/", repeat_rule::non_idempotent, 1),
                   make_route("/cold/", repeat_rule::idempotent, 2),
                   make_route("/chain-stream/", repeat_rule::stream, 3),
                   make_route("/split/", repeat_rule::stream, 2)};
    out.routes[3].may_be_resumed = true;
    out.routes[4].stages         = {{"p", {}, 1000}, {"p", {0}, 1000}};
    out.routes[5].stages         = {{"p", {}, 1000}};
    out.routes[5].may_be_resumed = true;
    out.routes[6].latency_goal   = milliseconds{400};
    out.routes[7].services       = {{"p", 1}};
    out.routes[8].latency_goal   = milliseconds{400};
    out.routes[8].services       = {{"c", 1}};
    out.routes[9].stages         = {
                {"p", {}, 1000}, {"p", {0}, 1000}, {"p", {1}, 1000}};
    out.routes[9].may_be_resumed  = true;
    out.routes[10].services       = {{"s", 1}, {"t", 1}};
    out.routes[10].may_be_resumed = true;
    service plain{"s", "", 1000, {}, {}};
    service other{"t", "", 1000, {}, {}};
    service cold{"c", "", 1000, {}, {}, cold_limits{milliseconds{3000}, 15}};
    service stage{"p", "", 1000, stage_limits{}, {}};
    stage.stage->batch            = 8;
    stage.stage->call_time        = milliseconds{10};
    stage.stage->piece_time       = milliseconds{1};
    stage.stage->result_memory    = 1'000'000;
    stage.stage->result_retention = milliseconds{60'000};
    out.services                  = {plain, stage, cold, other};
    out.accounts                  = {{"acc", {"k"}, {}}};
    out.has_accounts              = true;
    return out;
}

} // namespace

gateway_fixture::gateway_fixture(std::vector<target>      targets,
                                 const std::string&       peer,
                                 std::vector<std::string> seeds)
{
    settings_.node           = "n1";
    settings_.failure_domain = "d1";
    settings_.listen = settings_.ready = settings_.metrics = "127.0.0.1:0";
    settings_.peer                                         = peer;
    settings_.seeds                                        = std::move(seeds);
    settings_.store                                        = "127.0.0.1:1";
    // High enough not to limit retries: retry budgets have their own tests.
    settings_.bounds.retry_ratio = 10;
    settings_.bounds.retry_slack = 0;
    gateway_                     = std::make_unique<gateway>(gateway_init{
        settings_, codec_, [targets, pause = pause_](asio::io_context& io) {
            return std::make_unique<fixed_reader>(io, make_config(), targets,
                                                  pause);
        }});
    REQUIRE(gateway_->start().ok());
    asio::io_context io;
    for (;;) {
        tcp::socket socket(io);
        socket.connect(
            {asio::ip::address_v4::loopback(), gateway_->ready_port()});
        asio::write(socket, asio::buffer(std::string(
                                "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")));
        std::string text;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n");
        if (text.starts_with("HTTP/1.1 200"))
            return;
        std::this_thread::yield();
    }
}

void gateway_fixture::pause(milliseconds time)
{
    *pause_ = time;
    while (pause_->load() != milliseconds{0})
        std::this_thread::sleep_for(milliseconds{1});
}

void gateway_fixture::drain(milliseconds grace)
{
    settings_.bounds.drain_grace = grace;
    gateway_->reload(settings_);
    exchange("GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
             gateway_->ready_port());
    gateway_->drain();
}

std::string gateway_fixture::request(const std::string& path,
                                     const std::string& body,
                                     const std::string& extra)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k\r\n"
           "Arbutusgate-Attempt-Id: 9c41\r\n"
           "Arbutusgate-Deadline-Ms: 15000\r\nConnection: close\r\n" +
           extra + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string gateway_fixture::exchange(const std::string& text,
                                      std::uint16_t      port) const
{
    return test::exchange(port == 0 ? this->port() : port, text);
}

std::string exchange(std::uint16_t port, const std::string& text)
{
    asio::io_context          io;
    tcp::socket               socket(io);
    boost::system::error_code ec;
    socket.connect({asio::ip::address_v4::loopback(), port}, ec);
    REQUIRE_FALSE(ec);
    asio::write(socket, asio::buffer(text), ec);
    std::string            out;
    std::array<char, 4096> part{};
    while (!ec) {
        const auto n = socket.read_some(asio::buffer(part), ec);
        out.append(part.data(), n);
    }
    return out;
}

std::vector<std::unique_ptr<gateway_fixture>>
make_fleet(std::size_t n, const std::vector<target>& targets)
{
    const reserved_addresses                      peers(n);
    std::vector<std::unique_ptr<gateway_fixture>> out;
    for (const auto& it : peers.all())
        out.push_back(
            std::make_unique<gateway_fixture>(targets, it, peers.all()));
    return out;
}

} // namespace arbutusgate::gateway::test
