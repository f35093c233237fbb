#include "waiting_calls.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

constexpr milliseconds silence{800};

target make_target(const std::string& id, const std::string& domain = "d1")
{
    target out;
    out.id             = id;
    out.address        = id + ":80";
    out.failure_domain = domain;
    out.started_at     = 1;
    return out;
}

prompt_key prompt_of(const std::string& part)
{
    return make_prompt_key({{"first", 10}, {part, 20}, {"own", 5}});
}

} // namespace

// Guards against targets that end without closing connections and are noticed
// only when their calls time out.
TEST_CASE("a silent target is checked while calls wait", "[gateway][parts]")
{
    const time_point start{std::chrono::hours{1}};
    const auto       at       = make_target("i-1");
    const auto       lifetime = target_lifetime(at);
    waiting_calls    calls;
    CHECK_FALSE(calls.check_at(lifetime));
    const auto first = calls.add(prompt_of("a"), at, start);
    calls.add(prompt_of("b"), at, start + milliseconds{300});
    CHECK(calls.check_at(lifetime) == start + silence);

    SECTION("bytes of the target put off the check")
    {
        calls.heard(lifetime, start + milliseconds{500});
        CHECK(calls.check_at(lifetime) == start + milliseconds{500} + silence);
        calls.heard(target_lifetime(make_target("i-2")), start + seconds{2});
        CHECK(calls.check_at(lifetime) == start + milliseconds{500} + silence);
    }
    SECTION("an answer ends the call")
    {
        calls.remove(lifetime, first);
        CHECK(calls.check_at(lifetime) == start + milliseconds{300} + silence);
    }
    SECTION("calls that were sent before the check are taken")
    {
        const auto prompts = calls.take(lifetime, start + milliseconds{300});
        REQUIRE(prompts.size() == 1);
        CHECK(prompts.front().prompt.shared == prompt_of("a").shared);
        CHECK(calls.check_at(lifetime) == start + milliseconds{300} + silence);
        // The call's own end comes later.
        calls.remove(lifetime, first);
        CHECK(calls.take(lifetime, start + seconds{1}).size() == 1);
        CHECK_FALSE(calls.check_at(lifetime));
    }
    SECTION("a restarted target is another one")
    {
        auto again       = at;
        again.started_at = 2;
        calls.heard(target_lifetime(again), start + milliseconds{500});
        CHECK(calls.check_at(lifetime) == start + silence);
    }
}

// Guards against a daemon that takes a cut for the end of targets.
TEST_CASE("witnesses share the failure domain of a target", "[gateway][parts]")
{
    std::vector<target> all;
    for (int n = 0; n < 20; ++n)
        all.push_back(
            make_target("i-" + std::to_string(n), n % 2 == 0 ? "d1" : "d2"));
    all[2].leaving = true;
    std::set<std::string> used;
    for (const auto& it : all) {
        const auto witnesses = reachability_witnesses(all, it);
        CHECK(witnesses.size() == 3);
        for (const auto& other : witnesses) {
            CHECK(other.id != it.id);
            CHECK(other.failure_domain == it.failure_domain);
            CHECK_FALSE(other.leaving);
            used.insert(other.id);
        }
    }
    CHECK(used.size() > 10);
    CHECK(reachability_witnesses({all[0], all[1]}, all[0]).empty());
}
