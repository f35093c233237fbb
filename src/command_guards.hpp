/// Safety rules of the command planner. Tests switch single rules off to show
/// that the fuzzer notices their absence.
#pragma once

#include <bitset>
#include <cstddef>

namespace arbutusgate {

/// One safety rule of the command planner.
enum class command_guard
{
    version_fence,  ///< The fencing number is the version of the configuration.
    newer_fence,    ///< An engine with a higher fencing number is left alone.
    correction,     ///< A state other than the desired one is commanded again.
    share,          ///< Commands leave at most a part of a pool not ready.
    pause_confirm,  ///< After a pause a peer confirms the configuration first.
    heard_majority, ///< Engines that ignore fencing need a heard majority.
    recheck,        ///< The conditions hold directly before the send, too.
    count,
};

/// Rules in force; all by default.
struct command_guards
{
    std::bitset<static_cast<std::size_t>(command_guard::count)> disabled;

    bool on(command_guard it) const
    {
        return !disabled[static_cast<std::size_t>(it)];
    }
    void disable(command_guard it)
    {
        disabled.set(static_cast<std::size_t>(it));
    }
};

} // namespace arbutusgate
