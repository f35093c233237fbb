/// Traces of the most recent requests, which operators can look up by id.
#pragma once

#include "arbutusgate/types.hpp"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// One attempt of a traced request. Times are relative to the request's
/// arrival.
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
    std::string    request_id;
    std::string    pipeline;
    std::string    account;
    std::uint64_t  config_version = 0;
    execution      result         = execution::not_run;
    refusal_reason reason         = refusal_reason::none;
    std::string    claim; ///< Outcome of the claim; empty if none was made.
    microseconds   latency{0};
    std::vector<attempt_trace> attempts;
};

/// Ring buffers of traces, split into shards with one lock each. A new trace
/// replaces the oldest one of a full shard. Thread-safe.
class explain_ring
{
public:
    void add(request_trace trace);
    /// \return the trace as JSON text, or an empty string when the ring does
    /// not hold the request, or no longer does.
    std::string find(std::string_view request_id) const;

private:
    static constexpr std::size_t shard_count = 8;
    static constexpr std::size_t shard_size  = 256; // traces

    struct shard
    {
        mutable std::mutex         mutex;
        std::vector<request_trace> traces;
        std::size_t                next = 0; ///< Slot of the next trace.
    };

    static std::size_t shard_of(std::string_view request_id);

    std::array<shard, shard_count> shards_;
};

} // namespace arbutusgate
