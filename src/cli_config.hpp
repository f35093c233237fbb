/// Commands on documents: check, render, diff.
#pragma once

#include "cli.hpp"
#include "cli_options.hpp"

#include <iosfwd>

namespace arbutusgate {

/// Checks all sites of a directory.
cli_exit run_check(const cli_options& options, std::ostream& out,
                   std::ostream& err);
/// Prints the effective values of one site with file and line.
cli_exit run_render(const cli_options& options, std::ostream& out,
                    std::ostream& err);
/// Prints the changes between two directories, per site.
cli_exit run_diff(const cli_options& options, std::ostream& out,
                  std::ostream& err);

} // namespace arbutusgate
