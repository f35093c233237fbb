/// Helpers shared by the benchmarks of the front end.
#pragma once

#include "arbutusgate/deployment.hpp"

#include "claim_service.hpp"
#include "http_server.hpp"
#include "io_thread.hpp"

#include <ctime>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>

namespace arbutusgate {

/// Claim service that grants nothing: the pipeline of the benchmarks needs no
/// claims.
class null_claim_service final : public claim_service
{
public:
    claim_event obtain(std::string_view, std::string_view,
                       std::uint64_t) override
    {
        return {};
    }
    bool use(std::uint64_t) override { return false; }
    void release(std::uint64_t) override {}
    void record(std::uint64_t, recorded_answer) override {}
};

/// Parameters of a server on a free loopback port.
inline http_server_init make_server(std::function<void(http_exchange&)> handler)
{
    http_server_init out;
    out.address  = "127.0.0.1:0";
    out.handler  = std::move(handler);
    out.on_error = [](http_error) {
        return http_response(http::status::bad_request, 11);
    };
    return out;
}

inline std::string address_of(const http_server& it)
{
    return "127.0.0.1:" + std::to_string(it.port());
}

/// Request of account "one" to pipeline "work".
inline http_request make_call(std::string body)
{
    http_request out(http::verb::post, "/v1/pipelines/work", 11);
    out.set(http::field::authorization, "Bearer key-one");
    out.set(http::field::content_type, "application/json");
    out.body() = std::move(body);
    out.prepare_payload();
    return out;
}

/// Deployment of pipeline "work" with one stage and one target. The deadline is
/// longer than a benchmark, and the target has more slots than a benchmark has
/// calls in flight, so that neither limits the measurement.
inline std::shared_ptr<deployment>
one_target_deployment(const std::string& address, stage_kind kind)
{
    auto         out = std::make_shared<deployment>();
    stage_config stage;
    stage.name = "only";
    stage.pool = pool_id{0};
    stage.kind = kind;
    pool_config pool;
    pool.name             = "pool";
    pool.kind             = kind;
    pool.targets          = {target_id{0}};
    pool.slots_per_target = 4096;
    out->pools.push_back(pool);
    out->targets.push_back({"t", address, "a", pool_id{0}});
    out->pipelines.push_back({"work", seconds{60}, {stage}, 0, 2});
    out->accounts.push_back({"one", "key-one", 1, {}});
    return out;
}

/// CPU time that the thread has used so far.
inline std::chrono::nanoseconds thread_cpu_time(io_thread& thread)
{
    std::promise<std::chrono::nanoseconds> time;
    thread.spawn([&time] {
        timespec now{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        time.set_value(seconds{now.tv_sec} +
                       std::chrono::nanoseconds{now.tv_nsec});
    });
    return time.get_future().get();
}

} // namespace arbutusgate
