/// Decides which engines to read and what to command them.
#pragma once

#include "command_guards.hpp"
#include "command_types.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// No I/O, no clock; not thread-safe. The driver repeats: begin_reads, the
/// reads' states to on_state, take_commands, and for each command may_send
/// directly before the send, then on_result.
class command_planner
{
public:
    explicit command_planner(command_guards guards = {}) : guards_(guards) {}

    /// Reads that are due of the engines that this daemon controls.
    std::vector<engine_read> begin_reads(const deployment&   config,
                                         const command_view& view,
                                         time_point          now);
    /// State of an engine, read after begin_reads returned the read. A state
    /// of an earlier round is dropped. \return true when the engine was found
    /// in another state than it was commanded.
    bool on_state(const engine_read& read, const engine_state& state,
                  time_point now);
    /// Ends the round of reads. Only engines whose state it brought get a
    /// command.
    std::vector<engine_command> take_commands(const deployment&   config,
                                              const command_view& view,
                                              time_point          now);
    /// True when the command may still be sent.
    bool may_send(const engine_command& command, const deployment& config,
                  const command_view& view) const;
    void on_result(const engine_command& command, command_result result,
                   time_point now);

    /// Engines that this daemon controls.
    std::vector<engine_report> report(const deployment& config) const;

private:
    struct order
    {
        std::uint64_t fence = 0;
        engine_config wanted;
    };

    struct engine
    {
        std::uint64_t               round = 0; ///< Of the last read.
        std::optional<engine_state> state;     ///< Of that round.
        time_point                  read_at;
        /// Fencing number of a command that may make the engine load, until
        /// the engine was seen ready after it; 0: none.
        std::uint64_t pending  = 0;
        bool          accepted = false; ///< The pending command.
        std::uint64_t taken    = 0; ///< Version of the last accepted command.
        std::optional<order> commanded; ///< Its state, as far as known.
        time_point           kept_since;
        std::uint32_t        reverted       = 0;
        std::uint64_t        reverted_fence = 0;
        time_point           not_before; ///< Of a command of that fence.
    };

    struct pool
    {
        bool       controlled = false;
        bool       reading    = false;
        time_point next; ///< Begin of the next round.
    };

    void choose_pools(const deployment& config, const command_view& view);
    void forget_others(const deployment& config);
    bool may_command(const pool_config& it, const command_view& view) const;
    void command_pool(const deployment& config, const pool_config& it,
                      time_point now, std::vector<engine_command>& out);
    bool needs_command(const engine& it, const engine_config& wanted,
                       std::uint64_t version, time_point now) const;
    bool note_state(engine& it, const engine_state& state, time_point now);

    command_guards                guards_;
    std::map<std::string, pool>   pools_;   ///< By name.
    std::map<std::string, engine> engines_; ///< By address.
    std::uint64_t                 round_ = 0;

    // What the choice of pools_ was made from.
    std::uint64_t            version_ = 0;
    std::vector<std::string> alive_;
};

} // namespace arbutusgate
