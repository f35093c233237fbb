/// Targets that said with an answer that they take no work, for good or for a
/// time.
///
/// Pattern: a target that drains or is overloaded says so before the published
/// state does, or while that cannot be read. Work that is sent on regardless
/// is turned away or cut off.
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

/// What an answer changed.
enum class gate_change
{
    none,
    leaving, ///< The target gets no work in its lifetime.
    closed,  ///< It gets none for a time.
};

/// Times of a gate.
struct gate_times
{
    closure_times closure;
    /// After a closure work comes back one call at a time, so far apart, for so
    /// long.
    milliseconds ramp{500};
    milliseconds ramp_spacing{100};
    /// What is known of a lifetime is kept for so long; a target that leaves
    /// ends within a minute.
    milliseconds forget{600'000};
};

/// Counts since start.
struct gate_stats
{
    std::uint64_t leaving    = 0; ///< Targets that said that they leave.
    std::uint64_t closed     = 0; ///< Closures, longer ones of closed targets.
    std::uint64_t reopened   = 0; ///< Closures that ended.
    std::uint64_t unreadable = 0; ///< Stated times that are no numbers.
};

/// Belongs to one thread; does no I/O and reads no clock.
class target_gate
{
public:
    explicit target_gate(std::uint64_t seed = 0, gate_times times = {})
        : random_(seed), times_(times)
    {
    }

    /// An answer of the target came.
    gate_change hear(const target& at, const target_notice& it, time_point now);
    /// Work was sent to the target.
    void sent(const std::string& id, time_point now);

    /// The target may get work.
    bool admits(const target& it, time_point now) const;
    /// The target itself wants no work, so that none may be sent that was
    /// begun before it said so.
    bool refuses(const target& it, time_point now) const;
    /// The target leaves by its own word.
    bool leaves(const target& it) const;
    /// When the target may get work, not before \p now.
    /// \return nothing when it leaves.
    std::optional<time_point> opens_at(const target& it, time_point now) const;

    /// Forgets what is over.
    /// \return ids of the targets whose closures ended.
    std::vector<std::string> expire(time_point now);

    /// All targets get work.
    bool       empty() const { return entries_.empty(); }
    gate_stats stats() const { return stats_; }

private:
    struct entry
    {
        std::int64_t started_at = 0; ///< Lifetime that the entry is about.
        bool         leaving    = false;
        time_point   heard{};
        time_point   closed_until{};
        time_point   next_at{};    ///< For the next call of the ramp.
        time_point   ramp_until{}; ///< None before the first closure.
    };

    /// \return null when nothing is known of this lifetime.
    const entry* find(const target& it) const;
    void         close(entry& it, milliseconds time, time_point now);

    std::mt19937_64                        random_;
    gate_times                             times_;
    std::unordered_map<std::string, entry> entries_;
    gate_stats                             stats_;
};

} // namespace arbutusgate::gateway
