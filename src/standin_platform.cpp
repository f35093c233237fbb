#include "standin_platform.hpp"

#include "fiber_token.hpp"
#include "io_thread.hpp"
#include "log.hpp"
#include "standin_http.hpp"

#include "absl/strings/str_cat.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <future>

namespace arbutusgate {

namespace json = boost::json;

namespace {

constexpr auto          max_watch_time     = std::chrono::minutes{5};
constexpr std::uint32_t control_body_limit = 8 * 1024 * 1024; // bytes
constexpr milliseconds  poll_interval{100};

struct fault_name
{
    std::string_view name;
    platform_fault   fault;
};

constexpr std::array fault_names = {
    fault_name{"none", platform_fault::none},
    fault_name{"closed", platform_fault::closed},
    fault_name{"unavailable", platform_fault::unavailable},
    fault_name{"silent", platform_fault::silent},
};

json::object vm_json(const platform_vm& vm)
{
    return {{"id", vm.id},
            {"slot", vm.slot},
            {"address", vm.address},
            {"state", vm.leaving ? "leaving" : "live"}};
}

} // namespace

standin_platform::standin_platform(platform_init init, io_thread& thread)
    : init_(std::move(init)), thread_(thread),
      reads_(init_.read_rate, init_.read_burst),
      weights_(init_.weight_rate, std::max(1.0, init_.weight_rate))
{
    lists_.push_back({clock::time_point{}, 1, init_.vms});
}

standin_platform::~standin_platform()
{
    stop();
}

absl::Status standin_platform::start()
{
    if (auto status = documents_.publish(init_.documents); !status.ok())
        return status;
    const auto listen = [this](const std::string& address, auto handler) {
        http_server_init server;
        server.address    = address;
        server.body_limit = control_body_limit;
        server.handler    = std::move(handler);
        server.on_error   = read_error_response;
        return std::make_unique<http_server>(std::move(server),
                                             std::vector<io_thread*>{&thread_});
    };
    server_ = listen(init_.address, [this](http_exchange& it) { serve(it); });
    if (!init_.control.empty())
        control_ =
            listen(init_.control, [this](http_exchange& it) { control(it); });
    if (auto status = server_->start(); !status.ok() || !control_)
        return status;
    return control_->start();
}

void standin_platform::stop()
{
    std::promise<void> done;
    thread_.spawn([&] {
        stopping_ = true;
        wake_watches();
        done.set_value();
    });
    done.get_future().get();
    if (control_)
        control_->stop();
    if (server_)
        server_->stop();
}

std::uint16_t standin_platform::port() const
{
    return server_->port();
}

std::uint16_t standin_platform::control_port() const
{
    return control_->port();
}

void standin_platform::serve(http_exchange& exchange)
{
    if (fault_ == platform_fault::closed)
        return exchange.abort();
    while (fault_ == platform_fault::silent && !exchange.client_gone() &&
           !stopping_)
        fiber_sleep(thread_.io(), poll_interval);
    fiber_sleep(thread_.io(), init_.latency);
    if (fault_ != platform_fault::none)
        return exchange.respond(
            problem_response(http::status::service_unavailable, "unavailable"));
    ++stats_.reads;
    if (!reads_.take(clock::now())) {
        ++stats_.over_limit;
        auto response = problem_response(http::status::too_many_requests,
                                         "over_read_limit");
        response.set(http::field::retry_after, "1");
        return exchange.respond(std::move(response));
    }
    dispatch(exchange, request_path(exchange.request()));
}

void standin_platform::dispatch(http_exchange&      exchange,
                                const request_path& path)
{
    if (exchange.request().method() != http::verb::get)
        return exchange.respond(
            problem_response(http::status::method_not_allowed, "read_only"));
    if (path.path == "/v1/config/head")
        respond_head(exchange, path);
    else if (path.path.starts_with("/v1/config/document/"))
        respond_document(exchange, path);
    else if (path.path == "/v1/vms")
        respond_vms(exchange);
    else if (const auto name = path.after("/v1/weights/"); !name.empty())
        respond_weights(exchange, name);
    else
        exchange.respond(
            problem_response(http::status::not_found, "not_found"));
}

void standin_platform::respond_head(http_exchange&      exchange,
                                    const request_path& path)
{
    const auto after = path.number("after", 0);
    const auto wait  = std::min<milliseconds>(
        milliseconds{path.number("wait_ms", 0)}, max_watch_time);
    if (wait.count() > 0 && documents_.served() <= after) {
        ++stats_.watches;
        wait_for_version(exchange, after, wait);
    }
    if (fault_ != platform_fault::none)
        return exchange.abort();
    exchange.respond(json_response(http::status::ok, documents_.head()));
}

// Returns at a new version, on a fault, at the deadline, when the client
// disconnects or when the platform stops.
void standin_platform::wait_for_version(http_exchange& exchange,
                                        std::uint64_t after, milliseconds time)
{
    const auto deadline = clock::now() + time;
    ++stats_.open_watches;
    while (documents_.served() <= after && clock::now() < deadline &&
           fault_ == platform_fault::none && !stopping_ &&
           !exchange.client_gone())
    {
        boost::asio::steady_timer wake(thread_.io(), deadline);
        watches_.insert(&wake);
        exchange.on_client_gone([&wake] { wake.cancel(); });
        boost::system::error_code ec;
        wake.async_wait(fiber_token{ec});
        exchange.on_client_gone({});
        watches_.erase(&wake);
    }
    --stats_.open_watches;
}

void standin_platform::wake_watches()
{
    for (auto* it : watches_)
        it->cancel();
}

void standin_platform::respond_document(http_exchange&      exchange,
                                        const request_path& path)
{
    ++stats_.documents_read;
    const auto* text =
        documents_.find(path.after("/v1/config/document/"),
                        path.number("version", documents_.served()));
    if (!text)
        return exchange.respond(
            problem_response(http::status::not_found, "not_found"));
    http_response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/yaml");
    response.body() = *text;
    exchange.respond(std::move(response));
}

void standin_platform::respond_vms(http_exchange& exchange)
{
    const auto latest_visible = clock::now() - init_.list_lag;
    while (lists_.size() > 1 && lists_[1].at <= latest_visible)
        lists_.pop_front();
    json::array vms;
    for (const auto& it : lists_.front().vms)
        vms.push_back(vm_json(it));
    exchange.respond(
        json_response(http::status::ok, {{"revision", lists_.front().revision},
                                         {"vms", std::move(vms)}}));
}

void standin_platform::respond_weights(http_exchange&     exchange,
                                       const std::string& name)
{
    if (!weights_.take(clock::now())) {
        auto response = problem_response(http::status::too_many_requests,
                                         "over_weight_limit");
        response.set(http::field::retry_after, "1");
        return exchange.respond(std::move(response));
    }
    http_response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/octet-stream");
    while (response.body().size() < init_.weight_size)
        response.body() += name + '\n';
    response.body().resize(init_.weight_size);
    exchange.respond(std::move(response));
}

void standin_platform::control(http_exchange& exchange)
{
    const request_path path(exchange.request());
    json::object       body;
    if (exchange.request().method() == http::verb::get) {
        if (path.path == "/control/status")
            return exchange.respond(json_response(http::status::ok, status()));
        return exchange.respond(
            problem_response(http::status::not_found, "not_found"));
    }
    if (!parse_object(exchange.request().body(), body))
        return exchange.respond(
            problem_response(http::status::bad_request, "bad_request"));
    const auto result = apply_control(path.path, body);
    log(log_level::info, "control request",
        {{"resource", path.path},
         {"result", result.ToString()},
         {"newest", documents_.newest()}});
    wake_watches();
    if (!result.ok())
        return exchange.respond(problem_response(
            http::status::bad_request, std::string(result.message())));
    exchange.respond(json_response(http::status::ok, status()));
}

absl::Status standin_platform::apply_control(const std::string&  path,
                                             const json::object& body)
{
    if (path == "/control/publish")
        return publish(body);
    if (path == "/control/fault")
        return set_fault(body);
    if (path == "/control/serve")
        return documents_.pin(
            static_cast<std::uint64_t>(number_of(body, "version", 0)));
    if (path == "/control/vms")
        return set_vm(body);
    return absl::NotFoundError("no such resource");
}

absl::Status standin_platform::publish(const json::object& body)
{
    std::map<std::string, std::string> changes;
    for (const auto& it : body) {
        if (!it.value().is_string())
            return absl::InvalidArgumentError("document is not a string");
        changes[std::string(it.key())] = std::string(it.value().get_string());
    }
    return documents_.publish(changes);
}

absl::Status standin_platform::set_fault(const json::object& body)
{
    const auto name = text_of(body, "fault");
    for (const auto& it : fault_names) {
        if (it.name != name)
            continue;
        fault_ = it.fault;
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(
        "fault must be none, closed, unavailable or silent");
}

// Adds or changes the VM with this id; {"state": "gone"} removes it.
absl::Status standin_platform::set_vm(const json::object& body)
{
    const auto id    = text_of(body, "id");
    const auto state = text_of(body, "state");
    if (id.empty() ||
        (state != "live" && state != "leaving" && state != "gone"))
        return absl::InvalidArgumentError(
            "id is missing, or state is not live, leaving or gone");
    auto       vms = lists_.back().vms;
    const auto known =
        std::find_if(vms.begin(), vms.end(),
                     [&](const platform_vm& it) { return it.id == id; });
    platform_vm vm = known == vms.end() ? platform_vm{} : *known;
    if (known != vms.end())
        vms.erase(known);
    vm.id      = id;
    vm.leaving = state == "leaving";
    if (body.contains("slot"))
        vm.slot = text_of(body, "slot");
    if (body.contains("address"))
        vm.address = text_of(body, "address");
    if (state != "gone")
        vms.push_back(vm);
    const auto revision = lists_.back().revision + 1;
    lists_.push_back({clock::now(), revision, std::move(vms)});
    return absl::OkStatus();
}

json::object standin_platform::status() const
{
    return {{"newest", documents_.newest()},
            {"served", documents_.served()},
            {"revision", lists_.back().revision},
            {"reads", stats_.reads},
            {"over_limit", stats_.over_limit},
            {"watches", stats_.watches},
            {"open_watches", stats_.open_watches},
            {"documents_read", stats_.documents_read}};
}

} // namespace arbutusgate
