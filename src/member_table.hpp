/// Heartbeats of the other daemons, and what is believed of them.
#pragma once

#include "node_context.hpp"

#include <string>
#include <vector>

namespace arbutusgate {

/// Hints only: no claim depends on it.
class member_table
{
public:
    explicit member_table(node_context& context);

    /// The own entry; its counter grows with each gossip round.
    void beat(time_point t);
    void set_leaving() { leaving_ = true; }
    void note(const pb::MemberEntry& entry, time_point t);
    /// Heartbeats of all members, and up to so many whole entries: the own
    /// one, then those that changed lately, then others in turn.
    void send(pb::Gossip& out, std::size_t entries, time_point t);
    /// The whole entry of one slot, with the newest incarnation known.
    void add_entry(slot_id slot, pb::Gossip& out) const;
    /// How far the heartbeats of a gossip message are ahead of the known
    /// one of the slot's process; 0: not ahead, or of another process.
    static std::uint32_t heartbeats_ahead(const std::string& bytes,
                                          slot_id            slot,
                                          std::uint64_t      incarnation,
                                          std::uint64_t      heartbeat);
    /// Takes over what a peer sent.
    void receive(const pb::Gossip& gossip, time_point t);
    /// Peers for a gossip round: in turn from a window that moves over all
    /// slots in random order.
    std::vector<slot_id> next_peers(std::size_t count);

    member_view::state       state(slot_id slot, time_point t) const;
    std::uint32_t            alive_count(time_point t) const;
    std::vector<member_view> view(time_point t) const;
    /// Slots that are suspect or dead.
    std::vector<slot_id> silent(time_point t) const;
    /// True when this daemon is one of the readers of the service: the first
    /// alive one by rendezvous weight in each failure domain, and one more.
    bool is_reader(time_point t) const;

private:
    struct member
    {
        std::uint64_t incarnation = 0;
        std::uint64_t heartbeat   = 0;
        time_point    increased;
        time_point    changed; ///< Incarnation or leaving.
        bool          leaving = false;
    };

    bool self(slot_id slot) const { return slot == context_.init.self; }
    void send_heartbeats(std::string& out, time_point t) const;
    void receive_heartbeats(const std::string& bytes, time_point t);

    node_context&        context_;
    std::vector<member>  members_;
    std::vector<slot_id> order_; ///< Of the others.
    std::vector<slot_id> peers_; ///< Those with a direct link.
    std::vector<slot_id> by_weight_;
    std::size_t          window_       = 0; ///< Its start in peers_.
    std::size_t          next_peer_    = 0; ///< In the window.
    std::size_t          next_sample_  = 0;
    std::size_t          next_changed_ = 0;
    bool                 leaving_      = false;
};

} // namespace arbutusgate
