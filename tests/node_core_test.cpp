#include "node_fleet.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace arbutusgate;

namespace {

const std::map<std::string, std::string> documents = {{"base", "b1"},
                                                      {"site/x", "x1"}};

/// Incarnation 100 of slot 0, whose peers are messages of the test.
node_init lone_node(std::size_t slots = 5)
{
    node_init it;
    it.self        = slot_id{0};
    it.incarnation = 100;
    it.slots.resize(slots);
    return it;
}

/// An empty message of a peer.
pb::PeerMessage message_from(std::uint32_t slot, std::uint64_t incarnation)
{
    pb::PeerMessage it;
    it.set_from_slot(slot);
    it.set_from_incarnation(incarnation);
    return it;
}

/// Gossip of slot 1 that shows another process of slot 0.
pb::PeerMessage gossip_of_rival(std::uint64_t heartbeat, std::uint64_t beat)
{
    auto message = message_from(1, 1);
    for (std::uint32_t n = 0; n < 5; ++n) {
        auto& entry = *message.mutable_gossip()->add_members();
        entry.set_slot(n);
        entry.set_incarnation(n == 0 ? 200 : 1);
        entry.set_heartbeat(n == 0 ? heartbeat : beat);
    }
    return message;
}

} // namespace

// Guards against a replacement that stays superseded by a process that ended:
// other daemons repeated that one's old heartbeats (fuzz seed 1, run 181).
TEST_CASE("repeated heartbeats of an ended process do not count")
{
    time_point now;
    node_core  core(lone_node(), now);
    // After a pause a process does not rise at once.
    now += seconds{3};
    core.tick(now);
    std::uint64_t risen = 0;
    const auto    end   = now + limits::member_suspect + seconds{4};
    for (std::uint64_t n = 1; now < end; ++n) {
        now += milliseconds{200};
        core.on_message(gossip_of_rival(10 - n % 2, n), now);
        core.tick(now);
        for (const auto& it : core.take_outgoing())
            risen = std::max(risen, it.message->from_incarnation());
    }
    CHECK(risen > 200);
}

// Guards against a process that takes a live replacement for ended: at 360
// daemons the replacement's whole entry is gossiped too seldom, so that its
// heartbeat bytes have to count.
TEST_CASE("heartbeat bytes keep a superseded process from rising")
{
    time_point now;
    node_core  core(lone_node(), now);
    now += seconds{3};
    core.tick(now);
    std::uint64_t risen = 0;
    const auto    end   = now + limits::member_suspect * 2;
    for (std::uint64_t n = 1; now < end; ++n) {
        now += milliseconds{200};
        auto message = gossip_of_rival(9, n);
        if (n > 1)
            message.mutable_gossip()->mutable_members()->DeleteSubrange(0, 1);
        message.mutable_gossip()->set_heartbeats(
            {static_cast<char>(200), 0, static_cast<char>(9 + n), 0});
        core.on_message(message, now);
        core.tick(now);
        for (const auto& it : core.take_outgoing())
            risen = std::max(risen, it.message->from_incarnation());
    }
    CHECK(risen == 100);
}

// Guards against an incarnation that one voter alone knows and that keeps
// others from settling (fuzz seed 1, run 901).
TEST_CASE("an incarnation known from a claim is gossiped")
{
    time_point now;
    node_core  core(lone_node(), now);
    auto       message = message_from(2, 300);
    message.mutable_claim_release();
    core.on_message(gossip_of_rival(0, 1), now);
    core.on_message(message, now);
    core.take_outgoing();
    now += milliseconds{200};
    core.tick(now);
    std::uint64_t newest = 0;
    for (const auto& it : core.take_outgoing()) {
        for (const auto& entry : it.message->gossip().members())
            newest =
                std::max(newest, entry.slot() == 2 ? entry.incarnation() : 0);
    }
    CHECK(newest == 300);
}

// Guards against a member that is left out of gossip for 15 s, because more
// members changed than fit into a message and the same ones went first each
// time (fuzz seed 77, run 40130).
TEST_CASE("changed members are gossiped in turn")
{
    constexpr std::uint32_t slots = 20;
    time_point              now;
    node_core               core(lone_node(slots), now);
    auto                    message = message_from(1, 1);
    for (std::uint32_t n = 1; n < slots; ++n) {
        auto& entry = *message.mutable_gossip()->add_members();
        entry.set_slot(n);
        entry.set_incarnation(1);
        entry.set_heartbeat(1);
    }
    core.on_message(message, now);
    std::set<std::uint32_t> sent;
    // 6 messages of 7 members besides the own one.
    for (const auto end = now + seconds{3}; now < end;) {
        now += milliseconds{200};
        core.tick(now);
        for (const auto& it : core.take_outgoing()) {
            if (it.message->gossip().nonce() != 0)
                continue;
            for (const auto& entry : it.message->gossip().members())
                sent.insert(entry.slot());
        }
    }
    CHECK(sent.size() == slots);
}

// Guards against two old processes that answer each other for ever (seen as
// memory that grew until a fuzz run of seed 4242 was killed).
TEST_CASE("only gossip with heartbeats is answered with a newer process")
{
    time_point now;
    node_core  core(lone_node(), now);
    auto       message = message_from(2, 300);
    message.mutable_gossip();
    core.on_message(message, now);
    message.set_from_incarnation(200);
    core.on_message(message, now);
    CHECK(core.take_outgoing().empty());
    message.mutable_gossip()->set_heartbeats(std::string(20, '\0'));
    core.on_message(message, now);
    const auto answers = core.take_outgoing();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].to == slot_id{2});
    CHECK(answers[0].message->gossip().heartbeats().empty());
}

// Guards against a key that runs twice through two daemons, and against a
// finished key whose answer is lost.
TEST_CASE("a key is granted once and its answer is found elsewhere")
{
    node_fleet fleet(9);
    CHECK(fleet.claim(0, "k").outcome == claim_outcome::unavailable);
    fleet.run(seconds{35});
    const auto first = fleet.claim(0, "k");
    REQUIRE(first.outcome == claim_outcome::granted);
    CHECK(fleet.nodes[0]->use_claim(first.claim, fleet.now));
    CHECK(fleet.claim(4, "k").outcome == claim_outcome::taken_in_progress);
    fleet.nodes[0]->record_answer(first.claim, {200, "ok"}, fleet.now);
    fleet.run(seconds{1});
    const auto again = fleet.claim(7, "k");
    CHECK(again.outcome == claim_outcome::taken_done);
    CHECK(again.answer.body == "ok");
    CHECK(fleet.claim(7, "k", 2).outcome == claim_outcome::reused);
}

// Guards against a refused call that blocks its key.
TEST_CASE("a released key can be claimed again")
{
    node_fleet fleet(5);
    fleet.run(seconds{35});
    const auto first = fleet.claim(0, "k");
    REQUIRE(first.outcome == claim_outcome::granted);
    fleet.nodes[0]->release_claim(first.claim, fleet.now);
    CHECK_FALSE(fleet.nodes[0]->use_claim(first.claim, fleet.now));
    fleet.run(seconds{1});
    CHECK(fleet.claim(3, "k").outcome == claim_outcome::granted);
}

// Guards against a replaced voter that forgets a claim.
TEST_CASE("claims survive the replacement of two voters")
{
    node_fleet fleet(5);
    fleet.run(seconds{35});
    REQUIRE(fleet.claim(0, "k").outcome == claim_outcome::granted);
    fleet.start(1);
    fleet.start(2);
    fleet.run(seconds{2});
    CHECK(fleet.nodes[1]->settled());
    CHECK(fleet.claim(1, "k").outcome == claim_outcome::taken_in_progress);
}

// Guards against work that is sent after a pause or long after its claim.
TEST_CASE("a claim is not used after a pause or too late")
{
    node_fleet fleet(5);
    fleet.run(seconds{35});
    const auto late = fleet.claim(0, "late");
    REQUIRE(fleet.nodes[0]->use_claim(late.claim, fleet.now));
    fleet.run(seconds{11});
    CHECK_FALSE(fleet.nodes[0]->use_claim(late.claim, fleet.now));
    const auto paused = fleet.claim(0, "paused");
    fleet.asleep      = 0;
    fleet.run(seconds{3});
    CHECK_FALSE(fleet.nodes[0]->use_claim(paused.claim, fleet.now));
}

// Guards against a pause that a clock which goes back hides from the core.
TEST_CASE("a clock that goes back counts as a pause")
{
    node_fleet fleet(5);
    fleet.run(seconds{35});
    const auto claim = fleet.claim(0, "k");
    REQUIRE(fleet.nodes[0]->use_claim(claim.claim, fleet.now));
    const auto back = fleet.now - microseconds{1};
    CHECK_FALSE(fleet.nodes[0]->use_claim(claim.claim, back));
    CHECK_FALSE(fleet.nodes[0]->settled());
}

// Guards against commands to engines by a process that just resumed.
TEST_CASE("a resumed process is confirmed after the hold and by a peer")
{
    node_fleet fleet(5);
    fleet.nodes[0]->on_config_read(7, documents, fleet.now);
    fleet.run(seconds{5});
    REQUIRE(fleet.nodes[0]->confirmed(fleet.now));
    bool parted  = false;
    fleet.asleep = 0;
    fleet.drop   = [&](std::uint32_t from, const outgoing_message& it) {
        return parted && (from == 0 || it.to.idx == 0);
    };
    fleet.run(seconds{3});
    fleet.asleep = ~0U;
    CHECK_FALSE(fleet.nodes[0]->confirmed(fleet.now));
    parted = true;
    fleet.run(seconds{20});
    CHECK_FALSE(fleet.nodes[0]->confirmed(fleet.now));
    parted = false;
    fleet.run(seconds{5});
    CHECK(fleet.nodes[0]->confirmed(fleet.now));
}

// Guards against a version that does not reach every daemon, or that an
// older one replaces.
TEST_CASE("the highest version reaches every daemon")
{
    node_fleet fleet(9);
    fleet.run(seconds{2});
    fleet.nodes[3]->on_config_read(7, documents, fleet.now);
    fleet.run(seconds{3});
    for (const auto& it : fleet.nodes)
        CHECK(it->config_version() == 7);
    fleet.nodes[3]->on_config_read(6, documents, fleet.now);
    fleet.run(seconds{1});
    CHECK(fleet.nodes[3]->config_version() == 7);
    CHECK(fleet.nodes[3]->ready(fleet.now));
}

// Guards against a fresh process that serves what a stale service told it.
TEST_CASE("a fresh process without peers puts nothing in force")
{
    node_fleet fleet(9);
    fleet.drop = [](auto, const auto&) {
        return true;
    };
    fleet.nodes[0]->on_config_read(7, documents, fleet.now);
    fleet.run(seconds{30});
    CHECK(fleet.nodes[0]->config_version() == 0);
    CHECK_FALSE(fleet.nodes[0]->ready(fleet.now));
}

// Guards against two contents under one version that go unnoticed.
TEST_CASE("two contents under one version are reported")
{
    node_fleet fleet(9);
    fleet.run(seconds{2});
    fleet.nodes[3]->on_config_read(7, documents, fleet.now);
    fleet.nodes[4]->on_config_read(7, {{"base", "other"}}, fleet.now);
    fleet.run(seconds{5});
    CHECK(fleet.conflicts > 0);
}

// Guards against work that goes on to a target which another daemon saw
// leaving.
TEST_CASE("a leaving target is known everywhere at once")
{
    node_fleet fleet(9);
    fleet.run(seconds{1});
    fleet.nodes[2]->note_leaving_target("t1", fleet.now);
    fleet.run(seconds{1});
    CHECK(fleet.leaving.size() == 8);
}

// Guards against a service that all daemons read at once.
TEST_CASE("one daemon for each failure domain and one more read")
{
    node_fleet fleet(9);
    fleet.run(seconds{5});
    fleet.nodes[3]->on_config_read(7, documents, fleet.now);
    fleet.run(seconds{5});
    int readers = 0;
    for (const auto& it : fleet.nodes)
        readers += it->should_read_config(fleet.now);
    CHECK(readers == 4);
}

// Guards against a draining daemon that ends before its claims are stored.
TEST_CASE("a daemon with a claim in use is not drained")
{
    node_fleet fleet(9);
    fleet.run(seconds{35});
    const auto claim = fleet.claim(0, "k");
    fleet.nodes[0]->begin_drain(fleet.now);
    fleet.run(seconds{1});
    CHECK_FALSE(fleet.nodes[0]->drained(fleet.now));
    fleet.nodes[0]->record_answer(claim.claim, {200, "ok"}, fleet.now);
    fleet.run(seconds{1});
    CHECK(fleet.nodes[0]->drained(fleet.now));
}
