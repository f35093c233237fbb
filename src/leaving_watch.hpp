/// Targets that are leaving, until they report that they serve again.
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

/// Start values of a leaving_watch.
struct leaving_watch_init
{
    policy* rules = nullptr; ///< Outlives the watch.
    /// Tells the peers of a target that reported that it is leaving.
    std::function<void(std::string_view target)> note_leaving;
    std::function<time_point()>                  now = daemon_now;
};

/// Thread-safe. A leaving target gets no work and so sends no reports; it is
/// asked for its load instead, until a report of more than
/// limits::leaving_bound after its mark says that it serves.
class leaving_watch
{
public:
    explicit leaving_watch(leaving_watch_init init) : init_(std::move(init)) {}

    /// A target answered with this report.
    void on_report(const std::string& target, load_report report);
    /// A peer saw the target leaving.
    void on_peer_report(const std::string& target);
    /// Asks each leaving target of the deployment in force. Suspends the
    /// fiber, which runs on the io_context's thread.
    void poll(boost::asio::io_context& io);

    std::set<std::string> leaving() const;

private:
    bool contains(const std::string& target) const;
    void add(const std::string& target);
    void on_poll(const std::string& target, const load_report& report);

    leaving_watch_init init_;
    mutable std::mutex mutex_;
    /// When each leaving target was marked.
    std::map<std::string, time_point> leaving_;
};

} // namespace arbutusgate
