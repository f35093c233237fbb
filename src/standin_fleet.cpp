#include "standin_fleet.hpp"

#include "io_thread.hpp"
#include "log.hpp"
#include "standin_http.hpp"
#include "standin_service.hpp"

#include "absl/strings/str_cat.h"

#include <boost/json/array.hpp>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <map>
#include <sstream>

namespace arbutusgate {

namespace json = boost::json;

namespace {

constexpr std::uint64_t default_page_size = 10000; // records

json::object replica_json(const standin_replica& replica)
{
    const auto it = replica.stats();
    return {{"name", replica.name()},
            {"address", replica.address()},
            {"in_flight", replica.in_flight()},
            {"calls", it.calls},
            {"executed", it.executed},
            {"refused", it.refused},
            {"failed", it.failed},
            {"cancelled", it.cancelled},
            {"late_calls", it.late_calls},
            {"early_calls", it.early_calls},
            {"calls_over_limit", it.calls_over_limit},
            {"behaviour", to_json(replica.behaviour())}};
}

/// Smallest expected time, in ms, of the stages that use each pool.
std::map<std::string, double> expected_times(const YAML::Node& root)
{
    std::map<std::string, double> times;
    for (const auto& pipeline : root["pipelines"]) {
        for (const auto& stage : pipeline.second["stages"]) {
            const auto pool = stage["pool"].as<std::string>("");
            const auto time = stage["expected_ms"].as<double>(0);
            if (time <= 0)
                continue;
            const auto known = times.emplace(pool, time).first;
            known->second    = std::min(known->second, time);
        }
    }
    return times;
}

std::vector<replica_init> pool_replicas(const YAML::Node& pool, double time)
{
    std::vector<replica_init> all;
    for (const auto& target : pool["targets"]) {
        replica_init it;
        it.name    = target.first.as<std::string>();
        it.address = target.second["address"].as<std::string>();
        it.slots   = pool["slots_per_target"].as<std::uint32_t>(it.slots);
        if (time > 0)
            it.behaviour.latency_ms = time;
        all.push_back(std::move(it));
    }
    return all;
}

} // namespace

replica_fleet::replica_fleet(std::size_t threads)
    : control_thread_(std::make_unique<io_thread>())
{
    for (std::size_t n = 0; n < threads; ++n)
        threads_.push_back(std::make_unique<io_thread>());
}

replica_fleet::~replica_fleet()
{
    stop();
}

void replica_fleet::add_service(replica_init init)
{
    replicas_.push_back(
        std::make_unique<standin_service>(std::move(init), executions_));
}

void replica_fleet::add_engine(replica_init init, const engine_init& engine)
{
    replicas_.push_back(std::make_unique<standin_engine>(
        std::move(init), engine, executions_, deadly_calls_));
}

absl::Status replica_fleet::start(const std::string& control)
{
    std::size_t n = 0;
    for (const auto& it : replicas_) {
        if (auto status = it->start(*threads_[n++ % threads_.size()]);
            !status.ok())
            return status;
    }
    if (control.empty())
        return absl::OkStatus();
    http_server_init server;
    server.address = control;
    server.handler = [this](http_exchange& it) {
        serve_control(it);
    };
    server.on_error = read_error_response;
    control_        = std::make_unique<http_server>(
        std::move(server), std::vector<io_thread*>{control_thread_.get()});
    return control_->start();
}

void replica_fleet::stop()
{
    if (control_)
        control_->stop();
    for (const auto& it : replicas_)
        it->stop();
}

void replica_fleet::serve_control(http_exchange& exchange)
{
    const request_path path(exchange.request());
    const bool         get = exchange.request().method() == http::verb::get;
    if (get && path.path == "/control/executions")
        return exchange.respond(json_response(
            http::status::ok,
            executions_.page(path.number("after", 0),
                             path.number("limit", default_page_size))));
    if (get && path.path == "/control/stats")
        return exchange.respond(json_response(http::status::ok, stats()));
    if (get || path.path != "/control/behaviour")
        return exchange.respond(
            problem_response(http::status::not_found, "not_found"));
    json::object values;
    if (!parse_object(exchange.request().body(), values))
        return exchange.respond(
            problem_response(http::status::bad_request, "bad_request"));
    const auto status = set_behaviour(path.query("replica"), values);
    log(log_level::info, "behaviour changed",
        {{"replica", path.query("replica")},
         {"values", values},
         {"result", status.ToString()}});
    if (!status.ok())
        return exchange.respond(problem_response(
            http::status::bad_request, std::string(status.message())));
    exchange.respond(json_response(http::status::ok, stats()));
}

absl::Status replica_fleet::set_behaviour(const std::string&  replica,
                                          const json::object& values)
{
    bool found = false;
    for (const auto& it : replicas_) {
        if (!replica.empty() && it->name() != replica)
            continue;
        found          = true;
        auto behaviour = it->behaviour();
        if (auto status = update_behaviour(values, behaviour); !status.ok())
            return status;
        it->set_behaviour(behaviour);
    }
    return found ? absl::OkStatus()
                 : absl::NotFoundError("no replica has this name");
}

json::object replica_fleet::stats() const
{
    json::array all;
    for (const auto& it : replicas_)
        all.push_back(replica_json(*it));
    json::array late;
    for (const auto& it : deadly_calls_.late_tags())
        late.emplace_back(it);
    return {{"replicas", std::move(all)},
            {"deadly_crashes", deadly_calls_.crashes()},
            {"late_deadly_tags", std::move(late)}};
}

absl::StatusOr<std::vector<replica_init>> read_replicas(const std::string& path,
                                                        const std::string& kind)
{
    std::ifstream file(path);
    if (!file)
        return absl::InvalidArgumentError(absl::StrCat("cannot read ", path));
    std::vector<replica_init> all;
    std::string               line;
    for (int n = 1; std::getline(file, line); ++n) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream words(line);
        std::string        word;
        replica_init       it;
        if (!(words >> word >> it.name >> it.address) ||
            (word != "engine" && word != "service"))
            return absl::InvalidArgumentError(absl::StrCat(
                path, ":", n, ": expected engine|service NAME IP:PORT"));
        if (word == kind)
            all.push_back(std::move(it));
    }
    return all;
}

absl::StatusOr<std::vector<replica_init>>
read_deployment(const std::string& path, const std::string& kind)
try {
    const auto                root  = YAML::LoadFile(path);
    const auto                times = expected_times(root);
    std::vector<replica_init> all;
    for (const auto& it : root["pools"]) {
        const auto pool   = it.first.as<std::string>();
        const bool engine = it.second["kind"].as<std::string>("") == "generate";
        if (engine != (kind == "engine"))
            continue;
        const auto time = times.find(pool);
        // The deployment does not contain the token time of an engine.
        auto replicas = pool_replicas(
            it.second, engine || time == times.end() ? 0 : time->second);
        all.insert(all.end(), std::make_move_iterator(replicas.begin()),
                   std::make_move_iterator(replicas.end()));
    }
    return all;
}
catch (const YAML::Exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat(path, ": ", std::string(error.what())));
}

} // namespace arbutusgate
