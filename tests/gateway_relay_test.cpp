#include "gateway_fixture.hpp"

#include "peer_codec.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

using fixture_ptr = std::unique_ptr<gateway_fixture>;

/// Targets of service "s" at addresses that refuse connections.
class unreachable_targets
{
public:
    unreachable_targets()
    {
        for (const auto& it : addresses_.all())
            list_.push_back(
                make_target("i-" + std::to_string(list_.size()), it));
    }
    const std::vector<target>& list() const { return list_; }

private:
    reserved_addresses  addresses_{3};
    std::vector<target> list_;
};

/// Sends requests until the daemon serves its callers through another one.
void await_relay(const gateway_fixture& to)
{
    // A try may take up to the request's deadline.
    constexpr seconds limit{60};
    const auto        end = std::chrono::steady_clock::now() + limit;
    for (int n = 0; n < 2000 && std::chrono::steady_clock::now() < end; ++n) {
        if (to.exchange(to.request("/again/warm")).starts_with("HTTP/1.1 200"))
            return;
        std::this_thread::sleep_for(milliseconds{5});
    }
    FAIL("no request was relayed");
}

/// Two daemons, of which the first reaches no target.
struct cut_fleet
{
    explicit cut_fleet(const std::string& target)
    {
        const auto& seeds = addresses.all();
        sound             = std::make_unique<gateway_fixture>(
            std::vector{make_target("i-0", target)}, addresses[1], seeds);
        cut = std::make_unique<gateway_fixture>(targets.list(), addresses[0],
                                                seeds);
    }

    reserved_addresses  addresses{2};
    unreachable_targets targets;
    fixture_ptr         sound;
    fixture_ptr         cut;
};

/// Stands in for another daemon that reaches targets.
class scripted_daemon
{
public:
    /// \param run handles a request of a caller that was relayed.
    explicit scripted_daemon(std::function<void(target_session&)> run)
        : run_(std::move(run)),
          server_([this](target_session& it) { serve(it); })
    {
    }
    std::string address() const { return server_.address(); }

private:
    void serve(target_session& it)
    {
        for (;;) {
            const auto request = it.read();
            if (request.empty())
                return;
            const auto path = request.substr(5, request.find(' ', 5) - 5);
            if (path == "/v1/reach") {
                respond(it, encode(reach_report{true, 0, 1000, "d1"}));
            }
            else if (path == "/v1/gossip") {
                peer self{address(), 1, ++heartbeats_, "d1", false, 1000};
                peer_gossip gossip;
                gossip.members = {self};
                respond(it, encode(gossip, time_point{}));
            }
            else if (path.starts_with("/v1/")) {
                it.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
                         "\r\n");
            }
            else if (path == "/again/warm") {
                it.write(answer("warm"));
            }
            else {
                run_(it);
                return;
            }
        }
    }
    static void respond(target_session& it, const std::string& body)
    {
        it.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::function<void(target_session&)> run_;
    std::atomic<std::uint64_t>           heartbeats_{0};
    scripted_target                      server_;
};

} // namespace

// Guards against callers that are refused because their daemon lost its links
// to all targets, while other daemons could serve them.
TEST_CASE("a daemon that reaches no target serves callers through another",
          "[gateway][sockets]")
{
    scripted_target* server = nullptr;
    scripted_target  t([&](target_session& it) {
        for (;;) {
            const auto request = it.read();
            if (request.empty())
                return;
            server->note(request);
            if (request.starts_with("POST /resume/"))
                it.write(stream_head() + chunk("id: 1\ndata: a\n\n") +
                          chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            else
                it.write(answer("whole"));
        }
    });
    server = &t;
    cut_fleet fleet(t.address());
    await_relay(*fleet.cut);
    const auto before = t.requests().size();
    const auto plain  = fleet.cut->exchange(gateway_fixture::request(
         "/once/a?q=1", std::string(300'000, 'b'), "X-Own: kept\r\n"));
    CHECK(plain.starts_with("HTTP/1.1 200"));
    CHECK(plain.ends_with("\r\n\r\nwhole"));
    CHECK(plain.find("Arbutusgate-Server-Signature: sig") != plain.npos);
    const auto stream =
        fleet.cut->exchange(gateway_fixture::request("/resume/a"));
    CHECK(stream.starts_with("HTTP/1.1 200"));
    CHECK(stream.find("data: a\n\n") != stream.npos);
    CHECK(stream.ends_with("0\r\n\r\n"));
    const auto refused =
        fleet.cut->exchange(gateway_fixture::request("/unknown/a"));
    CHECK(refused.starts_with("HTTP/1.1 404"));

    const auto all = t.requests();
    REQUIRE(all.size() == before + 2);
    const auto& seen = all[before];
    CHECK(seen.starts_with("POST /once/a?q=1 HTTP/1.1\r\n"));
    CHECK(seen.ends_with("\r\n\r\n" + std::string(300'000, 'b')));
    CHECK(seen.find("X-Own: kept\r\n") != seen.npos);
    CHECK(seen.find("Arbutusgate-Tenant: acc\r\n") != seen.npos);
    CHECK(seen.find("Authorization") == seen.npos);
    CHECK(seen.find("Relay-") == seen.npos);
    const auto from = seen.find("Arbutusgate-Deadline-Ms: ") + 25;
    CHECK(std::stoi(seen.substr(from)) <= 15'000);
}

// Guards against requests that daemons hand to each other in turn, and against
// callers that can send the headers of a relayed request.
TEST_CASE("a relayed request makes one hop", "[gateway][sockets]")
{
    scripted_target t([&](target_session& it) {
        while (!it.read().empty())
            it.write(answer("whole"));
    });
    cut_fleet       fleet(t.address());
    await_relay(*fleet.cut);
    const auto text = gateway_fixture::request(
        "/again/a", "body",
        "Relay-Time-Left-Ms: 5000\r\nRelay-Time-Until-Goal-Ms: 500\r\n"
        "Relay-Attempts: 0\r\n");
    const auto relayed =
        fleet.cut->exchange(text, fleet.cut->daemon().peer_port());
    CHECK(relayed.starts_with("HTTP/1.1 503"));
    CHECK(relayed.find("Relay-Refused: 1") != relayed.npos);
    CHECK(fleet.cut->exchange(text).starts_with("HTTP/1.1 200"));
}

// Guards against a request that runs twice since its target names the header
// with which a daemon states that it did not run a request.
TEST_CASE("a target's answer never counts as a daemon's refusal",
          "[gateway][sockets][odd-entry]")
{
    const auto odd_answer = answer("whole", "200 OK", "Relay-Refused: 1\r\n");
    std::atomic<int> runs{0};
    const auto       serve = [&](target_session& it) {
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            const bool counted = text.starts_with("POST /once/");
            runs += counted ? 1 : 0;
            it.write(counted ? odd_answer : answer("warm"));
        }
    };
    constexpr int requests = 5;
    const auto    check    = [&](const gateway_fixture& cut) {
        await_relay(cut);
        for (int n = 0; n < requests; ++n) {
            const auto seen = cut.exchange(gateway_fixture::request("/once/a"));
            CHECK(seen.starts_with("HTTP/1.1 200"));
            CHECK(seen.ends_with("\r\n\r\nwhole"));
        }
        CHECK(runs == requests);
    };
    SECTION("through a daemon of this version")
    {
        scripted_target t(serve);
        cut_fleet       fleet(t.address());
        check(*fleet.cut);
        // For cut-off daemons of the version before.
        CHECK(fleet.sound->exchange(gateway_fixture::request("/once/a"))
                  .find("Relay-Refused") == std::string::npos);
    }
    SECTION("through a daemon of the version before")
    {
        scripted_daemon           daemon([&](target_session& it) {
            ++runs;
            it.write(answer("whole", "200 OK",
                                      "Relay-Refused: 1\r\nConnection: close\r\n"));
        });
        const reserved_addresses  addresses(1);
        const unreachable_targets targets;
        const gateway_fixture     cut(targets.list(), addresses[0],
                                      {addresses[0], daemon.address()});
        check(cut);
    }
}

// Guards against a request that is sent again although it may have run: its
// link broke before a response came.
TEST_CASE("a broken link is retried only where the route allows it",
          "[gateway][sockets]")
{
    std::atomic<int>               served{0};
    scripted_target                target([&](target_session& it) {
        while (!it.read().empty()) {
            ++served;
            it.write(answer("whole"));
        }
    });
    std::atomic<int>               broken{0};
    scripted_daemon                daemon([&](target_session&) { ++broken; });
    const reserved_addresses       addresses(2);
    const unreachable_targets      targets;
    const std::vector<std::string> seeds{addresses[0], addresses[1],
                                         daemon.address()};
    const gateway_fixture          sound({make_target("i-0", target.address())},
                                         addresses[1], seeds);
    const gateway_fixture          cut(targets.list(), addresses[0], seeds);
    // Both other daemons must be known: without one the answer is 503.
    for (int n = 0; n < 2000 && served == 0; ++n) {
        await_relay(cut);
        std::this_thread::sleep_for(milliseconds{10});
    }
    REQUIRE(served > 0);
    const auto status_of = [&](const std::string& path) {
        return cut.exchange(gateway_fixture::request(path)).substr(9, 3);
    };
    // The daemon that broke off is left out until it is asked again.
    int unknown = 0;
    for (int n = 0; n < 400 && broken < 2; ++n) {
        const auto status = status_of("/once/a");
        CHECK((status == "200" || status == "502"));
        unknown += status == "502" ? 1 : 0;
        std::this_thread::sleep_for(milliseconds{20});
    }
    CHECK(unknown == 2);
    CHECK(broken == 2);
    for (int n = 0; n < 400 && broken < 4; ++n) {
        CHECK(status_of("/again/a") == "200");
        std::this_thread::sleep_for(milliseconds{20});
    }
    CHECK(broken == 4);
}

// Guards against a part of a stream that looks like the whole.
TEST_CASE("a stream is cut when its link breaks", "[gateway][sockets]")
{
    scripted_daemon           daemon([&](target_session& it) {
        it.write(stream_head() + chunk("id: 1\ndata: a\n\n"));
    });
    const reserved_addresses  addresses(1);
    const unreachable_targets targets;
    const gateway_fixture     cut(targets.list(), addresses[0],
                                  {addresses[0], daemon.address()});
    await_relay(cut);
    const auto out = cut.exchange(gateway_fixture::request("/stream/a"));
    CHECK(out.starts_with("HTTP/1.1 200"));
    CHECK(out.find("data: a\n\n") != out.npos);
    CHECK_FALSE(out.ends_with("0\r\n\r\n"));
}

// Guards against a target that goes on working for a caller that has left.
TEST_CASE("a caller that leaves ends its request at the other daemon",
          "[gateway][sockets]")
{
    std::promise<void> arrived;
    std::promise<void> closed;
    scripted_target    t([&](target_session& it) {
        for (;;) {
            const auto request = it.read();
            if (request.empty())
                return;
            if (request.starts_with("POST /again/warm")) {
                it.write(answer("warm"));
                continue;
            }
            arrived.set_value();
            it.wait_closed();
            closed.set_value();
            return;
        }
    });
    cut_fleet          fleet(t.address());
    await_relay(*fleet.cut);
    asio::io_context io;
    tcp::socket      caller(io);
    caller.connect({asio::ip::address_v4::loopback(), fleet.cut->port()});
    asio::write(caller, asio::buffer(gateway_fixture::request("/once/slow")));
    arrived.get_future().wait();
    caller.close();
    CHECK(closed.get_future().wait_for(seconds{10}) ==
          std::future_status::ready);
}

// Guards against callers that wait in vain when no daemon reaches a target.
TEST_CASE("a request that no daemon can run is refused at once",
          "[gateway][sockets]")
{
    const reserved_addresses  addresses(2);
    const unreachable_targets targets;
    const gateway_fixture one(targets.list(), addresses[0], addresses.all());
    const gateway_fixture two(targets.list(), addresses[1], addresses.all());
    for (int n = 0; n < 20; ++n) {
        const auto start = std::chrono::steady_clock::now();
        const auto out   = one.exchange(gateway_fixture::request("/once/a"));
        CHECK(out.starts_with("HTTP/1.1 503"));
        CHECK(out.find("Retry-After") != out.npos);
        CHECK(std::chrono::steady_clock::now() - start < seconds{5});
    }
}
