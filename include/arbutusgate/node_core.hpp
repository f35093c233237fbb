/// Protocols that the daemons of a fleet run with each other: at-most-once
/// claims, membership, configuration propagation, and leaving targets. The code
/// does no I/O and reads no clock; the driver passes messages and times in.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/node_guards.hpp"
#include "arbutusgate/pipeline_run.hpp"
#include "arbutusgate/types.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace arbutusgate {

namespace pb {
class PeerMessage;
}

/// Constructor arguments of a node core.
struct node_init
{
    slot_id       self;
    std::uint64_t incarnation = 0; ///< Higher for each new process of a slot.
    std::uint64_t seed        = 1;
    std::vector<slot_config> slots;
    milliseconds             retry_window = limits::retry_window;
    /// Added to the retry window when a voter that lost its claims waits before
    /// it grants again.
    milliseconds  settle_margin = limits::claim_settle_margin;
    std::uint32_t claim_shards  = limits::claim_shards;
    node_guards   guards; ///< All enabled outside tests.
};

/// A message for another daemon. It may be lost without notice.
struct outgoing_message
{
    slot_id                          to;
    std::shared_ptr<pb::PeerMessage> message;
};

/// Response of completed non-idempotent work. A retry with the same idempotency
/// key receives it.
struct recorded_answer
{
    std::uint32_t status = 0;
    std::string   body;
};

/// Result of begin_claim(), which returned the id in `claim`.
struct claim_event
{
    std::uint64_t   claim   = 0;
    claim_outcome   outcome = claim_outcome::unavailable;
    recorded_answer answer; ///< Set for claim_outcome::taken_done.
};

/// All documents of a configuration version other than the one in force have
/// arrived. The driver validates them and calls accept_config() or
/// reject_config().
struct config_event
{
    std::uint64_t                      version = 0;
    std::map<std::string, std::string> documents; ///< Text by document name.
};

/// A peer reported that a target is leaving.
struct target_leaving_event
{
    std::string target;
};

/// A target named a limit on the calls of all daemons, another one, or none any
/// more, in a response to this daemon or to another one.
struct target_limit_event
{
    std::string           target;
    std::optional<double> rate; ///< Calls a second; nullopt: no limit.
    /// Later events are greater: incarnation and number of the event. The
    /// driver may handle events on several threads.
    std::pair<std::uint64_t, std::uint64_t> order;
};

/// A peer has different documents under the version number that is in force
/// here. Both daemons keep their own until a higher version arrives.
struct config_conflict_event
{
    std::uint64_t version = 0;
    slot_id       peer;
};

using node_event = std::variant<claim_event, config_event, target_leaving_event,
                                target_limit_event, config_conflict_event>;

/// A call of a generate stage, for the quarantine of prompts that crash
/// targets.
struct prompt_call
{
    std::string_view pool;
    std::string_view target;      ///< Name.
    std::uint64_t    prefix  = 0; ///< Hash of the part that requests share.
    std::uint64_t    request = 0; ///< Hash of the request's id.
    time_point       sent_at{};   ///< Daemon time.
};

/// State of a slot as this daemon sees it.
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

/// State machine of one daemon. Not thread-safe; the driver serializes calls.
class node_core
{
public:
    node_core(const node_init& init, time_point now);
    ~node_core();

    node_core(const node_core&)            = delete;
    node_core& operator=(const node_core&) = delete;

    /// Must be called at least every 200 ms. A gap over limits::pause_threshold
    /// between calls counts as a pause.
    void tick(time_point now);
    void on_message(const pb::PeerMessage& message, time_point now);

    /// Returns the messages to send and the events to handle that were added
    /// since the last call.
    std::vector<outgoing_message> take_outgoing();
    std::vector<node_event>       take_events();

    /// Starts a claim. Its result arrives as a claim_event within 1 s.
    /// \param account Client account that owns the key.
    /// \param key Idempotency key of the work.
    /// \param body_hash Detects a key that is reused for another request.
    std::uint64_t begin_claim(std::string_view account, std::string_view key,
                              std::uint64_t body_hash, time_point now);
    /// True when the claim is granted and its work may be dispatched now. False
    /// after a pause and when the claim began more than
    /// limits::claim_use_limit ago. Call this directly before the work is sent,
    /// also before the retry of an attempt that certainly did not run.
    bool use_claim(std::uint64_t claim, time_point now);
    /// Allows the key to be claimed again. Only for work that certainly did not
    /// run.
    void release_claim(std::uint64_t claim, time_point now);
    /// Stores the response of completed work; retries with the same key receive
    /// it.
    void record_answer(std::uint64_t claim, recorded_answer answer,
                       time_point now);

    /// True when this daemon should watch the configuration service now.
    bool should_read_config(time_point now) const;
    /// Passes in a version and its documents read from the service.
    void on_config_read(std::uint64_t                      version,
                        std::map<std::string, std::string> documents,
                        time_point                         now);
    /// Puts the version of a config_event in force unless a newer one is in
    /// force; config_version() returns the result.
    void          accept_config(std::uint64_t version, time_point now);
    void          reject_config(std::uint64_t version, time_point now);
    std::uint64_t config_version() const; ///< In force; 0: none.

    void add_leaving_target(std::string_view name, time_point now);
    /// Passes in what a response of a target said about its limit on calls.
    /// \param rate calls a second; nullopt: the response named no limit.
    /// \param call_age time since the call was sent.
    void on_target_limit(std::string_view name, std::optional<double> rate,
                         microseconds call_age, time_point now);
    /// The target began to answer the call.
    void on_prompt_answered(const prompt_call& it, time_point now);
    /// The connection of the call ended before that.
    void on_prompt_broken(const prompt_call& it, time_point now);
    /// \return time until a request with the prefix may be tried; nothing when
    /// it may be sent now.
    std::optional<milliseconds> prompt_refused(const prompt_call& it,
                                               time_point         now);
    /// Announces to the peers that this daemon drains, and hands its claims to
    /// the other voters.
    void begin_drain(time_point now);
    /// True when the process can end without losing a claim.
    bool drained(time_point now) const;

    /// True when a configuration version is in force and may be served.
    bool ready(time_point now) const;
    /// False while this voter recovers its claims, or waits after a pause until
    /// other voters confirm it.
    bool settled() const;
    /// False from a pause until limits::pause_hold has passed and a peer has
    /// confirmed the configuration in force. Also false while a newer process
    /// of the slot is known. Call this directly before the work that depends on
    /// it.
    bool                     confirmed(time_point now);
    std::uint32_t            alive_count(time_point now) const;
    std::vector<member_view> members(time_point now) const;
    /// Returns the slots that are suspect or dead.
    std::vector<slot_id> unresponsive_slots(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusgate
