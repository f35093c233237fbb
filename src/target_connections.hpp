/// Connections to targets: idle ones are reused, and the number in use is
/// bounded for each target.
#pragma once

#include "connection_pool.hpp"
#include "gateway_types.hpp"
#include "reuse_check.hpp"

#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

class target_connections;

/// Connections that carried one kind are not used for the other: responses to
/// releases do not name their call.
enum class connection_use
{
    call, ///< A request or a stage call.
    release,
};

/// Which connection is taken.
enum class connection_choice
{
    idle_or_new,
    only_new,
};

/// One connection in use. Its destructor closes the connection unless it was
/// given back.
class connection_lease
{
public:
    connection_lease() = default;
    connection_lease(target_connections& owner, std::string target_id,
                     connection_use use, std::unique_ptr<http_client> client);
    connection_lease(connection_lease&& other) noexcept;
    connection_lease& operator=(connection_lease&& other) noexcept;
    ~connection_lease();

    explicit     operator bool() const { return client_ != nullptr; }
    http_client& operator*() const { return *client_; }
    http_client* operator->() const { return client_.get(); }

private:
    friend class target_connections;

    void close();

    target_connections*          owner_ = nullptr;
    std::string                  target_id_;
    connection_use               use_ = connection_use::call;
    std::unique_ptr<http_client> client_;
};

/// Belongs to one thread. Connections are kept by the target's id, so that none
/// is reused for a later target at the same address.
class target_connections
{
public:
    explicit target_connections(boost::asio::io_context& io)
        : call_pool_(io), release_pool_(io)
    {
    }

    /// Takes an idle connection or opens a new one.
    /// \param max_in_use connections of this daemon to the target.
    /// \return an empty lease on failure, with the reason in \p ec.
    connection_lease
    open(const target& to, connection_use use, std::uint32_t max_in_use,
         milliseconds timeout, boost::system::error_code& ec,
         connection_choice choice = connection_choice::idle_or_new);
    /// Keeps the connection if its last response and its state allow that.
    /// \param reuse decision of reuse_check on the last response.
    /// \param idle_time after which the target closes idle connections, if it
    /// stated one.
    void give_back(connection_lease lease, connection_reuse reuse,
                   std::optional<milliseconds> idle_time);
    /// Keeps a connection on which nothing was sent since open().
    void give_back_unused(connection_lease lease);
    /// Opens a new connection and closes it again.
    /// \return no error when the target accepts it.
    boost::system::error_code probe(const target& to, milliseconds timeout);
    /// \param action is called after each attempt to open a connection, unless
    /// it failed for want of a descriptor here or was cancelled.
    void on_connect(std::function<void(const target&, bool accepted)> action)
    {
        on_connect_ = std::move(action);
    }
    /// Closes all idle connections.
    void drop_all()
    {
        call_pool_.drop_all();
        release_pool_.drop_all();
    }
    /// Closes the idle connections of a target that is gone.
    void drop(const std::string& target_id)
    {
        call_pool_.drop(target_id);
        release_pool_.drop(target_id);
    }

    /// \return idle connections to all targets.
    std::size_t idle() const
    {
        return call_pool_.idle() + release_pool_.idle();
    }
    /// \return connection attempts since start, including failed ones.
    std::uint64_t opened() const { return opened_; }
    /// \return failed connection attempts since start.
    std::uint64_t failed() const { return failed_; }
    /// \return connections closed since start since their last response does
    /// not allow another call.
    std::uint64_t not_reused() const { return not_reused_; }

private:
    friend class connection_lease;

    boost::system::error_code connect(http_client& client, const target& to,
                                      milliseconds timeout);
    void                      on_lease_closed(const std::string& target_id);
    connection_pool&          pool(connection_use use)
    {
        return use == connection_use::release ? release_pool_ : call_pool_;
    }

    connection_pool                                call_pool_;
    connection_pool                                release_pool_;
    std::unordered_map<std::string, std::uint32_t> in_use_; ///< By target.
    std::uint64_t                                  opened_     = 0;
    std::uint64_t                                  failed_     = 0;
    std::uint64_t                                  not_reused_ = 0;
    std::function<void(const target&, bool)>       on_connect_;
};

} // namespace arbutusgate::gateway
