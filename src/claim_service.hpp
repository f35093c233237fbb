/// Interface of the front end to at-most-once claims.
#pragma once

#include "arbutusgate/node_core.hpp"

#include <cstdint>
#include <string_view>

namespace arbutusgate {

/// Claims idempotency keys for requests. Thread-safe.
class claim_service
{
public:
    virtual ~claim_service() = default;

    /// Suspends the calling fiber until the outcome is known, at most 1 s.
    virtual claim_event obtain(std::string_view account, std::string_view key,
                               std::uint64_t body_hash) = 0;
    /// True when the work of the claim may be dispatched now.
    virtual bool use(std::uint64_t claim)     = 0;
    virtual void release(std::uint64_t claim) = 0;
    /// Stores the response of completed work; retries with the same key receive
    /// it.
    virtual void record(std::uint64_t claim, recorded_answer answer) = 0;
};

} // namespace arbutusgate
