/// Command line of arbutusgate-load.
#pragma once

namespace arbutusgate {

/// Runs one load and prints its report.
/// \return 0, 1 after a violation or a failed run, 2 on wrong use.
int load_main(int argc, char** argv);

} // namespace arbutusgate
