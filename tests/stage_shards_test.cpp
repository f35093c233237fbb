#include "stage_shards.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

std::vector<target> make_targets(int n, int domains)
{
    std::vector<target> out;
    for (int k = 0; k < n; ++k)
        out.push_back({"i-" + std::to_string(k), "s", "", // Not used here.
                       "d" + std::to_string(k % domains), 1, false, 0});
    return out;
}

std::vector<const target*> pointers(const std::vector<target>& list)
{
    std::vector<const target*> out;
    for (const auto& it : list)
        out.push_back(&it);
    return out;
}

stage_queue wait(int on_time_ms, int all_ms)
{
    return {milliseconds{on_time_ms}, milliseconds{all_ms}};
}

} // namespace

// Guards against calls that are split without need: a small service has one
// owner, who fills them best.
TEST_CASE("a small service is one shard", "[gateway]")
{
    const auto list = make_targets(8, 3);
    const auto all  = split_service("s", pointers(list));
    REQUIRE(all.size() == 1);
    CHECK(all[0].key() == "s");
    CHECK(all[0].select(pointers(list)).size() == 8);
    CHECK(split_service("s", {}).size() == 1);
}

// Guards against targets that two owners fill, or none.
TEST_CASE("each target is in one shard of its own domain", "[gateway]")
{
    const auto n       = GENERATE(11, 43, 150, 600);
    const auto list    = make_targets(n, 5);
    const auto targets = pointers(list);
    const auto all     = split_service("s", targets);
    CHECK(all.size() >= static_cast<std::size_t>(n) / 12);
    std::set<std::string> keys;
    for (const auto* it : targets) {
        int holders = 0;
        for (const auto& shard : all) {
            if (!shard.holds(*it))
                continue;
            ++holders;
            CHECK(shard.failure_domain == it->failure_domain);
        }
        CHECK(holders == 1);
    }
    for (const auto& shard : all)
        keys.insert(shard.key());
    CHECK(keys.size() == all.size());
}

// Guards against an owner that serves other targets than its callers think.
TEST_CASE("a shard is told by its key", "[gateway]")
{
    for (const auto& it :
         {stage_shard{"s", "", 0, 1}, stage_shard{"s", "gp-a", 0, 1},
          stage_shard{"s", "gp-a", 2, 3}})
    {
        const auto read = parse_shard_key(it.key());
        REQUIRE(read);
        CHECK(read->service == it.service);
        CHECK(read->failure_domain == it.failure_domain);
        CHECK(read->part == it.part);
        CHECK(read->parts == it.parts);
    }
    for (const auto* bad : {"", "|", "s|d", "s|d|0", "s|d|1|1", "s|d|x|2",
                            "s|d|0|0", "s|d|0|1|x", "s|d|-1|1"})
        CHECK_FALSE(parse_shard_key(bad));
}

// Guards against results that cross failure domains while their own has time.
TEST_CASE("orders go to the shard near their inputs", "[gateway]")
{
    const std::vector<shard_outlook> all{
        {"d0", wait(200, 300)}, {"d1", wait(220, 300)}, {"d2", wait(200, 300)}};
    for (std::uint64_t lot = 0; lot < 50; ++lot) {
        shard_wish wish{"d1", 10'000, "d0", true, lot};
        CHECK(choose_shard(all, wish) == 1);
        wish.failure_domain = {};
        CHECK(choose_shard(all, wish) == 0);
    }
}

// Guards against a queue in one shard beside an idle other one.
TEST_CASE("orders leave a shard with a queue", "[gateway]")
{
    const std::vector<shard_outlook> all{{"d0", wait(100, 900)},
                                         {"d1", wait(500, 600)}};
    shard_wish                       wish{"d1", 10'000, "d1", true, 7};
    CHECK(choose_shard(all, wish) == 0);
    // A late one counts the wait of late ones.
    wish.on_time = false;
    CHECK(choose_shard(all, wish) == 1);
    // Large inputs stay for longer.
    wish.on_time     = true;
    wish.input_bytes = 30'000'000;
    CHECK(choose_shard({{"d0", wait(300, 0)}, {"d1", wait(500, 0)}}, wish) ==
          1);
    CHECK(choose_shard({{"d0", wait(100, 0)}, {"d1", wait(500, 0)}}, wish) ==
          0);
}

// Guards against all daemons choosing the same one of shards that are alike.
TEST_CASE("orders spread over shards that are alike", "[gateway]")
{
    const std::vector<shard_outlook> all{
        {"d0", wait(101, 0)}, {"d1", wait(109, 0)}, {"d2", wait(118, 0)}};
    std::vector<int> n(3);
    for (std::uint64_t lot = 0; lot < 300; ++lot)
        ++n[choose_shard(all, {"", 0, "d9", true, lot})];
    for (const auto it : n)
        CHECK(it > 60);
}
