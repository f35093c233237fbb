/// Decides which engine states to read and which commands to send.
#pragma once

#include "command_guards.hpp"
#include "command_types.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// Does no I/O and reads no clock; not thread-safe. In each round the caller
/// calls begin_reads, passes each state read to on_state, and calls
/// take_commands. For each command it calls may_send directly before the send
/// and on_result after it.
class command_planner
{
public:
    explicit command_planner(command_guards guards = {}) : guards_(guards) {}

    /// Starts a round. \return the reads that are due for the engines that this
    /// daemon controls.
    std::vector<engine_read> begin_reads(const deployment&   config,
                                         const command_view& view,
                                         time_point          now);
    /// Takes the state of an engine, which was read after begin_reads returned
    /// the read. A state of an earlier round is dropped. \return true when the
    /// engine is no longer in the state that it was commanded to.
    bool on_state(const engine_read& read, const engine_state& state,
                  time_point now);
    /// Ends the round of reads. Only engines whose state was read in this
    /// round get a command.
    std::vector<engine_command> take_commands(const deployment&   config,
                                              const command_view& view,
                                              time_point          now);
    /// Checks the conditions again. \return true when the command may still be
    /// sent.
    bool may_send(const engine_command& command, const deployment& config,
                  const command_view& view) const;
    void on_result(const engine_command& command, command_result result,
                   time_point now);

    /// Describes the engines that this daemon controls.
    std::vector<engine_report> report(const deployment& config) const;

private:
    struct commanded_state
    {
        std::uint64_t fence = 0;
        engine_config desired;
    };

    struct engine
    {
        std::uint64_t               round = 0; ///< Round of the last read.
        std::optional<engine_state> state;     ///< As read in that round.
        time_point                  read_at;
        /// Fencing number of a command that may make the engine load; 0 if
        /// there is none or the engine was seen ready after it.
        std::uint64_t pending          = 0;
        bool          pending_accepted = false; ///< By the engine.
        /// Configuration version of the last accepted command.
        std::uint64_t accepted_version = 0;
        /// Last known commanded state; empty when unknown or reverted.
        std::optional<commanded_state> commanded;
        /// Time since which the engine has kept the commanded state.
        time_point state_since;
        /// Reversions since the engine last kept its state for
        /// limits::command_stable_time.
        std::uint32_t reverted = 0;
        /// Fencing number of the command that was last reverted.
        std::uint64_t reverted_fence = 0;
        /// Earliest time of the next command with reverted_fence.
        time_point next_command_after;
    };

    struct pool
    {
        bool       controlled = false;
        bool       reading    = false; ///< Takes part in the current round.
        time_point next;               ///< Start of the next round.
    };

    void update_controlled_pools(const deployment&   config,
                                 const command_view& view);
    void remove_stale_entries(const deployment& config);
    bool may_command(const pool_config& it, const command_view& view) const;
    void command_pool(const deployment& config, const pool_config& it,
                      time_point now, std::vector<engine_command>& out);
    bool needs_command(const engine& it, const engine_config& desired,
                       std::uint64_t version, time_point now) const;
    bool detect_reversion(engine& it, const engine_state& state,
                          time_point now);

    command_guards                guards_;
    std::map<std::string, pool>   pools_;   ///< By name.
    std::map<std::string, engine> engines_; ///< By address.
    std::uint64_t                 round_ = 0;

    // Configuration version and alive slots that pools_ was computed from.
    std::uint64_t            version_ = 0;
    std::vector<std::string> alive_;
};

} // namespace arbutusgate
