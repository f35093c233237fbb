#include "load_run.hpp"

#include "http_client.hpp"
#include "io_thread.hpp"
#include "load_caller.hpp"
#include "log.hpp"
#include "standin_http.hpp"

#include "absl/strings/str_cat.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <iterator>
#include <memory>

namespace arbutusgate {

namespace json = boost::json;
using std::chrono::steady_clock;

namespace {

// Open requests per thread. Bounds the memory when daemons hang: each request
// takes 48 KB of stack.
constexpr std::uint32_t max_open_requests = 20000;
constexpr milliseconds  concurrent_repeat_delay{10};
constexpr seconds       progress_interval{1};
constexpr seconds       control_timeout{10};

/// Counters for the progress log line.
struct run_progress
{
    std::atomic<std::uint32_t> sent{0};
    std::atomic<std::uint32_t> done{0};
    std::atomic<std::uint32_t> whole{0};
    std::atomic<std::uint32_t> violations{0};
};

/// Sends the requests of one thread.
class load_worker
{
public:
    load_worker(const load_mix& mix, const std::vector<std::string>& daemons,
                run_progress& progress)
        : caller_(mix, daemons, thread_.io()), progress_(progress)
    {
    }

    void add(const planned_request& it) { requests_.push_back(&it); }

    std::future<void> start(steady_clock::time_point at)
    {
        auto finished = finished_.get_future();
        thread_.spawn([this, at] { dispatch(at); });
        return finished;
    }

    std::vector<load_result> take_results() { return std::move(results_); }

private:
    void dispatch(steady_clock::time_point start);
    void run(const planned_request& request);
    void repeat(const planned_request& request, std::size_t first);
    void add_result(load_result result);
    void finish_request();

    std::vector<const planned_request*> requests_;
    std::vector<load_result>            results_;
    std::promise<void>                  finished_;
    std::uint32_t                       open_     = 0;
    bool                                all_sent_ = false;
    io_thread                           thread_;
    load_caller                         caller_;
    run_progress&                       progress_;
};

void load_worker::dispatch(steady_clock::time_point start)
{
    for (const auto* it : requests_) {
        const auto remaining = std::chrono::duration_cast<microseconds>(
            start + it->arrival - steady_clock::now());
        if (remaining.count() > 0)
            fiber_sleep(thread_.io(), remaining);
        ++progress_.sent;
        if (open_ >= max_open_requests) {
            load_result skipped;
            skipped.number = it->number;
            add_result(std::move(skipped));
            continue;
        }
        ++open_;
        spawn_fiber([this, it] { run(*it); });
    }
    all_sent_ = true;
    if (open_ == 0)
        finished_.set_value();
}

void load_worker::run(const planned_request& request)
{
    if (request.repeat == key_repeat::concurrent) {
        ++open_;
        spawn_fiber([this, &request] {
            fiber_sleep(thread_.io(), concurrent_repeat_delay);
            repeat(request, load_balancer::none);
            finish_request();
        });
    }
    auto       result = caller_.call(request, load_balancer::none);
    const auto daemon = result.daemon;
    ++progress_.done;
    if (result.outcome == load_outcome::whole)
        ++progress_.whole;
    add_result(std::move(result));
    if (request.repeat == key_repeat::after_response)
        repeat(request, daemon);
    finish_request();
}

void load_worker::repeat(const planned_request& request, std::size_t first)
{
    auto result     = caller_.call(request, first);
    result.repeated = true;
    add_result(std::move(result));
}

void load_worker::add_result(load_result result)
{
    progress_.violations +=
        static_cast<std::uint32_t>(result.violations.size());
    results_.push_back(std::move(result));
}

void load_worker::finish_request()
{
    if (--open_ == 0 && all_sent_)
        finished_.set_value();
}

void log_progress(const run_progress& it, steady_clock::time_point start)
{
    const auto passed =
        std::chrono::duration_cast<seconds>(steady_clock::now() - start);
    log(log_level::info, "progress",
        {{"seconds", passed.count()},
         {"sent", it.sent.load()},
         {"open", it.sent.load() - it.done.load()},
         {"whole", it.whole.load()},
         {"violations", it.violations.load()}});
}

/// Reads a JSON object whose member \p list is an array.
/// \return false without a valid response.
bool read_object(http_client& client, const std::string& address,
                 const std::string& path, std::string_view list,
                 json::object& out)
{
    http_request request(http::verb::get, path, 11);
    request.set(http::field::host, address);
    boost::system::error_code ec = client.send(request, control_timeout);
    if (ec)
        return false;
    const auto text = client.read_all(control_timeout, ec);
    return !ec && parse_object(text, out) && out.contains(list) &&
           out.at(list).is_array();
}

absl::Status read_control(boost::asio::io_context&    io,
                          const std::string&          address,
                          std::vector<executed_work>& all)
{
    http_client client(io);
    if (client.connect(address, control_timeout))
        return absl::UnavailableError("cannot connect to " + address);
    for (std::uint64_t after = 0;;) {
        json::object page;
        if (!read_object(client, address,
                         absl::StrCat("/control/executions?after=", after),
                         "executions", page))
            return absl::UnavailableError("no valid execution records from " +
                                          address);
        if (!page.contains("complete") || page.at("complete") != true)
            return absl::DataLossError("incomplete execution records at " +
                                       address);
        for (const auto& row : page.at("executions").get_array()) {
            const auto& it = row.as_object();
            all.push_back(
                {text_of(it, "request_id"), text_of(it, "stage"),
                 text_of(it, "idempotency_key"), text_of(it, "tag"),
                 static_cast<std::uint64_t>(number_of(it, "count", 0))});
        }
        if (page.at("executions").get_array().empty())
            return absl::OkStatus();
        after = static_cast<std::uint64_t>(number_of(page, "next", 0));
    }
}

/// Adds the counters of one stand-in.
absl::Status read_stats(boost::asio::io_context& io, const std::string& address,
                        standin_counters& all)
{
    http_client  client(io);
    json::object stats;
    if (client.connect(address, control_timeout) ||
        !read_object(client, address, "/control/stats", "replicas", stats))
        return absl::UnavailableError("no valid counters from " + address);
    for (const auto& row : stats.at("replicas").get_array()) {
        const auto& it = row.as_object();
        const auto  n =
            static_cast<std::uint64_t>(number_of(it, "calls_over_limit", 0));
        if (n > 0)
            all.over_limit.push_back({text_of(it, "name"), n});
    }
    const auto* late = stats.if_contains("late_deadly_tags");
    if (late && late->is_array()) {
        for (const auto& it : late->get_array()) {
            if (it.is_string())
                all.late_deadly_tags.emplace_back(it.get_string());
        }
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<standin_counters>
read_counters(const std::vector<std::string>& controls)
{
    io_thread        thread;
    standin_counters all;
    for (const auto& it : controls) {
        std::promise<absl::Status> result;
        thread.spawn(
            [&] { result.set_value(read_stats(thread.io(), it, all)); });
        if (const auto status = result.get_future().get(); !status.ok())
            return status;
    }
    return all;
}

std::vector<load_result> run_plan(const load_mix&                     mix,
                                  const std::vector<planned_request>& plan,
                                  const std::vector<std::string>&     daemons,
                                  std::uint32_t                       threads)
{
    run_progress                              progress;
    std::vector<std::unique_ptr<load_worker>> workers;
    for (std::uint32_t n = 0; n < threads; ++n)
        workers.push_back(
            std::make_unique<load_worker>(mix, daemons, progress));
    for (std::size_t n = 0; n < plan.size(); ++n)
        workers[n % threads]->add(plan[n]);
    const auto                     start = steady_clock::now();
    std::vector<std::future<void>> finished;
    for (const auto& it : workers)
        finished.push_back(it->start(start));
    for (const auto& it : finished) {
        while (it.wait_for(progress_interval) != std::future_status::ready)
            log_progress(progress, start);
    }
    std::vector<load_result> all;
    for (const auto& it : workers) {
        auto part = it->take_results();
        all.insert(all.end(), std::make_move_iterator(part.begin()),
                   std::make_move_iterator(part.end()));
    }
    return all;
}

absl::StatusOr<std::vector<executed_work>>
read_executions(const std::vector<std::string>& controls)
{
    io_thread                  thread;
    std::vector<executed_work> all;
    for (const auto& it : controls) {
        std::promise<absl::Status> result;
        thread.spawn(
            [&] { result.set_value(read_control(thread.io(), it, all)); });
        if (const auto status = result.get_future().get(); !status.ok())
            return status;
    }
    return all;
}

} // namespace arbutusgate
