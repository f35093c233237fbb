/// Tracks the targets that announced in a response that they accept no work,
/// permanently (leaving) or for a time (closed).
///
/// Failure: a target that drains or is overloaded announces it before the
/// published state shows it, or while that state cannot be read. Work that is
/// sent to it nevertheless is refused or cut off.
#pragma once

#include "closure_time.hpp"
#include "gateway_types.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// What a notice changed.
enum class gate_change
{
    none,
    leaving, ///< The target gets no more work in its lifetime.
    closed,  ///< The target gets no work until its closure ends.
};

struct gate_times
{
    closure_times closure;
    /// For this time after a closure, the target gets one call at a time.
    milliseconds ramp{500};
    milliseconds ramp_spacing{100}; ///< Between two calls of the ramp.
    /// How long a leaving target is remembered after its last notice. It ends
    /// within a minute itself.
    milliseconds leaving_retention{600'000};
};

/// Counts since start.
struct gate_stats
{
    std::uint64_t leaving    = 0; ///< Targets that announced that they leave.
    std::uint64_t closed     = 0; ///< Closures that began or were extended.
    std::uint64_t reopened   = 0; ///< Closures whose ramp ended.
    std::uint64_t unreadable = 0; ///< Closure times that were not numbers.
};

/// Belongs to one thread; does no I/O and reads no clock.
class target_gate
{
public:
    explicit target_gate(std::uint64_t seed = 0, gate_times times = {})
        : random_(seed), times_(times)
    {
    }

    /// Applies the notice of a response of the target.
    gate_change apply(const target& from, const target_notice& notice,
                      time_point now);
    /// Records that work was sent to the target.
    void sent(const std::string& id, time_point now);

    /// \return whether the target may get work.
    bool admits(const target& to, time_point now) const;
    /// \return whether the target is leaving or closed. Unlike admits(), this
    /// ignores the ramp: a call that was admitted must not be sent any more if
    /// a notice arrived while its connection was made.
    bool refuses(const target& to, time_point now) const;
    /// \return whether the target announced that it is leaving.
    bool leaves(const target& to) const;
    /// \return when the target may get work, at the earliest \p now; nothing
    /// when it is leaving.
    std::optional<time_point> opens_at(const target& to, time_point now) const;

    /// Removes closures whose ramp has ended and leaving targets past their
    /// retention.
    /// \return ids of the targets whose ramps ended.
    std::vector<std::string> expire(time_point now);

    /// \return true when no notice is remembered.
    bool       empty() const { return entries_.empty(); }
    gate_stats stats() const { return stats_; }

private:
    struct entry
    {
        std::int64_t started_at = 0; ///< Identifies the lifetime.
        bool         leaving    = false;
        time_point   last_notice_at{};
        time_point   closed_until{};
        time_point   next_call_at{}; ///< During the ramp.
        time_point   ramp_until{}; ///< Zero: no closure or its ramp has ended.
    };

    /// \return null when there is no notice from this lifetime of the target.
    const entry* find(const target& of) const;
    void         close(entry& known, milliseconds length, time_point now);

    std::mt19937_64                        random_;
    gate_times                             times_;
    std::unordered_map<std::string, entry> entries_;
    gate_stats                             stats_;
};

} // namespace arbutusgate::gateway
