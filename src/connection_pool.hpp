/// Idle connections to targets.
#pragma once

#include "http_client.hpp"

#include "arbutusgate/config.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate {

/// Belongs to one io_thread and is used on that thread only.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& io) : io_(io) {}

    /// \return an idle connection that is open and has no unread data, or null.
    std::unique_ptr<http_client> take(const std::string& address);
    /// Stores the connection if it can be reused and the pool is not full, else
    /// closes it.
    /// \param idle_time how long the connection may stay idle and still be
    ///        reused.
    void put(const std::string& address, std::unique_ptr<http_client> it,
             milliseconds idle_time = limits::connection_idle);
    /// Number of idle connections to all targets.
    std::size_t idle() const;
    /// Closes the idle connections to a target that no longer responds.
    void drop(const std::string& address);
    /// Closes all idle connections.
    void drop_all() { idle_.clear(); }
    /// \return a new client, not yet connected.
    std::unique_ptr<http_client> create();

private:
    struct idle_connection
    {
        std::unique_ptr<http_client> client;
        time_point                   expires_at;
    };

    /// Closes expired connections, at most once per prune_interval.
    void prune(time_point now);

    boost::asio::io_context&                                      io_;
    std::unordered_map<std::string, std::vector<idle_connection>> idle_;
    time_point                                                    last_prune_;
};

} // namespace arbutusgate
