/// Counts refusals, retries and lost responses by reason.
#pragma once

#include "arbutusgate/types.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace arbutusgate {

/// Number of refusals, retries and lost responses for each reason. Thread-safe.
class reason_counters
{
public:
    void add(refusal_reason it) { ++refusals_[index(it)]; }
    void add(retry_reason it) { ++retries_[index(it)]; }
    void add(response_loss it) { ++losses_[index(it)]; }

    std::uint64_t get(refusal_reason it) const { return refusals_[index(it)]; }
    std::uint64_t get(retry_reason it) const { return retries_[index(it)]; }
    std::uint64_t get(response_loss it) const { return losses_[index(it)]; }

private:
    template <class Reason>
    static constexpr std::size_t index(Reason it)
    {
        return static_cast<std::size_t>(it);
    }

    template <class Reason>
    using counters = std::array<std::atomic<std::uint64_t>,
                                static_cast<std::size_t>(Reason::count)>;

    counters<refusal_reason> refusals_{};
    counters<retry_reason>   retries_{};
    counters<response_loss>  losses_{};
};

} // namespace arbutusgate
