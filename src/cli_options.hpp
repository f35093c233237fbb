/// Options of the operators' command line.
#pragma once

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace arbutusgate {

/// What the command line asks for.
struct cli_options
{
    bool                     help      = false;
    bool                     version   = false;
    bool                     json      = false;
    std::string              log_level = "warn";
    std::string              site;
    std::string              admin; ///< "IP:port".
    std::string              command;
    std::vector<std::string> operands; ///< After the command.
};

/// Usage text.
std::string cli_usage();

/// Parses the arguments; options may stand anywhere.
/// \return InvalidArgument with the reason for wrong use.
absl::StatusOr<cli_options> parse_cli_options(int argc, char** argv);

} // namespace arbutusgate
