#include "settings_file.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

using state = settings_reading::state;

const std::string unmarked = R"(listen: 10.1.0.41:8625
ready: 10.1.0.41:8621
peer: 10.1.0.41:8628
metrics: 10.1.0.41:9464
memory_mb: 260
bounds:
  drain_grace_s: 5
  retry_slack: 58
)";
const std::string marked   = unmarked + "...\n";

time_point at(int ms)
{
    return time_point{} + seconds{100} + milliseconds{ms};
}

} // namespace

// Guards against a gateway that reloads a part of its settings: it stopped by
// the default grace, longer than the stated one, and was killed with requests
// open.
TEST_CASE("a part of the settings is not accepted in place of the whole",
          "[gateway][settings]")
{
    for (std::size_t n = 0; n < marked.size() - 1; ++n) {
        settings_file file("s.yaml");
        REQUIRE(file.update(marked, at(0)).outcome == state::accepted);
        CAPTURE(n);
        CHECK(file.update(marked.substr(0, n), at(5000)).outcome ==
              state::incomplete);
        CHECK(file.update(marked.substr(0, n), at(60'000), true).outcome ==
              state::incomplete);
        const auto whole = file.update(marked, at(65'000));
        REQUIRE(whole.outcome == state::accepted);
        CHECK(whole.settings->bounds.drain_grace == seconds{5});
    }
}

// Guards against the same where the settings have no marker.
TEST_CASE("the first part of the settings in force is not accepted",
          "[gateway][settings]")
{
    settings_file file("s.yaml");
    file.update(unmarked, at(0));
    REQUIRE(file.update(unmarked, at(1000)).outcome == state::accepted);
    const auto part = unmarked.substr(0, unmarked.find("  retry"));
    CHECK(file.update(part, at(2000)).outcome == state::incomplete);
    CHECK(file.update(part, at(60'000), true).outcome == state::incomplete);
    const auto changed = "memory_mb: 100\n" + part.substr(0, part.find("mem")) +
                         part.substr(part.find("bounds"));
    CHECK(file.update(changed, at(70'000)).outcome == state::incomplete);
    CHECK(file.update(changed, at(71'000)).outcome == state::accepted);
}

// Guards against a process that ends at its start, or starts with a part of its
// settings, because the file is written at the same time.
TEST_CASE("settings are complete once they have the marker or do not change",
          "[gateway][settings]")
{
    settings_file file("s.yaml");
    CHECK(file.update(absl::NotFoundError("no such file"), at(0)).outcome ==
          state::incomplete);
    CHECK(file.update(std::string{}, at(100)).outcome == state::incomplete);
    const auto part = unmarked.substr(0, unmarked.find("  retry"));
    CHECK(file.update(part, at(200)).outcome == state::incomplete);
    CHECK(file.settling(at(300)));
    SECTION("with the marker")
    {
        CHECK(file.update(marked, at(700)).outcome == state::accepted);
        CHECK_FALSE(file.settling(at(700)));
    }
    SECTION("without the marker")
    {
        CHECK(file.update(unmarked, at(700)).outcome == state::incomplete);
        CHECK(file.update(unmarked, at(1699)).outcome == state::incomplete);
        const auto whole = file.update(unmarked, at(1700));
        REQUIRE(whole.outcome == state::accepted);
        CHECK(whole.settings->bounds.retry_slack == 58);
    }
}

// Guards against a reload at each check of the file, against a SIGHUP without
// effect, and against invalid settings that are reported again and again.
TEST_CASE("settings are decided once for each text", "[gateway][settings]")
{
    settings_file file("s.yaml");
    REQUIRE(file.update(marked, at(0)).outcome == state::accepted);
    CHECK(file.update(marked, at(5000)).outcome == state::unchanged);
    CHECK(file.update(marked, at(5001), true).outcome == state::accepted);
    const auto invalid = "listen: none\n" + marked.substr(marked.find("ready"));
    const auto rejected = file.update(invalid, at(10'000));
    CHECK(rejected.outcome == state::rejected);
    CHECK(rejected.error.find("s.yaml:1:") != std::string::npos);
    CHECK(file.update(invalid, at(15'000)).outcome == state::unchanged);
}
