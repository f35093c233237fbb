/// Recent requests, for operators who ask what happened to one.
#pragma once

#include "arbutusgate/types.hpp"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// One attempt of a traced request. Times count from its arrival.
struct attempt_trace
{
    std::uint32_t attempt = 0;
    std::string   stage;
    std::string   target;
    microseconds  start{0};
    microseconds  end{0};
    std::string   outcome;
    std::string   detail;
};

/// One finished request.
struct request_trace
{
    std::string                request_id;
    std::string                pipeline;
    std::string                account;
    std::uint64_t              config_version = 0;
    execution                  result         = execution::not_run;
    refusal_reason             reason         = refusal_reason::none;
    std::string                claim; ///< Outcome; empty without a claim.
    microseconds               latency{0};
    std::vector<attempt_trace> attempts;
};

/// Bounded, in shards with a lock each. Thread-safe.
class explain_ring
{
public:
    void add(request_trace trace);
    /// \return JSON text, or nothing when the request is not (any more) here.
    std::string find(std::string_view request_id) const;

private:
    static constexpr std::size_t shard_count = 8;
    static constexpr std::size_t shard_size  = 256; // requests

    struct shard
    {
        mutable std::mutex         mutex;
        std::vector<request_trace> traces;
        std::size_t                next = 0;
    };

    static std::size_t shard_of(std::string_view request_id);

    std::array<shard, shard_count> shards_;
};

} // namespace arbutusgate
