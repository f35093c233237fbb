/// Benchmarks of the front end for callers against a plain forwarder built on
/// the same HTTP library: the baseline that shows what the daemon adds.
#include "bench_front.hpp"
#include "http_client.hpp"
#include "http_server.hpp"
#include "io_thread.hpp"
#include "local_front.hpp"

#include <benchmark/benchmark.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <future>
#include <memory>
#include <vector>

namespace arbutusgate {

namespace {

constexpr seconds call_timeout{10};

http_response make_ok_response(std::string body)
{
    http_response out(http::status::ok, 11);
    out.set(http::field::content_type, "application/json");
    out.body() = std::move(body);
    return out;
}

/// Sends one call over a keep-alive connection.
/// \return response body; empty when the call failed.
std::string call(http_client& client, const http_request& request)
{
    auto ec = client.send(request, call_timeout);
    return ec ? std::string() : client.read_all(call_timeout, ec);
}

/// Forwards each request to one target without any routing decision.
class plain_forwarder
{
public:
    explicit plain_forwarder(std::string target)
        : target_(std::move(target)),
          server_(make_server([this](auto& it) { forward(it); }), {&thread_})
    {
        if (!server_.start().ok())
            std::abort();
    }

    std::string address() const { return address_of(server_); }
    io_thread&  thread() { return thread_; }

private:
    void forward(http_exchange& it)
    {
        std::unique_ptr<http_client> client;
        if (idle_.empty()) {
            client = std::make_unique<http_client>(thread_.io());
            if (client->connect(target_, call_timeout))
                return it.abort();
        }
        else {
            client = std::move(idle_.back());
            idle_.pop_back();
        }
        it.respond(
            make_ok_response(call(*client, make_call(it.request().body()))));
        if (client->reusable())
            idle_.push_back(std::move(client));
    }

    std::string                               target_;
    io_thread                                 thread_;
    std::vector<std::unique_ptr<http_client>> idle_;
    http_server                               server_;
};

/// Closed-loop load: each connection sends its next call when the previous one
/// has ended.
/// \return sorted latencies in ms.
std::vector<double> run_closed_loop(io_thread&         thread,
                                    const std::string& address,
                                    std::size_t connections, std::size_t calls)
{
    std::vector<std::future<std::vector<double>>> results;
    for (std::size_t n = 0; n < connections; ++n) {
        auto promise = std::make_shared<std::promise<std::vector<double>>>();
        results.push_back(promise->get_future());
        thread.spawn([&thread, address, calls, promise] {
            std::vector<double> times;
            http_client         client(thread.io());
            if (!client.connect(address, call_timeout)) {
                for (std::size_t k = 0; k < calls; ++k) {
                    const auto start = std::chrono::steady_clock::now();
                    if (call(client, make_call("{\"input\":\"x\"}")).empty())
                        break;
                    const std::chrono::duration<double, std::milli> time =
                        std::chrono::steady_clock::now() - start;
                    times.push_back(time.count());
                }
            }
            promise->set_value(std::move(times));
        });
    }
    std::vector<double> all;
    for (auto& it : results) {
        const auto times = it.get();
        all.insert(all.end(), times.begin(), times.end());
    }
    std::sort(all.begin(), all.end());
    return all;
}

/// Responds as a stage service does. Calls of the plain forwarder carry no ids.
void respond_to_call(http_exchange& it)
{
    boost::system::error_code ec;
    const auto call = boost::json::parse(it.request().body(), ec).as_object();
    boost::json::object out{{"output", "y"}};
    for (const auto* name : {"request_id", "stage", "attempt"}) {
        if (const auto* value = call.if_contains(name))
            out[name] = *value;
    }
    it.respond(make_ok_response(boost::json::serialize(out)));
}

/// The daemon's front end in front of the target.
class daemon_front
{
public:
    explicit daemon_front(const std::string& target)
        : front_(one_target_deployment(target, stage_kind::service), claims_,
                 [](const std::string&, const load_report&) {})
    {
        if (!front_.start().ok())
            std::abort();
    }

    std::string address() const { return front_.address(); }
    io_thread&  thread() { return front_.thread(); }

private:
    null_claim_service claims_;
    local_front        front_;
};

constexpr std::size_t calls_per_connection = 500;
// Enough callers that a call rarely starts late because all of them are busy.
constexpr std::size_t  open_loop_callers = 64;
constexpr std::size_t  open_loop_calls   = 1000;
constexpr milliseconds open_loop_start_delay{50}; // time to connect all callers

double quantile(const std::vector<double>& sorted, double fraction)
{
    return sorted[static_cast<std::size_t>(
        fraction * static_cast<double>(sorted.size() - 1))];
}

/// Measures the calls per second of CPU time of the forwarder's thread.
template <class Forwarder>
class cpu_time_rate
{
public:
    explicit cpu_time_rate(Forwarder& it) : it_(it) {}

    /// \return sorted latencies in ms; empty when calls were lost.
    std::vector<double> run(io_thread& client, std::size_t connections)
    {
        const auto start = thread_cpu_time(it_.thread());
        auto       times = run_closed_loop(client, it_.address(), connections,
                                           calls_per_connection);
        cpu_time_ += thread_cpu_time(it_.thread()) - start;
        calls_ += times.size();
        if (times.size() != connections * calls_per_connection)
            times.clear();
        return times;
    }

    double get() const
    {
        return static_cast<double>(calls_) /
               std::chrono::duration<double>(cpu_time_).count();
    }

private:
    Forwarder&               it_;
    std::chrono::nanoseconds cpu_time_{0};
    std::size_t              calls_ = 0;
};

/// Target on its own thread that responds to each call at once.
class immediate_target
{
public:
    immediate_target() : server_(make_server(respond_to_call), {&thread_})
    {
        if (!server_.start().ok())
            std::abort();
    }

    std::string address() const { return address_of(server_); }

private:
    io_thread   thread_;
    http_server server_;
};

template <class Forwarder>
void forward(benchmark::State& state)
{
    immediate_target target;
    Forwarder        forwarder(target.address());
    cpu_time_rate    rate(forwarder);
    io_thread        client_thread;
    const auto       connections = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        const auto times = rate.run(client_thread, connections);
        if (times.empty())
            return state.SkipWithError("calls were lost");
        state.counters["p50_ms"] = quantile(times, 0.5);
        state.counters["p99_ms"] = quantile(times, 0.99);
    }
    state.counters["calls_per_core_s"] = rate.get();
    state.counters["calls_per_s"]      = benchmark::Counter(
             static_cast<double>(connections * calls_per_connection),
             benchmark::Counter::kIsIterationInvariantRate);
}

/// Runs both forwarders in turn, so that other load on the machine affects both
/// alike.
void forward_ratio(benchmark::State& state)
{
    immediate_target target;
    plain_forwarder  plain(target.address());
    daemon_front     front(target.address());
    cpu_time_rate    plain_rate(plain);
    cpu_time_rate    front_rate(front);
    io_thread        client_thread;
    const auto       connections = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        if (plain_rate.run(client_thread, connections).empty() ||
            front_rate.run(client_thread, connections).empty())
            return state.SkipWithError("calls were lost");
    }
    state.counters["plain_per_core_s"]  = plain_rate.get();
    state.counters["daemon_per_core_s"] = front_rate.get();
    state.counters["ratio"]             = front_rate.get() / plain_rate.get();
}

/// Open-loop load: calls are due at a fixed rate, whether or not earlier ones
/// have ended. Latency counts from the time at which a call was due.
/// \return sorted latencies in ms.
std::vector<double> run_open_loop(io_thread& thread, const std::string& address,
                                  double calls_per_s)
{
    struct open_loop_state
    {
        std::chrono::steady_clock::time_point start;
        std::chrono::nanoseconds              interval;
        std::size_t                           next = 0;
        std::vector<double>                   times;
        std::promise<void>                    ended;
        std::size_t active_callers = open_loop_callers;
    };
    auto load   = std::make_shared<open_loop_state>();
    load->start = std::chrono::steady_clock::now() + open_loop_start_delay;
    load->interval =
        std::chrono::nanoseconds{static_cast<std::int64_t>(1e9 / calls_per_s)};
    for (std::size_t n = 0; n < open_loop_callers; ++n) {
        thread.spawn([&thread, address, load] {
            http_client client(thread.io());
            const bool  connected = !client.connect(address, call_timeout);
            while (connected && load->next < open_loop_calls) {
                const auto due  = load->start + load->interval * load->next++;
                const auto wait = std::chrono::duration_cast<microseconds>(
                    due - std::chrono::steady_clock::now());
                if (wait > microseconds{0})
                    fiber_sleep(thread.io(), wait);
                if (call(client, make_call("{\"input\":\"x\"}")).empty())
                    break;
                const std::chrono::duration<double, std::milli> time =
                    std::chrono::steady_clock::now() - due;
                load->times.push_back(time.count());
            }
            if (--load->active_callers == 0)
                load->ended.set_value();
        });
    }
    load->ended.get_future().wait();
    std::sort(load->times.begin(), load->times.end());
    return load->times;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return quantile(values, 0.5);
}

/// Latency quantiles of each open-loop run. The median over the runs discards
/// those in which other work on the machine delayed a thread.
struct latency_quantiles
{
    /// \return false when calls were lost.
    bool add(const std::vector<double>& times)
    {
        if (times.size() != open_loop_calls)
            return false;
        p50.push_back(quantile(times, 0.5));
        p99.push_back(quantile(times, 0.99));
        return true;
    }

    std::vector<double> p50, p99; ///< ms
};

/// Latency that the front end adds at half of its saturation throughput.
void forward_half_load(benchmark::State& state)
{
    immediate_target target;
    plain_forwarder  plain(target.address());
    daemon_front     front(target.address());
    io_thread        client_thread;
    const auto       connections = static_cast<std::size_t>(state.range(0));
    const auto       start       = std::chrono::steady_clock::now();
    const auto n = run_closed_loop(client_thread, front.address(), connections,
                                   calls_per_connection)
                       .size();
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - start;
    const auto        rate = static_cast<double>(n) / time.count() / 2;
    latency_quantiles plain_times, front_times;
    for (auto _ : state) {
        if (!plain_times.add(
                run_open_loop(client_thread, plain.address(), rate)) ||
            !front_times.add(
                run_open_loop(client_thread, front.address(), rate)))
            return state.SkipWithError("calls were lost");
    }
    const auto add_counters = [&](const char* name, double a, double b) {
        state.counters[std::string("plain_") + name + "_ms"]  = a;
        state.counters[std::string("daemon_") + name + "_ms"] = b;
        state.counters[std::string("added_") + name + "_ms"]  = b - a;
    };
    add_counters("p50", median(plain_times.p50), median(front_times.p50));
    add_counters("p99", median(plain_times.p99), median(front_times.p99));
    state.counters["calls_per_s"] = rate;
}

void forward_plain(benchmark::State& state)
{
    forward<plain_forwarder>(state);
}

void forward_daemon(benchmark::State& state)
{
    forward<daemon_front>(state);
}

BENCHMARK(forward_plain)
    ->Arg(1)
    ->Arg(8)
    ->Arg(32)
    ->Arg(128)
    ->Iterations(3)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

BENCHMARK(forward_daemon)
    ->Arg(1)
    ->Arg(8)
    ->Arg(32)
    ->Arg(128)
    ->Iterations(3)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

BENCHMARK(forward_ratio)
    ->Arg(1)
    ->Arg(8)
    ->Arg(32)
    ->Arg(128)
    ->Iterations(5)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

BENCHMARK(forward_half_load)
    ->Arg(32)
    ->Iterations(15)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace arbutusgate
