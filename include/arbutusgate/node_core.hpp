/// Decisions that daemons make together: at-most-once claims, membership,
/// configuration propagation, leaving targets. No I/O, no clock.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/node_guards.hpp"
#include "arbutusgate/pipeline_run.hpp"
#include "arbutusgate/types.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutusgate {

namespace pb {
class PeerMessage;
}

/// Start values of a node core.
struct node_init
{
    slot_id       self;
    std::uint64_t incarnation = 0; ///< Grows with each process of the slot.
    std::uint64_t seed        = 1;
    std::vector<slot_config> slots;
    milliseconds             retry_window = limits::retry_window;
    /// Added to the window when a voter settles after a loss of memory.
    milliseconds  settle_margin = limits::claim_settle_margin;
    std::uint32_t claim_shards  = limits::claim_shards;
    node_guards   guards; ///< Only tests change this.
};

/// A message for another daemon. Delivery may fail without notice.
struct outgoing_message
{
    slot_id                          to;
    std::shared_ptr<pb::PeerMessage> message;
};

/// Answer of finished non-idempotent work, kept for repeated keys.
struct recorded_answer
{
    std::uint32_t status = 0;
    std::string   body;
};

/// Result of begin_claim, by the id that it returned.
struct claim_event
{
    std::uint64_t   claim   = 0;
    claim_outcome   outcome = claim_outcome::unavailable;
    recorded_answer answer; ///< With claim_outcome::taken_done.
};

/// A version other than the one in force has all its documents here. The
/// driver checks it and calls accept_config or reject_config.
struct config_event
{
    std::uint64_t                      version = 0;
    std::map<std::string, std::string> documents; ///< Text by name.
};

/// A peer told of a target that is leaving.
struct target_leaving_event
{
    std::string target;
};

/// A peer has other documents under the version in force here. Both keep
/// theirs until a higher version arrives.
struct config_conflict_event
{
    std::uint64_t version = 0;
    slot_id       peer;
};

using node_event = std::variant<claim_event, config_event, target_leaving_event,
                                config_conflict_event>;

/// What a daemon shows of its peers.
struct member_view
{
    slot_id       slot;
    std::uint64_t incarnation = 0;
    enum class state
    {
        unknown,
        alive,
        suspect,
        dead,
        leaving,
    } current = state::unknown;
};

/// Not thread-safe; the driver serializes calls.
class node_core
{
public:
    node_core(const node_init& init, time_point now);
    ~node_core();

    node_core(const node_core&)            = delete;
    node_core& operator=(const node_core&) = delete;

    /// Called at least every 200 ms; a longer gap counts as a pause.
    void tick(time_point now);
    void on_message(const pb::PeerMessage& message, time_point now);

    /// Messages to send and events to handle since the last call.
    std::vector<outgoing_message> take_outgoing();
    std::vector<node_event>       take_events();

    /// Starts a claim; its result comes as claim_event within 1 s.
    /// \param account and key identify the work; body_hash detects reuse.
    std::uint64_t begin_claim(std::string_view account, std::string_view key,
                              std::uint64_t body_hash, time_point now);
    /// True when the granted claim may be used to dispatch now; false after a
    /// pause or more than limits::claim_use_limit after the claim began. Call
    /// it directly before the work is sent, also before a repetition of an
    /// attempt that certainly did not run.
    bool use_claim(std::uint64_t claim, time_point now);
    /// The work certainly did not run: the key may be claimed again.
    void release_claim(std::uint64_t claim, time_point now);
    /// The work ended; a repeated key gets this answer.
    void record_answer(std::uint64_t claim, recorded_answer answer,
                       time_point now);

    /// True when this daemon should hold a watch on the service now.
    bool should_read_config(time_point now) const;
    /// Version and documents as read from the service.
    void on_config_read(std::uint64_t                      version,
                        std::map<std::string, std::string> documents,
                        time_point                         now);
    /// Puts an offered version in force unless it is older than the one in
    /// force; config_version() tells.
    void          accept_config(std::uint64_t version, time_point now);
    void          reject_config(std::uint64_t version, time_point now);
    std::uint64_t config_version() const; ///< In force; 0: none.

    void note_leaving_target(std::string_view name, time_point now);
    /// Peers learn that this daemon drains.
    void begin_drain(time_point now);
    /// True when no claim would be lost if the process ended now.
    bool drained(time_point now) const;

    /// True when a version is in force that may be served.
    bool ready(time_point now) const;
    /// False while this voter recovers, or confirms itself after a pause.
    bool settled() const;
    /// False from a pause until the hold after it is over and a peer has
    /// confirmed the configuration in force, and while a newer process of the
    /// slot is known. Call it directly before the work that depends on it.
    bool                     confirmed(time_point now);
    std::uint32_t            alive_count(time_point now) const;
    std::vector<member_view> members(time_point now) const;
    /// Slots that are suspect or dead.
    std::vector<slot_id> silent_slots(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusgate
