#include "target_picker.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

/// Three targets in two failure domains.
struct fixture
{
    std::vector<target>        all{{"a", "s", "10.0.0.1:1", "d1", 10, false, 0},
                            {"b", "s", "10.0.0.2:1", "d1", 10, false, 0},
                            {"c", "s", "10.0.0.3:1", "d2", 10, false, 0}};
    std::vector<const target*> list{&all[0], &all[1], &all[2]};
    target_picker              it{42};

    std::string pick(int ms, pick_hints hints = {})
    {
        const auto* out = it.pick(list, hints, at(ms));
        return out ? out->id : "";
    }

    std::map<std::string, int> picks(int ms, int n)
    {
        std::map<std::string, int> out;
        for (int k = 0; k < n; ++k)
            ++out[pick(ms)];
        return out;
    }

    void call(const std::string& id, int from, int to, call_outcome how)
    {
        const auto n = it.start(id, 0, at(from));
        if (how == call_outcome::done)
            it.answered(id, n, at(to));
        it.finish(id, n, how, at(to));
    }
};

} // namespace

// Guards against one target that gets the work of all.
TEST_CASE("equal targets share the work and open calls count", "[gateway]")
{
    fixture f;
    CHECK(f.picks(0, 300).size() == 3);
    for (int n = 0; n < 5; ++n)
        f.it.start("a", 0, at(0));
    CHECK(f.picks(1, 100).count("a") == 0);
    CHECK(f.it.in_flight("a") == 5);
}

// Guards against a second try at the target that failed.
TEST_CASE("targets that were tried are left out", "[gateway]")
{
    fixture                        f;
    const std::vector<std::string> tried{"a", "b"};
    pick_hints                     hints;
    hints.tried = &tried;
    CHECK(f.pick(0, hints) == "c");
    const std::vector<std::string> all{"a", "b", "c"};
    hints.tried = &all;
    CHECK(f.pick(0, hints).empty());
}

// Guards against work for a crashed target until its entry lapses.
TEST_CASE("a target that cannot be reached is left out for a while",
          "[gateway]")
{
    fixture f;
    f.call("a", 0, 1, call_outcome::connect_failed);
    CHECK(f.it.excluded("a", at(299)));
    CHECK(f.picks(100, 100).count("a") == 0);
    CHECK_FALSE(f.it.excluded("a", at(302)));
    f.call("a", 302, 303, call_outcome::connect_failed);
    CHECK(f.it.excluded("a", at(800)));
}

// Guards against a target that fails part of its requests while it looks
// healthy and, being quick, draws work.
TEST_CASE("broken answers exclude, single ones do not", "[gateway]")
{
    fixture f;
    f.call("a", 0, 10, call_outcome::broken);
    CHECK_FALSE(f.it.excluded("a", at(11)));
    f.call("a", 20, 30, call_outcome::broken);
    CHECK(f.it.excluded("a", at(31)));
}

// Guards against the exclusion of targets for failures that all have, such as
// those of the requests themselves.
TEST_CASE("errors exclude only beyond the service's usual share", "[gateway]")
{
    fixture f;
    for (int n = 0; n < 60; ++n) {
        for (const auto* id : {"a", "b", "c"})
            f.call(id, n, n,
                   n % 3 == 0 ? call_outcome::error : call_outcome::done);
    }
    CHECK_FALSE(f.it.excluded("a", at(60)));
    for (int n = 0; n < 12; ++n)
        f.call("a", 60, 60, call_outcome::error);
    CHECK(f.it.excluded("a", at(61)));
}

// Guards against a storm on the last target when all others are excluded.
TEST_CASE("excluded targets are used when no other is left", "[gateway]")
{
    fixture f;
    for (const auto* id : {"a", "b", "c"})
        f.call(id, 0, 1, call_outcome::connect_failed);
    CHECK(f.picks(2, 300).size() == 3);
}

// Guards against a hanging target: it answers nothing, so no failure shows.
TEST_CASE("calls without an answer make a target slow", "[gateway]")
{
    fixture f;
    for (int n = 0; n < 10; ++n) {
        for (const auto* id : {"a", "b", "c"})
            f.call(id, n * 20, n * 20 + 20, call_outcome::done);
    }
    f.it.start("a", 0, at(200));
    CHECK(f.picks(700, 100).count("a") == 0);
}

// Guards against a full target that gets the next request at once.
TEST_CASE("a full target pauses for a moment", "[gateway]")
{
    fixture f;
    f.call("a", 0, 1, call_outcome::refused);
    CHECK(f.picks(10, 100).count("a") == 0);
    CHECK_FALSE(f.it.excluded("a", at(10)));
    CHECK(f.picks(100, 300).count("a") == 1);
}

// Guards against load that other daemons put on a target.
TEST_CASE("stated load counts and fades", "[gateway]")
{
    fixture f;
    f.it.load_stated("a", {10, 4, 10}, at(0));
    CHECK(f.picks(10, 100).count("a") == 0);
    CHECK(f.picks(1500, 300).count("a") == 1);
}

// Guards against prompts that are read again elsewhere, and against one target
// that gets all of a popular prompt.
TEST_CASE("a prompt's target is kept unless it is busier", "[gateway]")
{
    fixture    f;
    pick_hints hints;
    hints.affinity  = 77;
    const auto home = f.pick(0, hints);
    for (int n = 0; n < 50; ++n)
        CHECK(f.pick(n, hints) == home);
    for (int n = 0; n < 8; ++n)
        f.it.start(home, 0, at(60));
    CHECK(f.pick(61, hints) != home);
    for (std::uint64_t n = 1; n < 60; ++n) {
        hints.affinity = n;
        CHECK_FALSE(f.pick(62, hints).empty());
    }
}

// Guards against large results that cross failure domains.
TEST_CASE("the preferred failure domain wins unless it is full", "[gateway]")
{
    fixture    f;
    pick_hints hints;
    hints.failure_domain = "d2";
    hints.domain_penalty = 1.0;
    CHECK(f.pick(0, hints) == "c");
    for (int n = 0; n < 14; ++n)
        f.it.start("c", 0, at(0));
    CHECK(f.pick(1, hints) != "c");
}
