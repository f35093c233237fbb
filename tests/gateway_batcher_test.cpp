#include "stage_batcher.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

stage_limits make_limits()
{
    stage_limits out;
    out.slots            = 1;
    out.queue            = 2;
    out.batch            = 10;
    out.call_time        = milliseconds{150};
    out.piece_time       = milliseconds{10};
    out.result_memory    = 1'000'000;
    out.result_retention = milliseconds{4000};
    return out;
}

piece_group make_group(std::uint64_t id, std::uint32_t count, int goal,
                       int limit)
{
    piece_group out;
    out.id    = id;
    out.count = count;
    out.goal  = at(goal);
    out.limit = at(limit);
    return out;
}

struct fixture
{
    std::vector<target>        all{{"a", "s", "10.0.0.1:1", "d1", 1, false, 0},
                            {"b", "s", "10.0.0.2:1", "d2", 1, false, 0}};
    std::vector<const target*> one{&all[0]};
    std::vector<const target*> two{&all[0], &all[1]};
    stage_batcher              batcher{make_limits()};

    void finish(const stage_call& call, int ms,
                piece_outcome outcome       = piece_outcome::made,
                bool          target_failed = false)
    {
        batcher.finish(call.id,
                       std::vector<piece_outcome>(call.pieces.size(), outcome),
                       target_failed, at(ms));
    }
};

std::set<std::uint64_t> groups_of(const stage_call& it)
{
    std::set<std::uint64_t> out;
    for (const auto& piece : it.pieces)
        out.insert(piece.group);
    return out;
}

} // namespace

// Guards against calls that wait for more pieces while a target is idle, and
// against sending a target more calls than it has slots.
TEST_CASE("a free target gets the waiting pieces, a busy one gets none",
          "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 3, 1000, 3000), at(0));
    const auto call = f.batcher.next(f.one, at(0));
    REQUIRE(call);
    CHECK(call->pieces.size() == 3);
    CHECK(call->expected == milliseconds{180});
    f.batcher.add(make_group(2, 12, 1000, 3000), at(1));
    CHECK_FALSE(f.batcher.next(f.one, at(1)));
    f.finish(*call, 180);
    const auto next = f.batcher.next(f.one, at(180));
    REQUIRE(next);
    CHECK(next->pieces.size() == 10);
}

// Guards against pieces that are lost or processed twice, over many random
// calls, failures and overdue calls.
TEST_CASE("each piece is processed once or its group expires", "[gateway]")
{
    std::mt19937_64 random(2026);
    for (int round = 0; round < 50; ++round) {
        fixture                                     f;
        std::map<std::uint64_t, std::set<unsigned>> made;
        std::vector<std::pair<stage_call, int>>     open;
        std::uint64_t                               id = 0;
        std::set<std::uint64_t>                     ended;
        for (int ms = 0; ms < 6000; ms += 20) {
            if (ms < 2000 && random() % 3 == 0)
                f.batcher.add(
                    make_group(++id, 1 + random() % 14, ms + 900, ms + 3000),
                    at(ms));
            for (const auto n : f.batcher.expire(at(ms)))
                ended.insert(n);
            for (auto call = f.batcher.next(f.two, at(ms)); call;
                 call      = f.batcher.next(f.two, at(ms)))
                open.emplace_back(*call, ms + 100 + random() % 900);
            f.batcher.overdue(at(ms));
            for (auto it = open.begin(); it != open.end();) {
                if (it->second > ms) {
                    ++it;
                    continue;
                }
                const bool failed = random() % 5 == 0;
                for (const auto& piece : it->first.pieces) {
                    if (!failed)
                        made[piece.group].insert(piece.piece);
                }
                f.finish(it->first, ms,
                         failed ? piece_outcome::retry : piece_outcome::made,
                         failed);
                it = open.erase(it);
            }
        }
        for (std::uint64_t n = 1; n <= id; ++n) {
            INFO("round " << round << " group " << n);
            CHECK((ended.contains(n) || !made[n].empty()));
        }
        CHECK(f.batcher.state(2, at(6000)).waiting == 0);
    }
}

// Guards against requests on time that become late behind requests that are
// already late: with more work than capacity, all would be late.
TEST_CASE("groups on time go before late groups", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 10, 100, 5000), at(0)); // Cannot meet its goal.
    f.batcher.add(make_group(2, 10, 900, 5000), at(0));
    f.batcher.add(make_group(3, 10, 700, 5000), at(0));
    const auto first = f.batcher.next(f.one, at(0));
    CHECK(groups_of(*first) == std::set<std::uint64_t>{3});
    f.finish(*first, 250);
    const auto second = f.batcher.next(f.one, at(250));
    CHECK(groups_of(*second) == std::set<std::uint64_t>{2});
    f.finish(*second, 500);
    CHECK(groups_of(*f.batcher.next(f.one, at(500))) ==
          std::set<std::uint64_t>{1});
}

// Guards against an urgent route that waits behind a less urgent one with about
// the same goal.
TEST_CASE("a more urgent priority goes first", "[gateway]")
{
    fixture f;
    auto    low = make_group(1, 10, 900, 5000);
    low.rank    = 2;
    auto high   = make_group(2, 10, 1100, 5000);
    high.rank   = 0;
    f.batcher.add(low, at(0));
    f.batcher.add(high, at(0));
    CHECK(groups_of(*f.batcher.next(f.one, at(0))) ==
          std::set<std::uint64_t>{2});
}

// A burst of 1.4 times the capacity for 6 s. Guards against a queue order that
// makes most requests late although the capacity suffices for most of them.
TEST_CASE("in a burst most groups that can be on time are on time", "[gateway]")
{
    fixture                                 f;
    std::mt19937_64                         random(7);
    std::uint64_t                           id = 0;
    std::map<std::uint64_t, int>            goals;
    std::map<std::uint64_t, int>            missing;
    int                                     on_time = 0;
    std::vector<std::pair<stage_call, int>> open;
    for (int ms = 0; ms < 8000; ms += 5) {
        // Two targets process 80 pieces per second; 28 groups of 4 pieces
        // arrive per second.
        if (ms < 6000 && random() % 1000 < 140) {
            f.batcher.add(make_group(++id, 4, ms + 900, ms + 4000), at(ms));
            goals[id]   = ms + 900;
            missing[id] = 4;
        }
        for (auto it = open.begin(); it != open.end();) {
            if (it->second > ms) {
                ++it;
                continue;
            }
            for (const auto& piece : it->first.pieces) {
                if (--missing[piece.group] == 0 && ms <= goals[piece.group])
                    ++on_time;
            }
            f.finish(it->first, ms);
            it = open.erase(it);
        }
        f.batcher.expire(at(ms));
        for (auto call = f.batcher.next(f.two, at(ms)); call;
             call      = f.batcher.next(f.two, at(ms)))
            open.emplace_back(
                     *call, ms + static_cast<int>(call->expected.count() / 1000));
    }
    // The capacity suffices for 1/1.4 of the groups; a tenth of them may be
    // late, as the arrivals are random.
    CHECK(on_time >= 0.9 * static_cast<double>(id) / 1.4);
}

// Guards against calls whose results do not fit into a target's result memory;
// their work would be wasted.
TEST_CASE("result memory limits a call and is freed", "[gateway]")
{
    fixture f;
    auto    it      = make_group(1, 10, 1000, 3000);
    it.result_bytes = 300'000;
    f.batcher.add(it, at(0));
    const auto call = f.batcher.next(f.one, at(0));
    CHECK(call->pieces.size() == 3);
    f.finish(*call, 180);
    CHECK_FALSE(f.batcher.next(f.one, at(180)));
    f.batcher.released("a", 300'000, at(500));
    f.batcher.released("a", 300'000, at(500));
    CHECK(f.batcher.next(f.one, at(181))->pieces.size() == 2);
    // The remaining results expire.
    CHECK(f.batcher.next(f.two, at(4001)));
}

// Guards against repeated calls whose results do not fit because the target
// holds results unknown to this owner, such as those of an owner that died.
TEST_CASE("a target with full result memory gets work as results are released",
          "[gateway]")
{
    fixture f;
    auto    it      = make_group(1, 2, 5000, 9000);
    it.result_bytes = 100'000;
    f.batcher.add(it, at(0));
    const auto first = f.batcher.next(f.one, at(0));
    REQUIRE(first);
    f.finish(*first, 200);
    // Results are held for 0.5 s.
    f.batcher.released("a", 100'000, at(500));
    f.batcher.released("a", 100'000, at(500));
    it.id    = 2;
    it.count = 10;
    f.batcher.add(it, at(500));
    const auto call = f.batcher.next(f.one, at(500));
    REQUIRE(call->pieces.size() == 10);
    // Two of ten results fit.
    std::vector<piece_outcome> out(10, piece_outcome::no_room);
    out[0] = out[1] = piece_outcome::made;
    f.batcher.finish(call->id, out, false, at(700));
    CHECK_FALSE(f.batcher.next(f.one, at(900)));
    f.batcher.released("a", 100'000, at(900));
    f.batcher.released("a", 100'000, at(900));
    const auto next = f.batcher.next(f.one, at(900));
    REQUIRE(next);
    CHECK(next->pieces.size() == 2);
    f.finish(*next, 1100);
    // By then, the results of other owners count as released, after the mean
    // held time of this owner's results.
    const auto last = f.batcher.next(f.one, at(1250));
    REQUIRE(last);
    CHECK(last->pieces.size() == 6);
}

// Guards against admitting a burst of large results because only the time of
// calls is counted: it waits for result memory until its callers disconnect.
TEST_CASE("the wait for result memory is reported and counted", "[gateway]")
{
    fixture f;
    auto    it      = make_group(1, 10, 5000, 9000);
    it.result_bytes = 100'000;
    f.batcher.add(it, at(0));
    const auto call = f.batcher.next(f.one, at(0));
    REQUIRE(call->pieces.size() == 10);
    f.finish(*call, 250);
    // Results are held for 2 s from the start of their call.
    for (int n = 0; n < 10; ++n)
        f.batcher.released("a", 100'000, at(2000));
    it.id = 2;
    f.batcher.add(it, at(2000));
    REQUIRE(f.batcher.next(f.one, at(2000)));
    it.id = 3;
    CHECK(f.batcher.expected_done(it, 1, at(2000)) == at(2000 + 2000 + 250));
    f.batcher.add(it, at(2000));
    CHECK(f.batcher.state(1, at(2000)).room == seconds{2});
    CHECK(f.batcher.state(1, at(2000)).on_time < milliseconds{500});
    it.id = 4;
    CHECK(f.batcher.expected_done(it, 1, at(2000)) == at(2000 + 4000 + 250));
    // Small results do not wait for result memory.
    it.result_bytes = 100;
    CHECK(f.batcher.expected_done(it, 1, at(2000)) < at(3000));
}

// Guards against result memory that stays reserved for pieces without results,
// and against an immediate second call to a full target.
TEST_CASE("pieces refused for full result memory are retried later",
          "[gateway]")
{
    fixture f;
    auto    it      = make_group(1, 3, 1000, 3000);
    it.result_bytes = 300'000;
    f.batcher.add(it, at(0));
    const auto call = f.batcher.next(f.one, at(0));
    f.finish(*call, 150, piece_outcome::no_room);
    CHECK(f.batcher.state(1, at(150)).waiting == 3);
    CHECK_FALSE(f.batcher.next(f.one, at(200)));
    CHECK(f.batcher.next(f.one, at(301))->pieces.size() == 3);
}

// Guards against learning a fast target and short pieces from a call that was
// dropped before it was sent.
TEST_CASE("a call that was not sent changes no estimates", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 5, 1000, 3000), at(0));
    const auto call = f.batcher.next(f.one, at(0));
    REQUIRE(call);
    f.batcher.abandon(call->id);
    CHECK(f.batcher.state(1, at(0)).waiting == 5);
    CHECK(f.batcher.state(1, at(0)).calls == 0);
    const auto again = f.batcher.next(f.one, at(0));
    REQUIRE(again);
    CHECK(again->pieces.size() == 5);
    CHECK(again->expected == call->expected);
    CHECK(again->room == call->room);
    // The same holds for a call that was already overdue.
    CHECK(f.batcher.overdue(at(1000)).size() == 1);
    f.batcher.abandon(again->id);
    CHECK(f.batcher.state(1, at(1000)).waiting == 5);
}

// Guards against pieces that wait for a target that hangs or is unreachable.
TEST_CASE("pieces of an overdue call go to another target", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 5, 1000, 3000), at(0));
    const auto call = f.batcher.next(f.one, at(0));
    CHECK(f.batcher.overdue(at(700)).empty());
    CHECK(f.batcher.overdue(at(801)) == std::vector<std::uint64_t>{call->id});
    CHECK(f.batcher.overdue(at(802)).empty());
    const auto again = f.batcher.next(f.two, at(802));
    REQUIRE(again);
    CHECK(again->target == "b");
    CHECK(again->pieces.size() == 5);
    // The late end of the first call requeues nothing.
    f.finish(*call, 900, piece_outcome::retry, true);
    CHECK(f.batcher.state(2, at(900)).waiting == 0);
}

// Guards against a target that stays idle for seconds because its response was
// lost in transit and its call still counts as running.
TEST_CASE("a target with an overdue call gets work after a pause", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 5, 9000, 9000), at(0));
    const auto call = f.batcher.next(f.one, at(0));
    REQUIRE(call);
    REQUIRE(f.batcher.overdue(at(801)).size() == 1);
    CHECK_FALSE(f.batcher.next(f.one, at(1000)));
    const auto again = f.batcher.next(f.one, at(1002));
    REQUIRE(again);
    CHECK(again->pieces.size() == 5);
    // The end of the first call does not free a second slot.
    f.batcher.add(make_group(2, 5, 9000, 9000), at(1010));
    f.finish(*call, 1010, piece_outcome::retry, true);
    CHECK_FALSE(f.batcher.next(f.one, at(1100)));
    f.finish(*again, 1200);
    CHECK(f.batcher.next(f.one, at(1200)));
}

// Guards against sending call after call to a failing target.
TEST_CASE("a failing target pauses, longer each time", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 5, 9000, 9000), at(0));
    auto call = f.batcher.next(f.one, at(0));
    f.finish(*call, 1, piece_outcome::retry, true);
    CHECK_FALSE(f.batcher.next(f.one, at(200)));
    call = f.batcher.next(f.one, at(202));
    REQUIRE(call);
    f.finish(*call, 203, piece_outcome::retry, true);
    CHECK_FALSE(f.batcher.next(f.one, at(602)));
    CHECK(f.batcher.next(f.one, at(604)));
}

// Guards against reading inputs from another failure domain although a target
// in their own domain becomes free a moment later.
TEST_CASE("groups wait briefly for a target in the domain of their inputs",
          "[gateway]")
{
    fixture f;
    auto    it        = make_group(1, 5, 2000, 3000);
    it.failure_domain = "d2";
    f.batcher.add(it, at(0));
    CHECK_FALSE(f.batcher.next(f.one, at(100)));
    CHECK(f.batcher.next(f.two, at(100))->target == "b");
    it.id = 2;
    f.batcher.add(it, at(200));
    CHECK_FALSE(f.batcher.next(f.one, at(300)));
    CHECK(f.batcher.next(f.one, at(321))->target == "a");
}

// Guards against results that cross failure domains in a saturated service,
// where every group waits longer than the short wait for a local target, and
// against calls filled with groups from other domains.
TEST_CASE("groups stay in the domain of their inputs in a saturated service",
          "[gateway]")
{
    fixture f;
    auto    remote        = make_group(1, 10, 5000, 9000);
    remote.failure_domain = "d2";
    f.batcher.add(remote, at(0));
    auto local           = make_group(2, 4, 6000, 9000);
    local.failure_domain = "d1";
    f.batcher.add(local, at(0));
    auto urgent           = make_group(3, 3, 700, 9000);
    urgent.failure_domain = "d2";
    f.batcher.add(urgent, at(0));
    const auto call = f.batcher.next(f.two, at(300));
    REQUIRE(call);
    CHECK(call->target == "a");
    CHECK(groups_of(*call) == std::set<std::uint64_t>{2, 3});
}

// Guards against expected times that stay wrong when calls hold pieces of
// several kinds, so that groups wrongly count as late.
TEST_CASE("times of pieces are learned from mixed calls", "[gateway]")
{
    fixture       f;
    std::uint64_t id = 0;
    int           ms = 0;
    // Pieces of kind 1 take 4 ms, those of kind 2 the configured 10 ms.
    for (int round = 0; round < 300; ++round) {
        for (const std::uint32_t kind : {1, 2}) {
            auto it = make_group(++id, kind == 1 ? 1 + round % 4 : 3,
                                 ms + 60'000, ms + 90'000);
            it.kind = kind;
            f.batcher.add(it, at(ms));
        }
        auto call = f.batcher.next(f.one, at(ms));
        for (int n = 0; !call && n < 20; ++n)
            call = f.batcher.next(f.one,
                                  at(ms += 20)); // It waits for more pieces.
        REQUIRE(call);
        int duration = 150;
        for (const auto& piece : call->pieces)
            duration += piece.kind == 1 ? 4 : 10;
        ms += duration;
        f.finish(*call, ms);
        f.batcher.released("a", 0, at(ms));
    }
    auto group = make_group(++id, 10, ms + 60'000, ms + 90'000);
    group.kind = 1;
    f.batcher.add(group, at(ms));
    const auto call = f.batcher.next(f.one, at(ms + 500));
    REQUIRE(call);
    CHECK(call->expected < milliseconds{220});
    CHECK(call->expected > milliseconds{180});
}

// Guards against calls of a few pieces that occupy a target for the duration of
// a whole call while the service is saturated and more pieces keep arriving.
TEST_CASE("a saturated service makes no small calls", "[gateway]")
{
    fixture       f;
    std::uint64_t id = 0;
    for (int ms = 0; ms < 1000; ms += 10)
        f.batcher.add(make_group(++id, 1, ms + 60'000, ms + 90'000), at(ms));
    while (auto call = f.batcher.next(f.two, at(1000)))
        f.finish(*call, 1000);
    f.batcher.add(make_group(++id, 1, 61'000, 91'000), at(1010));
    CHECK_FALSE(f.batcher.next(f.two, at(1010)));
    const auto deadline = f.batcher.wake_at(at(1010));
    CHECK(deadline > at(1050));
    CHECK(deadline <= at(1100));
    SECTION("the call waits no longer than until the next target is free")
    {
        CHECK(f.batcher.next(f.two, deadline + milliseconds{50}));
    }
    SECTION("the call starts when enough pieces have arrived")
    {
        f.batcher.add(make_group(++id, 9, 61'000, 91'000), at(1020));
        CHECK(f.batcher.next(f.two, at(1020)));
    }
}

// Guards against pieces that wait for more pieces although targets are idle.
TEST_CASE("a service with little load makes small calls", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 1, 60'000, 90'000), at(0));
    CHECK(f.batcher.next(f.two, at(0)));
}

// Guards against groups that stay in the queue after their callers have
// disconnected.
TEST_CASE("cancelled and expired groups leave the queue", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 5, 1000, 3000), at(0));
    f.batcher.add(make_group(2, 5, 1000, 300), at(0));
    f.batcher.cancel(1);
    CHECK(f.batcher.state(1, at(0)).waiting == 5);
    CHECK(f.batcher.expire(at(300)) == std::vector<std::uint64_t>{2});
    CHECK_FALSE(f.batcher.next(f.one, at(300)));
}

// Guards against admission decisions for groups on time that count the queue of
// late groups.
TEST_CASE("late groups do not delay groups on time", "[gateway]")
{
    fixture f;
    for (std::uint64_t n = 1; n <= 10; ++n)
        f.batcher.add(make_group(n, 10, 0, 60'000), at(0));
    const auto state = f.batcher.state(2, at(500));
    CHECK(state.on_time == microseconds{0});
    CHECK(state.all >= milliseconds{1250});
    const auto on_time = make_group(11, 10, 1500, 3000);
    CHECK(f.batcher.expected_done(on_time, 2, at(500)) <= at(800));
    const auto late = make_group(12, 10, 0, 70'000);
    CHECK(f.batcher.expected_done(late, 2, at(500)) >= at(1750));
}

// A load above the capacity for 12 s. Guards against late groups that wait
// until their limit in a queue that never reaches them.
TEST_CASE("late groups that cannot be completed are dropped early", "[gateway]")
{
    fixture                                 f;
    std::mt19937_64                         random(7);
    std::uint64_t                           id = 0;
    std::map<std::uint64_t, int>            arrived;
    std::map<std::uint64_t, int>            missing;
    std::vector<int>                        held;
    int                                     on_time = 0;
    int                                     made    = 0;
    std::vector<std::pair<stage_call, int>> open;
    for (int ms = 0; ms < 20'000; ms += 5) {
        // Two targets process 80 pieces per second; 30 groups of 4 pieces
        // arrive per second.
        if (ms < 12'000 && random() % 1000 < 150) {
            const auto it = make_group(++id, 4, ms + 900, ms + 5000);
            arrived[id]   = ms;
            missing[id]   = 4;
            if (f.batcher.expected_done(it, 2, at(ms)) <= it.limit)
                f.batcher.add(it, at(ms));
            else
                held.push_back(0);
        }
        for (auto it = open.begin(); it != open.end();) {
            if (it->second > ms) {
                ++it;
                continue;
            }
            for (const auto& piece : it->first.pieces) {
                if (--missing[piece.group] > 0)
                    continue;
                ++made;
                on_time += ms <= arrived[piece.group] + 900 ? 1 : 0;
            }
            f.finish(it->first, ms);
            it = open.erase(it);
        }
        for (const auto group : f.batcher.expire(at(ms)))
            held.push_back(ms - arrived[group]);
        if (ms % 50 == 0) {
            for (const auto group : f.batcher.drop_unmeetable(2, at(ms)))
                held.push_back(ms - arrived[group]);
        }
        for (auto call = f.batcher.next(f.two, at(ms)); call;
             call      = f.batcher.next(f.two, at(ms)))
            open.emplace_back(
                     *call, ms + static_cast<int>(call->expected.count() / 1000));
    }
    REQUIRE_FALSE(held.empty());
    std::sort(held.begin(), held.end());
    INFO("groups " << id << " on time " << on_time << " made " << made
                   << " held median " << held[held.size() / 2]
                   << " 90th percentile " << held[held.size() * 9 / 10]);
    // Half of the time from the goal to the limit.
    CHECK(held[held.size() * 9 / 10] < 900 + 2050);
    CHECK(on_time >= 0.9 * 20 * 12);
    CHECK(f.batcher.state(2, at(20'000)).waiting == 0);
}

// Guards against orders that wait for their limit in a domain that is
// evacuated, and against dropping those whose calls still run there.
TEST_CASE("only groups with waiting pieces are dropped", "[gateway]")
{
    fixture f;
    f.batcher.add(make_group(1, 10, 5000, 9000), at(0));
    REQUIRE(f.batcher.next(f.one, at(0)));
    f.batcher.add(make_group(2, 3, 5000, 9000), at(10));
    CHECK(f.batcher.drop_waiting() == std::vector<std::uint64_t>{2});
    CHECK(f.batcher.drop_waiting().empty());
    CHECK(f.batcher.state(1, at(20)).waiting == 0);
    CHECK(f.batcher.state(1, at(20)).calls == 1);
}
