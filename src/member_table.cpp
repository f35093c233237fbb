#include "member_table.hpp"

#include "relay_grid.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace arbutusgate {

namespace {

constexpr std::uint64_t reader_purpose = 0x72656164;
// Changed entries go first until the whole fleet has heard of them.
constexpr auto        change_spread   = seconds{15};
constexpr std::size_t heartbeat_bytes = 4; // for each slot
// What is further ahead, modulo 2^16, is an older heartbeat. One byte would
// not do: messages that a paused process had queued are minutes old.
constexpr std::uint16_t newest_ahead = 32767;

/// Tells the processes of a slot apart. With one byte a replacement in 256
/// would get its predecessor's tag, and with it the predecessor's later
/// heartbeat.
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
            order_.push_back(slot_id{n});
        weights.emplace_back(
            rendezvous_weight(context_.init.slots[n].name, reader_purpose),
            slot_id{n});
    }
    std::shuffle(order_.begin(), order_.end(), context_.random);
    const relay_grid grid(members_.size());
    std::copy_if(
        order_.begin(), order_.end(), std::back_inserter(peers_),
        [&](slot_id it) { return grid.adjacent(context_.init.self, it); });
    std::sort(weights.rbegin(), weights.rend());
    for (const auto& it : weights)
        by_weight_.push_back(it.second);
}

void member_table::beat(time_point t)
{
    auto& it       = members_[context_.init.self.idx];
    it.incarnation = context_.incarnation;
    it.increased   = t;
    if (it.heartbeat == 0 || it.leaving != leaving_)
        it.changed = t;
    it.leaving = leaving_;
    ++it.heartbeat;
}

void member_table::note(const pb::MemberEntry& entry, time_point t)
{
    const slot_id slot{entry.slot()};
    if (slot.idx >= members_.size())
        return;
    context_.newest.note(slot, entry.incarnation());
    auto& it = members_[slot.idx];
    if (self(slot) || entry.incarnation() < it.incarnation)
        return;
    if (entry.incarnation() == it.incarnation &&
        entry.heartbeat() <= it.heartbeat)
        return;
    const bool leaving = entry.state() == pb::MEMBER_LEAVING;
    const bool same =
        entry.incarnation() == it.incarnation && leaving == it.leaving;
    it = {entry.incarnation(), entry.heartbeat(), t, same ? it.changed : t,
          leaving};
}

void member_table::add_entry(slot_id slot, pb::Gossip& out) const
{
    // A newer process may be known that sent no heartbeat yet.
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
        return it.incarnation != 0 && t - it.changed < change_spread;
    };
    // In turn too: after a restart of the fleet more changed than fit.
    std::size_t seen = 0;
    for (; seen < order_.size() && !full(); ++seen) {
        const auto slot = order_[(next_changed_ + seen) % order_.size()];
        if (recent(slot))
            add_entry(slot, out);
    }
    if (!order_.empty())
        next_changed_ = (next_changed_ + seen) % order_.size();
    for (std::size_t n = 0; n < order_.size() && !full(); ++n) {
        const auto slot = order_[next_sample_];
        next_sample_    = (next_sample_ + 1) % order_.size();
        const auto now  = state(slot, t);
        if (now != member_view::state::unknown &&
            now != member_view::state::dead && !recent(slot))
            add_entry(slot, out);
    }
}

void member_table::receive(const pb::Gossip& gossip, time_point t)
{
    for (const auto& it : gossip.members())
        note(it, t);
    receive_heartbeats(gossip.heartbeats(), t);
}

void member_table::send_heartbeats(std::string& out, time_point t) const
{
    out.assign(members_.size() * heartbeat_bytes, '\0');
    for (std::uint32_t n = 0; n < members_.size(); ++n) {
        const auto now = state(slot_id{n}, t);
        // A dead member's old counter would pass for a new one after it
        // wrapped.
        if (now == member_view::state::unknown ||
            now == member_view::state::dead)
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
    return known && !absent && ahead <= newest_ahead ? ahead : 0;
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
        it.increased = t;
    }
}

std::vector<slot_id> member_table::next_peers(std::size_t count)
{
    const auto window = std::min(limits::gossip_window, peers_.size());
    std::vector<slot_id> peers;
    for (std::size_t n = 0; n < std::min(count, window); ++n) {
        peers.push_back(peers_[(window_ + next_peer_) % peers_.size()]);
        if (++next_peer_ < window)
            continue;
        next_peer_ = 0;
        window_    = (window_ + limits::gossip_window_step) % peers_.size();
    }
    return peers;
}

member_view::state member_table::state(slot_id slot, time_point t) const
{
    const auto& it = members_[slot.idx];
    if (it.incarnation == 0)
        return member_view::state::unknown;
    const auto silence = t - it.increased - context_.spread_time();
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

std::vector<slot_id> member_table::silent(time_point t) const
{
    std::vector<slot_id> out;
    for (std::uint32_t n = 0; n < members_.size(); ++n) {
        const auto now = state(slot_id{n}, t);
        if (now == member_view::state::suspect ||
            now == member_view::state::dead)
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
    // Few domains: a linear search is faster than a set.
    std::vector<std::string_view> domains;
    bool                          extra = false;
    for (const auto slot : by_weight_) {
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
