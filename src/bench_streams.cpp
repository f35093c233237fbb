/// Benchmark of the memory that the front end uses per open stream.
#include "bench_front.hpp"
#include "local_front.hpp"

#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace arbutusgate {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp      = asio::ip::tcp;

// Shorter than the time after which the front end drops an engine that sends
// nothing.
constexpr milliseconds heartbeat_interval{300};

/// Returns unused heap memory to the system.
/// \return resident memory of this process in bytes.
double resident_memory()
{
    malloc_trim(0);
    std::ifstream in("/proc/self/statm");
    std::size_t   pages = 0;
    in >> pages >> pages;
    return static_cast<double>(pages) *
           static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Engine that sends one chunk and then only heartbeats, until the stream or
/// the engine is closed.
class heartbeat_engine
{
public:
    heartbeat_engine()
        : server_(make_server([this](auto& it) { serve(it); }), {&thread_})
    {
        if (!server_.start().ok())
            std::abort();
    }
    ~heartbeat_engine() { closing_ = true; }

    heartbeat_engine(const heartbeat_engine&)            = delete;
    heartbeat_engine& operator=(const heartbeat_engine&) = delete;

    std::string address() const { return address_of(server_); }

private:
    void serve(http_exchange& it)
    {
        const auto         call = json::parse(it.request().body()).as_object();
        const json::object chunk{
            {"request_id", call.at("request_id")},
            {"attempt", call.at("attempt")},
            {"offset", 0},
            {"choices", json::array{json::object{{"text", "text"}}}}};
        http_response head(http::status::ok, 11);
        head.set(http::field::content_type, "text/event-stream");
        it.begin_stream(std::move(head));
        bool open = it.write("data: " + json::serialize(chunk) + "\n\n");
        while (open && !closing_ &&
               fiber_sleep(it.thread().io(), heartbeat_interval))
            open = it.write(":\n\n");
        it.abort();
    }

    std::atomic<bool> closing_{false};
    io_thread         thread_;
    http_server       server_;
};

/// Opens a stream and waits for its first text. The plain socket on the
/// caller's side uses almost no memory of this process.
std::unique_ptr<tcp::socket> open_stream(asio::io_context&  io,
                                         const std::string& address,
                                         const std::string& body)
{
    auto       it    = std::make_unique<tcp::socket>(io);
    const auto colon = address.rfind(':');
    const auto port  = std::stoi(address.substr(colon + 1));
    it->connect({asio::ip::make_address(address.substr(0, colon)),
                 static_cast<std::uint16_t>(port)});
    auto call = make_call(body);
    call.set(http::field::accept, "text/event-stream");
    http::write(*it, call);
    std::string response;
    asio::read_until(*it, asio::dynamic_buffer(response), "\"text\"");
    return it;
}

/// \return bytes by which the open streams increase the resident memory.
double resident_memory_growth(const std::string& address,
                              const std::string& body, std::size_t streams)
{
    asio::io_context io;
    // The first stream also allocates what is kept and reused by later streams.
    const auto first  = open_stream(io, address, body);
    const auto before = resident_memory();
    std::vector<std::unique_ptr<tcp::socket>> open;
    open.reserve(streams);
    for (std::size_t n = 0; n < streams; ++n)
        open.push_back(open_stream(io, address, body));
    return resident_memory() - before;
}

/// The engine's ends of the streams are in this process too: their memory,
/// measured without the front end, is subtracted. Kernel memory is not
/// included.
void stream_memory(benchmark::State& state)
{
    const auto streams = static_cast<std::size_t>(state.range(0));
    const auto direct_body =
        std::string(R"({"request_id":"0123456789abcdef0123456789abcdef",)") +
        R"("attempt":1})";
    double front_bytes = 0, direct_bytes = 0;
    for (auto _ : state) {
        {
            heartbeat_engine engine;
            direct_bytes =
                resident_memory_growth(engine.address(), direct_body, streams);
        }
        heartbeat_engine   engine;
        null_claim_service claims;
        local_front        front(
                   one_target_deployment(engine.address(), stage_kind::generate),
                   claims, [](const std::string&, const load_report&) {});
        if (!front.start().ok())
            return state.SkipWithError("front end failed to start");
        front_bytes = resident_memory_growth(front.address(),
                                             R"({"input":"x"})", streams);
        // A server that is stopped before it notices that the callers have
        // disconnected waits until the deadline of their requests.
        for (int n = 0; front.gate().running() > 0 && n < 1000; ++n)
            std::this_thread::sleep_for(milliseconds{5});
    }
    const auto n                            = static_cast<double>(streams);
    state.counters["bytes"]                 = front_bytes - direct_bytes;
    state.counters["bytes_a_stream"]        = (front_bytes - direct_bytes) / n;
    state.counters["engine_bytes_a_stream"] = direct_bytes / n;
}
BENCHMARK(stream_memory)
    ->Arg(128)
    ->Arg(256)
    ->Arg(512)
    ->Arg(1024)
    ->Iterations(1)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace arbutusgate
