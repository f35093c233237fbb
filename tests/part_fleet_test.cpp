#include "part_fleet.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

/// Time from the fifth crash until no daemon in touch sends a request with the
/// part.
constexpr milliseconds stable{3000};
/// Requests that may still reach targets after that.
constexpr std::size_t max_late = 3;

/// Loads of the heaviest routes of deployments, by their number of daemons.
part_load load_of(std::size_t daemons)
{
    part_load out;
    if (daemons > 300) {
        out.targets  = 600;
        out.per_s    = 700;
        out.sessions = 5321;
    }
    else if (daemons > 100) {
        out.targets  = 130;
        out.per_s    = 268;
        out.sessions = 5321;
    }
    else if (daemons > 12) {
        out.targets  = 60;
        out.per_s    = 158;
        out.sessions = 2000;
    }
    return out;
}

milliseconds settle_time(std::size_t n)
{
    return n > 12 ? milliseconds{20'000} : milliseconds{8000};
}

/// Lets a share of the targets end six times, with or without a deadly part.
void check_other_crashes(std::size_t n, double share, bool poison)
{
    part_fleet f(n, 53 * n, load_of(n));
    f.run(settle_time(n));
    if (poison)
        f.poison({"dead"});
    for (int round = 0; round < 6; ++round) {
        f.crash_targets(share);
        f.run(milliseconds{round % 2 == 0 ? 900 : 5000});
    }
    f.run(milliseconds{15'000});
    CAPTURE(n, share, poison, f.crashes("dead").size());
    CHECK(f.late("dead") <= max_late);
    if (poison)
        CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

/// Targets crash a time after the first event of a deadly answer, up to twice
/// as long.
void check_late_crashes(std::size_t n, milliseconds after, std::uint64_t seed)
{
    auto load         = load_of(n);
    load.deadly_after = after;
    load.events       = 65;
    load.repeats      = 2;
    part_fleet f(n, seed, load);
    f.run(settle_time(n));
    f.poison({"dead"});
    f.run(milliseconds{25'000});
    CAPTURE(n, after.count(), seed, f.crashes("dead").size());
    CHECK(f.crashes("dead").size() >= 5);
    CHECK(f.late("dead") <= max_late);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

void check_late_crashes(std::size_t n, milliseconds after)
{
    check_late_crashes(n, after,
                       107 * n + static_cast<std::uint64_t>(after.count()));
}

} // namespace

// Guards against requests with one part that crash targets one after another,
// as no daemon sees enough of the crashes, and against the refusal of sound
// requests that broke in the same crashes.
TEST_CASE("a fleet keeps a deadly part from its targets",
          "[gateway][parts][fleet]")
{
    const std::size_t n    = GENERATE(1, 9, 69, 295, 361);
    const auto        seed = GENERATE(1, 2, 3);
    part_fleet        f(n, 31 * n + seed, load_of(n));
    f.run(settle_time(n));
    f.poison({"dead"});
    f.run(milliseconds{25'000});
    CAPTURE(n, seed, f.crashes("dead").size());
    CHECK(f.crashes("dead").size() >= 3);
    CHECK(f.late("dead") <= max_late);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against a part that crashes its targets only when a part of the answer
// is out, up to seconds after the first event, and against the refusal of sound
// requests whose answers were cut by the same crashes, and are repeated. The
// longest plays are cases of their own.
TEST_CASE("a fleet finds a part that crashes targets after the first event",
          "[gateway][parts][fleet]")
{
    check_late_crashes(GENERATE(9, 69), milliseconds{GENERATE(20, 400, 3000)});
}

TEST_CASE("a fleet of 295 finds a part that crashes targets after an event",
          "[gateway][parts][fleet]")
{
    check_late_crashes(295, milliseconds{GENERATE(20, 400, 3000)});
}

TEST_CASE("a fleet of 361 finds a part that crashes targets after an event",
          "[gateway][parts][fleet]")
{
    check_late_crashes(361, milliseconds{GENERATE(20, 400)});
}

TEST_CASE("a fleet of 361 finds a part that crashes targets seconds later",
          "[gateway][parts][fleet]")
{
    check_late_crashes(361, milliseconds{3000});
}

// Guards against the refusal of sound requests whose answers were cut in
// several crashes before one of them was whole, and of those that share all
// other parts of the deadly ones.
TEST_CASE("late crashes convict no sound part", "[gateway][parts][fleet]")
{
    const auto [n, after, seed] =
        GENERATE(table<std::size_t, int, std::uint64_t>({{9, 3000, 100'001},
                                                         {9, 3000, 100'003},
                                                         {9, 3000, 100'006},
                                                         {69, 20, 100'008},
                                                         {69, 400, 100'003},
                                                         {69, 400, 100'008},
                                                         {69, 3000, 100'003},
                                                         {69, 3000, 100'004},
                                                         {69, 3000, 100'007},
                                                         {295, 20, 100'001}}));
    check_late_crashes(n, milliseconds{after}, seed);
}

// Guards against two parts of which one hides the other, at once or one after
// the other.
TEST_CASE("a fleet keeps two deadly parts from its targets",
          "[gateway][parts][fleet]")
{
    const std::size_t n    = GENERATE(9, 69, 361);
    const bool        both = GENERATE(false, true);
    auto              load = load_of(n);
    load.deadly_share      = both ? 0.1 : 0.05;
    part_fleet f(n, 41 * n, load);
    f.run(settle_time(n));
    f.poison(both ? std::vector<std::string>{"dead1", "dead2"}
                  : std::vector<std::string>{"dead1"});
    f.run(milliseconds{20'000});
    if (!both) {
        f.poison({"dead2"});
        f.run(milliseconds{20'000});
    }
    CAPTURE(n, both);
    for (const auto* part : {"dead1", "dead2"}) {
        CHECK(f.late(part) <= max_late);
        CHECK(f.refusing(part) == n);
    }
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against verdicts that crashes for other reasons hide or bring about:
// single targets, a third of them or all of them end, again and again. The
// longest plays are cases of their own, so that they run beside each other.
TEST_CASE("a fleet tells a deadly part from other crashes",
          "[gateway][parts][fleet]")
{
    const auto [n, share, poison] =
        GENERATE(table<std::size_t, double, bool>({{9, 0.1, true},
                                                   {9, 0.35, false},
                                                   {9, 0.35, true},
                                                   {9, 1.0, false},
                                                   {9, 1.0, true},
                                                   {69, 0.35, true},
                                                   {69, 1.0, false},
                                                   {295, 0.35, true}}));
    check_other_crashes(n, share, poison);
}

TEST_CASE("a fleet of 361 tells a deadly part from single crashes",
          "[gateway][parts][fleet]")
{
    check_other_crashes(361, 0.1, true);
}

TEST_CASE("a fleet of 361 tells a deadly part from many crashes",
          "[gateway][parts][fleet]")
{
    check_other_crashes(361, 0.35, true);
}

TEST_CASE("a fleet of 361 tells a deadly part from the end of all targets",
          "[gateway][parts][fleet]")
{
    check_other_crashes(361, 1.0, GENERATE(false, true));
}

// Guards against calls that break off at targets that go on: targets that reset
// some of them, and daemons that are cut from their targets.
TEST_CASE("broken calls of living targets convict no part",
          "[gateway][parts][fleet]")
{
    const std::size_t n    = GENERATE(9, 69, 361);
    auto              load = load_of(n);
    load.attempts          = 3;
    load.repeats           = 2;
    part_fleet f(n, 59 * n, load);
    f.run(settle_time(n));
    for (int round = 0; round < 4; ++round) {
        f.break_calls(0.25, 0.6, milliseconds{6000});
        f.run(milliseconds{3000});
        for (std::size_t k = round; k < n; k += 4)
            f.cut_from_targets(k, milliseconds{round % 2 == 0 ? 0 : 2000});
        f.run(milliseconds{4000});
    }
    CAPTURE(n);
    CHECK(f.wrong_verdicts() == 0);
    // Beside them, a deadly part is found.
    f.break_calls(0.25, 0.6, milliseconds{12'000});
    f.poison({"dead"});
    f.run(milliseconds{20'000});
    CHECK(f.late("dead") <= max_late);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against requests that a daemon or their callers send again and again:
// each repeat counts, and waits at entry before it is sent.
TEST_CASE("repeats of deadly requests stop reaching targets",
          "[gateway][parts][fleet]")
{
    const std::size_t n    = GENERATE(9, 69, 361);
    auto              load = load_of(n);
    load.attempts          = 3;
    load.repeats           = 2;
    load.max_wait          = milliseconds{2500};
    part_fleet f(n, 61 * n, load);
    f.run(settle_time(n));
    f.poison({"dead"}, GENERATE(0, 1, 2));
    f.run(milliseconds{25'000});
    CAPTURE(n, f.crashes("dead").size());
    CHECK(f.late("dead") <= max_late);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against rare requests with the part, and against rare sound parts
// beside it: the fifth crash comes after minutes.
TEST_CASE("a fleet finds a part that is asked for rarely",
          "[gateway][parts][fleet]")
{
    const std::size_t n    = GENERATE(9, 295);
    auto              load = load_of(n);
    load.per_s             = 4;
    load.deadly_share      = 0.05;
    load.sessions          = 40;
    part_fleet f(n, 67 * n, load);
    f.run(settle_time(n));
    f.poison({"dead"});
    f.run(milliseconds{100'000});
    CAPTURE(n, f.crashes("dead").size());
    CHECK(f.crashes("dead").size() >= 3);
    CHECK(f.late("dead") <= max_late);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against targets that end without closing their connections.
TEST_CASE("a fleet finds a part whose crashes are silent",
          "[gateway][parts][fleet]")
{
    const std::size_t n    = GENERATE(9, 69, 361);
    auto              load = load_of(n);
    load.silent_crashes    = true;
    part_fleet f(n, 71 * n, load);
    f.run(settle_time(n));
    f.poison({"dead"});
    f.run(milliseconds{30'000});
    CAPTURE(n, f.crashes("dead").size());
    CHECK(f.refusing("dead") == n);
    CHECK(f.late("dead") <= max_late);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against calls without an answer at targets that go on: slow ones, and
// daemons that are cut from all targets or from a failure domain while no
// connection ends.
TEST_CASE("silent calls of living targets convict no part",
          "[gateway][parts][fleet]")
{
    const std::size_t n    = GENERATE(9, 69, 361);
    auto              load = load_of(n);
    load.slow_share        = 0.05;
    load.sessions          = 40;
    part_fleet f(n, 103 * n, load);
    f.run(settle_time(n));
    const auto cut = [&](std::size_t round) {
        for (std::size_t k = round % 2; k < n; k += 2)
            f.cut_silently(k, milliseconds{3000},
                           round % 2 == 0 ? "" : "z" + std::to_string(k % 3));
        f.run(milliseconds{4500});
    };
    for (std::size_t round = 0; round < 4; ++round)
        cut(round);
    CAPTURE(n);
    CHECK(f.wrong_verdicts() == 0);
    // Beside them, a deadly part is found.
    f.poison({"dead"});
    for (std::size_t round = 0; round < 4; ++round)
        cut(round);
    f.run(milliseconds{5000});
    CHECK(f.late("dead") <= max_late);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against daemons that learn late or forget: some restart or pause
// before and after the verdict, and new ones must know it 3 s after their
// start.
TEST_CASE("daemons that restart or pause keep a deadly part from targets",
          "[gateway][parts][fleet]")
{
    const std::size_t n     = GENERATE(9, 69, 361);
    const bool        pause = GENERATE(false, true);
    part_fleet        f(n, 73 * n, load_of(n));
    f.run(settle_time(n));
    f.poison({"dead"});
    for (int round = 0; round < 8; ++round) {
        for (std::size_t k = 0; k < n; ++k) {
            if ((k + round) % 4 != 0)
                continue;
            const milliseconds fault{pause ? 300 + 700 * (round % 5) : 0};
            f.excuse(k, fault);
            if (pause)
                f.pause(k, fault);
            else
                f.restart(k);
        }
        f.run(milliseconds{round % 2 == 0 ? 1500 : 4500});
    }
    f.run(milliseconds{4000});
    CAPTURE(n, pause, f.crashes("dead").size());
    CHECK(f.late("dead") <= max_late);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against sides of a divided fleet that do not learn of each other's
// crashes, and against messages that are lost.
TEST_CASE("a divided fleet keeps a deadly part from its targets",
          "[gateway][parts][fleet]")
{
    const std::size_t n     = GENERATE(9, 69, 361);
    const std::size_t sides = GENERATE(1, 2, 3);
    part_fleet        f(n, 79 * n, load_of(n));
    f.run(settle_time(n));
    f.poison({"dead"});
    const auto side = [=](std::size_t a, std::size_t b) {
        return a % sides != b % sides;
    };
    if (sides == 1)
        f.lose(0.2);
    else
        f.cut(side);
    f.run(milliseconds{20'000});
    CAPTURE(n, sides, f.crashes("dead").size());
    CHECK(f.refusing("dead") == n);
    // Each side is in touch with itself only and finds the part on its own.
    if (sides == 1)
        CHECK(f.late("dead") <= max_late);
    f.cut({});
    f.run(milliseconds{4000});
    const auto healed = f.now();
    f.run(milliseconds{15'000});
    CHECK(f.arrivals_since("dead", healed) == 0);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against a daemon that is cut off while the part is found, and sends
// requests with it when it is back.
TEST_CASE("a daemon that was cut off learns of a deadly part",
          "[gateway][parts][fleet]")
{
    const std::size_t n = GENERATE(9, 69, 361);
    part_fleet        f(n, 83 * n, load_of(n));
    f.run(settle_time(n));
    f.cut([](std::size_t a, std::size_t) { return a == 4; });
    f.poison({"dead"});
    f.run(milliseconds{10'000});
    f.cut({});
    f.excuse(4, milliseconds{0});
    f.run(milliseconds{12'000});
    CAPTURE(n);
    CHECK(f.refusing("dead") == n);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against a part that is refused for ever after the targets were mended,
// and against trials of many daemons at once.
TEST_CASE("a quarantine ends after the targets were mended",
          "[gateway][parts][fleet]")
{
    const std::size_t n = GENERATE(9, 69);
    part_fleet        f(n, 89 * n, load_of(n));
    f.run(settle_time(n));
    f.poison({"dead"});
    f.run(milliseconds{30'000});
    REQUIRE(f.refusing("dead") == n);
    const auto found = f.now();
    f.run(milliseconds{60'000});
    // One trial, which crashed a target.
    CHECK(f.arrivals_since("dead", found) == 1);
    CHECK(f.refusing("dead") == n);
    f.mend();
    f.run(milliseconds{300'000});
    CAPTURE(n);
    CHECK(f.refusing("dead") == 0);
    CHECK(f.arrivals_since("dead", found) > 10);
    CHECK(f.wrong_verdicts() == 0);
}

// Guards against reports that exceed the control traffic of a daemon (4 KB/s)
// over a minute in which a part is found, beside calls that break off.
TEST_CASE("reports of parts take little traffic", "[gateway][parts][fleet]")
{
    const std::size_t n = GENERATE(9, 295, 361);
    part_fleet        f(n, 97 * n, load_of(n));
    f.run(settle_time(n));
    f.poison({"dead"});
    f.break_calls(0.1, 0.3, milliseconds{5000});
    f.report_bytes = 0;
    f.run(milliseconds{60'000});
    CAPTURE(n);
    CHECK(f.report_bytes / n / 60 < 4000);
    f.report_bytes = 0;
    f.run(milliseconds{60'000});
    CHECK(f.report_bytes / n / 60 < 1000);
}
