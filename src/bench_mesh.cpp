/// Benchmarks of the mesh: memory of a link and time of a message.
#include "bench_heap.hpp"
#include "mesh.hpp"

#include "peer.pb.h"

#include <benchmark/benchmark.h>
#include <zmq.h>

#include <array>
#include <atomic>
#include <memory>
#include <thread>

namespace arbutusgate {

namespace {

constexpr seconds wait_limit{20};

peer_keys make_keys()
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data(), {public_key.data()}};
}

bool wait_for(const std::atomic<std::uint64_t>& count, std::uint64_t wanted)
{
    const auto until = std::chrono::steady_clock::now() + wait_limit;
    while (count < wanted) {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(milliseconds{1});
    }
    return true;
}

/// Heap of both ends of the links from one mesh to n others.
void mesh_link_memory(benchmark::State& state)
{
    const auto                 n = static_cast<std::uint32_t>(state.range(0));
    const auto                 keys = make_keys();
    std::atomic<std::uint64_t> arrived{0};
    double                     bytes = 0;
    for (auto _ : state) {
        arrived = 0;
        std::vector<std::unique_ptr<mesh>> others;
        mesh hub({"127.0.0.1:0", keys, [](const pb::PeerMessage&) {
                  }});
        if (!hub.start().ok())
            return state.SkipWithError("mesh does not start");
        for (std::uint32_t k = 0; k < n; ++k) {
            others.push_back(std::make_unique<mesh>(
                mesh_init{"127.0.0.1:0", keys, [&](const pb::PeerMessage&) {
                              ++arrived;
                          }}));
            if (!others.back()->start().ok())
                return state.SkipWithError("mesh does not start");
            hub.set_peer(slot_id{k}, others.back()->bound_address());
        }
        const auto before = heap_bytes();
        for (std::uint32_t k = 0; k < n; ++k)
            hub.send(slot_id{k}, pb::PeerMessage());
        if (!wait_for(arrived, n))
            return state.SkipWithError("messages were lost");
        bytes = static_cast<double>(heap_bytes() - before);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(mesh_link_memory)->Arg(4)->Arg(16)->Arg(32)->Arg(64)->Iterations(1);

/// Processor time of both ends for a message with a payload of n bytes.
void mesh_message(benchmark::State& state)
{
    const auto                 keys = make_keys();
    std::atomic<std::uint64_t> arrived{0};
    mesh receiver({"127.0.0.1:0", keys, [&](const pb::PeerMessage&) {
                       ++arrived;
                   }});
    mesh sender({"127.0.0.1:0", keys, [](const pb::PeerMessage&) {
                 }});
    if (!receiver.start().ok() || !sender.start().ok())
        return state.SkipWithError("mesh does not start");
    sender.set_peer(slot_id{0}, receiver.bound_address());
    pb::PeerMessage message;
    message.mutable_claim_request()->mutable_claim()->set_key(
        std::string(static_cast<std::size_t>(state.range(0)), 'k'));
    std::uint64_t n = 0;
    for (auto _ : state) {
        sender.send(slot_id{0}, message);
        if (++n % 64 == 0 && !wait_for(arrived, n))
            return state.SkipWithError("messages were lost");
    }
}
BENCHMARK(mesh_message)
    ->Arg(100)
    ->Arg(500)
    ->Arg(2000)
    ->Arg(8000)
    ->MeasureProcessCPUTime();

} // namespace

} // namespace arbutusgate
