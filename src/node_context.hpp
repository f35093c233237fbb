/// State shared by the components of a node core.
#pragma once

#include "arbutusgate/node_core.hpp"
#include "claim_group.hpp"
#include "incarnation_table.hpp"
#include "message_sink.hpp"

#include <random>

namespace arbutusgate {

/// Owned by the node core; its components hold a reference.
struct node_context
{
    explicit node_context(const node_init& it)
        : init(it), incarnation(it.incarnation), newest(it.slots.size()),
          groups(it.slots, it.claim_shards), out(it.self, it.incarnation),
          random(it.seed)
    {
        newest.raise(it.self, it.incarnation);
    }

    bool        enabled(node_guard it) const { return init.guards.enabled(it); }
    std::size_t slot_count() const { return init.slots.size(); }
    /// Time between gossip rounds.
    microseconds gossip_interval() const
    {
        microseconds it = limits::gossip_interval;
        if (slot_count() > limits::direct_links)
            it += limits::gossip_interval_per_slot *
                  static_cast<std::int64_t>(slot_count());
        return it;
    }
    /// Time in which heartbeats reach all daemons of a fleet of this size.
    microseconds propagation_time() const
    {
        return limits::member_suspect_per_slot *
               static_cast<std::int64_t>(slot_count());
    }

    node_init               init;
    std::uint64_t           incarnation; ///< Of this process.
    incarnation_table       newest;
    claim_groups            groups;
    message_sink            out;
    std::mt19937_64         random;
    std::vector<node_event> events;
};

} // namespace arbutusgate
