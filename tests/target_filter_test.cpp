#include "target_filter.hpp"

#include "crash_report.hpp"
#include "part_quarantine.hpp"
#include "target_directory.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + seconds{100} + milliseconds{ms};
}

/// Three services with a target in each of the domains a, b and c.
struct fixture
{
    target_directory targets{milliseconds{2000}};
    part_quarantine  quarantine;
    prompt_key       prompt;
    target_filter    filter{targets, quarantine, prompt};

    fixture()
    {
        for (const auto* service : {"model", "first", "second"}) {
            for (const auto* domain : {"a", "b", "c"}) {
                target it;
                it.service        = service;
                it.failure_domain = domain;
                it.id             = it.service + "-" + domain;
                it.address        = "10.0.0.1:80";
                targets.put(it);
            }
        }
    }

    std::vector<std::string> usable(int ms)
    {
        std::vector<std::string> out;
        for (const auto* it : filter.usable("model", at(ms)))
            out.push_back(it->id);
        return out;
    }
};

using ids = std::vector<std::string>;

} // namespace

// Guards against a load that follows the idle targets of a domain while it is
// evacuated, and against a domain that stays unused after that.
TEST_CASE("a request follows evacuations that come while it waits", "[gateway]")
{
    fixture f;
    CHECK(f.usable(0) == ids{"model-a", "model-b", "model-c"});
    f.targets.set_evacuated("b", true);
    CHECK(f.usable(10) == ids{"model-a", "model-c"});
    // Each target that was tried is left out, not another one of the domain.
    CHECK(f.filter.first_to_open("model", {"model-a"}, at(20)).first->id ==
          "model-c");
    f.targets.set_evacuated("a", true);
    f.targets.set_evacuated("c", true);
    CHECK(f.usable(30).empty());
    CHECK_FALSE(f.filter.first_to_open("model", {}, at(30)).first);
    f.targets.set_evacuated("b", false);
    CHECK(f.usable(40) == ids{"model-b"});
}

// Guards against a request whose stages run although its model has no target in
// its regions, or whose later stage has none.
TEST_CASE("regions bind all services of a request", "[gateway]")
{
    fixture f;
    service model;
    model.name = "model";
    route it;
    it.stages = {{"first", {}, 0}, {"second", {0}, 0}};
    CHECK_FALSE(f.filter.service_without_target(model, it, {1, 1}));
    f.filter.permit_domains(std::set<std::string>{"a"});
    CHECK(f.usable(0) == ids{"model-a"});
    CHECK_FALSE(f.filter.service_without_target(model, it, {1, 1}));
    f.targets.remove("second-a", at(0));
    const auto* missing = f.filter.service_without_target(model, it, {1, 1});
    REQUIRE(missing);
    CHECK(*missing == "second");
    // A stage without pieces needs no target.
    CHECK_FALSE(f.filter.service_without_target(model, it, {1, 0}));
    f.targets.set_evacuated("a", true);
    REQUIRE(f.filter.service_without_target(model, it, {0, 0}));
    f.filter.permit_domains(std::set<std::string>{});
    CHECK(f.usable(0).empty());
}
