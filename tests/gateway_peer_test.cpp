#include "peer_codec.hpp"
#include "peer_table.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

std::string address(int n)
{
    return "10.0.0." + std::to_string(n) + ":900";
}

peer make_peer(int n)
{
    return {address(n), 1, 0, "d" + std::to_string(n % 3), false, 0};
}

/// Simulates daemons that exchange gossip messages, without a network.
struct fleet
{
    std::vector<peer_table> tables; ///< One per daemon.
    std::vector<bool>       dead;
    int                     ms              = 0; ///< Simulated time.
    std::size_t             candidate_bytes = 0; ///< Sent in all messages.
    std::vector<int>        next_heartbeat_ms;   ///< Of each daemon.

    explicit fleet(int n)
    {
        for (int k = 0; k < n; ++k)
            tables.emplace_back(
                make_peer(k), std::vector<std::string>{address(0), address(1)},
                k + 1);
        dead.assign(n, false);
    }

    void round()
    {
        ms += static_cast<int>(tables[0].interval().count());
        for (std::size_t n = 0; n < tables.size(); ++n) {
            if (dead[n])
                continue;
            tables[n].advance_heartbeat(at(ms));
            for (const auto& to : tables[n].round_recipients({"s"}, at(ms)))
                exchange(n, to);
        }
    }

    void exchange(std::size_t from, const std::string& to)
    {
        constexpr std::string_view prefix = "10.0.0.";
        const auto                 n = std::stoul(to.substr(prefix.size()));
        REQUIRE(tables[n].self().address == to);
        if (dead[n]) {
            tables[from].record_missed_response(to, false, at(ms));
            return;
        }
        const auto sent            = tables[from].entries(at(ms));
        auto       new_at_receiver = tables[n].merge_members(sent, at(ms));
        send_candidates(from, n);
        const auto new_at_sender =
            tables[from].merge_members(tables[n].entries(at(ms)), at(ms));
        send_candidates(n, from);
        tables[from].record_response(to, at(ms));
        for (const auto& it : new_at_receiver)
            exchange(n, it);
        for (const auto& it : new_at_sender)
            exchange(from, it);
    }

    void send_candidates(std::size_t from, std::size_t to)
    {
        if (!tables[from].large())
            return;
        const auto list = tables[from].candidates(at(ms));
        candidate_bytes +=
            encode(peer_gossip{{}, {}, list, false, {}}, at(ms)).size();
        for (const auto& it : list)
            tables[to].merge(it, at(ms));
    }

    /// Runs the fleet for a time in ms; the daemons' heartbeats are staggered.
    void run(int duration_ms)
    {
        constexpr int step_ms = 50;
        if (next_heartbeat_ms.empty()) {
            for (std::size_t n = 0; n < tables.size(); ++n)
                next_heartbeat_ms.push_back(ms +
                                            static_cast<int>(n * 37 % 300));
        }
        for (const int end = ms + duration_ms; ms < end; ms += step_ms) {
            for (std::size_t n = 0; n < tables.size(); ++n) {
                if (dead[n] || ms < next_heartbeat_ms[n])
                    continue;
                next_heartbeat_ms[n] +=
                    static_cast<int>(tables[n].heartbeat_interval().count());
                tables[n].advance_heartbeat(at(ms));
                const auto to = tables[n].round_due(at(ms))
                                    ? tables[n].round_recipients({}, at(ms))
                                    : tables[n].random_alive(1, at(ms));
                for (const auto& it : to)
                    exchange(n, it);
                if (tables[n].joining(at(ms)) && to.empty()) {
                    for (const auto& it : tables[n].uncontacted_seeds(at(ms)))
                        exchange(n, it);
                }
            }
        }
    }

    /// Number of live daemons that take each address for the owner.
    std::map<std::string, int> owners(const std::string& service,
                                      const std::string& domain = "")
    {
        std::map<std::string, int> out;
        for (std::size_t n = 0; n < tables.size(); ++n) {
            if (!dead[n])
                ++out[tables[n].owner_of(service, at(ms), domain)];
        }
        return out;
    }
};

} // namespace

// Failure: daemons batch separately, because they do not find each other.
TEST_CASE("daemons find all others through two seeds", "[gateway]")
{
    fleet f(9);
    for (int n = 0; n < 5; ++n)
        f.round();
    for (auto& it : f.tables) {
        CHECK(it.alive(at(f.ms)).size() == 8);
        CHECK(it.daemons() == 9);
    }
    CHECK(f.owners("s").size() == 1);
}

// Failure: after a restart of all daemons, each takes itself for the owner and
// fills the stage targets with calls of one piece. Gossip rounds alone take
// more than a second until the daemons agree.
TEST_CASE("daemons that start together soon agree on an owner", "[gateway]")
{
    constexpr int step_ms         = 20;
    constexpr int latest_start_ms = 500;
    fleet         f(9);
    const auto    start = [](std::size_t n) {
        return static_cast<int>(n * 137 % 9) * latest_start_ms / 8;
    };
    for (f.ms = step_ms; f.ms <= latest_start_ms + 200; f.ms += step_ms) {
        for (std::size_t n = 0; n < f.tables.size(); ++n) {
            f.dead[n] = f.ms < start(n);
            if (f.dead[n] || (f.ms - start(n)) / step_ms % 5 != 0)
                continue;
            if (f.ms - start(n) < step_ms)
                f.tables[n].advance_heartbeat(at(f.ms));
            for (const auto& to : f.tables[n].uncontacted_seeds(at(f.ms)))
                f.exchange(n, to);
        }
    }
    for (auto& it : f.tables) {
        CHECK(it.alive(at(f.ms)).size() == 8);
        CHECK(it.settled(at(f.ms)));
    }
    CHECK(f.owners("s").size() == 1);
}

// Failure: a daemon runs orders on its own before it has found other daemons.
TEST_CASE("a daemon that has just started determines no owner", "[gateway]")
{
    peer_table it(make_peer(0), {address(1)}, 1);
    it.advance_heartbeat(at(1000));
    CHECK_FALSE(it.settled(at(1100)));
    CHECK(it.merge_members({make_peer(1), make_peer(2)}, at(1110)) ==
          std::vector<std::string>{address(2)});
    CHECK_FALSE(it.settled(at(1120)));
    CHECK(it.settled(at(1180)));
    peer_table alone(make_peer(0), {address(1)}, 1);
    alone.advance_heartbeat(at(1000));
    CHECK(alone.settled(at(1400)));
}

// Failures: the control traffic of a daemon grows with the fleet; daemons that
// are alive count as dead, because messages hold only a sample of the members.
TEST_CASE("daemons of a fleet of 360 know each other with bounded traffic",
          "[gateway]")
{
    fleet f(360);
    for (int n = 0; n < 25; ++n)
        f.round();
    // Bytes per second that a daemon sends: its own rounds and its responses.
    peer_gossip message;
    message.members = f.tables[0].entries(at(f.ms));
    CHECK(message.members.size() == 12);
    const auto sends = f.tables[0].round_recipients({"s"}, at(f.ms)).size();
    const auto bytes = encode(message, at(f.ms)).size();
    CHECK(f.tables[0].interval() == seconds{12});
    CHECK(2 * 2 * sends * bytes / 12 < 4000);
    std::size_t known = 0;
    for (auto& it : f.tables)
        known += it.alive(at(f.ms)).size();
    CHECK(known >= 360 * 359 * 98 / 100);
    std::size_t most = 0;
    for (const auto& [owner, n] : f.owners("s"))
        most = std::max<std::size_t>(most, n);
    CHECK(most >= 350);
}

// Failure: the daemons of a large fleet disagree on the owner of a shard. Each
// supposed owner then makes small calls, which fill the targets.
TEST_CASE("daemons of a large fleet soon agree on all owners", "[gateway]")
{
    const auto n = GENERATE(300, 361);
    fleet      f(n);
    for (int k = 0; k < n; k += 20) {
        auto it     = make_peer(k);
        it.capacity = 500;
        f.tables[k] = peer_table(it, {address(0), address(1)}, k + 1);
    }
    f.run(2500);
    for (const std::string domain : {"d0", "d1", "d2"}) {
        const auto agreed = f.owners("s|" + domain, domain);
        CHECK(agreed.size() == 1);
        const auto owner = agreed.begin()->first;
        CHECK(std::stoul(owner.substr(7)) % 20 == 0);
        CHECK(std::stoul(owner.substr(7)) % 3 ==
              static_cast<std::size_t>(domain[1] - '0'));
    }
    // In steady state, bytes of candidates per daemon and second.
    f.run(20'000);
    f.candidate_bytes = 0;
    f.run(20'000);
    CHECK(f.candidate_bytes / n / 20 < 2000);
    // No candidate that is alive is taken for dead meanwhile.
    for (const std::string domain : {"d0", "d1", "d2"})
        CHECK(f.owners("s|" + domain, domain).size() == 1);
}

// Failures: daemons that have no orders for a dead owner keep taking it for
// alive; daemons disagree on owners for a long time after a loss.
TEST_CASE("a large fleet drops dead candidates", "[gateway]")
{
    constexpr int n = 300;
    fleet         f(n);
    for (int k = 0; k < n; k += 20) {
        auto it     = make_peer(k);
        it.capacity = 500;
        f.tables[k] = peer_table(it, {address(0), address(1)}, k + 1);
    }
    f.run(25'000);
    // One failure domain fails with all its large daemons.
    for (int k = 0; k < n; k += 3)
        f.dead[k] = true;
    f.run(40'000);
    for (const std::string domain : {"d0", "d1", "d2"}) {
        const auto agreed = f.owners("s|" + domain, domain);

        CHECK(agreed.size() == 1);
        CHECK_FALSE(f.dead[std::stoul(agreed.begin()->first.substr(7))]);
    }
}

// Failure: small daemons own as many shards as large ones.
TEST_CASE("daemons own shards in proportion to their capacity", "[gateway]")
{
    peer_table it(make_peer(0), {}, 1);
    auto       large = make_peer(1);
    large.capacity   = 500;
    auto small       = make_peer(2);
    small.capacity   = 125;
    it.merge(large, at(0));
    it.merge(small, at(0));
    it.set_refuses_orders(true);
    int owned_by_large = 0;
    for (int k = 0; k < 1000; ++k)
        owned_by_large +=
            it.owner_of(std::to_string(k), at(200)) == large.address;
    CHECK(owned_by_large > 750);
    CHECK(owned_by_large < 850);
}

// Failure: stages wait for a dead owner.
TEST_CASE("all daemons replace an unresponsive owner by the same one",
          "[gateway]")
{
    fleet f(9);
    for (int n = 0; n < 6; ++n)
        f.round();
    const auto owner = f.owners("s").begin()->first;
    for (std::size_t n = 0; n < f.tables.size(); ++n)
        f.dead[n] = f.tables[n].self().address == owner;
    for (int n = 0; n < 3; ++n)
        f.round();
    const auto new_owners = f.owners("s");
    CHECK(new_owners.size() == 1);
    CHECK(new_owners.begin()->first != owner);
}

// Failure: orders go to a daemon that is about to stop.
TEST_CASE("a leaving daemon owns nothing", "[gateway]")
{
    fleet f(5);
    for (int n = 0; n < 5; ++n)
        f.round();
    const auto owner = f.owners("s").begin()->first;
    for (auto& it : f.tables) {
        if (it.self().address == owner)
            it.set_refuses_orders(true);
    }
    f.round();
    f.round();
    CHECK(f.owners("s").count(owner) == 0);
}

// Failure: orders go to a daemon that has just started. It refuses them all,
// because it does not have the configuration yet.
TEST_CASE("a daemon without configuration owns nothing", "[gateway]")
{
    fleet f(3);
    for (auto& it : f.tables)
        it.set_refuses_orders(true);
    for (int n = 0; n < 5; ++n)
        f.round();
    CHECK(f.tables[1].set_refuses_orders(false));
    CHECK_FALSE(f.tables[1].set_refuses_orders(false));
    f.round();
    f.round();
    CHECK(f.owners("s") == std::map<std::string, int>{{address(1), 3}});
}

// Failure: after a pause of its own process, a daemon takes all others for dead
// and batches alone.
TEST_CASE("a pause of the own process makes no peer count as dead", "[gateway]")
{
    fleet f(5);
    for (int n = 0; n < 5; ++n)
        f.round();
    auto& it = f.tables[0];
    it.advance_heartbeat(at(f.ms + 10'000));
    CHECK(it.alive(at(f.ms + 10'000)).size() == 4);
}

// Failure: orders wait a second for an owner whose VM lost power. Its
// connections stay open, and nothing arrives on them.
TEST_CASE("an owner with orders that sends nothing is probed", "[gateway]")
{
    peer_table it(make_peer(0), {}, 1);
    it.merge(make_peer(1), at(0));
    it.record_response(address(1), at(100));
    CHECK_FALSE(it.needs_probe(address(1), at(300), at(540)));
    CHECK(it.needs_probe(address(1), at(300), at(550)));
    it.record_response(address(1), at(560));
    CHECK_FALSE(it.needs_probe(address(1), at(300), at(800)));
    CHECK(it.needs_probe(address(1), at(300), at(810)));
}

// Failure: the entry of a dead process hides a new process at the same address.
TEST_CASE("a restarted daemon is recognized at once", "[gateway]")
{
    peer_table it(make_peer(0), {}, 1);
    it.merge(make_peer(1), at(0));
    it.record_missed_response(address(1), true, at(10));
    it.record_missed_response(address(1), true, at(20));
    CHECK(it.owner_of("s", at(30)) == address(0));
    auto restarted        = make_peer(1);
    restarted.incarnation = 2;
    it.merge(restarted, at(40));
    std::set<std::string> owners;
    for (int n = 0; n < 40; ++n)
        owners.insert(it.owner_of("s" + std::to_string(n), at(50)));
    CHECK(owners.size() == 2);
}

// Failure: fields are lost in messages between daemons.
TEST_CASE("decoding restores encoded messages between daemons", "[gateway]")
{
    peer_gossip gossip;
    gossip.members                   = {make_peer(1), make_peer(2)};
    gossip.members[1].refuses_orders = true;
    gossip.queues["s"]               = {milliseconds{40}, milliseconds{900}};
    gossip.candidates                = {make_peer(3)};
    gossip.candidates[0].capacity    = 120;
    gossip.queues_only               = true;
    const auto decoded = decode_gossip(encode(gossip, at(0)), at(0));
    REQUIRE(decoded);
    CHECK(decoded->members[1].address == address(2));
    CHECK(decoded->members[1].refuses_orders);
    REQUIRE(decoded->candidates.size() == 1);
    CHECK(decoded->candidates[0].capacity == 120);
    CHECK(decoded->queues_only);
    CHECK(decoded->queues.at("s").all == milliseconds{900});
    const permit_request request{{"i-1", 12, 1.6, at(100)}, milliseconds{700}};
    const auto           decoded_request =
        decode_permit_request(encode(request, at(350)), at(5350));
    REQUIRE(decoded_request);
    CHECK(decoded_request->limit.target == "i-1");
    CHECK(decoded_request->limit.started_at == 12);
    CHECK(decoded_request->limit.rate == 1.6);
    CHECK(decoded_request->limit.named_at == at(5100));
    CHECK(decoded_request->max_wait == milliseconds{700});
    CHECK_FALSE(decoded_request->cold);
    // A cold target need not name a limit.
    permit_request cold{{"i-1", 12, {}, at(100)}, milliseconds{700}};
    CHECK_FALSE(decode_permit_request(encode(cold, at(350)), at(5350)));
    cold.cold = cold_period{13, 15, at(1350)};
    const auto decoded_cold =
        decode_permit_request(encode(cold, at(350)), at(5350));
    REQUIRE(decoded_cold);
    CHECK_FALSE(decoded_cold->limit.rate);
    CHECK(decoded_cold->cold->started_at == 13);
    CHECK(decoded_cold->cold->rate == 15);
    CHECK(decoded_cold->cold->until == at(6350));
    cold.cold->rate = -1;
    CHECK_FALSE(decode_permit_request(encode(cold, at(350)), at(5350)));
    const permit_response response{true, true, milliseconds{9},
                                   target_limit{"i-1", 12, {}, at(0)}};
    const auto            decoded_response =
        decode_permit_response(encode(response, at(0)), at(0));
    REQUIRE(decoded_response);
    CHECK(decoded_response->granted);
    CHECK(decoded_response->undecided);
    CHECK(decoded_response->wait == milliseconds{9});
    REQUIRE(decoded_response->limit);
    CHECK_FALSE(decoded_response->limit->rate);
    gossip.limits = {request.limit};
    CHECK(decode_gossip(encode(gossip, at(350)), at(5350))->limits.at(0).rate ==
          1.6);
    CHECK_FALSE(decode_permit_request("\xff\xff", at(0)));
    stage_order order;
    order.service              = "s";
    order.shard                = "s|d1|0|1";
    order.group.rank           = 2;
    order.group.goal           = at(700);
    order.group.limit          = at(2500);
    order.group.result_bytes   = 60'000;
    order.group.failure_domain = "d1";
    order.group.count          = 3;
    order.source               = std::make_shared<const stage_source>(
        stage_source{"id", 1, "", {"h1", "h2"}});
    const auto decoded_order = decode_order(encode(order, at(100)), at(5100));
    REQUIRE(decoded_order);
    CHECK(decoded_order->group.goal == at(5700));
    CHECK(decoded_order->group.limit == at(7500));
    CHECK(decoded_order->group.count == 3);
    CHECK(decoded_order->shard == "s|d1|0|1");
    CHECK(decoded_order->group.failure_domain == "d1");
    CHECK(decoded_order->source->attempt == "id");
    CHECK(decoded_order->source->stage == 1);
    CHECK(decoded_order->source->inputs ==
          std::vector<std::string>{"h1", "h2"});
    const auto outcome = decode_outcome(
        encode(stage_outcome{order_state::refused,
                             {},
                             milliseconds{300},
                             {milliseconds{7}, milliseconds{9}},
                             {{"s|d1|0|1",
                               {{milliseconds{1}, milliseconds{2}}, at(400)}}}},
               at(600)),
        at(5600));
    CHECK(outcome->state == order_state::refused);
    CHECK(outcome->retry_after == milliseconds{300});
    CHECK(outcome->queue.all == milliseconds{9});
    CHECK(outcome->others.at("s|d1|0|1").queue.all == milliseconds{2});
    CHECK(outcome->others.at("s|d1|0|1").reported_at == at(5400));
    CHECK(decode_release(encode_release({"h"})) ==
          std::vector<std::string>{"h"});
    const state_copy state{
        77, "text", {{"i-1", "s", "10.0.0.9:80", "d1", 6, true, 12}}};
    const auto decoded_state = decode_state(encode(state));
    REQUIRE(decoded_state);
    CHECK(decoded_state->revision == 77);
    CHECK(decoded_state->document == "text");
    REQUIRE(decoded_state->targets.size() == 1);
    CHECK(decoded_state->targets[0].address == "10.0.0.9:80");
    CHECK(decoded_state->targets[0].leaving);
    CHECK(decoded_state->targets[0].started_at == 12);
    CHECK(decode_state_query(encode_state_query(5)) == 5U);
    CHECK_FALSE(decode_state("\xff\xff"));
    CHECK_FALSE(decode_order("\xff\xff", at(0)));
    CHECK_FALSE(decode_gossip("\xff\xff", at(0)));
}

// Guards against a header field of a caller that no daemon can read in an
// order: the owner of the stage would be taken for dead, with the orders of
// other requests there.
TEST_CASE("an order carries any bytes of a header field", "[gateway]")
{
    const time_point now{seconds{100}};
    stage_order      order;
    order.service     = "p";
    order.group.count = 1;
    order.source =
        std::make_shared<stage_source>(stage_source{"a\xff", 0, "k\xfe", {}});
    const auto out = decode_order(encode(order, now), now);
    REQUIRE(out);
    CHECK(out->source->attempt == "a\xff");
    CHECK(out->source->key == "k\xfe");
}
