#include "target_connections.hpp"

#include <boost/asio/error.hpp>

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// An idle connection is not reused in the last part of the target's idle
/// timeout, since the target may be closing it at that moment.
constexpr milliseconds idle_margin{700};

} // namespace

connection_lease::connection_lease(target_connections& owner,
                                   std::string target_id, connection_use use,
                                   std::unique_ptr<http_client> client)
    : owner_(&owner), target_id_(std::move(target_id)), use_(use),
      client_(std::move(client))
{
}

connection_lease::connection_lease(connection_lease&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)),
      target_id_(std::move(other.target_id_)), use_(other.use_),
      client_(std::move(other.client_))
{
}

connection_lease& connection_lease::operator=(connection_lease&& other) noexcept
{
    close();
    owner_     = std::exchange(other.owner_, nullptr);
    target_id_ = std::move(other.target_id_);
    use_       = other.use_;
    client_    = std::move(other.client_);
    return *this;
}

connection_lease::~connection_lease()
{
    close();
}

void connection_lease::close()
{
    client_.reset();
    if (auto* owner = std::exchange(owner_, nullptr))
        owner->on_lease_closed(target_id_);
}

connection_lease target_connections::open(const target& to, connection_use use,
                                          std::uint32_t              max_in_use,
                                          milliseconds               timeout,
                                          boost::system::error_code& ec,
                                          connection_choice          choice)
{
    ec = {};
    // Counted before connect(), which suspends the fiber: other fibers must see
    // the connection.
    if (in_use_[to.id] >= std::max(1U, max_in_use)) {
        ec = boost::asio::error::no_descriptors;
        return {};
    }
    ++in_use_[to.id];
    connection_lease lease(*this, to.id, use,
                           choice == connection_choice::only_new
                               ? nullptr
                               : pool(use).take(to.id));
    if (lease)
        return lease;
    lease.client_ = pool(use).create();
    ec            = connect(*lease.client_, to, timeout);
    if (!ec)
        return lease;
    ++failed_;
    return {};
}

boost::system::error_code target_connections::connect(http_client&  client,
                                                      const target& to,
                                                      milliseconds  timeout)
{
    ++opened_;
    const auto ec = client.connect(to.address, timeout);
    if (on_connect_ && ec != boost::asio::error::no_descriptors &&
        ec != boost::asio::error::operation_aborted)
        on_connect_(to, !ec);
    return ec;
}

boost::system::error_code target_connections::probe(const target& to,
                                                    milliseconds  timeout)
{
    const auto client = call_pool_.create();
    return connect(*client, to, timeout);
}

void target_connections::give_back(connection_lease            lease,
                                   connection_reuse            reuse,
                                   std::optional<milliseconds> idle_time)
{
    if (!lease)
        return;
    if (reuse == connection_reuse::no) {
        ++not_reused_;
        return;
    }
    auto keep_for = milliseconds{limits::connection_idle};
    if (idle_time)
        keep_for = std::min(keep_for, *idle_time - idle_margin);
    pool(lease.use_).put(lease.target_id_, std::move(lease.client_), keep_for);
}

void target_connections::give_back_unused(connection_lease lease)
{
    give_back(std::move(lease), connection_reuse::yes, std::nullopt);
}

void target_connections::on_lease_closed(const std::string& target_id)
{
    const auto it = in_use_.find(target_id);
    if (it == in_use_.end())
        return;
    if (it->second <= 1)
        in_use_.erase(it);
    else
        --it->second;
}

} // namespace arbutusgate::gateway
