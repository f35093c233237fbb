#include "gateway_settings.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

constexpr const char* text = R"(node: front-gp-a-1
failure_domain: gp-a
listen: 10.1.0.41:8625
ready: 10.1.0.41:8621
peer: 10.1.0.41:8628
metrics: 10.1.0.41:9464
store: 10.200.1.7:8624
seeds: ["10.1.0.41:8628","10.2.0.25:8628"]
ready_path: /readiness
max_descriptors: 4100
memory_mb: 120
bounds:
  drain_grace_s: 7.5
  config_in_force_ms: 2000
  target_drain_ms: 2000
  retry_ratio: 0.2
  retry_window_s: 10
  retry_slack: 58
)";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string out = text;
    const auto  n   = out.find(from);
    REQUIRE(n != std::string::npos);
    return out.replace(n, from.size(), to);
}

} // namespace

// Guards against a daemon that rejects what the platform's template renders,
// such as a bound with a fraction or an empty list of seeds.
TEST_CASE("gateway settings are parsed with their units", "[gateway]")
{
    const auto settings = parse_gateway_settings(text, "s.yaml");
    REQUIRE(settings.ok());
    CHECK(settings->bounds.drain_grace == milliseconds{7500});
    CHECK(settings->bounds.retry_window == milliseconds{10'000});
    CHECK(settings->bounds.retry_slack == 58);
    CHECK(settings->seeds.size() == 2);
    CHECK(settings->ready_path == "/readiness");
    CHECK(settings->work_estimates);
    CHECK_FALSE(
        parse_gateway_settings(
            replaced("bounds:", "work_estimates: false\nbounds:"), "s.yaml")
            ->work_estimates);
    CHECK(settings->memory_mb == 120);
    const auto without_seeds = parse_gateway_settings(
        replaced(R"(["10.1.0.41:8628","10.2.0.25:8628"])", "[]"), "s.yaml");
    CHECK(without_seeds->seeds.empty());
}

// Guards against a daemon that does not start where the platform names no
// failure domains, and against regions that are lost.
TEST_CASE("the regions of failure domains may be absent", "[gateway]")
{
    const auto regions = [](const std::string& section) {
        return parse_gateway_settings(
            replaced("bounds:", section + "\nbounds:"), "s.yaml");
    };
    const auto none = regions("regions:\n");
    REQUIRE(none.ok());
    CHECK(none->regions.empty());
    const auto two = regions("regions:\n\n  a: eu\n\n  b: us\n");
    REQUIRE(two.ok());
    REQUIRE(two->regions.size() == 2);
    CHECK(two->regions[1].failure_domain == "b");
    CHECK(two->regions[1].region == "us");
}

// Guards against a daemon that does not start since the platform's template
// renders nothing for a value that is not set, or an unusual one.
TEST_CASE("gateway settings without a value have their defaults", "[gateway]")
{
    const std::string line = GENERATE(
        "node: front-gp-a-1", "failure_domain: gp-a", "store: 10.200.1.7:8624",
        "ready_path: /readiness", "max_descriptors: 4100", "memory_mb: 120",
        "drain_grace_s: 7.5", "config_in_force_ms: 2000",
        "target_drain_ms: 2000", "retry_ratio: 0.2", "retry_window_s: 10",
        "retry_slack: 58");
    const auto key = line.substr(0, line.find(' '));
    CAPTURE(key);
    CHECK(parse_gateway_settings(replaced(line, key), "s.yaml").ok());
    CHECK(parse_gateway_settings(replaced(line, ""), "s.yaml").ok());
    CHECK(parse_gateway_settings(replaced("4100", "50"), "s.yaml")
              ->max_descriptors == 50);
    CHECK(
        parse_gateway_settings(replaced("4100", "1073741816"), "s.yaml").ok());
    CHECK(parse_gateway_settings(
              replaced("bounds:", "processor_share: 0\nbounds:"), "s.yaml")
              .ok());
    const auto without_slack =
        parse_gateway_settings(replaced("slack: 58", "slack:"), "s.yaml");
    REQUIRE(without_slack.ok());
    CHECK(without_slack->bounds.retry_slack == 0);
    CHECK(without_slack->bounds.retry_ratio == 0.2);
}

// Guards against invalid settings that are silently replaced by defaults.
TEST_CASE("invalid gateway settings are rejected with their line", "[gateway]")
{
    const auto message = [](const std::string& input) {
        return std::string(
            parse_gateway_settings(input, "s.yaml").status().message());
    };
    CHECK(message(replaced("listen:", "listens:")).find("listen: missing") !=
          std::string::npos);
    CHECK(message(replaced("10.1.0.41:8625", "host:8625"))
              .find("s.yaml:3:9: listen") == 0);
    CHECK(message(replaced("drain_grace_s: 7.5", "drain_grace_s: -1"))
              .find("drain_grace_s") != std::string::npos);
    CHECK(message(replaced("10.1.0.41:8621", "10.1.0.41:8625"))
              .find("listening address") != std::string::npos);
}

// Guards against a daemon that does not start because a newer template renders
// a key that it does not know, and against a misspelled key without a warning.
TEST_CASE("unknown keys of the gateway settings are ignored and reported",
          "[gateway][settings]")
{
    const auto top =
        parse_gateway_settings(replaced("node:", "nodes:"), "s.yaml");
    REQUIRE(top.ok());
    CHECK(top->node.empty());
    CHECK(top->listen == "10.1.0.41:8625");
    REQUIRE(top->ignored_keys.size() == 1);
    CHECK(top->ignored_keys[0].find("s.yaml:1:1: unknown key 'nodes'") == 0);
    const auto nested = parse_gateway_settings(
        replaced("  retry_ratio", "  later: { a: [1] }\n  retry_ratio"),
        "s.yaml");
    REQUIRE(nested.ok());
    CHECK(nested->bounds.retry_ratio == 0.2);
    REQUIRE(nested->ignored_keys.size() == 1);
    CHECK(nested->ignored_keys[0].find("s.yaml:16:") == 0);
    CHECK(parse_gateway_settings(text, "s.yaml")->ignored_keys.empty());
}

// Guards against a daemon that does not start because the platform renders a
// whole number with a decimal point.
TEST_CASE("whole numbers of the gateway settings may have a decimal point",
          "[gateway][settings]")
{
    const auto settings = parse_gateway_settings(
        replaced("4100\nmemory_mb: 120", "4100.0\nmemory_mb: 1.2e2"), "s.yaml");
    REQUIRE(settings.ok());
    CHECK(settings->max_descriptors == 4100);
    CHECK(settings->memory_mb == 120);
    for (const auto* wrong : {"4100.5", "-1.0", "5e9", "nan", "\"4100\""}) {
        CAPTURE(wrong);
        CHECK_FALSE(
            parse_gateway_settings(replaced("4100", wrong), "s.yaml").ok());
    }
}
