/// Benchmarks of the policy: CPU time to route one request, and memory per
/// target and per account.
#include "arbutusgate/policy.hpp"
#include "bench_heap.hpp"
#include "reason_counters.hpp"

#include <benchmark/benchmark.h>

#include <optional>

namespace arbutusgate {

namespace {

std::shared_ptr<deployment> make_deployment(std::int64_t targets,
                                            std::int64_t accounts)
{
    auto it = std::make_shared<deployment>();
    it->pools.resize(1);
    it->pools[0].name = "models";
    for (std::int64_t n = 0; n < targets; ++n) {
        const auto id = static_cast<std::uint32_t>(n);
        it->targets.push_back({"model-" + std::to_string(n), "127.0.0.1:1",
                               std::string(1, char('a' + n % 5)), pool_id{0}});
        it->pools[0].targets.push_back(target_id{id});
    }
    for (std::int64_t n = 0; n < accounts; ++n)
        it->accounts.push_back({"account-" + std::to_string(n),
                                "key-" + std::to_string(n),
                                1.0,
                                {}});
    pipeline_config pipeline;
    pipeline.name = "draft";
    pipeline.stages.resize(1);
    pipeline.stages[0].pool = pool_id{0};
    it->pipelines.push_back(pipeline);
    return it;
}

/// Runs the decisions of one single-stage request on an idle pool.
void route_request(policy& shared, std::uint64_t n, time_point now)
{
    request_info info;
    info.run      = n;
    info.pipeline = pipeline_id{0};
    info.account  = account_id{
        static_cast<std::uint32_t>(n % shared.current()->accounts.size())};
    info.deadline    = now + seconds{6};
    info.prefix_hash = n;
    pipeline_run run(shared, info, now);
    for (const auto& it : run.start(now)) {
        if (const auto* attempt = std::get_if<start_attempt>(&it))
            benchmark::DoNotOptimize(
                run.on_attempt({attempt->attempt}, now + milliseconds{50}));
    }
}

void route(benchmark::State& state)
{
    reason_counters counters;
    policy          shared(make_deployment(state.range(0), 5), {}, counters);
    time_point      now;
    std::uint64_t   n = 0;
    for (auto _ : state) {
        now += milliseconds{1};
        route_request(shared, ++n, now);
    }
}
BENCHMARK(route)->Arg(10)->Arg(60)->Arg(200)->Arg(600);

void policy_target_memory(benchmark::State& state)
{
    const auto      config = make_deployment(state.range(0), 5);
    reason_counters counters;
    double          bytes = 0;
    for (auto _ : state) {
        const auto before = heap_bytes();
        policy     shared(config, {}, counters);
        time_point now;
        for (std::uint64_t n = 0; n < 2000; ++n)
            route_request(shared, n, now += milliseconds{1});
        bytes = static_cast<double>(heap_bytes() - before);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(policy_target_memory)
    ->Arg(10)
    ->Arg(60)
    ->Arg(200)
    ->Arg(600)
    ->Iterations(3);

void policy_account_memory(benchmark::State& state)
{
    const auto      config = make_deployment(10, state.range(0));
    reason_counters counters;
    double          bytes = 0;
    const auto      runs  = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        const auto before = heap_bytes();
        policy     shared(config, {}, counters);
        time_point now;
        for (std::uint64_t n = 0; n < runs; ++n)
            route_request(shared, n, now += milliseconds{1});
        bytes = static_cast<double>(heap_bytes() - before);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(policy_account_memory)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(3000)
    ->Arg(9000)
    ->Iterations(3);

void deployment_account_memory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state) {
        const auto before = heap_bytes();
        const auto it     = make_deployment(10, state.range(0));
        bytes             = static_cast<double>(heap_bytes() - before);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(deployment_account_memory)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(3000)
    ->Arg(9000)
    ->Iterations(3);

} // namespace

} // namespace arbutusgate
