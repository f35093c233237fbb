/// Benchmarks of the node core in a simulated fleet whose messages are
/// delivered without delay.
#include "arbutusgate/node_core.hpp"
#include "bench_heap.hpp"

#include "peer.pb.h"

#include <benchmark/benchmark.h>

#include "absl/strings/str_cat.h"

#include <memory>
#include <string>
#include <vector>

namespace arbutusgate {

namespace {

constexpr milliseconds tick_period{100};
constexpr int          failure_domain_count = 5;

/// Bytes that the mesh adds to one message: ZMTP header, CURVE nonce and
/// authenticator, TCP and IP headers.
constexpr std::size_t message_overhead_bytes = 75;

class simulated_fleet
{
public:
    explicit simulated_fleet(std::int64_t n)
    {
        node_init init;
        init.retry_window = seconds{1};
        for (std::int64_t k = 0; k < n; ++k)
            init.slots.push_back(
                {absl::StrCat("slot-", k),
                 std::string(1, char('a' + k % failure_domain_count))});
        for (std::int64_t k = 0; k < n; ++k) {
            init.self         = slot_id{static_cast<std::uint32_t>(k)};
            init.incarnation  = 1000 + static_cast<std::uint64_t>(k);
            init.seed         = 77 + static_cast<std::uint64_t>(k);
            const auto before = heap_bytes();
            nodes_.push_back(std::make_unique<node_core>(init, now_));
            empty_bytes_ = heap_bytes() - before;
        }
    }

    void run(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += tick_period;
            for (auto& it : nodes_)
                it->tick(now_);
            deliver();
        }
    }

    /// Delivers messages and handles events until none are left.
    void deliver()
    {
        for (bool more = true; more;) {
            more = false;
            for (std::size_t n = 0; n < nodes_.size(); ++n)
                more = deliver_from(n) || more;
        }
    }

    void publish(std::uint64_t version, const std::string& base)
    {
        nodes_[0]->on_config_read(version, {{"base", base}, {"site/s", "x"}},
                                  now_);
        deliver();
    }

    std::vector<claim_event> claim(std::size_t node, const std::string& key)
    {
        claims_.clear();
        nodes_[node]->begin_claim("account", key, 1, now_);
        deliver();
        return claims_;
    }

    node_core&    node(std::size_t n) { return *nodes_[n]; }
    std::size_t   size() const { return nodes_.size(); }
    time_point    now() const { return now_; }
    std::uint64_t messages() const { return messages_; }
    std::uint64_t bytes() const { return bytes_; }
    std::int64_t  empty_bytes() const { return empty_bytes_; }

private:
    bool deliver_from(std::size_t from)
    {
        bool delivered = false;
        for (auto& it : nodes_[from]->take_outgoing()) {
            // Messages are serialized and parsed as they are on the mesh.
            const auto text = it.message->SerializeAsString();
            ++messages_;
            bytes_ += text.size() + message_overhead_bytes;
            pb::PeerMessage parsed;
            parsed.ParseFromString(text);
            nodes_[it.to.idx]->on_message(parsed, now_);
            delivered = true;
        }
        for (auto& it : nodes_[from]->take_events()) {
            if (const auto* config = std::get_if<config_event>(&it))
                nodes_[from]->accept_config(config->version, now_);
            else if (const auto* claim = std::get_if<claim_event>(&it))
                claims_.push_back(*claim);
            delivered = true;
        }
        return delivered;
    }

    std::vector<std::unique_ptr<node_core>> nodes_;
    std::vector<claim_event>                claims_;
    time_point                              now_;
    std::uint64_t                           messages_    = 0;
    std::uint64_t                           bytes_       = 0;
    std::int64_t                            empty_bytes_ = 0;
};

// Longer than a fleet without any previous state needs to settle.
constexpr milliseconds settle_time = seconds{20};
// When all daemons start at once, each has to learn the incarnations of all
// others.
constexpr milliseconds membership_settle_time = seconds{90};

/// Cost per daemon of one simulated second of an idle fleet.
void gossip_second(benchmark::State& state)
{
    simulated_fleet it(state.range(0));
    it.publish(1, "base");
    it.run(membership_settle_time);
    const auto messages = it.messages();
    const auto bytes    = it.bytes();
    double     rounds   = 0;
    for (auto _ : state) {
        it.run(seconds{1});
        rounds += static_cast<double>(it.size());
    }
    double alive = 0;
    for (std::size_t n = 0; n < it.size(); ++n)
        alive += it.node(n).alive_count(it.now());
    const auto daemons           = static_cast<double>(it.size());
    state.counters["alive_seen"] = alive / daemons / daemons;
    state.counters["node_bytes_per_s"] =
        static_cast<double>(it.bytes() - bytes) / rounds;
    state.counters["node_messages_per_s"] =
        static_cast<double>(it.messages() - messages) / rounds;
    state.counters["node_ns_per_s"] =
        benchmark::Counter(rounds * 1e-9, benchmark::Counter::kIsRate |
                                              benchmark::Counter::kInvert);
}
BENCHMARK(gossip_second)->Arg(9)->Arg(36)->Arg(120)->Arg(360)->Iterations(20);

/// Heap of one daemon that knows its peers.
void node_memory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state) {
        const auto      before = heap_bytes();
        simulated_fleet it(state.range(0));
        it.publish(1, "base");
        it.run(settle_time);
        bytes = static_cast<double>(heap_bytes() - before) /
                static_cast<double>(it.size());
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(node_memory)->Arg(9)->Arg(36)->Arg(120)->Arg(360)->Iterations(1);

/// One claim from its start to its recorded response: CPU time, messages and
/// bytes of the owner and the voters together.
void claim(benchmark::State& state)
{
    simulated_fleet it(state.range(0));
    it.publish(1, "base");
    it.run(settle_time);
    const auto  messages = it.messages();
    const auto  bytes    = it.bytes();
    std::size_t n        = 0;
    for (auto _ : state) {
        const auto owner  = n % it.size();
        const auto events = it.claim(owner, absl::StrCat("key-", ++n));
        if (events.empty() || events[0].outcome != claim_outcome::granted)
            return state.SkipWithError("claim was not granted");
        it.node(owner).use_claim(events[0].claim, it.now());
        it.node(owner).record_answer(events[0].claim,
                                     {200, std::string(500, 'x')}, it.now());
        it.deliver();
    }
    state.counters["messages"] =
        static_cast<double>(it.messages() - messages) / static_cast<double>(n);
    state.counters["bytes_sent"] =
        static_cast<double>(it.bytes() - bytes) / static_cast<double>(n);
}
BENCHMARK(claim)->Arg(9)->Arg(36)->Arg(120)->Arg(360);

/// Heap of all voters together for the claims of one retry window, with
/// responses of 500 bytes.
void claim_memory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state) {
        simulated_fleet it(9);
        it.publish(1, "base");
        it.run(settle_time);
        const auto before = heap_bytes();
        for (std::int64_t n = 0; n < state.range(0); ++n) {
            const auto events = it.claim(static_cast<std::size_t>(n) % 9,
                                         absl::StrCat("key-", n));
            if (events.empty())
                return state.SkipWithError("claim was lost");
            it.node(static_cast<std::size_t>(n) % 9)
                .record_answer(events[0].claim, {200, std::string(500, 'x')},
                               it.now());
            it.deliver();
        }
        bytes = static_cast<double>(heap_bytes() - before);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(claim_memory)
    ->Arg(100)
    ->Arg(400)
    ->Arg(1600)
    ->Arg(6400)
    ->Iterations(1);

/// A change of one value in a base document of 64 KB, until all daemons use the
/// new version: bytes sent per daemon, and simulated seconds.
void config_change(benchmark::State& state)
{
    simulated_fleet   it(state.range(0));
    const std::string padding(64 * 1024, 'x');
    it.publish(1, "1" + padding);
    it.run(settle_time);
    const auto    bytes         = it.bytes();
    std::uint64_t version       = 1;
    double        total_seconds = 0;
    for (auto _ : state) {
        const auto start = it.now();
        ++version;
        it.publish(version, std::to_string(version) + padding);
        bool all = false;
        while (!all) {
            it.run(tick_period);
            all = true;
            for (std::size_t n = 0; n < it.size(); ++n)
                all = all && it.node(n).config_version() == version;
        }
        total_seconds +=
            std::chrono::duration<double>(it.now() - start).count();
    }
    const auto changes           = static_cast<double>(version - 1);
    state.counters["node_bytes"] = static_cast<double>(it.bytes() - bytes) /
                                   changes / static_cast<double>(it.size());
    state.counters["seconds"] = total_seconds / changes;
}
BENCHMARK(config_change)->Arg(9)->Arg(36)->Arg(120)->Arg(360)->Iterations(5);

} // namespace

} // namespace arbutusgate
