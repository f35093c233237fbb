/// Answers ZeroMQ's authentication requests (ZAP, RFC 27).
#pragma once

#include <zmq.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// Lets clients with an allowed CURVE key connect and no others. Must be
/// bound before the server sockets of its context.
class curve_authenticator
{
public:
    /// \param allowed public keys as Z85 text.
    curve_authenticator(zmq::context_t&                 context,
                        const std::vector<std::string>& allowed);

    zmq::socket_t& socket() { return socket_; }
    /// Answers one waiting request. \return false when it was rejected.
    bool handle_request();

private:
    zmq::socket_t            socket_;
    std::vector<std::string> allowed_; ///< Binary keys.
};

} // namespace arbutusgate
