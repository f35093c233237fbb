/// Client of the platform: published configuration and VM list.
#pragma once

#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace arbutusgate {

class http_client;

/// Published configuration version.
struct config_head
{
    std::uint64_t version = 0;
    /// SHA-256 of each document in hexadecimal, by document name.
    std::map<std::string, std::string> digests;
};

/// One entry of the VM list.
struct vm_entry
{
    std::string id;
    std::string slot;
    std::string address; ///< "IP:port" of the peer listener.
    bool        leaving = false;
};

/// VMs as known to the platform; the list lags behind the fleet.
struct vm_list
{
    std::uint64_t         revision = 0;
    std::vector<vm_entry> vms;
};

/// Calls suspend the calling fiber. Used on one io_thread only.
class platform_client
{
public:
    /// \param address "IP:port" of the platform service.
    platform_client(boost::asio::io_context& io, std::string address)
        : io_(io), address_(std::move(address))
    {
    }

    /// Waits until a version higher than `after` is published, at most for
    /// `wait`. \return Unavailable when the service does not respond,
    /// Internal when the response is malformed.
    absl::StatusOr<config_head> head(std::uint64_t after, milliseconds wait);
    /// \return Unavailable, or NotFound when there is no such document.
    absl::StatusOr<std::string> document(const std::string& name,
                                         std::uint64_t      version);
    /// \copydoc head
    absl::StatusOr<vm_list> vms();

    /// Cancels running calls and rejects new ones. Called on the io_thread.
    void stop();

private:
    absl::StatusOr<std::string> get(const std::string& target,
                                    milliseconds       timeout);

    boost::asio::io_context&         io_;
    std::string                      address_;
    std::unordered_set<http_client*> active_clients_;
    bool                             stopped_ = false;
};

} // namespace arbutusgate
