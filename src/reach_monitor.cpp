#include "reach_monitor.hpp"

#include "log.hpp"
#include "target_connections.hpp"
#include "target_directory.hpp"

#include <memory>

namespace arbutusgate::gateway {

namespace {

constexpr milliseconds probe_timeout{300};
/// A daemon that connected to a target within this time reaches targets.
constexpr milliseconds connection_lifetime{1000};
constexpr milliseconds ask_interval{1000};
constexpr milliseconds ask_timeout{400};
constexpr milliseconds return_check_interval{100};
/// Wakes the monitor while nothing is suspected.
constexpr seconds idle_interval{5};

} // namespace

reach_monitor::reach_monitor(reach_monitor_init init)
    : init_(std::move(init)), random_(init_.seed)
{
    init_.connections.on_connect([this](const target& to, bool accepted) {
        const auto now = daemon_now();
        if (accepted)
            reach_.connected(now);
        else
            reach_.failed(to.id, now);
        if (reach_.sample_due(now))
            fibers_.wake();
    });
    fibers_.spawn([this] { run(); });
}

reach_monitor::~reach_monitor()
{
    init_.connections.on_connect(nullptr);
}

void reach_monitor::run()
{
    while (!fibers_.stopping()) {
        const auto now = daemon_now();
        if (reach_.update(now))
            log_state();
        update_ownership();
        const bool returning = reach_.state() == reach_state::returning;
        if (returning)
            ask_if_due();
        const auto due = reach_.sample_due(now);
        if (due && *due <= now) {
            run_sample();
            continue;
        }
        if (due) {
            fibers_.sleep_until(*due);
            continue;
        }
        fibers_.sleep_until(
            now + (returning ? microseconds{return_check_interval}
                             : microseconds{idle_interval}),
            [this] { return reach_.sample_due(daemon_now()).has_value(); });
    }
}

void reach_monitor::ask_if_due()
{
    if (asking_ || daemon_now() - asked_at_ < ask_interval)
        return;
    asking_ = true;
    fibers_.spawn([this] {
        ask_others();
        asking_ = false;
        fibers_.wake();
    });
}

void reach_monitor::run_sample()
{
    ask_if_due();
    auto seen = probe(choose_sample(init_.targets.all_usable(),
                                    reach_.sample_size(), random_));
    if (seen.accepted == 0)
        fibers_.sleep_until(daemon_now() + ask_timeout, [this] {
            return !asking_ || init_.peers.any(daemon_now());
        });
    const auto now    = daemon_now();
    seen.others_reach = init_.peers.any(now);
    if (reach_.sampled(seen, now)) {
        log_state();
        may_own_ = reach_.may_own(now);
        init_.changed();
    }
    else if (reach_.state() == reach_state::reachable && seen.accepted == 0)
        log(log_level::info,
            "no probed target accepts a connection, and no other daemon "
            "reports that it reaches one",
            {{"probed", seen.probed}});
}

reach_sample reach_monitor::probe(const std::vector<target>& sample)
{
    auto seen    = std::make_shared<reach_sample>();
    auto ended   = std::make_shared<std::size_t>(0);
    seen->probed = sample.size();
    for (const auto& to : sample) {
        fibers_.spawn([this, to, seen, ended] {
            if (!init_.connections.probe(to, probe_timeout))
                ++seen->accepted;
            ++*ended;
            fibers_.wake();
        });
    }
    fibers_.sleep_until(daemon_now() + 2 * probe_timeout,
                        [&] { return *ended == sample.size(); });
    return *seen;
}

void reach_monitor::ask_others()
{
    asked_at_          = daemon_now();
    const auto others  = init_.others();
    auto       pending = std::make_shared<std::size_t>(others.size());
    for (const auto& address : others) {
        fibers_.spawn([this, address, pending] {
            // A daemon that is only slow to answer keeps its earlier report.
            if (auto report = init_.ask(address))
                init_.peers.reported(address, *std::move(report), daemon_now());
            --*pending;
            fibers_.wake();
        });
    }
    fibers_.sleep_until(daemon_now() + ask_timeout,
                        [&] { return *pending == 0; });
}

bool reach_monitor::confirm()
{
    if (reach_.state() != reach_state::reachable)
        return false;
    if (daemon_now() - reach_.connected_at() <= connection_lifetime)
        return true;
    const fiber_group::guest guest(fibers_);
    return probe(choose_sample(init_.targets.all_usable(),
                               target_reach_params{}.return_sample_size,
                               random_))
               .accepted > 0;
}

void reach_monitor::update_ownership()
{
    const bool may_own = reach_.may_own(daemon_now());
    if (std::exchange(may_own_, may_own) != may_own)
        init_.changed();
}

void reach_monitor::log_state() const
{
    switch (reach_.state()) {
    case reach_state::cut_off:
        log(log_level::warning, "this daemon reaches no target, others do");
        break;
    case reach_state::returning:
        log(log_level::info, "this daemon reaches targets again");
        break;
    case reach_state::reachable:
        log(log_level::info, "this daemon diverts no requests any more");
        break;
    }
}

} // namespace arbutusgate::gateway
