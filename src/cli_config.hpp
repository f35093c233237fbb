/// Commands on configuration documents: check, render, diff.
#pragma once

#include "cli.hpp"
#include "cli_options.hpp"

#include <iosfwd>

namespace arbutusgate {

/// Checks the configuration of every site in a directory.
cli_exit run_check(const cli_options& options, std::ostream& out,
                   std::ostream& err);
/// Prints the effective values of one site, each with its file and line.
cli_exit run_render(const cli_options& options, std::ostream& out,
                    std::ostream& err);
/// Prints the differences between two directories, site by site.
cli_exit run_diff(const cli_options& options, std::ostream& out,
                  std::ostream& err);

} // namespace arbutusgate
