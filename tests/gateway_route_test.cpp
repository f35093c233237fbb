#include "route_table.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate::gateway;

namespace {

route make_route(std::string name, std::string host, std::string prefix)
{
    route out;
    out.name        = std::move(name);
    out.host        = std::move(host);
    out.path_prefix = std::move(prefix);
    return out;
}

route_table make_table()
{
    configuration it;
    it.version = 7;
    it.routes.push_back(make_route("all", "a.example", "/"));
    it.routes.push_back(make_route("deep", "a.example", "/x/y/"));
    it.routes.push_back(make_route("mid", "a.example", "/x/"));
    it.routes.push_back(make_route("other", "b.example", "/x/"));
    it.accounts.push_back({"one", {"k1", "k2"}, {}});
    it.services.push_back({"s", "", 0, {}, {}});
    return route_table(std::move(it));
}

} // namespace

// Guards against a request that reaches the service of a shorter prefix or of
// another host.
TEST_CASE("a route is chosen by host and longest prefix", "[gateway]")
{
    const auto table = make_table();
    CHECK(table.find("a.example", "/x/y/z")->name == "deep");
    CHECK(table.find("a.example", "/x/yy/")->name == "mid");
    CHECK(table.find("a.example", "/x")->name == "all");
    CHECK(table.find("A.Example:8080", "/x/1")->name == "mid");
    CHECK(table.find("b.example", "/x/1")->name == "other");
    CHECK(table.find("b.example", "/y/") == nullptr);
    CHECK(table.find("c.example", "/x/") == nullptr);
}

// Guards against a key that is taken for another account's.
TEST_CASE("keys belong to their accounts only", "[gateway]")
{
    const auto table = make_table();
    CHECK(table.account_of("k2")->name == "one");
    CHECK(table.account_of("k") == nullptr);
    CHECK(table.account_of("") == nullptr);
    CHECK(table.find_service("s") != nullptr);
    CHECK(table.find_service("t") == nullptr);
}

// Guards against shares that never or always get work.
TEST_CASE("shares are picked by weight", "[gateway]")
{
    const std::vector<service_share> shares{{"a", 90}, {"b", 0}, {"c", 10}};
    CHECK(pick_share(shares, 0.0)->service == "a");
    CHECK(pick_share(shares, 0.899)->service == "a");
    CHECK(pick_share(shares, 0.9)->service == "c");
    CHECK(pick_share(shares, 0.999)->service == "c");
    CHECK(pick_share({}, 0.5) == nullptr);
    CHECK(pick_share({{"b", 0}}, 0.5) == nullptr);
}
