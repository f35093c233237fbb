#include "region_map.hpp"

#include "stage_shards.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate::gateway;

// Guards against a request that leaves the regions of its route or account.
TEST_CASE("route and account both restrict the regions", "[gateway]")
{
    using names = std::set<std::string>;
    const region_map map({{"a", "eu"}, {"b", "eu"}, {"c", "us"}, {"d", "in"}});
    CHECK_FALSE(map.permitted_domains({}, {}));
    CHECK(map.permitted_domains({"eu"}, {}) == names{"a", "b"});
    CHECK(map.permitted_domains({}, {"us", "in"}) == names{"c", "d"});
    CHECK(map.permitted_domains({"eu", "us"}, {"us"}) == names{"c"});
    // No domain is permitted, which is not the same as no restriction.
    CHECK(map.permitted_domains({"eu"}, {"us"}) == names{});
    CHECK(region_map{}.permitted_domains({"eu"}, {}) == names{});
}

// Guards against a shard that holds targets of several domains where a route or
// an account is restricted, also to the only region: its orders would reach
// targets that they may not use, or find no shard.
TEST_CASE("a small service is split by domain for restricted requests",
          "[gateway]")
{
    configuration config;
    config.routes.emplace_back();
    config.accounts.emplace_back();
    CHECK_FALSE(restricts_regions(config));
    config.accounts[0].regions = {"eu"};
    CHECK(restricts_regions(config));
    config.accounts[0].regions.clear();
    config.routes[0].regions = {"eu"};
    CHECK(restricts_regions(config));
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
