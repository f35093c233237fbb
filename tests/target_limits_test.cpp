#include "target_limits.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + std::chrono::hours{1} + milliseconds{ms};
}

target make_target(std::int64_t started_at = 1)
{
    return {"a", "s", "10.0.0.1:80", "d1", 8, false, started_at};
}

target_notice limit(std::optional<double> calls)
{
    target_notice notice;
    notice.call_limit = calls;
    return notice;
}

target_notice unreadable()
{
    target_notice notice;
    notice.unreadable_limit = true;
    return notice;
}

} // namespace

// Guards against a limit that is not noticed, that outlives its end, or that is
// kept after the target named another one.
TEST_CASE("a target's limit is known until a response ends it", "[gateway]")
{
    target_limits it;
    const auto    a = make_target();
    CHECK(it.apply(a, limit({}), at(0), at(0)) == limit_change::none);
    CHECK(it.empty());
    CHECK(it.apply(a, limit(1.6), at(0), at(0)) == limit_change::named);
    CHECK(it.apply(a, limit(1.6), at(1000), at(1000)) == limit_change::none);
    REQUIRE(it.find(a, at(0)));
    CHECK(it.find(a, at(0))->rate == 1.6);
    CHECK(it.apply(a, limit(5), at(2000), at(2000)) == limit_change::changed);
    CHECK(it.find(a, at(0))->rate == 5);
    CHECK(it.apply(a, limit({}), at(3000), at(3000)) == limit_change::ended);
    CHECK_FALSE(it.find(a, at(0)));
    CHECK(it.size() == 0);
    CHECK(it.apply(a, limit(2), at(4000), at(4000)) == limit_change::named);
    CHECK(it.stats().named == 2);
    CHECK(it.stats().changed == 1);
    CHECK(it.stats().ended == 1);
}

// Guards against a limit that an unreadable text ends or changes.
TEST_CASE("an unreadable limit changes nothing", "[gateway]")
{
    target_limits it;
    CHECK(it.apply(make_target(), unreadable(), at(0), at(0)) ==
          limit_change::none);
    CHECK(it.empty());
    it.apply(make_target(), limit(3), at(1000), at(1000));
    CHECK(it.apply(make_target(), unreadable(), at(9000), at(9000)) ==
          limit_change::none);
    REQUIRE(it.find(make_target(), at(0)));
    CHECK(it.find(make_target(), at(0))->rate == 3);
    CHECK(it.stats().unreadable == 2);
}

// A limit of zero is one; a limit above all that a fleet can send is none.
TEST_CASE("zero is a limit and a huge number is none", "[gateway]")
{
    target_limits it;
    CHECK(it.apply(make_target(), limit(1e300), at(0), at(0)) ==
          limit_change::none);
    CHECK(it.apply(make_target(), limit(0), at(1000), at(1000)) ==
          limit_change::named);
    CHECK(it.find(make_target(), at(0))->rate == 0);
    CHECK(it.apply(make_target(), limit(1e300), at(2000), at(2000)) ==
          limit_change::ended);
}

// Guards against a limit of an earlier lifetime that holds back a target after
// its restart, or that a late response of that lifetime brings back.
TEST_CASE("a limit belongs to one lifetime of a target", "[gateway]")
{
    target_limits it;
    it.apply(make_target(1), limit(1), at(0), at(0));
    CHECK_FALSE(it.find(make_target(2), at(0)));
    CHECK(it.apply(make_target(2), limit(4), at(1000), at(1000)) ==
          limit_change::named);
    CHECK(it.apply(make_target(1), limit(1), at(2000), at(2000)) ==
          limit_change::none);
    CHECK(it.find(make_target(2), at(0))->rate == 4);
    CHECK(it.merge({"a", 1, 0.5, at(2500)}, at(2500)) == limit_change::none);
    CHECK(it.find(make_target(2), at(0))->rate == 4);
}

// Guards against responses that overtake each other: a response that was made
// before the limit was named arrives just after one that names it.
TEST_CASE("of two close reports the lower limit holds", "[gateway]")
{
    const auto    order = GENERATE(0, 1);
    target_limits it;
    it.apply(make_target(), limit(9), at(0), at(0));
    if (order == 0) {
        it.apply(make_target(), limit(2), at(1000), at(1000));
        it.apply(make_target(), limit({}), at(1100), at(1100));
        CHECK(it.merge({"a", 1, 9, at(1100)}, at(1150)) == limit_change::none);
    }
    else {
        it.apply(make_target(), limit({}), at(1100), at(1100));
        it.merge({"a", 1, 2, at(1000)}, at(1150));
    }
    REQUIRE(it.find(make_target(), at(0)));
    CHECK(it.find(make_target(), at(0))->rate == 2);
    CHECK(it.apply(make_target(), limit({}), at(1300), at(1300)) ==
          limit_change::ended);
}

// Guards against an old report of another daemon that brings an ended limit
// back or ends a newer one.
TEST_CASE("an old report does not change a limit", "[gateway]")
{
    target_limits it;
    it.apply(make_target(), limit(2), at(0), at(0));
    it.apply(make_target(), limit({}), at(10'000), at(10'000));
    CHECK(it.merge({"a", 1, 2, at(9000)}, at(10'500)) == limit_change::none);
    CHECK_FALSE(it.find(make_target(), at(0)));
    // A daemon that was cut off reports what it knew when the end is forgotten.
    it.expire(at(80'000));
    CHECK(it.empty());
    CHECK(it.merge({"a", 1, 2, at(9000)}, at(80'000)) == limit_change::none);
    CHECK(it.empty());
    CHECK(it.merge({"a", 1, 2, at(79'000)}, at(80'000)) == limit_change::named);
    CHECK(it.merge({"a", 1, {}, at(78'000)}, at(80'000)) == limit_change::none);
    CHECK(it.merge({"a", 1, {}, at(79'900)}, at(80'000)) ==
          limit_change::ended);
}

// Guards against messages that grow with the number of limited targets, and
// against limits that are never reported since others changed meanwhile.
TEST_CASE("messages report changes first and all limits in turn", "[gateway]")
{
    target_limits it;
    for (int n = 0; n < 40; ++n)
        it.merge({"t" + std::to_string(n), 1, 1, at(0)}, at(0));
    it.merge({"new", 1, 1, at(5000)}, at(5000));
    std::map<std::string, int> reported;
    for (int n = 0; n < 8; ++n) {
        const auto list = it.reports(6, at(5000 + n));
        CHECK(list.size() == 6);
        for (const auto& limit : list)
            ++reported[limit.target];
    }
    CHECK(reported.size() == 41);
    CHECK(reported["new"] == 8);
}

// Guards against memory that grows with the targets that were ever limited.
TEST_CASE("the number of remembered limits is bounded", "[gateway]")
{
    target_limit_params params;
    params.max_entries = 3;
    target_limits it(params);
    for (int n = 0; n < 5; ++n)
        it.merge({"t" + std::to_string(n), 1, 1, at(n)}, at(n));
    CHECK(it.size() == 3);
    CHECK_FALSE(it.latest("t1"));
    CHECK(it.latest("t4"));
    it.expire(at(700'000));
    CHECK(it.empty());
}

// Guards against work for a target during the time for which another daemon
// said that it takes none.
TEST_CASE("a held target opens at the stated time", "[gateway]")
{
    target_limits it;
    it.apply(make_target(), limit(1), at(0), at(0));
    it.hold("a", at(800));
    CHECK(it.opens_at(make_target(), at(100)) == at(800));
    CHECK(it.opens_at(make_target(), at(900)) == at(900));
    CHECK(it.opens_at(make_target(2), at(100)) == at(100));
    it.apply(make_target(), limit({}), at(500), at(500));
    CHECK(it.opens_at(make_target(), at(500)) == at(500));
}

// Guards against a response that a slow link delays: it was made before the
// limit was named and arrives long after.
TEST_CASE("a late response without a limit does not end it", "[gateway]")
{
    target_limits it;
    const auto    a = make_target();
    it.apply(a, limit(2), at(900), at(1000));
    CHECK(it.apply(a, limit({}), at(700), at(5000)) == limit_change::none);
    CHECK(it.apply(a, limit(50), at(1100), at(5000)) == limit_change::none);
    REQUIRE(it.find(a, at(0)));
    CHECK(it.find(a, at(0))->rate == 2);
    CHECK(it.apply(a, limit({}), at(1300), at(5100)) == limit_change::ended);
}

// Guards against a cold limit that a response without a named limit ends, that
// replaces a lower named one, or that does not end by itself.
TEST_CASE("the lower one of the named limit and the cold limit is in force",
          "[gateway][cold]")
{
    target_limits            it;
    std::vector<std::string> log;
    it.on_cold([&](const std::string& id, const cold_period* period) {
        log.push_back(id + (period ? " cold" : " warm"));
    });
    const auto a = make_target();
    it.set_cold("a", {1, 15, at(3000)}, at(0));
    CHECK_FALSE(it.empty());
    REQUIRE(it.find(a, at(0)));
    CHECK(it.find(a, at(0))->rate == 15);
    CHECK(it.size() == 0);
    CHECK(it.reports(10, at(0)).empty());
    it.apply(a, limit({}), at(100), at(100));
    CHECK(it.find(a, at(100)));
    it.apply(a, limit(2), at(200), at(200));
    CHECK(it.find(a, at(200))->rate == 2);
    it.apply(a, limit(40), at(900), at(900));
    CHECK(it.find(a, at(900))->rate == 15);
    it.hold("a", at(1500));
    CHECK(it.opens_at(a, at(900)) == at(1500));
    CHECK(it.find(a, at(2999))->rate == 15);
    CHECK(it.find(a, at(3000))->rate == 40);
    it.expire(at(3000));
    CHECK(log == std::vector<std::string>{"a cold", "a warm"});
    CHECK(it.stats().turned_cold == 1);
    CHECK(it.stats().turned_warm == 1);
}

// Guards against an older entry that shortens a cold time, and against a cold
// time of an earlier lifetime that holds back a target after its restart.
TEST_CASE("a cold time is only lengthened, and belongs to one lifetime",
          "[gateway][cold]")
{
    target_limits it;
    it.set_cold("a", {2, 15, at(3000)}, at(0));
    it.set_cold("a", {2, 15, at(1000)}, at(100));
    it.set_cold("a", {1, 15, at(9000)}, at(100));
    CHECK(it.find(make_target(2), at(2999)));
    CHECK(it.find(make_target(1), at(2999)));
    CHECK_FALSE(it.find(make_target(3), at(100)));
    CHECK_FALSE(it.find(make_target(2), at(3000)));
    it.set_cold("a", {3, 15, at(5000)}, at(3500));
    CHECK(it.find(make_target(3), at(4000)));
    CHECK(it.cold_size(at(4000)) == 1);
    CHECK(it.cold_size(at(5000)) == 0);
    CHECK(it.stats().turned_cold == 2);
}
