/// Options of the operators' command-line tool.
#pragma once

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace arbutusgate {

/// Parsed options, command and operands.
struct cli_options
{
    bool                     help      = false;
    bool                     version   = false;
    bool                     json      = false;
    std::string              log_level = "warn";
    std::string              site;
    std::string              admin; ///< Admin address of a daemon, "IP:port".
    std::string              command;
    std::vector<std::string> operands; ///< Arguments after the command.
};

/// Text that --help prints.
std::string cli_usage();

/// Parses the arguments; options may come before, between or after operands.
/// \return InvalidArgument with the reason when the arguments are invalid.
absl::StatusOr<cli_options> parse_cli_options(int argc, char** argv);

} // namespace arbutusgate
