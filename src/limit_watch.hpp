/// Follows the limits that targets name on the calls of all daemons.
#pragma once

#include "arbutusgate/node_core.hpp"
#include "arbutusgate/policy.hpp"

#include "daemon_clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace arbutusgate {

/// Dependencies of a limit_watch.
struct limit_watch_init
{
    policy* rules = nullptr; ///< Outlives the watch.
    /// Passes what a response said about its target's limit to the fleet, which
    /// calls on_limit() after a change.
    std::function<void(const std::string& target, const load_report& report)>
                                note_limit;
    std::function<time_point()> now = daemon_now;
};

/// Thread-safe.
class limit_watch
{
public:
    explicit limit_watch(limit_watch_init init) : init_(std::move(init)) {}

    /// Handles the load report in a target's response to a call.
    void on_report(const std::string& target, const load_report& report);
    /// Handles a change of a limit, which this daemon or another one noticed.
    /// An event that a later one has overtaken is ignored. \param part calls a
    /// second that this daemon may send.
    void on_limit(const target_limit_event& event, double part);

private:
    struct known_limit
    {
        bool                                    limited = false;
        std::pair<std::uint64_t, std::uint64_t> order; ///< Of its last event.
    };

    limit_watch_init                   init_;
    std::mutex                         mutex_;
    std::map<std::string, known_limit> known_; ///< By target.
};

} // namespace arbutusgate
