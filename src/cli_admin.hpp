/// Calls of the command line to a daemon's admin address.
#pragma once

#include "cli_options.hpp"

#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <boost/beast/http/verb.hpp>

#include <string>

namespace arbutusgate {

/// Answer of a daemon.
struct admin_answer
{
    unsigned    status = 0; ///< HTTP status.
    std::string body;
};

/// One HTTP call.
/// \param timeout for connecting and the whole exchange together.
/// \return Unavailable when the daemon cannot be reached or does not answer.
absl::StatusOr<admin_answer> call_admin(const std::string&       address,
                                        boost::beast::http::verb method,
                                        const std::string&       path,
                                        milliseconds             timeout);

} // namespace arbutusgate
