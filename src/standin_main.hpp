/// Command line of arbutusgate-standin.
#pragma once

namespace arbutusgate {

/// Runs the stand-in named by the first argument until SIGINT or SIGTERM.
/// \return 0, 1 after a failed start, 2 on a usage error.
int standin_main(int argc, char** argv);

} // namespace arbutusgate
