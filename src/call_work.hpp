/// Estimated work of one request at a model engine.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// Distribution of the output tokens of an answer: lognormal, cut at the
/// largest number that the request allows.
struct output_estimate
{
    double log_median = 0; ///< Natural logarithm of the median in tokens.
    double log_sd     = 1;
    double max_tokens = 0; ///< 0: no limit.

    double expected() const;
    /// Exceeded by one answer in ten.
    double upper() const;
    /// Expected tokens still to come after \p sent tokens. It is above zero
    /// below max_tokens, since an answer that is longer than expected usually
    /// goes on.
    double remaining(double sent) const;
};

/// Start of a prompt up to the end of one of its parts.
struct prompt_prefix
{
    std::uint64_t hash   = 0; ///< Of the ids of its parts, in order.
    std::uint32_t tokens = 0;
};

/// What a request asks of a target of a service with model engines.
struct call_work
{
    std::string     route;
    std::string     account;
    std::uint32_t   hint = 0; ///< Output tokens by the client; 0: none.
    output_estimate output;
    std::uint32_t   prompt_tokens = 0;
    /// Prefixes that other requests may share, from the shortest.
    std::vector<prompt_prefix> prefixes;
    /// Id of the target that probably caches the longest of them, since all
    /// daemons prefer it for requests with these parts; empty: none.
    std::string   likely_cache;
    std::uint32_t tokens_per_event = 1;
    std::uint64_t cache_capacity   = 0; ///< Of a target; tokens.
    milliseconds  gap_goal{0};          ///< 0: none.
};

} // namespace arbutusgate::gateway
