#include "daemon.hpp"
#include "daemon_fixture.hpp"
#include "fiber_http.hpp"
#include "sha256.hpp"
#include "standin_fleet.hpp"

#include "absl/strings/escaping.h"

#include <zmq.h>

#include <array>

using namespace arbutusgate;
using namespace arbutusgate::test;

namespace {

std::string base_document(const std::string& target)
{
    return "open: [pools.*.slots_per_target]\nfleet:\n  slots:\n    a1: { "
           "failure_domain: a }\n"
           "pools:\n  stock:\n    kind: service\n    targets:\n"
           "      stock-01: { address: " +
           target +
           ", failure_domain: a }\n"
           "pipelines:\n  lookup:\n    deadline_ms: 5000\n    stages:\n"
           "      - { name: stock, pool: stock, expected_ms: 10, cost: 1 }\n"
           "accounts:\n  one: { key: key-of-account-one }\n";
}

constexpr std::string_view site_document =
    "pools:\n  stock: { slots_per_target: 4 }\n";

json::object entry(std::string_view name, std::string_view text)
{
    return {{"name", name}, {"sha256", absl::BytesToHexString(sha256(text))}};
}

/// Platform with one version of two documents and an empty VM list.
fake_target::handler platform(const std::string& base)
{
    return [base](http_exchange& it, int) {
        const std::string target(it.request().target());
        http_response     response(http::status::ok, 11);
        if (target.starts_with("/v1/config/head")) {
            fiber_sleep(it.thread().io(), milliseconds{5});
            response.body() = json::serialize(json::object{
                {"version", 3},
                {"documents", json::array{entry("base", base),
                                          entry("site/main", site_document)}}});
        }
        else if (target.starts_with("/v1/vms")) {
            response.body() = R"({"revision":1,"vms":[]})";
        }
        else {
            response.body() =
                target.find("site/main") == target.npos ? base : site_document;
        }
        it.respond(std::move(response));
    };
}

daemon_settings make_settings(const std::string& platform_address)
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    REQUIRE(zmq_curve_keypair(public_key.data(), secret_key.data()) == 0);
    daemon_settings it;
    it.slot           = "a1";
    it.site           = "main";
    it.failure_domain = "a";
    it.listen         = "127.0.0.1:0";
    it.admin          = "127.0.0.1:0";
    it.peer           = "127.0.0.1:0";
    it.platform       = platform_address;
    it.keys    = {public_key.data(), secret_key.data(), {public_key.data()}};
    it.threads = 1;
    return it;
}

} // namespace

// Guards against a daemon that serves before its configuration is in force,
// or whose drain fails readiness late or does not end.
TEST_CASE("a daemon joins, takes its configuration and drains")
{
    fake_target         stock([](http_exchange& it, int) {
        it.respond(json_answer(answer_to(body_of(it))));
    });
    fake_target         service(platform(base_document(stock.address())));
    arbutusgate::daemon process(make_settings(service.address()));
    CHECK(process.not_ready_reason() == "not_ready");
    REQUIRE(process.start().ok());
    REQUIRE(eventually([&] { return process.not_ready_reason().empty(); }));
    const auto status = json::parse(process.status_json()).as_object();
    CHECK(status.at("config_version") == json::value(3));
    CHECK(status.at("targets").as_array().size() == 1);

    process.drain();
    CHECK(process.not_ready_reason() == "draining");
    process.drain(); // changes nothing
    process.wait();
    CHECK(process.metrics_text().find("arbutusgate_draining 1\n") !=
          std::string::npos);
}

// Guards against a planner and a sender that no daemon runs.
TEST_CASE("a daemon commands the engines of its configuration")
{
    replica_init init;
    init.name    = "stock-01";
    init.address = "127.0.0.1:0";
    replica_fleet fleet(1);
    fleet.add_engine(init, {});
    REQUIRE(fleet.start("127.0.0.1:0").ok());
    const auto engine = fleet.replicas().front()->address();
    auto       base   = base_document(engine);
    const auto with   = [&](const std::string& from, const std::string& to) {
        base.replace(base.find(from), from.size(), to);
    };
    with("kind: service", "kind: generate\n    engine: { model: veld }");
    with("cost: 1 }", "cost: 1, model: veld, max_tokens: 9 }");

    fake_target         service(platform(base));
    arbutusgate::daemon process(make_settings(service.address()));
    REQUIRE(process.start().ok());
    io_thread thread;
    CHECK(eventually([&] {
        const auto state = fetch(thread, engine, "/v1/orders").json;
        return text_of(state, "model") == "veld" &&
               number_of(state, "fence", 0) == 3;
    }));
    CHECK(eventually([&] {
        return process.metrics_text().find(
                   "arbutusgate_command_sent_total 1") != std::string::npos;
    }));
    const auto status = json::parse(process.status_json()).as_object();
    CHECK(status.at("engines").as_array().size() == 1);
}
