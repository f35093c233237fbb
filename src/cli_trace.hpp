/// Prints the way of one request from log files.
#pragma once

#include "cli.hpp"

#include <iosfwd>

namespace arbutusgate {

struct cli_options;

/// Runs 'explain REQUEST_ID FILE...'. Files may be compressed by gzip and hold
/// the logs of many daemons.
cli_exit run_trace(const cli_options& options, std::ostream& out,
                   std::ostream& err);

} // namespace arbutusgate
