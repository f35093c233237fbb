#include "member_table.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace arbutusgate {

namespace {

constexpr std::uint64_t reader_purpose = 0x72656164;

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
    std::sort(weights.rbegin(), weights.rend());
    for (const auto& it : weights)
        by_weight_.push_back(it.second);
}

void member_table::beat(time_point t)
{
    auto& it       = members_[context_.init.self.idx];
    it.incarnation = context_.incarnation;
    it.increased   = t;
    it.leaving     = leaving_;
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
    it = {entry.incarnation(), entry.heartbeat(), t,
          entry.state() == pb::MEMBER_LEAVING};
}

void member_table::sample(
    google::protobuf::RepeatedPtrField<pb::MemberEntry>& out, time_point t)
{
    const auto add = [&](slot_id slot) {
        // A newer process may be known that sent no heartbeat yet.
        const auto& it     = members_[slot.idx];
        const auto  newest = context_.newest.newest(slot);
        auto&       entry  = *out.Add();
        entry.set_slot(slot.idx);
        entry.set_incarnation(newest);
        entry.set_heartbeat(newest == it.incarnation ? it.heartbeat : 0);
        entry.set_state(it.leaving ? pb::MEMBER_LEAVING : pb::MEMBER_ALIVE);
    };
    add(context_.init.self);
    for (std::size_t n = 0; n < order_.size(); ++n) {
        if (static_cast<std::size_t>(out.size()) == limits::gossip_entries)
            return;
        const auto slot = order_[next_sample_];
        next_sample_    = (next_sample_ + 1) % order_.size();
        const auto now  = state(slot, t);
        if (now != member_view::state::unknown &&
            now != member_view::state::dead)
            add(slot);
    }
}

std::vector<slot_id> member_table::next_peers(std::size_t count)
{
    std::vector<slot_id> peers;
    for (std::size_t n = 0; n < std::min(count, order_.size()); ++n) {
        peers.push_back(order_[next_peer_]);
        if (++next_peer_ == order_.size())
            next_peer_ = 0;
    }
    return peers;
}

member_view::state member_table::state(slot_id slot, time_point t) const
{
    const auto& it = members_[slot.idx];
    if (it.incarnation == 0)
        return member_view::state::unknown;
    if (!self(slot) && t - it.increased >= limits::member_dead)
        return member_view::state::dead;
    if (it.leaving)
        return member_view::state::leaving;
    if (!self(slot) && t - it.increased >= limits::member_suspect)
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
    std::set<std::string_view> domains;
    bool                       extra = false;
    for (const auto slot : by_weight_) {
        if (!self(slot) && state(slot, t) != member_view::state::alive)
            continue;
        const bool first =
            domains.insert(context_.init.slots[slot.idx].failure_domain).second;
        if (self(slot))
            return first || !extra;
        extra = extra || !first;
    }
    return true;
}

} // namespace arbutusgate
