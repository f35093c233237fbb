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

// Time for the balancer to see that /readyz fails and to move away.
constexpr auto drain_grace = seconds{3};
constexpr auto drain_step  = milliseconds{20};
// A target that serves again gets work within this time.
constexpr auto poll_interval = milliseconds{2000};
constexpr auto poll_step     = milliseconds{50};
// The planner says what is due.
constexpr auto command_interval = milliseconds{1000};
// The node core repeats a hand-off for 10 s; a voter that no peer answers
// then ends without it, which leaves a majority of the others.
constexpr auto hand_over_limit = seconds{15};
constexpr auto close_limit     = seconds{2};

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
      rules_(std::make_shared<const deployment>(), make_policy_init(runs_),
             metrics_.reasons()),
      catalog_(rules_), threads_(make_threads(settings_.threads)),
      control_(std::make_unique<io_thread>()),
      fleet_({settings_,
              [this](auto config) {
                  catalog_.set(std::move(config), daemon_now());
              },
              [this](const std::string& it) { leaving_.on_peer_report(it); },
              [this](std::uint32_t n) {
                  rules_.set_daemons(n);
              }},
             *control_),
      leaving_({&rules_,
                [this](auto it) {
                    fleet_.note_leaving(it);
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
    end_polling();
    fleet_.stop();
    if (signals_) {
        control_->spawn([this] { signals_->cancel(); });
        signals_ended_.get_future().get();
    }
}

void daemon::end_polling()
{
    stopping_ = true;
    if (!polling_)
        return;
    std::promise<void> stopped;
    control_->spawn([&] {
        commands_.stop();
        stopped.set_value();
    });
    stopped.get_future().get();
    commands_ended_.get_future().get();
    poll_ended_.get_future().get();
}

request_services daemon::make_services()
{
    request_services it;
    it.rules   = &rules_;
    it.claims  = &fleet_;
    it.counts  = &metrics_;
    it.explain = &explain_;
    it.runs    = &runs_;
    it.on_load = [this](const std::string& target, const load_report& report) {
        leaving_.on_report(target, report);
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

    http_server_init front;
    front.address = settings_.listen;
    front.handler = [this](http_exchange& it) {
        callers_->handle(it);
    };
    front.on_error = [this](http_error it) {
        return callers_->on_error(it);
    };
    caller_server_ = std::make_unique<http_server>(front, callers.threads);

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
    polling_ = true;
    control_->spawn([this] { poll_leaving(); });
    control_->spawn([this] { run_commands(); });
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
    changed_.wait(lock, [this] { return drained_; });
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
    while (pause(poll_interval))
        leaving_.poll(control_->io());
    poll_ended_.set_value();
}

void daemon::run_commands()
{
    while (pause(command_interval))
        commands_.poll(control_->io());
    commands_ended_.set_value();
}

/// \return false when the daemon stops.
bool daemon::pause(milliseconds time)
{
    for (; time > milliseconds{0} && !stopping_; time -= poll_step)
        fiber_sleep(control_->io(), poll_step);
    return !stopping_;
}

void daemon::run_drain()
{
    fiber_sleep(control_->io(), drain_grace);
    gate_.close();
    while (gate_.running() > 0)
        fiber_sleep(control_->io(), drain_step);
    hand_claims_over();
    close_callers();
    log(log_level::info, "drain ended");
    std::lock_guard lock(mutex_);
    drained_ = true;
    changed_.notify_all();
}

// Only now: a draining voter grants nothing, and streams may run for long.
void daemon::hand_claims_over()
{
    fleet_.begin_drain();
    const auto end = daemon_now() + hand_over_limit;
    while (!fleet_.drained()) {
        if (daemon_now() > end) {
            log(log_level::warning, "claims could not be handed over");
            return;
        }
        fiber_sleep(control_->io(), drain_step);
    }
}

void daemon::close_callers()
{
    caller_server_->stop_accepting();
    const auto end = daemon_now() + close_limit;
    while (caller_server_->connections() > 0 && daemon_now() < end)
        fiber_sleep(control_->io(), drain_step);
}

std::string daemon::explain_json(std::string_view request_id) const
{
    return explain_.find(request_id);
}

} // namespace arbutusgate
