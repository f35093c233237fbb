/// Runs many scenarios on several threads and shrinks the first one that
/// violates a rule.
#pragma once

#include "fuzz_scenario.hpp"

#include "arbutusgate/node_guards.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutusgate {

struct fuzz_options
{
    std::uint64_t runs    = 1000;
    std::uint64_t seed    = 1;
    std::uint32_t threads = 3;
    node_guards   guards;
    bool          shrink = true;
};

struct fuzz_violation
{
    std::uint64_t run = 0;
    std::string   rule;
    fuzz_scenario scenario; ///< Shrunk unless shrinking is off.
    std::uint32_t shrinks = 0;
};

struct fuzz_summary
{
    std::uint64_t                 runs       = 0;
    std::uint64_t                 violations = 0;
    std::optional<fuzz_violation> first;
};

/// Each thread stops at its first violation. The scenario of a run depends only
/// on the seed and the number of the run.
fuzz_summary run_fuzz(const fuzz_options& options);

} // namespace arbutusgate
