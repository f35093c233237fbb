/// Safety rules of the command planner. Tests disable single rules to show
/// that the fuzzer detects a missing rule.
#pragma once

#include <bitset>
#include <cstddef>

namespace arbutusgate {

/// One safety rule of the command planner.
enum class command_guard
{
    /// The fencing number is the configuration version.
    version_fence,
    /// An engine with a higher fencing number gets no command.
    newer_fence,
    /// An engine that left its desired state is commanded again.
    correction,
    /// Commands make only a limited share of a pool unready.
    limit_unready,
    /// After a pause, a peer must first confirm the configuration.
    confirm_after_pause,
    /// Engines that ignore fencing are commanded only while a majority of the
    /// slots is reachable.
    reachable_majority,
    /// The conditions are checked again directly before the send.
    recheck,
    count,
};

/// Set of enabled rules; all are enabled by default.
struct command_guards
{
    std::bitset<static_cast<std::size_t>(command_guard::count)> disabled;

    bool enabled(command_guard it) const
    {
        return !disabled[static_cast<std::size_t>(it)];
    }
    void disable(command_guard it)
    {
        disabled.set(static_cast<std::size_t>(it));
    }
};

} // namespace arbutusgate
