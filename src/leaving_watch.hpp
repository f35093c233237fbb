/// Tracks the targets that are leaving until they report that they serve again.
#pragma once

#include "arbutusgate/policy.hpp"

#include "daemon_clock.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Dependencies of a leaving_watch.
struct leaving_watch_init
{
    policy* rules = nullptr; ///< Outlives the watch.
    /// Announces to the peers a target that reported that it is leaving.
    std::function<void(std::string_view target)> note_leaving;
    std::function<time_point()>                  now = daemon_now;
};

/// Thread-safe. A leaving target gets no work and therefore sends no load
/// reports with its responses. It is polled instead, until it reports that it
/// is serving in a report made more than limits::leaving_bound after it was
/// marked as leaving.
class leaving_watch
{
public:
    explicit leaving_watch(leaving_watch_init init) : init_(std::move(init)) {}

    /// Handles the load report in a target's response to a call.
    void on_report(const std::string& target, load_report report);
    /// Handles a peer's message that the target is leaving.
    void on_peer_report(const std::string& target);
    /// Requests the load of each leaving target of the deployment in force.
    /// Suspends the fiber, which must run on the io_context's thread.
    void poll(boost::asio::io_context& io);

    std::set<std::string> leaving() const;

private:
    bool is_leaving(const std::string& target) const;
    void mark(const std::string& target);
    void on_poll(const std::string& target, const load_report& report);

    leaving_watch_init init_;
    mutable std::mutex mutex_;
    /// Time at which each leaving target was marked, by its name.
    std::map<std::string, time_point> leaving_;
};

} // namespace arbutusgate
