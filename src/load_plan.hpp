/// Arrivals of one load run, drawn before it starts.
#pragma once

#include "load_mix.hpp"

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// When a keyed request is sent once more, through another daemon.
enum class key_repeat
{
    none,
    after, ///< After the first answer.
    early, ///< While the first request runs.
};

/// One request to send.
struct planned_request
{
    std::uint32_t number = 0;
    microseconds  at{0};        ///< From the start of the run.
    std::uint32_t pipeline = 0; ///< Index in the mix.
    std::uint32_t account  = 0; ///< Index in the mix.
    bool          stream   = false;
    key_repeat    repeat   = key_repeat::none;
    std::string   tag; ///< Unique name, part of the input.
    std::string   key; ///< Idempotency key; empty: none.
    std::string   input;
};

/// Draws Poisson arrivals at `rate` per second for `duration`; the same
/// arguments give the same plan.
/// \param run distinguishes the tags and keys of runs with one seed.
std::vector<planned_request> make_plan(const load_mix& mix, double rate,
                                       seconds duration, std::uint64_t seed,
                                       const std::string& run);

} // namespace arbutusgate
