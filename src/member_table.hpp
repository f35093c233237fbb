/// Heartbeats of all daemons, and the liveness derived from them.
#pragma once

#include "node_context.hpp"

#include <string>
#include <vector>

namespace arbutusgate {

/// Failure detector with gossip. It gives hints only: no claim depends on it.
class member_table
{
public:
    explicit member_table(node_context& context);

    /// Increments the heartbeat of this daemon; called in each gossip round.
    void advance_heartbeat(time_point t);
    void set_leaving() { leaving_ = true; }
    void merge_entry(const pb::MemberEntry& entry, time_point t);
    /// Writes the heartbeats of all members and up to \p entries whole entries:
    /// this daemon's, then recently changed ones, then others in rotation.
    void send(pb::Gossip& out, std::size_t entries, time_point t);
    /// Adds the entry of a slot, with its newest known incarnation.
    void add_entry(slot_id slot, pb::Gossip& out) const;
    /// Returns by how much the slot's heartbeat in a gossip message exceeds the
    /// known one. 0 if it does not, or if it belongs to another process of the
    /// slot.
    static std::uint32_t heartbeats_ahead(const std::string& bytes,
                                          slot_id            slot,
                                          std::uint64_t      incarnation,
                                          std::uint64_t      heartbeat);
    /// Merges the entries and heartbeats that a peer sent.
    void receive(const pb::Gossip& gossip, time_point t);
    /// Returns the peers for a gossip round. They rotate within a window, which
    /// moves over the randomly ordered peers.
    std::vector<slot_id> next_peers(std::size_t count);

    member_view::state       state(slot_id slot, time_point t) const;
    std::uint32_t            alive_count(time_point t) const;
    std::vector<member_view> view(time_point t) const;
    /// Slots that are suspect or dead.
    std::vector<slot_id> suspect_or_dead(time_point t) const;
    /// True when this daemon is a reader of the configuration service. Readers
    /// are the alive daemon with the highest rendezvous weight in each failure
    /// domain, and one more.
    bool is_reader(time_point t) const;

private:
    struct member
    {
        std::uint64_t incarnation = 0;
        std::uint64_t heartbeat   = 0;
        time_point    last_heartbeat;
        time_point    last_change; ///< Last change of incarnation or leaving.
        bool          leaving = false;
    };

    bool self(slot_id slot) const { return slot == context_.init.self; }
    void send_heartbeats(std::string& out, time_point t) const;
    void receive_heartbeats(const std::string& bytes, time_point t);

    node_context&        context_;
    std::vector<member>  members_;
    std::vector<slot_id> gossip_order_; ///< All other slots, in random order.
    std::vector<slot_id> peers_;        ///< The ones with a direct link.
    std::vector<slot_id> slots_by_weight_;
    std::size_t window_start_ = 0; ///< Index of its first slot in peers_.
    std::size_t next_peer_    = 0; ///< Index in the window.
    std::size_t next_other_   = 0;
    std::size_t next_changed_ = 0;
    bool        leaving_      = false;
};

} // namespace arbutusgate
