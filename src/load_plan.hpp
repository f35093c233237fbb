/// Request arrivals of a load run, generated before it starts.
#pragma once

#include "load_mix.hpp"

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// When a request with an idempotency key is sent a second time.
enum class key_repeat
{
    none,
    after_response, ///< After the first response, through another daemon.
    concurrent,     ///< While the first request is in flight.
};

/// One request to send.
struct planned_request
{
    std::uint32_t number = 0;   ///< Index in the plan.
    microseconds  arrival{0};   ///< Send time, from the start of the run.
    std::uint32_t pipeline = 0; ///< Index in the mix.
    std::uint32_t account  = 0; ///< Index in the mix.
    bool          stream   = false;
    key_repeat    repeat   = key_repeat::none;
    bool          deadly   = false; ///< Crashes stand-in engines.
    std::string   tag;              ///< Unique name; part of the input.
    std::string   key;              ///< Idempotency key; empty: none.
    std::string   input;
};

/// Generates Poisson arrivals at `rate` requests/s for `duration`. The same
/// arguments yield the same plan.
/// \param deadly_share of the requests to pipelines with an engine; their
///        contexts have a part that crashes stand-in engines.
/// \param run part of the tags and keys; differs between runs with the same
///        seed.
std::vector<planned_request> make_plan(const load_mix& mix, double rate,
                                       seconds duration, std::uint64_t seed,
                                       const std::string& run,
                                       double             deadly_share = 0);

} // namespace arbutusgate
