#include "target_directory.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

constexpr milliseconds grace{2000};

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

target make_target(std::string id, std::string service = "s")
{
    target out;
    out.address        = "10.0.0.1:80";
    out.id             = std::move(id);
    out.service        = std::move(service);
    out.failure_domain = "d1";
    return out;
}

} // namespace

// Guards against work for a target that drains or is gone.
TEST_CASE("leaving and removed targets get no work", "[gateway]")
{
    target_directory all(grace);
    CHECK(all.put(make_target("a")) == target_change::joined);
    CHECK(all.put(make_target("a")) == target_change::none);
    auto leaving    = make_target("a");
    leaving.leaving = true;
    CHECK(all.put(leaving) == target_change::leaving);
    CHECK(all.usable("s").empty());
    CHECK(all.find("a") != nullptr);
    CHECK(all.remove("a", at(0)) == target_change::gone);
    CHECK(all.find("a") == nullptr);
    CHECK(all.remove("a", at(0)) == target_change::none);
}

// Guards against a forged or damaged entry that keeps a target in use.
TEST_CASE("an entry that cannot be read ends the use of its target",
          "[gateway]")
{
    target_directory all(grace);
    all.put(make_target("a"));
    CHECK(all.reject("a", at(0)) == target_change::gone);
    CHECK(all.usable("s").empty());
}

// Guards against the use of connections and counts of an earlier process.
TEST_CASE("a target that started again has joined anew", "[gateway]")
{
    target_directory all(grace);
    auto             it = make_target("a");
    it.started_at       = 1;
    all.put(it);
    it.started_at = 2;
    CHECK(all.put(it) == target_change::joined);
    it.address = "10.0.0.2:80";
    CHECK(all.put(it) == target_change::joined);
    it.service = "t";
    CHECK(all.put(it) == target_change::joined);
    CHECK(all.usable("s").empty());
    CHECK(all.usable("t").size() == 1);
}

// Guards against an empty fleet after the store's leases ran out while it was
// away, and against targets that stay although they did not come back.
TEST_CASE("lapsed entries are kept for the grace after an outage", "[gateway]")
{
    target_directory all(grace);
    all.put(make_target("a"));
    all.put(make_target("b"));
    all.source_returned(at(1000));
    CHECK(all.remove("a", at(1010)) == target_change::none);
    CHECK(all.remove("b", at(1020)) == target_change::none);
    CHECK(all.usable("s").size() == 2);
    CHECK(all.expire(at(2999)).empty());
    CHECK(all.put(make_target("b")) == target_change::joined);
    CHECK(all.expire(at(3000)) == std::vector<std::string>{"a"});
    CHECK(all.usable("s").size() == 1);
    CHECK(all.remove("b", at(3001)) == target_change::gone);
}

// Guards against a target that said that it leaves and is kept all the same.
TEST_CASE("a leaving target has no grace", "[gateway]")
{
    target_directory all(grace);
    auto             it = make_target("a");
    it.leaving          = true;
    all.put(it);
    all.source_returned(at(0));
    CHECK(all.remove("a", at(1)) == target_change::gone);
}

// Guards against targets that a missed removal would leave for ever.
TEST_CASE("a whole list removes what is not in it", "[gateway]")
{
    target_directory all(grace);
    all.put(make_target("a"));
    all.put(make_target("b"));
    const auto gone =
        all.replace_all({make_target("b"), make_target("c")}, at(0));
    CHECK(gone == std::vector<std::string>{"a"});
    CHECK(all.usable("s").size() == 2);
    CHECK(all.find_by_address("10.0.0.1:80") != nullptr);
    CHECK(all.find_by_address("10.0.0.9:80") == nullptr);
}
