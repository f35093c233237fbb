#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate::gateway::test {

inline boost::asio::ip::tcp::endpoint endpoint_of(const std::string& address)
{
    const auto port = std::stoi(address.substr(address.find(':') + 1));
    return {boost::asio::ip::address_v4::loopback(),
            static_cast<std::uint16_t>(port)};
}

/// Addresses of 127.0.0.1 with ports that the system gives to no other socket
/// while the object lives. Each refuses connections until a server that sets
/// SO_REUSEADDR listens there.
class reserved_addresses
{
public:
    explicit reserved_addresses(std::size_t n)
    {
        using boost::asio::ip::tcp;
        const tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(),
                                     0);
        while (all_.size() < n) {
            auto& it = sockets_.emplace_back(io_, tcp::v4());
            it.set_option(tcp::socket::reuse_address(true));
            it.bind(any_port);
            all_.push_back("127.0.0.1:" +
                           std::to_string(it.local_endpoint().port()));
        }
    }

    const std::vector<std::string>& all() const { return all_; }
    const std::string& operator[](std::size_t n) const { return all_[n]; }

private:
    boost::asio::io_context                   io_;
    std::vector<boost::asio::ip::tcp::socket> sockets_; ///< Bound only.
    std::vector<std::string>                  all_;
};

} // namespace arbutusgate::gateway::test
