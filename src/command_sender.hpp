/// Reads the engines' states and sends the planner's commands.
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

/// Parameters of a command_sender. The functions must not block for long.
struct command_sender_init
{
    std::function<std::shared_ptr<const deployment>()> config;
    /// Also called directly before each send.
    std::function<command_view()> view;
    std::function<time_point()>   now = daemon_now;
};

/// Used by the fibers of one thread, except for the members marked as
/// thread-safe.
class command_sender
{
public:
    explicit command_sender(command_sender_init init) : init_(std::move(init))
    {
    }

    /// Performs the reads and commands that are due. Suspends the calling
    /// fiber, which must run on the io_context's thread.
    void poll(boost::asio::io_context& io);
    /// Cancels the running calls; later calls of poll do nothing.
    void stop();

    /// Thread-safe.
    command_stats stats() const;
    /// Describes the engines that this daemon controls, as of the last poll.
    /// Thread-safe.
    std::vector<engine_report> report() const;

private:
    void read_engine(boost::asio::io_context& io, const engine_read& it,
                     const std::string& target);
    void execute_command(boost::asio::io_context& io, const engine_command& it);
    command_result send(boost::asio::io_context& io, const engine_command& it);
    void           log_result(const engine_command& it, command_result result);
    void           update_readability(const std::string& target, bool readable);

    template <class Change>
    void update_stats(Change change)
    {
        std::lock_guard lock(mutex_);
        change(stats_);
    }

    command_sender_init    init_;
    command_planner        planner_;
    std::set<http_client*> active_clients_;
    /// Names of targets whose last read failed.
    std::set<std::string> unreadable_targets_;
    bool                  stopped_ = false;

    mutable std::mutex         mutex_; ///< Guards the members below.
    command_stats              stats_;
    std::vector<engine_report> report_;
};

} // namespace arbutusgate
