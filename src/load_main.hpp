/// Command line of arbutusgate-load.
#pragma once

namespace arbutusgate {

/// Parses the options, runs the load and prints the report.
/// \return exit status: 0, 1 after a violation or a failed run, 2 on a usage
///         error.
int load_main(int argc, char** argv);

} // namespace arbutusgate
