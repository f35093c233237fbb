/// Prints the events of one request from log files.
#pragma once

#include "cli.hpp"

#include <iosfwd>

namespace arbutusgate {

struct cli_options;

/// Runs 'explain REQUEST_ID FILE...'. A file may be gzip-compressed and contain
/// the logs of several daemons.
cli_exit run_trace(const cli_options& options, std::ostream& out,
                   std::ostream& err);

} // namespace arbutusgate
