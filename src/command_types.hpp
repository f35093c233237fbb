/// Data types for commands to engines (docs/design.md, section 7.5).
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// State that an engine reports.
struct engine_state
{
    std::uint64_t fence = 0; ///< Fencing number of the last accepted command.
    engine_config desired;   ///< Desired state.
    bool          ready = false; ///< The desired state is loaded.
};

/// Request to read the state of one engine.
struct engine_read
{
    target_id     target;
    std::string   address;   ///< "IP:port".
    std::uint64_t round = 0; ///< Round of reads that this read belongs to.
};

/// The complete desired state for one engine.
struct engine_command
{
    std::string pool;
    std::string target;
    std::string address; ///< "IP:port".
    /// Configuration version that specifies the state.
    std::uint64_t version = 0;
    std::uint64_t fence   = 0;   ///< Fencing number.
    engine_config desired;       ///< Desired state.
    bool checks_fencing = false; ///< The engine rejects old fencing numbers.
    /// Fencing number of the engine's pending command before this one, 0 if
    /// none. The planner restores it when the engine does not take this one.
    std::uint64_t pending_before = 0;
};

/// Outcome of a command.
enum class command_result
{
    not_sent, ///< Certainly: no byte left this process.
    accepted,
    refused, ///< The engine has a higher fencing number.
    unknown, ///< No response, or one with an unexpected status.
};

/// This daemon's current view of the fleet.
struct command_view
{
    std::string self; ///< Name of this daemon's slot.
    /// Names of alive slots, this one included.
    std::vector<std::string> alive;
    /// Number of slots that sent a message within the suspicion time, this one
    /// included.
    std::size_t reachable = 0;
    std::size_t slots     = 0; ///< Number of slots in the fleet.
    /// True when this process was not paused, or when the hold time after the
    /// pause has passed and a peer has since confirmed the configuration in
    /// force.
    bool confirmed = false;
};

/// Counters since the start of the process.
struct command_stats
{
    std::uint64_t sent     = 0;
    std::uint64_t withheld = 0; ///< Not sent: the check before the send failed.
    std::uint64_t refused  = 0; ///< Rejected by the engine: old fencing number.
    std::uint64_t failed   = 0; ///< No connection, or no usable response.
    /// Engines found in a state other than commanded.
    std::uint64_t reverted     = 0;
    std::uint64_t reads        = 0;
    std::uint64_t reads_failed = 0;
};

/// State of an engine that this daemon controls, as shown to operators.
struct engine_report
{
    std::string   pool;
    std::string   target;
    std::uint64_t fence   = 0;     ///< Fencing number as last read.
    bool          current = false; ///< Has the state of the version in force.
    bool          ready   = false;
    bool          known   = false; ///< The last round read its state.
    /// Reversions since the engine last kept its state for 5 min.
    std::uint32_t reverted = 0;
};

} // namespace arbutusgate
