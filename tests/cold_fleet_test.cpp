#include "cold_fleet.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

/// Calls that a cold target may get in any second: 1.5 of its rate, and 5.
constexpr std::size_t allowed = 27;
/// Time in which daemons hear of a change.
constexpr milliseconds known{900};

milliseconds settle_time(std::size_t n)
{
    return n > 12 ? milliseconds{20'000} : milliseconds{8000};
}

} // namespace

// Guards against daemons that all send to targets that look idle because they
// have just restarted: a domain turns cold at once under load.
TEST_CASE("a domain that turns cold gets the calls that it takes",
          "[gateway][limits][cold]")
{
    const std::size_t n = GENERATE(9, 86);
    cold_fleet        f(n, 24, 24 * 4, 100 + n);
    f.run(settle_time(n));
    f.offer(600);
    f.prefer_cold(0.9);
    f.turn_cold(8, milliseconds{6000});
    const auto from = f.now() + known;
    f.run(milliseconds{5900});
    CAPTURE(n);
    CHECK(f.know() == n);
    CHECK(f.most_calls(from) <= allowed);
    CHECK(f.earned(0, from) >= 0.6 * cold_fleet::rate);
    // Other targets take what the limit leaves.
    CHECK(f.refused == 0);
}

// Guards against permits that delay the requests of an ordinary load.
TEST_CASE("permits of cold targets do not delay an ordinary load",
          "[gateway][limits][cold]")
{
    const std::size_t n = GENERATE(9, 86);
    cold_fleet        f(n, 24, 24 * 4, 200 + n);
    f.run(settle_time(n));
    f.turn_cold(8, milliseconds{20'000});
    f.run(known);
    f.reset_figures();
    f.run(milliseconds{15'000});
    CAPTURE(n);
    CHECK(f.refused == 0);
    CHECK(f.delay_quantile(0.5) <= 10);
    CHECK(f.delay_quantile(0.99) <= 60);
    // One message for a call, and a few refused ones.
    CHECK(f.asked <= 15 * 24 * 4 * 2 / 3);
}

// Guards against an old and a new owner that both give out the whole rate: the
// owner of a cold target's calls ends, freezes, or is restarted.
TEST_CASE("a cold target's owner is lost", "[gateway][limits][cold]")
{
    const std::size_t n   = GENERATE(9, 86);
    const int         how = GENERATE(0, 1, 2);
    cold_fleet        f(n, 4, 200, 300 + n);
    f.run(settle_time(n));
    f.turn_cold(4, milliseconds{60'000});
    const auto from = f.now() + known;
    f.run(milliseconds{3000});
    const auto lost = f.owner(0);
    if (how == 0)
        f.kill(lost);
    else if (how == 1)
        f.pause(lost, milliseconds{9000});
    else
        f.restart(lost);
    // A daemon that restarts reads the entry in its first listing.
    if (how == 2)
        f.turn_cold(4, milliseconds{57'000});
    f.run(milliseconds{40'000});
    CAPTURE(n, how);
    CHECK(f.most_calls(how == 2 ? f.now() - milliseconds{39'000} : from) <=
          allowed);
    // The next owner gives out calls.
    CHECK(f.earned(0, f.now() - milliseconds{10'000}) >=
          0.5 * cold_fleet::rate);
}

// Guards against an owner that gives out calls as if there were no limit since
// it has not heard that the target is cold.
TEST_CASE("an owner learns the limit of a cold target from the request",
          "[gateway][limits][cold]")
{
    const std::size_t n = GENERATE(9, 86);
    cold_fleet        f(n, 1, 200, 400 + n);
    f.run(settle_time(n));
    const auto owner = f.owner(0);
    f.hear_late(owner, milliseconds{60'000});
    f.turn_cold(1, milliseconds{10'000});
    const auto from = f.now() + known;
    f.run(milliseconds{9900});
    CAPTURE(n);
    CHECK(f.know() == n);
    CHECK(f.most_calls(from) <= allowed);
    CHECK(f.earned(0, from) >= 0.6 * cold_fleet::rate);
}

// Guards against daemons that learn of the coldness late and exceed the limit
// together with the permits of the others, at an ordinary load.
TEST_CASE("some daemons hear late that a target is cold",
          "[gateway][limits][cold]")
{
    const std::size_t n = GENERATE(9, 86);
    cold_fleet        f(n, 24, 24 * 4, 500 + n);
    f.run(settle_time(n));
    for (std::size_t k = 0; k < n; k += 4)
        f.hear_late(k, milliseconds{2500});
    f.prefer_cold(0.5);
    f.turn_cold(8, milliseconds{6000});
    const auto from = f.now();
    f.run(milliseconds{5900});
    CAPTURE(n);
    CHECK(f.know() == n);
    CHECK(f.most_calls(from) <= allowed);
}

// Guards against a cold limit that stays after its end, or that makes daemons
// ask for permits further on.
TEST_CASE("the limit of a cold target ends by itself",
          "[gateway][limits][cold]")
{
    const std::size_t n = GENERATE(9, 86);
    cold_fleet        f(n, 2, 120, 600 + n);
    f.run(settle_time(n));
    f.turn_cold(2, milliseconds{3000});
    f.run(milliseconds{2000});
    CHECK(f.know() == n);
    CHECK(f.refused > 0);
    f.run(milliseconds{1000} + known);
    f.reset_figures();
    const auto from = f.now();
    f.run(milliseconds{5000});
    CAPTURE(n);
    CHECK(f.know() == 0);
    CHECK(f.asked == 0);
    CHECK(f.refused == 0);
    CHECK(f.earned(0, from) >= 45);
}

// Guards against requests that wait without need when all targets are cold, and
// against refusals without the time of the next call.
TEST_CASE("with all targets cold, requests are served as permits allow",
          "[gateway][limits][cold]")
{
    const std::size_t n = GENERATE(9, 86);
    cold_fleet        f(n, 3, 100, 700 + n);
    f.run(settle_time(n));
    f.turn_cold(3, milliseconds{20'000});
    const auto from = f.now() + known;
    f.run(known);
    f.reset_figures();
    f.run(milliseconds{15'000});
    CAPTURE(n);
    CHECK(f.most_calls(from) <= allowed);
    CHECK(f.earned(0, from) >= 0.6 * cold_fleet::rate);
    CHECK(f.refused > 0);
    CHECK(f.refused_without_time == 0);
}
