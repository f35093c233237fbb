#include "target_connections.hpp"

#include <boost/asio/error.hpp>

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// A connection is not used in the last part of the time that the target
/// keeps it, since the target may be closing it.
constexpr milliseconds idle_margin{700};

} // namespace

connection_lease::connection_lease(target_connections& owner, std::string id,
                                   std::unique_ptr<http_client> client)
    : owner_(&owner), id_(std::move(id)), client_(std::move(client))
{
}

connection_lease::connection_lease(connection_lease&& it) noexcept
    : owner_(std::exchange(it.owner_, nullptr)), id_(std::move(it.id_)),
      client_(std::move(it.client_))
{
}

connection_lease& connection_lease::operator=(connection_lease&& it) noexcept
{
    end();
    owner_  = std::exchange(it.owner_, nullptr);
    id_     = std::move(it.id_);
    client_ = std::move(it.client_);
    return *this;
}

connection_lease::~connection_lease()
{
    end();
}

void connection_lease::end()
{
    client_.reset();
    if (auto* owner = std::exchange(owner_, nullptr))
        owner->ended(id_);
}

connection_lease target_connections::open(const target& at, std::uint32_t most,
                                          milliseconds               timeout,
                                          boost::system::error_code& ec)
{
    ec = {};
    // Counted before the connection is made, which suspends the fiber.
    if (in_use_[at.id] >= std::max(1U, most)) {
        ec = boost::asio::error::no_descriptors;
        return {};
    }
    ++in_use_[at.id];
    connection_lease out(*this, at.id, pool_.take(at.id));
    if (out)
        return out;
    out.client_ = pool_.create();
    ++opened_;
    ec = out.client_->connect(at.address, timeout);
    if (!ec)
        return out;
    ++failed_;
    return {};
}

void target_connections::give_back(connection_lease            lease,
                                   std::optional<milliseconds> idle_time)
{
    if (!lease)
        return;
    auto keep = milliseconds{limits::connection_idle};
    if (idle_time)
        keep = std::min(keep, *idle_time - idle_margin);
    pool_.put(lease.id_, std::move(lease.client_), keep);
}

void target_connections::ended(const std::string& id)
{
    const auto it = in_use_.find(id);
    if (it == in_use_.end())
        return;
    if (it->second <= 1)
        in_use_.erase(it);
    else
        --it->second;
}

} // namespace arbutusgate::gateway
