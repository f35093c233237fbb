/// Membership of the fleet of gateway daemons, and ownership of stage shards.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusgate::gateway {

/// Entry of one daemon process, as exchanged in gossip messages.
struct peer
{
    std::string   address; ///< "IP:port" at which other daemons reach it.
    std::uint64_t incarnation = 0; ///< Larger for a later process.
    std::uint64_t heartbeat   = 0;
    std::string   failure_domain;
    /// The daemon is shutting down, or lacks the configuration and the targets.
    bool refuses_orders = false;
    /// Processor share in thousandths of a core.
    std::uint32_t capacity = 0;
};

/// Timing and size parameters of a peer_table.
struct peer_table_params
{
    /// Interval between gossip rounds in a small fleet. It grows with the size
    /// of a large fleet, so that the traffic of each daemon stays constant.
    milliseconds round_interval{400};
    std::size_t  small_fleet = 12; ///< Most daemons of a small fleet.
    /// A daemon without a new heartbeat for this long counts as dead. An update
    /// takes two or three rounds to reach all of nine daemons.
    milliseconds dead_after{3000};
    /// Added to dead_after for each daemon beyond a small fleet, because a
    /// message holds only a sample of the members.
    milliseconds dead_after_per_daemon{700};
    /// A daemon that did not respond is suspect for this long and owns nothing
    /// meanwhile; doubled with each suspicion in a row, up to the maximum.
    milliseconds suspect_time{2500};
    milliseconds max_suspect_time{40'000};
    /// An owner with orders that sends nothing for this long is probed. Work
    /// that waits for a dead owner misses its goal after a few calls to targets
    /// of 200 to 300 ms each.
    milliseconds probe_after{250};
    /// A daemon without a new heartbeat for this long is removed.
    milliseconds forget_after{600'000};
    /// A round also contacts a random seed if the number of this daemon's
    /// heartbeats is a multiple of this, or if it has no other recipient.
    std::uint32_t seed_contact_period = 5;
    std::size_t   fanout              = 3;  ///< Random peers per round.
    std::size_t   max_entries         = 12; ///< Members in one message.
    /// Number of candidates: the daemons of the largest capacity, which may own
    /// shards. All daemons must know the same candidates, so messages of a
    /// large fleet list them besides the sample of members.
    std::size_t max_candidates = 12;
    /// Daemons of a large fleet that keep a record besides its maker: two may
    /// be lost with it.
    std::size_t record_holders = 3;
    /// Largest interval between a daemon's heartbeats. In a large fleet, those
    /// between gossip rounds send a message with the candidates to one peer.
    milliseconds max_heartbeat_interval{2000};
    /// In a large fleet, a daemon without a new heartbeat for this long is no
    /// longer a candidate.
    milliseconds candidate_dead_after{15'000};
    /// A daemon that has just started contacts the seeds that it has not
    /// reached yet at this interval, doubled after each attempt, for
    /// join_duration in all. Other daemons may start slightly later.
    milliseconds join_interval{100};
    milliseconds join_duration{3000};
    /// A starting daemon determines no owners until it has found other daemons
    /// and no new one for settle_time, or until max_settle_wait has passed.
    /// Daemons start within half a second of each other and respond within
    /// milliseconds.
    milliseconds max_settle_wait{400};
    milliseconds settle_time{60};
    /// How long other daemons may take to learn what changed the candidates at
    /// this one; in a large fleet, candidate_dead_after.
    milliseconds agreement_time{4000};
    /// After a pause of this process, messages may have waited in socket
    /// buffers, so that the ages in them are too low.
    milliseconds pause_hold{1000};
};

/// Must be used from one thread only; does no I/O and reads no clock. The
/// tables of two daemons may differ, so ownership is only a hint and gives no
/// mutual exclusion.
class peer_table
{
public:
    peer_table(peer self, std::vector<std::string> seeds, std::uint64_t seed,
               peer_table_params params = {});

    const peer& self() const { return self_; }
    /// \return true if the value changed.
    bool set_refuses_orders(bool it)
    {
        ranking_changed_ = true;
        return std::exchange(self_.refuses_orders, it) != it;
    }
    void set_seeds(std::vector<std::string> seeds);

    /// Increments this daemon's heartbeat and removes entries that are too old.
    /// If this process was paused, extends the time of the other daemons by the
    /// pause, since their heartbeats could not be received.
    void advance_heartbeat(time_point now);
    /// Whether this heartbeat starts a gossip round. In a large fleet most
    /// heartbeats only send one message with the candidates.
    bool round_due(time_point now);
    /// Interval between heartbeats.
    milliseconds heartbeat_interval() const;
    /// Addresses of the recipients of this round's messages.
    /// \param services whose owners are among the recipients.
    std::vector<std::string>
    round_recipients(const std::vector<std::string>& services, time_point now);
    /// Seeds that are not known to be alive; contacted while joining.
    std::vector<std::string> uncontacted_seeds(time_point now) const;
    /// Whether this daemon started less than join_duration ago.
    bool joining(time_point now) const;
    /// Whether enough daemons are known to determine owners.
    bool settled(time_point now) const;

    /// Addresses of the recipients when this daemon's own entry has changed:
    /// all peers of a small fleet, those of one round in a large fleet.
    std::vector<std::string>
    announcement_recipients(const std::vector<std::string>& services,
                            time_point                      now);

    /// Merges an entry that a peer sent, about itself or another daemon.
    /// \return true if the process was not known before.
    bool merge(const peer& it, time_point now);
    /// Merges the members of a message.
    /// \param members the sender is first.
    /// \return new daemons that do not know this one yet and should get a
    /// message; always empty in a large fleet.
    std::vector<std::string> merge_members(const std::vector<peer>& members,
                                           time_point               now);
    /// Records that the peer responded or sent a message of its own.
    void record_response(const std::string& address, time_point now);
    /// Whether the peer has sent nothing since the given time for so long that
    /// it must be probed.
    bool needs_probe(const std::string& address, time_point since,
                     time_point now) const;
    /// Records that the peer did not respond.
    /// \param certain whether one missed response makes the peer suspect.
    /// \return true if the peer becomes suspect.
    bool record_missed_response(const std::string& address, bool certain,
                                time_point now);

    /// Entries for a message: this daemon's own and a sample of the peers
    /// alive.
    std::vector<peer> entries(time_point now);
    /// Interval between gossip rounds.
    milliseconds interval() const;
    /// Addresses of the peers that are alive, without this daemon.
    std::vector<std::string> alive(time_point now) const;
    /// Addresses of at most \p count peers that are alive, chosen at random.
    std::vector<std::string> random_alive(std::size_t count, time_point now);
    /// Daemons that may own shards and are not known to be dead, by descending
    /// capacity. Sent in messages of a large fleet.
    std::vector<peer> candidates(time_point now) const;
    /// Address of the daemon that owns some work; may be this daemon.
    /// \param work any name, such as a shard key.
    /// \param failure_domain in which an owner is preferred.
    std::string owner_of(std::string_view work, time_point now,
                         std::string_view failure_domain = {}) const;
    /// Like owner_of(), but without regard to suspicion, on which daemons
    /// differ more often than on who is alive.
    std::string steady_owner_of(std::string_view work, time_point now) const;
    /// Addresses of the other daemons that keep a record with this key: all of
    /// a small fleet, few of a large one.
    std::vector<std::string> holders_of(std::uint64_t key,
                                        time_point    now) const;
    /// Whether the other daemons know the same candidates, as far as time
    /// tells.
    bool agreed(time_point now) const;
    /// Candidates that are alive, as a part of those that were lost within
    /// forget_after or are alive. The parts that the two sides of a divided
    /// fleet see add up to one.
    double live_share(time_point now) const;
    /// Whether messages that are read now may have waited during a pause of
    /// this process.
    bool resuming(time_point now) const;
    /// Whether the fleet exceeds the size of a small fleet.
    bool large() const { return beyond_small_fleet() > 0; }
    /// Number of known daemons, including this one; zero before any other
    /// daemon is known.
    std::uint32_t daemons() const;

private:
    struct entry
    {
        peer          info;
        std::uint64_t tie_break = 0;    ///< Among candidates of equal capacity.
        time_point    last_heartbeat{}; ///< When a new one was received.
        time_point    last_response{};
        time_point    suspect_until{};
        std::uint32_t missed_responses = 0; ///< In a row.
        std::uint32_t suspicions       = 0; ///< In a row.
        /// When it became a candidate, whose heartbeats come more often; zero
        /// if it is none.
        mutable time_point candidate_since{};
    };

    /// Number of daemons above the size of a small fleet.
    std::size_t              beyond_small_fleet() const;
    entry&                   entry_of(const std::string& address);
    std::vector<const peer*> alive_peers(time_point now) const;
    /// Sorts the daemons that may be candidates, by descending capacity.
    void rank_peers() const;
    /// \return whether the daemon is alive enough for a candidate.
    bool        may_be_candidate(const entry& it, time_point now) const;
    bool        is_alive(const entry& it, time_point now) const;
    void        update_candidates(time_point now) const;
    const peer& peer_of(const entry* it) const { return it ? it->info : self_; }
    bool        paused_since_heartbeat(time_point now) const;

    peer                         self_;
    std::vector<std::string>     seeds_;
    std::mt19937_64              random_;
    peer_table_params            params_;
    std::map<std::string, entry> peers_;
    std::vector<entry*>          by_address_; ///< All entries of peers_.
    time_point                   started_{};  ///< First heartbeat.
    time_point                   last_heartbeat_{};
    time_point    last_discovery_{}; ///< Of a new daemon process.
    time_point    last_round_{};     ///< Latest gossip round.
    std::uint64_t heartbeats_ = 0;
    /// Daemons that accept orders, by descending capacity; null stands for this
    /// daemon.
    mutable std::vector<const entry*> ranked_;
    mutable bool                      ranking_changed_ = true;
    /// Cached candidates; the first ones of ranked_ that are alive.
    mutable std::vector<const entry*> candidates_;
    mutable time_point                candidates_valid_until_{};
    mutable time_point                candidates_changed_at_{};
    mutable double                    live_share_ = 1;
    time_point                        resumed_at_{}; ///< After a pause.
};

} // namespace arbutusgate::gateway
