/// Plain types of the commands to engines (docs/design.md, section 7.5).
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// What an engine reports of its desired state.
struct engine_state
{
    std::uint64_t fence = 0; ///< Of the last command that it took.
    engine_config wanted;
    bool          ready = false; ///< The desired state is loaded.
};

/// A read of one engine's state.
struct engine_read
{
    target_id     target;
    std::string   address; ///< "IP:port".
    std::uint64_t round = 0;
};

/// The complete desired state for one engine.
struct engine_command
{
    std::string   pool;
    std::string   target;
    std::string   address;     ///< "IP:port".
    std::uint64_t version = 0; ///< Of the configuration that specifies it.
    std::uint64_t fence   = 0;
    engine_config wanted;
    bool          checks_fencing = false;
    std::uint64_t pending_before = 0; ///< For the planner.
};

/// What became of a command.
enum class command_result
{
    not_sent, ///< Certain: no byte left this process.
    accepted,
    refused, ///< The engine has a higher fencing number.
    unknown, ///< No answer, or one of another kind.
};

/// What the daemon believes of the fleet at this moment.
struct command_view
{
    std::string              self;  ///< Name of the own slot.
    std::vector<std::string> alive; ///< Names of slots, the own one included.
    /// Slots heard within the suspicion time, the own one included.
    std::size_t heard = 0;
    std::size_t slots = 0; ///< Of the fleet.
    /// No pause, or the hold after it is over and a peer has since confirmed
    /// the configuration in force.
    bool confirmed = false;
};

/// Counts since the start of the process.
struct command_stats
{
    std::uint64_t sent         = 0;
    std::uint64_t withheld     = 0; ///< A condition failed before the send.
    std::uint64_t refused      = 0; ///< By the fencing number.
    std::uint64_t failed       = 0; ///< Not connected, or no usable answer.
    std::uint64_t reverted     = 0; ///< Found in another state.
    std::uint64_t reads        = 0;
    std::uint64_t reads_failed = 0;
};

/// What operators see of an engine that this daemon controls.
struct engine_report
{
    std::string   pool;
    std::string   target;
    std::uint64_t fence    = 0;     ///< As last read.
    bool          current  = false; ///< Desired state of the version in force.
    bool          ready    = false;
    bool          known    = false; ///< It was read in the last round.
    std::uint32_t reverted = 0;     ///< Since it last kept its state for 5 min.
};

} // namespace arbutusgate
