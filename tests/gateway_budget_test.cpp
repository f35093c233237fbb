#include "retry_budget.hpp"
#include "time_estimates.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

} // namespace

// Guards against a storm of repeats by a daemon that knows nobody: others may
// use the slack too.
TEST_CASE("a daemon that met nobody uses no slack", "[gateway]")
{
    retry_budget it({0.2, 58, milliseconds{10'000}});
    CHECK_FALSE(it.take("s", at(0)));
    it.set_daemons(9);
    int n = 0;
    while (it.take("s", at(1)))
        ++n;
    CHECK(n == 5); // 0.9 * 58 / 9
}

// Guards against a fleet that exceeds the shared budget in any window, with
// uneven load and all daemons repeating as much as they may.
TEST_CASE("the repeats of all daemons stay within the budget", "[gateway]")
{
    constexpr int             daemons = 9;
    constexpr int             window  = 10'000;
    const retry_limits        limits{0.2, 58, milliseconds{window}};
    std::vector<retry_budget> all(daemons, retry_budget(limits));
    for (auto& it : all)
        it.set_daemons(daemons);
    std::mt19937_64  random(11);
    std::vector<int> requests;
    std::vector<int> repeats;
    for (int ms = 0; ms < 60'000; ms += 5) {
        const bool burst = ms > 20'000 && ms < 26'000;
        if (random() % 100 < (burst ? 90U : 20U)) {
            const auto n = random() % (random() % daemons + 1);
            all[n].count_request("s", at(ms));
            requests.push_back(ms);
        }
        for (auto& it : all) {
            if (it.take("s", at(ms)))
                repeats.push_back(ms);
        }
    }
    const auto count = [](const std::vector<int>& in, int from, int to) {
        return std::lower_bound(in.begin(), in.end(), to) -
               std::lower_bound(in.begin(), in.end(), from);
    };
    for (int from = 0; from + window <= 60'000; from += 50) {
        const auto most =
            std::max({count(requests, from, from + window),
                      count(requests, from - window / 2, from + window / 2),
                      count(requests, from - window, from)});
        INFO("window from " << from << " ms");
        CHECK(static_cast<double>(count(repeats, from, from + window)) <=
              0.2 * static_cast<double>(most) + 58);
    }
}

// Guards against learned times that jump with one sample or never move.
TEST_CASE("learned times follow slowly", "[gateway]")
{
    time_estimates it;
    CHECK(it.get("s", milliseconds{300}) == milliseconds{300});
    it.add("s", milliseconds{100});
    CHECK(it.get("s", milliseconds{300}) == milliseconds{100});
    it.add("s", milliseconds{1100});
    CHECK(it.get("s", milliseconds{300}) == milliseconds{200});
}
