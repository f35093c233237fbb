/// The operators' command-line tool.
#pragma once

#include <iosfwd>

namespace arbutusgate {

/// Exit codes of the command line.
enum class cli_exit
{
    done   = 0,
    failed = 1, ///< The command failed, or documents have errors.
    usage  = 2, ///< Invalid options or operands.
};

/// Runs one command. Not thread-safe because getopt_long has global state.
cli_exit run_cli(int argc, char** argv, std::ostream& out, std::ostream& err);

} // namespace arbutusgate
