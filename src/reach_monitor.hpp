/// Probes targets and asks other daemons to find out whether this daemon is cut
/// off from all targets.
#pragma once

#include "relay_peers.hpp"
#include "target_reach.hpp"

#include "fiber_group.hpp"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

class target_connections;
class target_directory;

/// Constructor arguments of a reach_monitor.
struct reach_monitor_init
{
    target_directory&   targets;
    target_connections& connections;
    relay_peers&        peers;
    std::uint64_t       seed = 0;
    /// Addresses of other daemons to ask.
    std::function<std::vector<std::string>()> others;
    /// Asks a daemon for its report; suspends the fiber.
    std::function<std::optional<reach_report>(const std::string& address)> ask;
    /// Called when the state, or whether this daemon may own shards, has
    /// changed.
    std::function<void()> changed;
};

/// Belongs to one thread; destroyed on one of its fibers.
class reach_monitor
{
public:
    explicit reach_monitor(reach_monitor_init init);
    ~reach_monitor();

    reach_monitor(const reach_monitor&)            = delete;
    reach_monitor& operator=(const reach_monitor&) = delete;

    const target_reach& reach() const { return reach_; }
    /// Whether targets can be reached now, by a recent connection or by probes,
    /// for which the fiber is suspended.
    bool confirm();

private:
    void         run();
    void         run_sample();
    reach_sample probe(const std::vector<target>& sample);
    void         ask_if_due();
    void         ask_others();
    void         log_state() const;
    /// Reports whether this daemon may own shards if that has changed.
    void update_ownership();

    reach_monitor_init init_;
    target_reach       reach_;
    std::mt19937_64    random_;
    time_point         asked_at_{};
    bool               asking_  = false;
    bool               may_own_ = true;
    fiber_group        fibers_;
};

} // namespace arbutusgate::gateway
