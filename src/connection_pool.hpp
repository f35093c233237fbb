/// Idle connections to targets.
#pragma once

#include "http_client.hpp"

#include "arbutusgate/config.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate {

/// Belongs to one io_thread and is used on it only.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& io) : io_(io) {}

    /// \return an idle connection that is open and silent, or none.
    std::unique_ptr<http_client> take(const std::string& address);
    /// Keeps the connection when it may be used again.
    /// \param keep time after which it is not used any more.
    void put(const std::string& address, std::unique_ptr<http_client> it,
             milliseconds keep = limits::connection_idle);
    /// Idle connections of all targets.
    std::size_t idle() const;
    /// Closes the idle connections of a target that went silent.
    void drop(const std::string& address);
    /// \return a connection that is not yet connected.
    std::unique_ptr<http_client> create();

private:
    struct idle_connection
    {
        std::unique_ptr<http_client> client;
        time_point                   until;
    };

    void prune(time_point now);

    boost::asio::io_context&                                      io_;
    std::unordered_map<std::string, std::vector<idle_connection>> idle_;
    time_point                                                    pruned_;
};

} // namespace arbutusgate
