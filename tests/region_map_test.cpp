#include "region_map.hpp"

#include "stage_shards.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate::gateway;

// Guards against a request that leaves the regions of its route or account.
TEST_CASE("route and account both restrict the regions", "[gateway]")
{
    using names = std::set<std::string>;
    const region_map map({{"a", "eu"}, {"b", "eu"}, {"c", "us"}, {"d", "in"}});
    CHECK(map.has_several());
    CHECK_FALSE(map.permitted_domains({}, {}));
    CHECK(map.permitted_domains({"eu"}, {}) == names{"a", "b"});
    CHECK(map.permitted_domains({}, {"us", "in"}) == names{"c", "d"});
    CHECK(map.permitted_domains({"eu", "us"}, {"us"}) == names{"c"});
    // No domain is permitted, which is not the same as no restriction.
    CHECK(map.permitted_domains({"eu"}, {"us"}) == names{});
    CHECK(region_map{}.permitted_domains({"eu"}, {}) == names{});
    CHECK_FALSE(region_map({{"a", "eu"}, {"b", "eu"}}).has_several());
}

// Guards against a shard that holds targets of several regions: an order that
// is restricted to one of them would reach the others.
TEST_CASE("a small service is split by domain across regions", "[gateway]")
{
    target a;
    a.id             = "1";
    a.service        = "s";
    a.failure_domain = "a";
    auto b           = a;
    b.id             = "2";
    b.failure_domain = "b";
    CHECK(split_service("s", {&a, &b}).size() == 1);
    const auto shards = split_service("s", {&a, &b}, true);
    REQUIRE(shards.size() == 2);
    CHECK(shards[0].failure_domain == "a");
    CHECK(shards[1].failure_domain == "b");
}
