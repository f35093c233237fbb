/// Command line of the operators.
#pragma once

#include <iosfwd>

namespace arbutusgate {

/// Exit codes of the command line.
enum class cli_exit
{
    done   = 0,
    failed = 1, ///< The run failed, or documents have errors.
    usage  = 2,
};

/// Runs one command. Not thread-safe: getopt_long keeps global state.
cli_exit run_cli(int argc, char** argv, std::ostream& out, std::ostream& err);

} // namespace arbutusgate
