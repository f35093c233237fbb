#include "daemon.hpp"

#include "daemon_clock.hpp"
#include "fiber_token.hpp"
#include "http_server.hpp"
#include "io_thread.hpp"
#include "log.hpp"

#include <csignal>
#include <random>

namespace arbutusgate {

namespace {

// Time for the load balancer to notice that /readyz fails and to stop sending
// requests.
constexpr auto drain_grace          = seconds{3};
constexpr auto drain_check_interval = milliseconds{20};
// A target that serves again after its leaving notice gets work within this
// time.
constexpr auto leaving_poll_interval = milliseconds{2000};
constexpr auto stop_check_interval   = milliseconds{50};
// The planner decides which engines are due in a poll.
constexpr auto engine_poll_interval = milliseconds{1000};
// The node core retries a hand-off for 10 s. A voter whose peers do not respond
// then exits without the hand-off, which leaves a majority of the other voters.
constexpr auto hand_over_timeout = seconds{15};
constexpr auto close_timeout     = seconds{2};

policy_init make_policy_init(run_registry& runs)
{
    policy_init it;
    it.seed     = std::random_device{}();
    it.on_ready = [&runs](std::uint64_t run) {
        runs.wake(run);
    };
    return it;
}

std::vector<std::unique_ptr<io_thread>> make_threads(std::uint32_t n)
{
    std::vector<std::unique_ptr<io_thread>> all;
    for (std::uint32_t it = 0; it < std::max(n, 1U); ++it)
        all.push_back(std::make_unique<io_thread>());
    return all;
}

} // namespace

daemon::daemon(daemon_settings settings)
    : settings_(std::move(settings)),
      policy_(std::make_shared<const deployment>(), make_policy_init(runs_),
              metrics_.reasons()),
      catalog_(policy_), threads_(make_threads(settings_.threads)),
      control_(std::make_unique<io_thread>()),
      fleet_({settings_,
              [this](auto config) {
                  catalog_.set(std::move(config), daemon_now());
              },
              [this](const std::string& it) { leaving_.on_peer_report(it); },
              [this](const target_limit_event& event, double part) {
                  limits_.on_limit(event, part);
              },
              [this](std::uint32_t n) {
                  policy_.set_daemons(n);
              }},
             *control_),
      leaving_({&policy_,
                [this](auto it) {
                    fleet_.note_leaving(it);
                }}),
      limits_({&policy_,
               [this](const std::string& target, const load_report& report) {
                   fleet_.note_limit(target, report);
               }}),
      commands_({[this] { return catalog_.current(); },
                 [this] {
                     return fleet_.view_for_commands();
                 }}),
      admin_(*this)
{
    make_servers();
}

daemon::~daemon()
{
    caller_server_->stop();
    admin_server_->stop();
    stop_polling();
    fleet_.stop();
    if (signals_) {
        control_->spawn([this] { signals_->cancel(); });
        signals_ended_.get_future().get();
    }
}

void daemon::stop_polling()
{
    stopping_ = true;
    if (!polls_started_)
        return;
    std::promise<void> stopped;
    control_->spawn([&] {
        commands_.stop();
        stopped.set_value();
    });
    stopped.get_future().get();
    commands_ended_.get_future().get();
    leaving_poll_ended_.get_future().get();
}

request_services daemon::make_services()
{
    request_services it;
    it.rules   = &policy_;
    it.claims  = &fleet_;
    it.counts  = &metrics_;
    it.explain = &explain_;
    it.runs    = &runs_;
    it.prompts = &fleet_;
    it.on_load = [this](const std::string& target, const load_report& report) {
        leaving_.on_report(target, report);
        limits_.on_report(target, report);
    };
    return it;
}

void daemon::make_servers()
{
    caller_service_init callers;
    callers.services = make_services();
    callers.catalog  = &catalog_;
    callers.gate     = &gate_;
    callers.ready    = [this] {
        return fleet_.ready();
    };
    for (const auto& it : threads_)
        callers.threads.push_back(it.get());
    callers_ = std::make_unique<caller_service>(callers);

    http_server_init caller_init;
    caller_init.address = settings_.listen;
    caller_init.handler = [this](http_exchange& it) {
        callers_->handle(it);
    };
    caller_init.on_error = [this](http_error it) {
        return callers_->on_error(it);
    };
    caller_init.on_lost = [this](const http_exchange&, response_loss why) {
        metrics_.reasons().add(why);
        log(why == response_loss::client_left ? log_level::info
                                              : log_level::warning,
            "connection ended before the response was complete",
            {{"reason", to_string(why)}, {"draining", draining_.load()}});
    };
    caller_server_ =
        std::make_unique<http_server>(caller_init, callers.threads);

    http_server_init admin;
    admin.address = settings_.admin;
    admin.handler = [this](http_exchange& it) {
        admin_.handle(it);
    };
    admin.on_error = [this](http_error it) {
        return admin_.on_error(it);
    };
    admin_server_ = std::make_unique<http_server>(
        admin, std::vector<io_thread*>{control_.get()});
}

absl::Status daemon::start()
{
    if (auto status = admin_server_->start(); !status.ok())
        return status;
    if (auto status = caller_server_->start(); !status.ok())
        return status;
    if (auto status = fleet_.start(); !status.ok())
        return status;
    polls_started_ = true;
    control_->spawn([this] { poll_leaving(); });
    control_->spawn([this] { poll_engines(); });
    log(log_level::info, "started",
        {{"slot", settings_.slot},
         {"listen", settings_.listen},
         {"admin", settings_.admin}});
    return absl::OkStatus();
}

void daemon::drain_on_signals()
{
    signals_ = std::make_unique<boost::asio::signal_set>(control_->io(),
                                                         SIGTERM, SIGINT);
    control_->spawn([this] {
        boost::system::error_code ec;
        for (;;) {
            signals_->async_wait(fiber_token{ec});
            if (ec)
                break;
            drain();
        }
        signals_ended_.set_value();
    });
}

void daemon::wait()
{
    std::unique_lock lock(mutex_);
    drained_changed_.wait(lock, [this] { return drained_; });
}

std::uint16_t daemon::caller_port() const
{
    return caller_server_->port();
}

std::uint16_t daemon::admin_port() const
{
    return admin_server_->port();
}

std::string daemon::not_ready_reason() const
{
    if (draining_)
        return "draining";
    if (!fleet_.ready())
        return "not_ready";
    return {};
}

void daemon::drain()
{
    if (draining_.exchange(true))
        return;
    log(log_level::info, "drain begins", {{"running", gate_.running()}});
    control_->spawn([this] { run_drain(); });
}

void daemon::poll_leaving()
{
    while (sleep_unless_stopping(leaving_poll_interval))
        leaving_.poll(control_->io());
    leaving_poll_ended_.set_value();
}

void daemon::poll_engines()
{
    while (sleep_unless_stopping(engine_poll_interval))
        commands_.poll(control_->io());
    commands_ended_.set_value();
}

/// Sleeps; returns early when the daemon stops. \return false when it stops.
bool daemon::sleep_unless_stopping(milliseconds time)
{
    for (; time > milliseconds{0} && !stopping_; time -= stop_check_interval)
        fiber_sleep(control_->io(), stop_check_interval);
    return !stopping_;
}

void daemon::run_drain()
{
    fiber_sleep(control_->io(), drain_grace);
    gate_.close();
    while (gate_.running() > 0)
        fiber_sleep(control_->io(), drain_check_interval);
    hand_over_claims();
    close_caller_connections();
    log(log_level::info, "drain finished");
    std::lock_guard lock(mutex_);
    drained_ = true;
    drained_changed_.notify_all();
}

// Runs after the last request has ended: a draining voter grants no claims, and
// streams may run for a long time.
void daemon::hand_over_claims()
{
    fleet_.begin_drain();
    const auto end = daemon_now() + hand_over_timeout;
    while (!fleet_.drained()) {
        if (daemon_now() > end) {
            log(log_level::warning,
                "could not hand over claims before the timeout");
            return;
        }
        fiber_sleep(control_->io(), drain_check_interval);
    }
}

void daemon::close_caller_connections()
{
    caller_server_->stop_accepting();
    const auto end = daemon_now() + close_timeout;
    while (caller_server_->connections() > 0 && daemon_now() < end)
        fiber_sleep(control_->io(), drain_check_interval);
}

std::string daemon::explain_json(std::string_view request_id) const
{
    return explain_.find(request_id);
}

} // namespace arbutusgate
