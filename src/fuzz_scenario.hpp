/// Fault scenarios of the fuzzer: generation, shrinking, text.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <iosfwd>
#include <random>
#include <vector>

#include <rapidcheck/Gen.h>

namespace arbutusgate {

/// One step of a scenario. a and b are slots, keys or masks.
enum class fuzz_op_kind
{
    call,       ///< A caller sends key b to slot a.
    other_body, ///< The same with another body.
    kill,       ///< The process of slot a dies.
    replace,    ///< The process of slot a dies and a new one starts.
    supersede,  ///< A new process starts; the old one goes on.
    pause,      ///< The process of slot a stops.
    wake,       ///< It goes on.
    pause_old,  ///< The superseded process of slot a stops.
    wake_old,
    kill_all, ///< All processes die and new ones start.
    cut,      ///< Nothing passes from the processes in a to those in b.
    heal,     ///< All cuts and message faults end.
    lose,     ///< a percent of the messages are lost.
    delay,    ///< Messages take up to a ms.
    doubles,  ///< a percent of the messages arrive twice.
    slow_to,  ///< Messages to slot a take b to 2 b ms.
    jump,     ///< The clock of slot a jumps by b - 500 s.
    publish,  ///< The service gets a new version.
    stale,    ///< Slot a reads version 1 from the service from now on.
    down,     ///< The service fails.
    service_ok,
    leaving,    ///< Slot a sees that target b leaves.
    drain,      ///< Slot a drains, ends and is replaced.
    targets,    ///< Target behaviour a (fuzz_target_mode).
    slow_stage, ///< The first stage takes a ms.
    settle,     ///< Waits until all voters have settled, at most a ms.
    wait,
    until_repeat, ///< Waits until a ms before the window of key b ends.
    count,
};

/// How targets treat work from now on.
enum class fuzz_target_mode : std::uint32_t
{
    answer,
    refuse,  ///< "not run".
    connect, ///< No byte is sent.
    silent,  ///< Runs; the answer is lost.
    fail,    ///< Runs and reports a failure.
    mixed,   ///< One of these at random.
    count,
};

struct fuzz_op
{
    fuzz_op_kind  kind = fuzz_op_kind::wait;
    std::uint32_t a    = 0;
    std::uint32_t b    = 0;
    milliseconds  wait{0}; ///< Before the step.
};

/// Bit of a superseded process in the masks of a cut.
inline constexpr std::uint32_t fuzz_old_bit = 16;

struct fuzz_scenario
{
    std::uint64_t        seed  = 0; ///< Of the message delays and the like.
    std::uint32_t        slots = 9;
    std::vector<fuzz_op> ops;
};

std::ostream& operator<<(std::ostream& os, const fuzz_op& it);
std::ostream& operator<<(std::ostream& os, const fuzz_scenario& it);

/// Generates scenarios; shrinks by leaving steps out.
rc::Gen<fuzz_scenario> fuzz_scenarios();

} // namespace arbutusgate
