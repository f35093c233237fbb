#include "member_table.hpp"

#include "relay_grid.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace arbutusgate {

namespace {

constexpr std::uint64_t reader_seed = 0x72656164;
// Entries are sent with priority for this long after a change, until the whole
// fleet has received them.
constexpr auto        change_priority_period = seconds{15};
constexpr std::size_t heartbeat_bytes        = 4; // per slot
// A counter that is further ahead, modulo 2^16, is an older heartbeat. A
// one-byte counter would be too short, because messages that a paused process
// had queued are minutes old.
constexpr std::uint16_t max_heartbeat_lead = 32767;

/// Returns a hash that distinguishes the processes of a slot. With a one-byte
/// hash, one replacement in 256 would get the tag of its predecessor and so
/// take over the predecessor's higher heartbeat.
std::uint16_t process_tag(std::uint64_t incarnation)
{
    return static_cast<std::uint16_t>(incarnation ^ (incarnation >> 16U) ^
                                      (incarnation >> 32U) ^
                                      (incarnation >> 48U));
}

} // namespace

member_table::member_table(node_context& context)
    : context_(context), members_(context.slot_count())
{
    std::vector<std::pair<std::uint64_t, slot_id>> weights;
    for (std::uint32_t n = 0; n < members_.size(); ++n) {
        if (!self(slot_id{n}))
            gossip_order_.push_back(slot_id{n});
        weights.emplace_back(
            rendezvous_weight(context_.init.slots[n].name, reader_seed),
            slot_id{n});
    }
    std::shuffle(gossip_order_.begin(), gossip_order_.end(), context_.random);
    const relay_grid grid(members_.size());
    std::copy_if(
        gossip_order_.begin(), gossip_order_.end(), std::back_inserter(peers_),
        [&](slot_id it) { return grid.adjacent(context_.init.self, it); });
    std::sort(weights.rbegin(), weights.rend());
    for (const auto& it : weights)
        slots_by_weight_.push_back(it.second);
}

void member_table::advance_heartbeat(time_point t)
{
    auto& it          = members_[context_.init.self.idx];
    it.incarnation    = context_.incarnation;
    it.last_heartbeat = t;
    if (it.heartbeat == 0 || it.leaving != leaving_)
        it.last_change = t;
    it.leaving = leaving_;
    ++it.heartbeat;
}

void member_table::merge_entry(const pb::MemberEntry& entry, time_point t)
{
    const slot_id slot{entry.slot()};
    if (slot.idx >= members_.size())
        return;
    context_.newest.raise(slot, entry.incarnation());
    auto& it = members_[slot.idx];
    if (self(slot) || entry.incarnation() < it.incarnation)
        return;
    if (entry.incarnation() == it.incarnation &&
        entry.heartbeat() <= it.heartbeat)
        return;
    const bool leaving = entry.state() == pb::MEMBER_LEAVING;
    const bool same =
        entry.incarnation() == it.incarnation && leaving == it.leaving;
    it = {entry.incarnation(), entry.heartbeat(), t, same ? it.last_change : t,
          leaving};
}

void member_table::add_entry(slot_id slot, pb::Gossip& out) const
{
    // The newest known process may not have sent a heartbeat yet.
    const auto& it     = members_[slot.idx];
    const auto  newest = context_.newest.newest(slot);
    auto&       entry  = *out.add_members();
    entry.set_slot(slot.idx);
    entry.set_incarnation(newest);
    entry.set_heartbeat(newest == it.incarnation ? it.heartbeat : 0);
    entry.set_state(it.leaving ? pb::MEMBER_LEAVING : pb::MEMBER_ALIVE);
}

void member_table::send(pb::Gossip& out, std::size_t entries, time_point t)
{
    send_heartbeats(*out.mutable_heartbeats(), t);
    add_entry(context_.init.self, out);
    const auto full = [&] {
        return static_cast<std::size_t>(out.members_size()) >= entries;
    };
    const auto recent = [&](slot_id slot) {
        const auto& it = members_[slot.idx];
        return it.incarnation != 0 &&
               t - it.last_change < change_priority_period;
    };
    // Changed entries rotate as well: after a restart of the fleet, more
    // entries have changed than fit into a message.
    std::size_t seen = 0;
    for (; seen < gossip_order_.size() && !full(); ++seen) {
        const auto slot =
            gossip_order_[(next_changed_ + seen) % gossip_order_.size()];
        if (recent(slot))
            add_entry(slot, out);
    }
    if (!gossip_order_.empty())
        next_changed_ = (next_changed_ + seen) % gossip_order_.size();
    for (std::size_t n = 0; n < gossip_order_.size() && !full(); ++n) {
        const auto slot    = gossip_order_[next_other_];
        next_other_        = (next_other_ + 1) % gossip_order_.size();
        const auto current = state(slot, t);
        if (current != member_view::state::unknown &&
            current != member_view::state::dead && !recent(slot))
            add_entry(slot, out);
    }
}

void member_table::receive(const pb::Gossip& gossip, time_point t)
{
    for (const auto& it : gossip.members())
        merge_entry(it, t);
    receive_heartbeats(gossip.heartbeats(), t);
}

void member_table::send_heartbeats(std::string& out, time_point t) const
{
    out.assign(members_.size() * heartbeat_bytes, '\0');
    for (std::uint32_t n = 0; n < members_.size(); ++n) {
        const auto current = state(slot_id{n}, t);
        // After a wraparound, the old counter of a dead member would look like
        // a new one.
        if (current == member_view::state::unknown ||
            current == member_view::state::dead)
            continue;
        auto* const bytes = &out[n * heartbeat_bytes];
        const auto  tag   = process_tag(members_[n].incarnation);
        bytes[0]          = static_cast<char>(tag);
        bytes[1]          = static_cast<char>(tag >> 8U);
        bytes[2]          = static_cast<char>(members_[n].heartbeat);
        bytes[3]          = static_cast<char>(members_[n].heartbeat >> 8U);
    }
}

std::uint32_t member_table::heartbeats_ahead(const std::string& bytes,
                                             slot_id            slot,
                                             std::uint64_t      incarnation,
                                             std::uint64_t      heartbeat)
{
    const auto from = slot.idx * heartbeat_bytes;
    if (incarnation == 0 || from + heartbeat_bytes > bytes.size())
        return 0;
    const auto word = [&](std::size_t n) {
        return static_cast<std::uint16_t>(
            static_cast<std::uint8_t>(bytes[from + n]) |
            (static_cast<std::uint8_t>(bytes[from + n + 1]) << 8U));
    };
    const auto ahead = static_cast<std::uint16_t>(
        word(2) - static_cast<std::uint16_t>(heartbeat));
    const bool absent = word(0) == 0 && word(2) == 0;
    const bool known  = word(0) == process_tag(incarnation);
    return known && !absent && ahead <= max_heartbeat_lead ? ahead : 0;
}

void member_table::receive_heartbeats(const std::string& bytes, time_point t)
{
    for (std::uint32_t n = 0; n < members_.size(); ++n) {
        auto&      it = members_[n];
        const auto ahead =
            heartbeats_ahead(bytes, slot_id{n}, it.incarnation, it.heartbeat);
        if (self(slot_id{n}) || ahead == 0)
            continue;
        it.heartbeat += ahead;
        it.last_heartbeat = t;
    }
}

std::vector<slot_id> member_table::next_peers(std::size_t count)
{
    const auto window = std::min(limits::gossip_window, peers_.size());
    std::vector<slot_id> peers;
    for (std::size_t n = 0; n < std::min(count, window); ++n) {
        peers.push_back(peers_[(window_start_ + next_peer_) % peers_.size()]);
        if (++next_peer_ < window)
            continue;
        next_peer_ = 0;
        window_start_ =
            (window_start_ + limits::gossip_window_step) % peers_.size();
    }
    return peers;
}

member_view::state member_table::state(slot_id slot, time_point t) const
{
    const auto& it = members_[slot.idx];
    if (it.incarnation == 0)
        return member_view::state::unknown;
    const auto silence = t - it.last_heartbeat - context_.propagation_time();
    if (!self(slot) && silence >= limits::member_dead)
        return member_view::state::dead;
    if (it.leaving)
        return member_view::state::leaving;
    if (!self(slot) && silence >= limits::member_suspect)
        return member_view::state::suspect;
    return member_view::state::alive;
}

std::uint32_t member_table::alive_count(time_point t) const
{
    std::uint32_t count = 0;
    for (std::uint32_t n = 0; n < members_.size(); ++n)
        count += self(slot_id{n}) ||
                 state(slot_id{n}, t) == member_view::state::alive;
    return count;
}

std::vector<slot_id> member_table::suspect_or_dead(time_point t) const
{
    std::vector<slot_id> out;
    for (std::uint32_t n = 0; n < members_.size(); ++n) {
        const auto current = state(slot_id{n}, t);
        if (current == member_view::state::suspect ||
            current == member_view::state::dead)
            out.push_back(slot_id{n});
    }
    return out;
}

std::vector<member_view> member_table::view(time_point t) const
{
    std::vector<member_view> out;
    for (std::uint32_t n = 0; n < members_.size(); ++n)
        out.push_back(
            {slot_id{n}, members_[n].incarnation, state(slot_id{n}, t)});
    return out;
}

bool member_table::is_reader(time_point t) const
{
    // There are few failure domains, so a linear search is faster than a set.
    std::vector<std::string_view> domains;
    bool                          extra = false;
    for (const auto slot : slots_by_weight_) {
        if (!self(slot) && state(slot, t) != member_view::state::alive)
            continue;
        const std::string_view domain =
            context_.init.slots[slot.idx].failure_domain;
        const bool first =
            std::find(domains.begin(), domains.end(), domain) == domains.end();
        if (self(slot))
            return first || !extra;
        if (first)
            domains.push_back(domain);
        extra = extra || !first;
    }
    return true;
}

} // namespace arbutusgate
