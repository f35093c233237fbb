#include "call_permit.hpp"
#include "peer_table.hpp"
#include "permit_issuer.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + std::chrono::hours{1} + milliseconds{ms};
}

peer make_peer(int n)
{
    return {"10.0.0." + std::to_string(n) + ":900", 1, 1, "d1", false, 250};
}

/// The only daemon of a fleet, started long before at(0).
struct fixture
{
    fixture() { start(); }

    void start()
    {
        peers.advance_heartbeat(at(-60'000));
        peers.live_share(at(-60'000));
    }

    permit_response ask(double rate, int wait_ms, int ms)
    {
        peers.advance_heartbeat(at(ms));
        return issuer.issue({{"i-1", 1, rate, at(ms)}, milliseconds{wait_ms}},
                            at(ms));
    }

    peer_table    peers{make_peer(1), {}, 1};
    target_limits limits;
    permit_issuer issuer{peers, limits};
};

} // namespace

// Guards against an owner that gives out calls at once that an owner before it
// may have given out already.
TEST_CASE("a new owner starts without calls to give out", "[gateway]")
{
    fixture    f;
    const auto first = f.ask(2, 0, 0);
    CHECK_FALSE(first.granted);
    // 1.8 calls a second.
    CHECK(first.wait == milliseconds{556});
    CHECK(f.ask(2, 0, 556).granted);
    CHECK_FALSE(f.ask(2, 0, 557).granted);
}

// Guards against calls beyond the limit, and against permits that come too late
// for the request.
TEST_CASE("permits are given out at the limit's rate", "[gateway]")
{
    fixture f;
    f.ask(2, 0, 0);
    // Two calls after a time without any, then one after another.
    CHECK(f.ask(2, 0, 10'000).wait == milliseconds{0});
    CHECK(f.ask(2, 0, 10'000).granted);
    const auto third = f.ask(2, 600, 10'000);
    CHECK(third.granted);
    CHECK(third.wait == milliseconds{556});
    const auto fourth = f.ask(2, 600, 10'000);
    CHECK_FALSE(fourth.granted);
    CHECK(fourth.wait == milliseconds{1112});
    CHECK(f.issuer.stats().granted == 3);
    CHECK(f.issuer.stats().refused == 2);
    int granted = 0;
    for (int ms = 20'000; ms < 24'000; ms += 10)
        granted += f.ask(2, 0, ms).granted ? 1 : 0;
    CHECK(granted <= 9);
    CHECK(granted >= 7);
}

// Guards against a target that is never called, so that nobody learns when its
// limit ends, and against a division by zero.
TEST_CASE("a limit of zero is tried now and then", "[gateway]")
{
    fixture f;
    CHECK(f.ask(0, 0, 0).wait == seconds{10});
    int granted = 0;
    for (int ms = 0; ms < 60'000; ms += 100)
        granted += f.ask(0, 0, ms).granted ? 1 : 0;
    CHECK(granted >= 4);
    CHECK(granted <= 6);
}

// Guards against a target that stays idle after its limit was raised.
TEST_CASE("a raised limit takes effect at once", "[gateway]")
{
    fixture f;
    f.ask(0.1, 2000, 0);
    f.ask(0.1, 2000, 9000);
    f.ask(0.1, 2000, 9000);
    CHECK(f.ask(20, 0, 9500).wait <= milliseconds{2100});
    CHECK(f.ask(20, 0, 12'000).granted);
}

// Guards against a daemon that holds calls back for a target whose limit has
// ended, which the daemon that asks does not know yet.
TEST_CASE("a limit that has ended needs no permit", "[gateway]")
{
    fixture f;
    f.peers.advance_heartbeat(at(0));
    f.limits.merge({"i-1", 1, 2, at(-1000)}, at(0));
    f.limits.merge({"i-1", 1, {}, at(0)}, at(0));
    const auto out = f.issuer.issue({{"i-1", 1, 2, at(-900)}, {}}, at(100));
    CHECK(out.granted);
    REQUIRE(out.limit);
    CHECK_FALSE(out.limit->rate);
}

// Guards against two daemons that both give out a limit's calls because one of
// them is asked by mistake.
TEST_CASE("a daemon gives out only the calls that it owns", "[gateway]")
{
    fixture f;
    f.peers.merge_members({make_peer(2), make_peer(3)}, at(-1000));
    int disowned = 0;
    int owned    = 0;
    for (int n = 0; n < 40; ++n) {
        const auto id  = "i-" + std::to_string(n);
        const auto own = f.issuer.owner(id, at(0)) == f.peers.self().address;
        f.issuer.issue({{id, 1, 5, at(0)}, milliseconds{2000}}, at(0));
        (own ? owned : disowned) += 1;
    }
    CHECK(owned > 0);
    CHECK(f.issuer.stats().disowned == static_cast<std::uint64_t>(disowned));
}

// Guards against the full rate at several owners while daemons disagree, or
// while the other side of a divided fleet gives out calls, too.
TEST_CASE("an owner gives out less while others may do so", "[gateway]")
{
    fixture f;
    f.ask(2, 0, 0);
    CHECK(f.ask(2, 0, 4000).granted);
    // Another daemon appears, which does not own the limit.
    int n = 2;
    for (;; ++n) {
        auto other     = make_peer(n);
        other.capacity = 1;
        peer_table with(f.peers.self(), {}, 1);
        with.merge_members({other}, at(5000));
        if (with.steady_owner_of("limit of i-1", at(5000)) !=
            f.peers.self().address)
            continue;
        f.peers.merge_members({other}, at(5000));
        break;
    }
    CHECK(f.ask(2, 0, 5000).granted);
    CHECK(f.ask(2, 0, 5000).granted);
    CHECK(f.ask(2, 0, 5000).wait ==
          milliseconds{1112}); // Half of 1.8 a second.
    CHECK(f.peers.live_share(at(5000)) == 1);
    CHECK_FALSE(f.peers.agreed(at(7900)));
    // It dies: the daemon sees half of the candidates.
    for (int ms = 5400; ms < 9000; ms += 400)
        f.peers.advance_heartbeat(at(ms));
    CHECK(f.peers.live_share(at(9000)) == 0.5);
    CHECK_FALSE(f.peers.agreed(at(9100)));
    CHECK(f.peers.agreed(at(13'100)));
}

// Guards against calls that are sent later than permitted, or under a limit
// that was lowered meanwhile, since they fall together with other calls.
TEST_CASE("a permit covers one call at its time", "[gateway]")
{
    const target_limit limit{"i-1", 1, 2, at(0)};
    const call_permit  it{true, false, at(100), 2};
    CHECK_FALSE(it.covers(&limit, at(99)));
    CHECK(it.covers(&limit, at(100)));
    CHECK(it.covers(&limit, at(349)));
    CHECK_FALSE(it.covers(&limit, at(350)));
    CHECK(it.covers(nullptr, at(99'999)));
    const target_limit lower{"i-1", 1, 1, at(0)};
    CHECK_FALSE(it.covers(&lower, at(100)));
    CHECK_FALSE(call_permit{}.covers(&limit, at(100)));
}

// Guards against permits beyond what a cold target takes in any second: 1.5 of
// the rate and 5 calls, when an old owner and a new one that does not know of
// it both give out calls, and permits are used at the end of their validity.
TEST_CASE("the calls of a cold target are given out at its rate",
          "[gateway][cold]")
{
    fixture    f;
    const auto ask = [&](int ms) {
        f.peers.advance_heartbeat(at(ms));
        permit_request asked{{"i-1", 1, {}, at(-3'600'000)}, milliseconds{0}};
        asked.cold = cold_period{1, 15, at(20'000)};
        return f.issuer.issue(asked, at(ms)).granted;
    };
    CHECK_FALSE(ask(0));
    std::vector<int> granted;
    for (int ms = 5000; ms < 10'000; ++ms) {
        if (ask(ms))
            granted.push_back(ms);
    }
    std::size_t most = 0;
    for (std::size_t n = 0; n < granted.size(); ++n)
        most = std::max<std::size_t>(
            most, std::count_if(granted.begin(), granted.end(), [&](int it) {
                return it >= granted[n] && it < granted[n] + 1250;
            }));
    // The new owner gives out half of it, in the worst case.
    CHECK(most + most / 2 + 1 <= 27);
    CHECK(granted.size() >= 0.75 * 15 * 5);
    // The limit is no named one: it ends with the cold time.
    CHECK_FALSE(f.limits.latest("i-1"));
    CHECK(f.limits.cold("i-1", 1, at(19'999)));
    CHECK_FALSE(f.limits.cold("i-1", 1, at(20'000)));
}
