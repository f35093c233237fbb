/// Reads what the platform publishes.
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

/// Published version: digest (SHA-256 in hexadecimal) of each document.
struct config_head
{
    std::uint64_t                      version = 0;
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

/// VM list; it lags behind the fleet.
struct vm_list
{
    std::uint64_t         revision = 0;
    std::vector<vm_entry> vms;
};

/// Calls suspend the fiber. Belongs to one io_thread.
class platform_client
{
public:
    /// \param address "IP:port" of the platform's service.
    platform_client(boost::asio::io_context& io, std::string address)
        : io_(io), address_(std::move(address))
    {
    }

    /// Waits until a version above the one given is published, at most for
    /// the time given. \return Unavailable when the service does not answer,
    /// Internal when the answer is malformed.
    absl::StatusOr<config_head> head(std::uint64_t after, milliseconds wait);
    /// \return also NotFound.
    absl::StatusOr<std::string> document(const std::string& name,
                                         std::uint64_t      version);
    /// \copydoc head
    absl::StatusOr<vm_list> vms();

    /// Ends running calls and refuses new ones. Called on the thread.
    void stop();

private:
    absl::StatusOr<std::string> get(const std::string& target,
                                    milliseconds       timeout);

    boost::asio::io_context&         io_;
    std::string                      address_;
    std::unordered_set<http_client*> running_;
    bool                             stopped_ = false;
};

} // namespace arbutusgate
