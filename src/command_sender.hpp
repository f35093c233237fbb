/// Reads the engines' states and sends the commands of the planner.
#pragma once

#include "command_planner.hpp"
#include "daemon_clock.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace arbutusgate {

class http_client;

/// Start values of a command_sender. The functions must not block for long.
struct command_sender_init
{
    std::function<std::shared_ptr<const deployment>()> config;
    /// Called directly before each send, too.
    std::function<command_view()> view;
    std::function<time_point()>   now = daemon_now;
};

/// Used by the fibers of one thread, but for the members that are marked
/// thread-safe.
class command_sender
{
public:
    explicit command_sender(command_sender_init init) : init_(std::move(init))
    {
    }

    /// Performs the reads and commands that are due. Suspends the fiber, which
    /// runs on the io_context's thread.
    void poll(boost::asio::io_context& io);
    /// Ends the running calls; poll does nothing from now on.
    void stop();

    /// Thread-safe.
    command_stats stats() const;
    /// Engines that this daemon controls, as of the last poll. Thread-safe.
    std::vector<engine_report> report() const;

private:
    void read(boost::asio::io_context& io, const engine_read& it,
              const std::string& target);
    void execute(boost::asio::io_context& io, const engine_command& it);
    command_result send(boost::asio::io_context& io, const engine_command& it);
    void           log_result(const engine_command& it, command_result result);
    void           note_readable(const std::string& target, bool readable);

    template <class Change>
    void count(Change change)
    {
        std::lock_guard lock(mutex_);
        change(stats_);
    }

    command_sender_init    init_;
    command_planner        planner_;
    std::set<http_client*> active_;
    std::set<std::string>  unreadable_; ///< Names of targets.
    bool                   stopped_ = false;

    mutable std::mutex         mutex_; ///< Of the members below.
    command_stats              stats_;
    std::vector<engine_report> report_;
};

} // namespace arbutusgate
