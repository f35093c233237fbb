/// Handler of ZeroMQ's authentication protocol (ZAP, RFC 27).
#pragma once

#include <zmq.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// Accepts only clients with an allowed CURVE key. Must be constructed, which
/// binds its socket, before the server sockets of the context are bound.
class curve_authenticator
{
public:
    /// \param allowed public keys of the clients, Z85-encoded.
    curve_authenticator(zmq::context_t&                 context,
                        const std::vector<std::string>& allowed);

    zmq::socket_t& socket() { return socket_; }
    /// Replies to one pending request. \return false when it was rejected.
    bool handle_request();

private:
    zmq::socket_t            socket_;
    std::vector<std::string> allowed_; ///< Decoded keys.
};

} // namespace arbutusgate
