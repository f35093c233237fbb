#include "target_directory.hpp"
#include "target_gate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

target make_target(std::string id, std::int64_t started_at = 1)
{
    return {std::move(id), "s", "10.0.0.1:80", "d1", 8, false, started_at};
}

target_notice leaving()
{
    target_notice out;
    out.leaving = true;
    return out;
}

target_notice closed(int ms)
{
    target_notice out;
    out.closed_for = milliseconds{ms};
    return out;
}

/// Three targets of one service.
struct fixture
{
    fixture()
    {
        for (const auto* id : {"a", "b", "c"})
            all.put(make_target(id));
    }

    void hear(const std::string& id, const target_notice& it, int ms)
    {
        all.gate().hear(*all.find(id), it, at(ms));
    }

    std::set<std::string> open(int ms)
    {
        std::set<std::string> out;
        for (const auto* it : all.open("s", at(ms)))
            out.insert(it->id);
        return out;
    }

    std::optional<time_point> opens_at(int ms) const
    {
        return all.opens_at(all.usable("s"), at(ms));
    }

    target_directory all{milliseconds{2000}, target_gate{7}};
};

} // namespace

// Guards against work for a target that said that it leaves, while the
// published state names it ready.
TEST_CASE("a target that leaves by its own word gets no work", "[gateway]")
{
    fixture f;
    CHECK(f.open(0).size() == 3);
    f.hear("a", leaving(), 0);
    CHECK(f.open(0) == std::set<std::string>{"b", "c"});
    CHECK(f.all.gate().refuses(*f.all.find("a"), at(0)));
    // All daemons cut services by what is published.
    CHECK(f.all.usable("s").size() == 3);
    CHECK(f.all.gate().stats().leaving == 1);
    f.hear("a", leaving(), 10);
    CHECK(f.all.gate().stats().leaving == 1);
    f.hear("b", leaving(), 0);
    f.hear("c", leaving(), 0);
    CHECK(f.open(100'000).empty());
    CHECK_FALSE(f.opens_at(100'000));
}

// Guards against a list that was read from an older state, or from another
// daemon, and brings a leaving target back.
TEST_CASE("an older list does not bring a leaving target back", "[gateway]")
{
    fixture f;
    f.hear("a", leaving(), 0);
    f.all.put(make_target("a"));
    CHECK(f.open(1).count("a") == 0);
    f.all.replace_all({make_target("a"), make_target("b")}, at(2));
    CHECK(f.open(2) == std::set<std::string>{"b"});
    f.all.remove("a", at(3));
    f.all.gate().expire(at(4));
    f.all.put(make_target("a"));
    CHECK(f.open(5) == std::set<std::string>{"b"});
    // Also when no start is published.
    f.all.put(make_target("x", 0));
    f.hear("x", leaving(), 6);
    f.all.put(make_target("x", 0));
    CHECK(f.open(7).count("x") == 0);
}

// Guards against a target that gets no work after it has started again.
TEST_CASE("a new lifetime of a target gets work", "[gateway]")
{
    fixture    f;
    const auto old = *f.all.find("a");
    f.hear("a", leaving(), 0);
    f.hear("b", closed(60'000), 0);
    f.all.put(make_target("a", 2));
    f.all.put(make_target("b", 2));
    CHECK(f.open(1).size() == 3);
    // An answer of the earlier lifetime says nothing of this one.
    f.hear("a", closed(1), 2);
    f.all.gate().hear(old, leaving(), at(3));
    CHECK(f.open(10'000).count("a") == 1);
    // An older list is about the earlier lifetime.
    CHECK(f.all.gate().admits(make_target("b", 2), at(3)));
}

// Guards against requests to a target in the time in which it wants none.
TEST_CASE("a closed target gets no work until its time is over", "[gateway]")
{
    fixture f;
    f.hear("a", closed(1500), 0);
    CHECK(f.open(0) == std::set<std::string>{"b", "c"});
    CHECK(f.open(1499).count("a") == 0);
    CHECK(f.open(1500 + 375).count("a") == 1);
    CHECK(f.opens_at(0) == at(0));
    // A shorter time that is stated later does not shorten it.
    f.hear("b", closed(3000), 0);
    f.hear("b", closed(100), 500);
    CHECK(f.open(2999).count("b") == 0);
    f.hear("c", closed(0), 0);
    CHECK(f.open(0).count("c") == 1);
}

// Guards against requests that are held or sent on while no target wants any,
// and against a time to come back that does not hold.
TEST_CASE("the first opening of closed targets is known", "[gateway]")
{
    fixture f;
    f.hear("a", closed(5000), 0);
    f.hear("b", closed(2000), 0);
    f.hear("c", leaving(), 0);
    CHECK(f.open(0).empty());
    const auto opens = f.opens_at(0);
    REQUIRE(opens);
    CHECK(*opens >= at(2000));
    CHECK(*opens <= at(2500));
    const auto ms = static_cast<int>(
        std::chrono::ceil<milliseconds>(*opens - at(0)).count());
    CHECK(f.open(ms) == std::set<std::string>{"b"});
}

// Guards against a target that is closed for good by a damaged number.
TEST_CASE("a closure is bounded", "[gateway]")
{
    fixture f;
    f.hear("a", closed(2'000'000'000), 0);
    CHECK(f.open(600'000 + 500).count("a") == 1);
    target_notice bad;
    bad.unreadable_time = true;
    f.hear("b", bad, 0);
    CHECK(f.open(0).count("b") == 1);
    CHECK(f.all.gate().stats().unreadable == 1);
}

// Guards against a wave of requests at the end of a closure.
TEST_CASE("work comes back one call at a time after a closure", "[gateway]")
{
    fixture f;
    f.hear("a", closed(1000), 0);
    const auto& a     = *f.all.find("a");
    const auto  opens = *f.all.gate().opens_at(a, at(0));
    int         calls = 0;
    for (auto now = opens; now < opens + milliseconds{400};
         now += milliseconds{1}) {
        if (!f.all.gate().admits(a, now))
            continue;
        // Each of the others that wait finds it closed for a moment.
        ++calls;
        f.all.gate().sent("a", now);
        CHECK_FALSE(f.all.gate().admits(a, now));
        // The call itself goes on.
        CHECK_FALSE(f.all.gate().refuses(a, now));
    }
    CHECK(calls == 4);
    const auto over = opens + milliseconds{500};
    CHECK(f.all.gate().expire(over) == std::vector<std::string>{"a"});
    CHECK(f.all.gate().empty());
    f.all.gate().sent("a", over);
    CHECK(f.all.gate().admits(a, over));
}

// Guards against daemons that were turned away together and come back so.
TEST_CASE("closures end at different times at different daemons", "[gateway]")
{
    std::map<std::int64_t, int> ends;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        target_gate it(seed);
        it.hear(make_target("a"), closed(2000), at(0));
        const auto opens = it.opens_at(make_target("a"), at(0));
        REQUIRE(opens);
        ++ends[std::chrono::duration_cast<milliseconds>(*opens - at(2000))
                   .count() /
               100];
    }
    CHECK(ends.size() == 5);
    for (const auto& [part, n] : ends)
        CHECK(n < 40);
}

// Guards against a gate that keeps what is over, and forgets what is not.
TEST_CASE("what targets said is forgotten when it is over", "[gateway]")
{
    fixture f;
    f.hear("a", leaving(), 0);
    f.hear("b", closed(1000), 0);
    CHECK(f.all.gate().expire(at(1000)).empty());
    CHECK(f.all.gate().expire(at(2000)) == std::vector<std::string>{"b"});
    CHECK_FALSE(f.all.gate().empty());
    f.all.gate().expire(at(599'000));
    CHECK(f.open(599'000).count("a") == 0);
    f.all.gate().expire(at(600'000));
    CHECK(f.all.gate().empty());
}

// Guards against a series of notices after which a target gets work that it
// does not want.
TEST_CASE("no order of notices opens a target early", "[gateway]")
{
    rc::prop("a target is open only after all stated times", [] {
        target_gate  gate(*rc::gen::arbitrary<std::uint64_t>());
        std::int64_t lifetime = 2;
        int          now      = 0;
        int          until    = 0;
        bool         leaves   = false;
        const auto   steps    = *rc::gen::inRange(1, 40);
        for (int n = 0; n < steps; ++n) {
            now += *rc::gen::inRange(0, 700);
            const auto it = make_target("a", lifetime);
            switch (*rc::gen::inRange(0, 5)) {
            case 0: {
                const auto ms = *rc::gen::inRange(1, 3000);
                gate.hear(it, closed(ms), at(now));
                until = std::max(until, now + ms);
                break;
            }
            case 1:
                if (*rc::gen::inRange(0, 4) == 0) {
                    gate.hear(it, leaving(), at(now));
                    leaves = true;
                }
                break;
            case 2:
                gate.expire(at(now));
                break;
            case 3:
                if (*rc::gen::inRange(0, 4) == 0) {
                    ++lifetime;
                    until  = 0;
                    leaves = false;
                }
                break;
            default:
                gate.hear(make_target("a", lifetime - 1), leaving(), at(now));
                break;
            }
            if (gate.admits(make_target("a", lifetime), at(now))) {
                RC_ASSERT(now >= until);
                RC_ASSERT(!leaves);
                gate.sent("a", at(now));
            }
            const auto opens =
                gate.opens_at(make_target("a", lifetime), at(now));
            RC_ASSERT(opens.has_value() == !leaves);
        }
    });
}
