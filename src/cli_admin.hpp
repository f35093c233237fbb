/// HTTP client of the command-line tool for a daemon's admin address.
#pragma once

#include "cli_options.hpp"

#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <boost/beast/http/verb.hpp>

#include <string>

namespace arbutusgate {

/// HTTP response of a daemon's admin listener.
struct admin_response
{
    unsigned    status = 0; ///< HTTP status.
    std::string body;
};

/// Sends one HTTP request and waits for its response.
/// \param address numeric "IP:port".
/// \param timeout covers connecting, sending and receiving together.
/// \return Unavailable when the daemon cannot be reached or does not respond.
absl::StatusOr<admin_response> call_admin(const std::string&       address,
                                          boost::beast::http::verb method,
                                          const std::string&       path,
                                          milliseconds             timeout);

} // namespace arbutusgate
