#include "node_fleet.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace arbutusgate;

namespace {

const std::map<std::string, std::string> documents = {{"base", "b1"},
                                                      {"site/x", "x1"}};

/// Arguments for incarnation 100 of slot 0. The test sends the messages of its
/// peers.
node_init single_node(std::size_t slots = 5)
{
    node_init it;
    it.self        = slot_id{0};
    it.incarnation = 100;
    it.slots.resize(slots);
    return it;
}

/// Message of a peer without a body.
pb::PeerMessage message_from(std::uint32_t slot, std::uint64_t incarnation)
{
    pb::PeerMessage it;
    it.set_from_slot(slot);
    it.set_from_incarnation(incarnation);
    return it;
}

/// Gossip of slot 1 with incarnation 200 of slot 0.
/// \param other_heartbeat Heartbeat of the other slots.
pb::PeerMessage gossip_with_newer_process(std::uint64_t heartbeat,
                                          std::uint64_t other_heartbeat)
{
    auto message = message_from(1, 1);
    for (std::uint32_t n = 0; n < 5; ++n) {
        auto& entry = *message.mutable_gossip()->add_members();
        entry.set_slot(n);
        entry.set_incarnation(n == 0 ? 200 : 1);
        entry.set_heartbeat(n == 0 ? heartbeat : other_heartbeat);
    }
    return message;
}

} // namespace

// Failure: a process stays superseded by one that has ended, because other
// daemons keep sending old heartbeats of that one (fuzz seed 1, run 181).
TEST_CASE("old heartbeats of a process that ended are ignored")
{
    time_point now;
    node_core  core(single_node(), now);
    // After a pause, a process does not raise its incarnation at once.
    now += seconds{3};
    core.tick(now);
    std::uint64_t highest_incarnation = 0;
    const auto    end = now + limits::member_suspect + seconds{4};
    for (std::uint64_t n = 1; now < end; ++n) {
        now += milliseconds{200};
        core.on_message(gossip_with_newer_process(10 - n % 2, n), now);
        core.tick(now);
        for (const auto& it : core.take_outgoing())
            highest_incarnation =
                std::max(highest_incarnation, it.message->from_incarnation());
    }
    CHECK(highest_incarnation > 200);
}

// Failure: a superseded process takes its running replacement for ended and
// raises its incarnation. At 360 daemons the replacement's whole entry is
// gossiped too rarely, so its heartbeat bytes have to count.
TEST_CASE("a superseded process counts the heartbeat bytes of the newer one")
{
    time_point now;
    node_core  core(single_node(), now);
    now += seconds{3};
    core.tick(now);
    std::uint64_t highest_incarnation = 0;
    const auto    end                 = now + limits::member_suspect * 2;
    for (std::uint64_t n = 1; now < end; ++n) {
        now += milliseconds{200};
        auto message = gossip_with_newer_process(9, n);
        if (n > 1)
            message.mutable_gossip()->mutable_members()->DeleteSubrange(0, 1);
        message.mutable_gossip()->set_heartbeats(
            {static_cast<char>(200), 0, static_cast<char>(9 + n), 0});
        core.on_message(message, now);
        core.tick(now);
        for (const auto& it : core.take_outgoing())
            highest_incarnation =
                std::max(highest_incarnation, it.message->from_incarnation());
    }
    CHECK(highest_incarnation == 100);
}

// Failure: an incarnation that only one voter knows keeps other voters from
// settling (fuzz seed 1, run 901).
TEST_CASE("an incarnation learned from a claim message is gossiped")
{
    time_point now;
    node_core  core(single_node(), now);
    auto       message = message_from(2, 300);
    message.mutable_claim_release();
    core.on_message(gossip_with_newer_process(0, 1), now);
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

// Failure: gossip omits a member for 15 s, because more members changed than
// fit into a message and the same ones were sent each time (fuzz seed 77, run
// 40130).
TEST_CASE("changed members are gossiped in rotation")
{
    constexpr std::uint32_t slots = 20;
    time_point              now;
    node_core               core(single_node(slots), now);
    auto                    message = message_from(1, 1);
    for (std::uint32_t n = 1; n < slots; ++n) {
        auto& entry = *message.mutable_gossip()->add_members();
        entry.set_slot(n);
        entry.set_incarnation(1);
        entry.set_heartbeat(1);
    }
    core.on_message(message, now);
    std::set<std::uint32_t> sent;
    // 6 messages with 7 members each besides the sender.
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

// Failure: two outdated processes reply to each other forever. The memory of a
// fuzz run with seed 4242 grew until it was killed.
TEST_CASE("only gossip with heartbeats gets a newer incarnation as reply")
{
    time_point now;
    node_core  core(single_node(), now);
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

// Failure: two daemons both run the work of a key, or the response of completed
// work is lost.
TEST_CASE("a key is granted once and other daemons get its response")
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

// Failure: a call that was refused blocks its key.
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

// Failure: a claim is lost when the process of a voter is replaced.
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

// Failure: work is dispatched after a pause or long after its claim.
TEST_CASE("a claim cannot be used after a pause or its time limit")
{
    node_fleet fleet(5);
    fleet.run(seconds{35});
    const auto late = fleet.claim(0, "late");
    REQUIRE(fleet.nodes[0]->use_claim(late.claim, fleet.now));
    fleet.run(seconds{11});
    CHECK_FALSE(fleet.nodes[0]->use_claim(late.claim, fleet.now));
    const auto paused = fleet.claim(0, "paused");
    fleet.paused_slot = 0;
    fleet.run(seconds{3});
    CHECK_FALSE(fleet.nodes[0]->use_claim(paused.claim, fleet.now));
}

// Failure: a clock that is set back hides a pause from the node core.
TEST_CASE("a clock that is set back counts as a pause")
{
    node_fleet fleet(5);
    fleet.run(seconds{35});
    const auto claim = fleet.claim(0, "k");
    REQUIRE(fleet.nodes[0]->use_claim(claim.claim, fleet.now));
    const auto back = fleet.now - microseconds{1};
    CHECK_FALSE(fleet.nodes[0]->use_claim(claim.claim, back));
    CHECK_FALSE(fleet.nodes[0]->settled());
}

// Failure: a process that has just resumed from a pause sends commands to
// engines.
TEST_CASE("a resumed process needs the hold time and a peer's confirmation")
{
    node_fleet fleet(5);
    fleet.nodes[0]->on_config_read(7, documents, fleet.now);
    fleet.run(seconds{5});
    REQUIRE(fleet.nodes[0]->confirmed(fleet.now));
    bool partitioned  = false;
    fleet.paused_slot = 0;
    fleet.drop        = [&](std::uint32_t from, const outgoing_message& it) {
        return partitioned && (from == 0 || it.to.idx == 0);
    };
    fleet.run(seconds{3});
    fleet.paused_slot = ~0U;
    CHECK_FALSE(fleet.nodes[0]->confirmed(fleet.now));
    partitioned = true;
    fleet.run(seconds{20});
    CHECK_FALSE(fleet.nodes[0]->confirmed(fleet.now));
    partitioned = false;
    fleet.run(seconds{5});
    CHECK(fleet.nodes[0]->confirmed(fleet.now));
}

// Failure: a configuration version does not reach every daemon, or an older one
// replaces it.
TEST_CASE("the highest configuration version reaches every daemon")
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

// Failure: a new process serves an outdated configuration read from a stale
// service.
TEST_CASE("a new process without peers puts no configuration in force")
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

// Failure: daemons hold different documents under one version number, and no
// event reports it.
TEST_CASE("different documents under one version are reported")
{
    node_fleet fleet(9);
    fleet.run(seconds{2});
    fleet.nodes[3]->on_config_read(7, documents, fleet.now);
    fleet.nodes[4]->on_config_read(7, {{"base", "other"}}, fleet.now);
    fleet.run(seconds{5});
    CHECK(fleet.conflicts > 0);
}

// Failure: a daemon sends work to a target that another daemon has seen
// leaving.
TEST_CASE("a leaving target is reported to all daemons within a second")
{
    node_fleet fleet(9);
    fleet.run(seconds{1});
    fleet.nodes[2]->add_leaving_target("t1", fleet.now);
    fleet.run(seconds{1});
    CHECK(fleet.leaving.size() == 8);
}

// Failure: all daemons read the configuration service at the same time.
TEST_CASE("one daemon per failure domain and one more read the configuration")
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

// Failure: a draining daemon ends before its claims are stored.
TEST_CASE("a daemon with a granted claim is not drained")
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

// Guards against daemons that send a target calls without regard to the limit
// that it named to another daemon, or that keep the limit after its end.
TEST_CASE("a limit and its end are known to all daemons within three seconds")
{
    const std::uint32_t n = GENERATE(9, 60);
    node_fleet          fleet(n);
    fleet.run(seconds{2});
    const auto knowing = [&](std::optional<double> rate) {
        return std::count_if(fleet.limits.begin(), fleet.limits.end(),
                             [&](const auto& it) { return it.second == rate; });
    };
    fleet.nodes[2]->on_target_limit("t1", 1.5, milliseconds{5}, fleet.now);
    fleet.run(seconds{3});
    CHECK(knowing(1.5) == n);
    fleet.nodes[4]->on_target_limit("t1", 4, milliseconds{5}, fleet.now);
    fleet.run(seconds{3});
    CHECK(knowing(4) == n);
    // A new process hears of it.
    fleet.limits.erase(1);
    fleet.start(1);
    fleet.run(seconds{3});
    CHECK(knowing(4) == n);
    fleet.nodes[0]->on_target_limit("t1", {}, milliseconds{5}, fleet.now);
    fleet.run(seconds{3});
    CHECK(knowing({}) == n);
    CHECK(fleet.conflicts == 0);
}

// Guards against prompts that crash engines one after another, through daemons
// that see one of the crashes each, and against their refusal for ever.
TEST_CASE("all daemons refuse a prompt that crashes engines")
{
    const std::uint32_t slots = GENERATE(9U, 60U);
    node_fleet          fleet(slots);
    fleet.run(seconds{5});
    const auto call = [](std::uint64_t n) {
        static const std::string names[] = {"llm-1", "llm-2", "llm-3"};
        return prompt_call{"llm", names[n % 3], 77, n};
    };
    const auto refusing = [&] {
        return std::count_if(
            fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& it) {
                return it->prompt_refused(call(9), fleet.now).has_value();
            });
    };
    for (std::uint32_t n = 0; n < 3; ++n) {
        fleet.nodes[n * 2]->on_prompt_broken(call(n), fleet.now);
        fleet.run(milliseconds{300});
    }
    fleet.run(milliseconds{2500});
    CHECK(refusing() == slots);
    // Another prompt is served, and a daemon that starts learns of this one.
    CHECK_FALSE(
        fleet.nodes[1]->prompt_refused({"llm", "llm-1", 78, 1}, fleet.now));
    fleet.start(5);
    fleet.run(seconds{3});
    CHECK(refusing() == slots);
    // One daemon lets a trial pass after a minute, and its answer ends it.
    fleet.run(seconds{60});
    std::uint32_t trials = 0;
    for (std::uint32_t n = 0; n < slots; ++n) {
        if (fleet.nodes[n]->prompt_refused(call(20), fleet.now))
            continue;
        ++trials;
        fleet.run(milliseconds{100});
    }
    CHECK(trials == 1);
    fleet.nodes[3]->on_prompt_answered(call(21), fleet.now);
    fleet.run(seconds{3});
    CHECK(refusing() == 0);
}

// Guards against one end of an engine that counts several times: daemons that
// call it while it is down notice it at different times.
TEST_CASE("daemons count one end of an engine once")
{
    node_fleet fleet(9);
    fleet.run(seconds{5});
    // Other rounds begin at other moments of the daemons' clocks.
    for (std::uint64_t round = 0; round < 5; ++round) {
        for (std::uint32_t n = 0; n < 8; ++n) {
            const prompt_call call{"llm", n % 2 == 0 ? "llm-1" : "llm-2",
                                   80 + round, 10 * round + n,
                                   fleet.now - milliseconds{5}};
            fleet.nodes[n]->on_prompt_broken(call, fleet.now);
            fleet.run(milliseconds{400});
        }
        for (const auto& it : fleet.nodes)
            CHECK_FALSE(it->prompt_refused(
                {"llm", "llm-3", 80 + round, 99, fleet.now}, fleet.now));
        fleet.run(milliseconds{10'000 + 500});
    }
}

// Guards against prompts that are refused since their calls were sent to
// engines that were down already.
TEST_CASE("calls of engines that are down accuse no prompt")
{
    node_fleet fleet(9);
    fleet.run(seconds{5});
    const std::string names[] = {"llm-1", "llm-2", "llm-3"};
    const auto        fail    = [&](std::uint32_t node, std::uint64_t prefix,
                          const std::string& engine) {
        fleet.nodes[node]->on_prompt_broken(
                      {"llm", engine, prefix, prefix + node, fleet.now - milliseconds{5}},
                      fleet.now);
    };
    for (const auto& it : names)
        fail(0, 77, it);
    for (std::uint32_t n = 1; n < 7; ++n) {
        fleet.run(milliseconds{400});
        fail(n, 78, names[n % 3]);
    }
    fleet.run(milliseconds{1500});
    for (const auto& it : fleet.nodes)
        CHECK_FALSE(
            it->prompt_refused({"llm", "llm-4", 78, 99, fleet.now}, fleet.now));
}
