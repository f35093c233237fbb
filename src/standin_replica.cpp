#include "standin_replica.hpp"

#include "io_thread.hpp"
#include "standin_http.hpp"

#include "absl/strings/str_cat.h"

namespace arbutusgate {

using std::chrono::steady_clock;

namespace {

// Interval at which a stalled or sleeping call checks whether its client has
// disconnected or the replica stops.
constexpr microseconds poll_interval = milliseconds{100};

// Calls within this time after a refusal were already in transit and are not
// counted as early.
constexpr milliseconds closure_grace{500};

// Longer than any client's timeout, so that the server does not close a stalled
// call first.
constexpr auto idle_timeout = std::chrono::minutes{10};

} // namespace

standin_replica::standin_replica(replica_init init, execution_log& executions)
    : init_(std::move(init)), executions_(executions),
      slots_(init_.slots, init_.queue), random_(init_.seed),
      behaviour_(init_.behaviour), leaving_since_(steady_clock::now())
{
    limit_check_.set_limit(behaviour_.call_limit, steady_clock::now());
}

standin_replica::~standin_replica() = default;

absl::Status standin_replica::start(io_thread& thread)
{
    http_server_init server;
    server.address      = init_.address;
    server.idle_timeout = idle_timeout;
    server.handler      = [this](http_exchange& it) {
        serve(it);
    };
    server.on_error = read_error_response;
    server_         = std::make_unique<http_server>(std::move(server),
                                            std::vector<io_thread*>{&thread});
    return server_->start();
}

void standin_replica::stop()
{
    stopping_ = true;
    if (server_)
        server_->stop();
}

std::string standin_replica::address() const
{
    const auto colon = init_.address.rfind(':');
    return absl::StrCat(init_.address.substr(0, colon), ":", server_->port());
}

standin_behaviour standin_replica::behaviour() const
{
    std::lock_guard lock(mutex_);
    return behaviour_;
}

void standin_replica::set_behaviour(const standin_behaviour& behaviour)
{
    std::lock_guard lock(mutex_);
    if (behaviour.leaving && !behaviour_.leaving)
        leaving_since_ = steady_clock::now();
    if (behaviour.call_limit != behaviour_.call_limit)
        limit_check_.set_limit(behaviour.call_limit, steady_clock::now());
    behaviour_ = behaviour;
}

replica_stats standin_replica::stats() const
{
    std::lock_guard lock(mutex_);
    return stats_;
}

void standin_replica::serve(http_exchange& exchange)
{
    const request_path path(exchange.request());
    if (behaviour().down || steady_clock::now() < crashed_until_)
        return exchange.abort();
    if (path.path == "/load") {
        const auto& it = reported_load();
        return respond(
            exchange,
            json_response(http::status::ok,
                          {{"in_flight", it.in_flight},
                           {"queued", it.queued},
                           {"capacity", slots_.capacity()},
                           {"lag_ms", init_.report_lag.count()},
                           {"state", it.leaving ? "leaving" : "serving"}}));
    }
    if (!handle(exchange, path))
        respond(exchange,
                problem_response(http::status::not_found, "not_found"));
}

standin_replica::call_plan
standin_replica::plan_call(std::optional<double> median_ms)
{
    call_plan       plan;
    std::lock_guard lock(mutex_);
    plan.behaviour = behaviour_;
    plan.outcome   = draw_outcome(behaviour_, random_);
    plan.time      = draw(median_ms.value_or(behaviour_.latency_ms), plan);
    ++stats_.calls;
    if (behaviour_.leaving &&
        steady_clock::now() - leaving_since_ > limits::leaving_bound)
        ++stats_.late_calls;
    const auto now = steady_clock::now();
    if (now < closed_until_ && now - closure_start_ > closure_grace)
        ++stats_.early_calls;
    limit_check_.add_call(now);
    stats_.calls_over_limit = limit_check_.most_excess();
    return plan;
}

microseconds standin_replica::draw(double median_ms, const call_plan& plan)
{
    return draw_time(median_ms, plan.behaviour, random_);
}

bool standin_replica::acquire_slot(http_exchange&   exchange,
                                   const call_plan& plan, std::int64_t priority)
{
    auto result = work_slots::acquire_result::full;
    if (plan.outcome != call_outcome::not_run)
        result = slots_.acquire(exchange, priority);
    sample_load();
    if (result == work_slots::acquire_result::granted)
        return true;
    if (result == work_slots::acquire_result::gone) {
        count_cancelled();
        exchange.abort();
        return false;
    }
    auto response = json_response(http::status::service_unavailable,
                                  {{"execution", "not_run"}});
    {
        std::lock_guard lock(mutex_);
        ++stats_.refused;
        if (behaviour_.retry_after_s > 0) {
            const auto now = steady_clock::now();
            if (now >= closed_until_)
                closure_start_ = now;
            closed_until_ =
                now +
                std::chrono::duration_cast<microseconds>(
                    std::chrono::duration<double>(behaviour_.retry_after_s));
            response.set(http::field::retry_after,
                         absl::StrCat(behaviour_.retry_after_s));
        }
    }
    respond(exchange, std::move(response));
    return false;
}

void standin_replica::release_slot()
{
    slots_.release();
    sample_load();
}

void standin_replica::record(const execution_record& work)
{
    executions_.add(work);
    std::lock_guard lock(mutex_);
    ++stats_.executed;
}

void standin_replica::respond(http_exchange& exchange, http_response response)
{
    response.set("Load-Report", load_report());
    exchange.respond(std::move(response));
}

void standin_replica::respond_failed(http_exchange& exchange)
{
    {
        std::lock_guard lock(mutex_);
        ++stats_.failed;
    }
    respond(exchange, json_response(http::status::internal_server_error,
                                    {{"execution", "failed"}}));
}

void standin_replica::sample_load()
{
    samples_.push_back({steady_clock::now(), slots_.in_flight(),
                        slots_.queued(), behaviour().leaving});
}

const standin_replica::load_sample& standin_replica::reported_load()
{
    sample_load();
    const auto sampled_by = steady_clock::now() - init_.report_lag;
    while (samples_.size() > 1 && samples_[1].at <= sampled_by)
        samples_.pop_front();
    return samples_.front();
}

std::string standin_replica::load_report()
{
    const auto& it    = reported_load();
    const auto  limit = behaviour().call_limit;
    return absl::StrCat("in_flight=", it.in_flight, ", queued=", it.queued,
                        ", capacity=", slots_.capacity(),
                        ", lag_ms=", init_.report_lag.count(),
                        ", state=", it.leaving ? "leaving" : "serving",
                        limit > 0 ? absl::StrCat(", limit=", limit) : "");
}

void standin_replica::stay_silent(http_exchange& exchange)
{
    while (sleep(exchange, poll_interval)) {
    }
    exchange.abort();
}

bool standin_replica::sleep(http_exchange& exchange, microseconds time)
{
    const auto start    = steady_clock::now();
    const auto deadline = start + time;
    while (!exchange.client_gone() && !stopping_ && crashed_at_ <= start) {
        const auto remaining = std::chrono::duration_cast<microseconds>(
            deadline - steady_clock::now());
        if (remaining.count() <= 0)
            return true;
        fiber_sleep(exchange.thread().io(), std::min(remaining, poll_interval));
    }
    return false;
}

void standin_replica::crash(milliseconds length)
{
    crashed_at_    = steady_clock::now();
    crashed_until_ = crashed_at_ + length;
}

void standin_replica::count_cancelled()
{
    std::lock_guard lock(mutex_);
    ++stats_.cancelled;
}

} // namespace arbutusgate
