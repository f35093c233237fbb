/// Connections to targets: kept while idle, and bounded for each target.
#pragma once

#include "connection_pool.hpp"
#include "gateway_types.hpp"

#include <boost/system/error_code.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

class target_connections;

/// One connection in use. Closed when destroyed unless it was given back.
class connection_lease
{
public:
    connection_lease() = default;
    connection_lease(target_connections& owner, std::string id,
                     std::unique_ptr<http_client> client);
    connection_lease(connection_lease&& it) noexcept;
    connection_lease& operator=(connection_lease&& it) noexcept;
    ~connection_lease();

    explicit     operator bool() const { return client_ != nullptr; }
    http_client& operator*() const { return *client_; }
    http_client* operator->() const { return client_.get(); }

private:
    friend class target_connections;

    void end();

    target_connections*          owner_ = nullptr;
    std::string                  id_;
    std::unique_ptr<http_client> client_;
};

/// Belongs to one thread. Connections belong to one process of a target, so
/// that none is used for a later one at the same address.
class target_connections
{
public:
    explicit target_connections(boost::asio::io_context& io) : pool_(io) {}

    /// An idle connection or a new one.
    /// \param most connections of this daemon to the target.
    /// \return no connection, with the reason in \p ec.
    connection_lease open(const target& at, std::uint32_t most,
                          milliseconds timeout, boost::system::error_code& ec);
    /// Keeps the connection when it may be used again.
    /// \param idle_time that the target stated.
    void give_back(connection_lease            lease,
                   std::optional<milliseconds> idle_time);
    /// Closes the idle connections of a target that is gone.
    void drop(const std::string& id) { pool_.drop(id); }

    std::size_t   idle() const { return pool_.idle(); }
    std::uint64_t opened() const { return opened_; }
    std::uint64_t failed() const { return failed_; }

private:
    friend class connection_lease;

    void ended(const std::string& id);

    connection_pool                                pool_;
    std::unordered_map<std::string, std::uint32_t> in_use_;
    std::uint64_t                                  opened_ = 0;
    std::uint64_t                                  failed_ = 0;
};

} // namespace arbutusgate::gateway
