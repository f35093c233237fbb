/// Front end with fake targets on loopback and a fake claim service.
#pragma once

#include "arbutusgate/policy.hpp"

#include "http_client.hpp"
#include "http_server.hpp"
#include "io_thread.hpp"
#include "leaving_watch.hpp"
#include "local_front.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace arbutusgate::test {

namespace json = boost::json;

/// Far longer than any step takes, even on a busy machine.
constexpr auto test_timeout = seconds{20};

/// Waits until the condition holds.
/// \return false after the time limit, which only a failing test reaches.
template <class Condition>
bool eventually(Condition holds)
{
    const auto end = std::chrono::steady_clock::now() + test_timeout;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds{2});
    }
    return true;
}

inline json::object request_json(http_exchange& it)
{
    return json::parse(it.request().body()).as_object();
}

inline http_response make_json_response(const json::object& body)
{
    http_response it(http::status::ok, 11);
    it.body() = json::serialize(body);
    return it;
}

/// Valid response body of a service to the call.
inline json::object service_response(const json::object& call,
                                     std::string_view    output = "output")
{
    return {{"request_id", call.at("request_id")},
            {"stage", call.at("stage")},
            {"attempt", call.at("attempt")},
            {"output", output}};
}

/// One event of an engine's stream that carries text.
inline std::string chunk(const json::object& call, std::uint64_t offset,
                         std::string_view text)
{
    return "data: " +
           json::serialize(json::object{
               {"request_id", call.at("request_id")},
               {"attempt", call.at("attempt")},
               {"offset", offset},
               {"choices", json::array{json::object{{"text", text}}}}}) +
           "\n\n";
}

/// Target whose handler receives the index of the call, starting at 0.
class fake_target
{
public:
    using handler = std::function<void(http_exchange&, int call)>;

    explicit fake_target(handler it)
    {
        http_server_init init;
        init.address = "127.0.0.1:0";
        init.handler = [this, it = std::move(it)](http_exchange& exchange) {
            it(exchange, calls_++);
        };
        init.on_error = [](http_error) {
            return http_response(http::status::bad_request, 11);
        };
        server_ = std::make_unique<http_server>(
            std::move(init), std::vector<io_thread*>{&thread_});
        REQUIRE(server_->start().ok());
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_->port());
    }
    int           calls() const { return calls_; }
    std::uint32_t connections() const { return server_->connections(); }
    io_thread&    thread() { return thread_; }

private:
    std::atomic<int>             calls_{0};
    io_thread                    thread_;
    std::unique_ptr<http_server> server_;
};

/// Claim service with a fixed outcome.
class fake_claims final : public claim_service
{
public:
    claim_event obtain(std::string_view, std::string_view,
                       std::uint64_t) override
    {
        return next;
    }
    bool use(std::uint64_t) override { return usable; }
    void release(std::uint64_t) override { ++released; }
    void record(std::uint64_t, recorded_answer it) override
    {
        recorded = std::move(it);
    }

    claim_event      next{1, claim_outcome::granted, {}};
    bool             usable = true;
    std::atomic<int> released{0};
    recorded_answer  recorded;
};

struct caller_response
{
    unsigned    status = 0;
    std::string body;
    std::string request_id;

    json::object parsed() const { return json::parse(body).as_object(); }
    std::string  text(std::string_view name) const
    {
        return std::string(parsed().at(name).as_string());
    }
};

/// Deployment with one pipeline "work" of one stage, and one pool with a target
/// for each address.
inline std::shared_ptr<deployment>
one_stage_deployment(stage_kind kind, bool idempotent,
                     const std::vector<std::string>& addresses)
{
    auto         it = std::make_shared<deployment>();
    stage_config stage;
    stage.name       = "only";
    stage.pool       = pool_id{0};
    stage.kind       = kind;
    stage.idempotent = idempotent;
    pool_config pool;
    pool.name = "pool";
    pool.kind = kind;
    for (std::uint32_t n = 0; n < addresses.size(); ++n) {
        it->targets.push_back(
            {"t" + std::to_string(n), addresses[n], "a", pool_id{0}});
        pool.targets.push_back(target_id{n});
    }
    it->pools.push_back(pool);
    it->pipelines.push_back({"work", seconds{10}, {stage}, 0, 2});
    it->accounts.push_back({"one", "key-one", 1, {}});
    it->accounts.push_back({"two", "key-two", 1, {pipeline_id{7}}});
    return it;
}

/// Front end that serves the deployment.
class front_end
{
public:
    /// \param read_timeout limits the time to read a whole request.
    explicit front_end(std::shared_ptr<const deployment> config,
                       milliseconds  read_timeout = limits::request_read,
                       prompt_guard* prompts      = nullptr)
        : front_(
              std::move(config), claims,
              [this](const std::string& it, const load_report& report) {
                  leaving.on_report(it, report);
              },
              read_timeout, prompts)
    {
        REQUIRE(front_.start().ok());
    }
    // No request may use `leaving` after its destruction.
    ~front_end() { front_.stop(); }

    front_end(const front_end&)            = delete;
    front_end& operator=(const front_end&) = delete;

    http_request request(std::string body = R"({"input":"in"})") const
    {
        http_request it(http::verb::post, "/v1/pipelines/work", 11);
        it.set(http::field::authorization, "Bearer key-one");
        it.set("Idempotency-Key", "k");
        it.body() = std::move(body);
        it.prepare_payload();
        return it;
    }

    /// Sends the request; on_part runs after each part of the body.
    caller_response call(const http_request&               request,
                         std::function<void(http_client&)> on_part = {})
    {
        std::promise<caller_response> result;
        client_.spawn([&] { result.set_value(exchange(request, on_part)); });
        return result.get_future().get();
    }

    std::uint16_t port() const { return front_.port(); }

    fake_claims claims;
    time_point  leaving_now{seconds{100}}; ///< Time that `leaving` reads.

private:
    local_front front_;

public:
    metrics&      counts  = front_.counts();
    explain_ring& explain = front_.explain();
    request_gate& gate    = front_.gate();
    leaving_watch leaving{{&front_.rules(), [](std::string_view) {},
                           [this] {
                               return leaving_now;
                           }}};

private:
    caller_response exchange(const http_request&                      request,
                             const std::function<void(http_client&)>& on_part)
    {
        caller_response           it;
        http_client               client(client_.io());
        boost::system::error_code ec;
        ec = client.connect(front_.address(), test_timeout);
        if (ec || (ec = client.send(request, test_timeout)))
            return it;
        it.status     = client.head().result_int();
        it.request_id = client.head()["X-Request-Id"];
        for (;;) {
            const auto part = client.read_some(test_timeout, ec);
            if (ec || part.empty())
                return it;
            it.body += part;
            if (on_part)
                on_part(client);
        }
    }

    io_thread client_;
};

} // namespace arbutusgate::test
