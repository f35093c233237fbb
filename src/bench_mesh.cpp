/// Benchmarks of the mesh: memory and traffic of links, CPU time per message.
#include "bench_heap.hpp"
#include "mesh.hpp"

#include "peer.pb.h"

#include <benchmark/benchmark.h>
#include <zmq.h>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <charconv>
#include <filesystem>
#include <memory>
#include <thread>

namespace arbutusgate {

namespace {

constexpr seconds wait_timeout{20};

peer_keys make_keys()
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data(), {public_key.data()}};
}

bool wait_for(const std::atomic<std::uint64_t>& count, std::uint64_t expected)
{
    const auto deadline = std::chrono::steady_clock::now() + wait_timeout;
    while (count < expected) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(milliseconds{1});
    }
    return true;
}

/// \return bytes that the open TCP connections of this process have sent,
/// without TCP and IP headers.
std::uint64_t tcp_bytes_sent()
{
    std::uint64_t out = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/self/fd")) {
        const auto name = entry.path().filename().string();
        int        fd   = -1;
        std::from_chars(name.data(), name.data() + name.size(), fd);
        tcp_info  info{};
        socklen_t size = sizeof(info);
        if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
            out += info.tcpi_bytes_sent;
    }
    return out;
}

/// One hub mesh that can open a link to each of n peers.
class mesh_star
{
public:
    explicit mesh_star(std::uint32_t n)
        : keys_(make_keys()),
          hub_({"127.0.0.1:0", keys_, [](const pb::PeerMessage&) {
                }})
    {
        started_ = hub_.start().ok();
        for (std::uint32_t k = 0; k < n; ++k) {
            peers_.push_back(std::make_unique<mesh>(
                mesh_init{"127.0.0.1:0", keys_, [&](const pb::PeerMessage&) {
                              ++received_;
                          }}));
            started_ = started_ && peers_.back()->start().ok();
            hub_.set_peer(slot_id{k}, peers_.back()->bound_address());
        }
    }

    /// Sends an empty message to each peer, which opens the links.
    /// \return false when a mesh did not start or a message was lost.
    bool send_to_all()
    {
        const auto n = static_cast<std::uint32_t>(peers_.size());
        received_    = 0;
        for (std::uint32_t k = 0; k < n; ++k)
            hub_.send(slot_id{k}, pb::PeerMessage());
        return started_ && wait_for(received_, n);
    }

private:
    peer_keys                          keys_;
    bool                               started_ = false;
    std::atomic<std::uint64_t>         received_{0};
    std::vector<std::unique_ptr<mesh>> peers_;
    mesh                               hub_;
};

/// Heap of both ends of the links from one mesh to n peers.
void mesh_link_memory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state) {
        mesh_star  star(static_cast<std::uint32_t>(state.range(0)));
        const auto before = heap_bytes();
        if (!star.send_to_all())
            return state.SkipWithError("messages were lost");
        bytes = static_cast<double>(heap_bytes() - before);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(mesh_link_memory)->Arg(4)->Arg(16)->Arg(32)->Arg(64)->Iterations(1);

/// CPU time and bytes of both ends to open n links with one empty message each,
/// then bytes per second of the idle links.
void mesh_link_cost(benchmark::State& state)
{
    constexpr seconds idle_time{8}; // four heartbeats
    double            open_bytes = 0, idle_bytes_per_s = 0;
    for (auto _ : state) {
        state.PauseTiming();
        mesh_star star(static_cast<std::uint32_t>(state.range(0)));
        state.ResumeTiming();
        const auto before = tcp_bytes_sent();
        if (!star.send_to_all())
            return state.SkipWithError("messages were lost");
        open_bytes = static_cast<double>(tcp_bytes_sent() - before);
        state.PauseTiming();
        const auto start = tcp_bytes_sent();
        std::this_thread::sleep_for(idle_time);
        idle_bytes_per_s = static_cast<double>(tcp_bytes_sent() - start) /
                           static_cast<double>(idle_time.count());
        state.ResumeTiming();
    }
    state.counters["open_bytes"] = open_bytes;
    state.counters["idle_bytes"] = idle_bytes_per_s;
}
BENCHMARK(mesh_link_cost)
    ->Arg(4)
    ->Arg(16)
    ->Arg(32)
    ->Arg(64)
    ->Iterations(1)
    ->MeasureProcessCPUTime();

/// CPU time of both ends for a message with a payload of n bytes.
void mesh_message(benchmark::State& state)
{
    const auto                 keys = make_keys();
    std::atomic<std::uint64_t> received{0};
    mesh receiver({"127.0.0.1:0", keys, [&](const pb::PeerMessage&) {
                       ++received;
                   }});
    mesh sender({"127.0.0.1:0", keys, [](const pb::PeerMessage&) {
                 }});
    if (!receiver.start().ok() || !sender.start().ok())
        return state.SkipWithError("mesh failed to start");
    sender.set_peer(slot_id{0}, receiver.bound_address());
    pb::PeerMessage message;
    message.mutable_claim_request()->mutable_claim()->set_key(
        std::string(static_cast<std::size_t>(state.range(0)), 'k'));
    std::uint64_t n = 0;
    for (auto _ : state) {
        sender.send(slot_id{0}, message);
        if (++n % 64 == 0 && !wait_for(received, n))
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
