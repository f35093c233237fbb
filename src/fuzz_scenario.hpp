/// Fault scenarios of the fuzzer: generation, shrinking and text output.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <iosfwd>
#include <random>
#include <vector>

#include <rapidcheck/Gen.h>

namespace arbutusgate {

/// Kind of a step. a and b are the step's parameters: slots, keys, masks of
/// slots, or quantities in the unit given.
enum class fuzz_op_kind
{
    call,       ///< A caller sends a request with key b to slot a.
    other_body, ///< Like call, with a different request body.
    kill,       ///< The process of slot a is killed.
    replace,    ///< Kills the process of slot a and starts a new one.
    supersede,  ///< Starts a new process in slot a; the old one continues.
    pause,      ///< The process of slot a is paused.
    wake,       ///< The process of slot a resumes.
    pause_old,  ///< The superseded process of slot a is paused.
    wake_old,   ///< The superseded process of slot a resumes.
    kill_all,   ///< Kills all processes and starts new ones.
    cut,     ///< Drops all messages from the processes in mask a to those in b.
    heal,    ///< Ends all cuts and message faults.
    lose,    ///< Drops a percent of the messages.
    delay,   ///< Delays messages by up to a ms.
    doubles, ///< Delivers a percent of the messages twice.
    slow_to, ///< Delays messages to slot a by b to 2 b ms.
    jump,    ///< The clock of slot a jumps by (b - 500) s.
    publish, ///< Publishes a new version at the configuration service.
    stale,   ///< From now on, slot a reads version 1 from the service.
    down,    ///< The configuration service fails.
    service_ok,
    leaving,    ///< Slot a learns that target b is leaving.
    drain,      ///< The process of slot a drains, ends and is replaced.
    targets,    ///< Sets the target behaviour to a (fuzz_target_mode).
    slow_stage, ///< The first stage takes a ms.
    settle,     ///< Waits until all voters have settled, at most a ms.
    wait,
    /// Waits until a ms before the retry window of key b ends.
    until_repeat,
    count,
};

/// Behaviour of all targets.
enum class fuzz_target_mode : std::uint32_t
{
    answer,
    refuse,  ///< Responds "not run".
    connect, ///< The connection fails before any byte is sent.
    silent,  ///< Runs the work; the response is lost.
    fail,    ///< Runs the work and reports a failure.
    mixed,   ///< One of the modes above, at random for each attempt.
    count,
};

struct fuzz_op
{
    fuzz_op_kind  kind = fuzz_op_kind::wait;
    std::uint32_t a    = 0;
    std::uint32_t b    = 0;
    milliseconds  wait{0}; ///< Delay before the step.
};

/// In the masks of a cut, bit (fuzz_superseded_bit + slot) stands for the
/// superseded process of the slot.
inline constexpr std::uint32_t fuzz_superseded_bit = 16;

struct fuzz_scenario
{
    std::uint64_t seed = 0; ///< Seed of message delays, losses and other draws.
    std::uint32_t slots = 9;
    std::vector<fuzz_op> ops;
};

std::ostream& operator<<(std::ostream& os, const fuzz_op& it);
std::ostream& operator<<(std::ostream& os, const fuzz_scenario& it);

/// Generator of scenarios, which shrink by removing steps.
rc::Gen<fuzz_scenario> fuzz_scenarios();

} // namespace arbutusgate
