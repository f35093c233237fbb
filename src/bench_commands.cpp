/// Benchmarks of reading the engines' states: CPU time of the daemon's thread
/// and bytes on the connections.
#include "command_sender.hpp"

#include "io_thread.hpp"
#include "standin_http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <benchmark/benchmark.h>

#include <atomic>
#include <ctime>
#include <deque>
#include <future>
#include <sstream>
#include <thread>

namespace arbutusgate {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::uint64_t version      = 7;
constexpr std::size_t   daemon_count = 360;

engine_config desired_state()
{
    return {"veld-12b", "2026-11", {"quotes", "spans"}, engine_role::mixed};
}

/// Serialized response of an engine that has the desired state.
std::string response_text()
{
    auto response =
        json_response(http::status::ok, {{"fence", version},
                                         {"model", "veld-12b"},
                                         {"version", "2026-11"},
                                         {"adapters", {"quotes", "spans"}},
                                         {"role", "mixed"},
                                         {"ready", true}});
    response.set("Load-Report", "in_flight=12, queued=0, capacity=16, "
                                "lag_ms=100, state=serving");
    response.keep_alive(false);
    std::ostringstream out;
    out << response;
    return out.str();
}

/// Stand-in engines: one listener each, which count the received bytes.
class counting_engines
{
public:
    explicit counting_engines(std::size_t n)
    {
        for (; n > 0; --n) {
            acceptors_.emplace_back(
                io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            accept(acceptors_.size() - 1);
        }
        thread_ = std::thread([this] { io_.run(); });
    }
    ~counting_engines()
    {
        io_.stop();
        thread_.join();
    }

    counting_engines(const counting_engines&)            = delete;
    counting_engines& operator=(const counting_engines&) = delete;

    std::string address(std::size_t n) const
    {
        return "127.0.0.1:" +
               std::to_string(acceptors_[n].local_endpoint().port());
    }
    /// Bytes received in all requests so far.
    std::uint64_t received() const { return received_; }
    /// Size of one response in bytes.
    std::size_t response_size() const { return response_.size(); }

private:
    void accept(std::size_t n)
    {
        auto socket = std::make_shared<tcp::socket>(io_);
        acceptors_[n].async_accept(
            *socket, [this, n, socket](boost::system::error_code ec) {
                if (!ec)
                    serve(socket);
                accept(n);
            });
    }

    void serve(const std::shared_ptr<tcp::socket>& socket)
    {
        auto text = std::make_shared<std::string>();
        boost::asio::async_read_until(
            *socket, boost::asio::dynamic_buffer(*text), "\r\n\r\n",
            [this, socket, text](boost::system::error_code ec, std::size_t) {
                if (ec)
                    return;
                received_ += text->size();
                boost::asio::async_write(*socket,
                                         boost::asio::buffer(response_),
                                         [socket](auto, auto) {});
            });
    }

    boost::asio::io_context    io_{1};
    std::string                response_ = response_text();
    std::deque<tcp::acceptor>  acceptors_;
    std::atomic<std::uint64_t> received_{0};
    std::thread                thread_;
};

deployment make_deployment(const counting_engines& engines, std::size_t n)
{
    deployment it;
    it.version  = version;
    auto& pool  = it.pools.emplace_back();
    pool.name   = "language";
    pool.kind   = stage_kind::generate;
    pool.engine = desired_state();
    for (std::size_t at = 0; at < n; ++at) {
        pool.targets.push_back({static_cast<std::uint32_t>(at)});
        it.targets.push_back({"language-" + std::to_string(at),
                              engines.address(at), "a", pool_id{0}});
    }
    return it;
}

/// View of the daemon that controls the pool, in a fleet of this many slots.
command_view make_view(const deployment& config, std::size_t slots)
{
    command_view it;
    it.reachable = it.slots = slots;
    it.confirmed            = true;
    for (std::size_t n = 0; n < slots; ++n)
        it.alive.push_back("slot-" + std::to_string(n));
    for (const auto& self : it.alive) {
        it.self = self;
        if (!command_planner().begin_reads(config, it, {}).empty())
            break;
    }
    return it;
}

std::chrono::duration<double> thread_cpu_time()
{
    timespec it{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec);
}

void command_poll(benchmark::State& state)
{
    const auto       n = static_cast<std::size_t>(state.range(0));
    counting_engines engines(n);
    const auto       config =
        std::make_shared<const deployment>(make_deployment(engines, n));
    const auto     view = make_view(*config, daemon_count);
    time_point     now;
    io_thread      thread;
    command_sender sender({[&] { return config; }, [&] { return view; },
                           [&] {
                               return now;
                           }});
    double         thread_ns = 0;
    for (auto _ : state) {
        now += limits::command_poll;
        std::promise<double> time;
        thread.spawn([&] {
            const auto start = thread_cpu_time();
            sender.poll(thread.io());
            time.set_value((thread_cpu_time() - start).count());
        });
        thread_ns += time.get_future().get() * 1e9;
    }
    const auto polls            = static_cast<double>(state.iterations());
    state.counters["thread_ns"] = thread_ns / polls;
    state.counters["sent_bytes"] =
        static_cast<double>(engines.received()) / polls;
    state.counters["received_bytes"] =
        static_cast<double>(engines.response_size() * n);
    const auto stats = sender.stats();
    if (stats.reads_failed > 0 || stats.sent > 0 ||
        stats.reads != n * state.iterations())
        state.SkipWithError("the state of an engine was not read");
}
BENCHMARK(command_poll)->Arg(5)->Arg(20)->Arg(60)->Arg(200)->UseRealTime();

/// Planning step that a daemon runs every second when no read is due, by the
/// number of slots: the view is copied and compared with the previous one.
void command_idle(benchmark::State& state)
{
    const counting_engines engines(1);
    const auto             config = make_deployment(engines, 1);
    const auto             view =
        make_view(config, static_cast<std::size_t>(state.range(0)));
    command_planner  planner;
    const time_point now;
    planner.begin_reads(config, view, now);
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            planner.begin_reads(config, command_view(view), now));
    }
}
BENCHMARK(command_idle)->Arg(9)->Arg(60)->Arg(180)->Arg(360);

} // namespace

} // namespace arbutusgate
