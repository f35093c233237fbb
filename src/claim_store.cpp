#include "claim_store.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr auto recovery_interval = seconds{1};
constexpr auto handoff_interval  = milliseconds{500};
constexpr auto expiry_interval   = seconds{1};
// A voter's reply stays valid for four recovery intervals.
constexpr auto reply_validity = seconds{4};

bool same_token(const pb::ClaimToken& a, const pb::ClaimToken& b)
{
    return a.serial() == b.serial() && a.incarnation() == b.incarnation() &&
           a.slot() == b.slot();
}

} // namespace

claim_store::claim_store(node_context& context, time_point t)
    : context_(context), recovery_start_(t), next_recovery_request_(t),
      next_handoff_(t), next_expiry_(t)
{
    for (std::uint32_t n = 0; n < context_.groups.shards(); ++n) {
        if (context_.groups.is_voter(n, context_.init.self))
            shards_.push_back({n, shard_state::recovering, {}, {}});
    }
}

claim_store::shard* claim_store::find(std::uint32_t id)
{
    const auto it = std::lower_bound(
        shards_.begin(), shards_.end(), id,
        [](const shard& a, std::uint32_t b) { return a.id < b; });
    return it != shards_.end() && it->id == id ? &*it : nullptr;
}

std::size_t claim_store::required_voters(const shard& it) const
{
    return context_.groups.majority(it.id);
}

void claim_store::tick(time_point t)
{
    if (t >= next_recovery_request_) {
        next_recovery_request_ = t + recovery_interval;
        for (auto& it : shards_) {
            try_settle(it, t);
            if (it.state != shard_state::settled)
                request_recovery(it, true);
        }
    }
    if (t >= next_expiry_ && !shards_.empty()) {
        next_expiry_  = t + expiry_interval;
        expiry_shard_ = (expiry_shard_ + 1) % shards_.size();
        expire(shards_[expiry_shard_], t);
    }
    if (!handoff_.empty() && t >= next_handoff_)
        send_handoff(t);
}

void claim_store::on_pause(time_point t)
{
    ++nonce_;
    next_recovery_request_ = t;
    for (auto& it : shards_) {
        if (it.state == shard_state::settled)
            it.state = shard_state::confirming;
    }
}

void claim_store::restart(time_point t)
{
    ++nonce_;
    recovery_start_ = next_recovery_request_ = t;
    for (auto& it : shards_) {
        it.state = shard_state::recovering;
        it.recoveries.clear();
    }
}

void claim_store::request_recovery(shard& it, bool all)
{
    for (const auto voter : context_.groups.voters(it.id)) {
        if (voter == context_.init.self)
            continue;
        const auto& recovery = it.recoveries[voter];
        if (!all && recovery.complete)
            continue;
        auto& request = *context_.out.add(voter).mutable_recover_request();
        request.set_shard(it.id);
        request.set_nonce(nonce_);
        request.set_brief(recovery.complete ||
                          it.state == shard_state::confirming);
        request.set_after(recovery.after);
        add_voters(it, *request.mutable_voters());
    }
}

void claim_store::on_recover_request(slot_id from, std::uint64_t incarnation,
                                     const pb::RecoverRequest& request,
                                     time_point                t)
{
    auto* it = find(request.shard());
    if (!it)
        return;
    auto& reply = *context_.out.add(from).mutable_recover_reply();
    reply.set_shard(it->id);
    reply.set_nonce(request.nonce());
    reply.set_asker(incarnation);
    reply.set_settled(it->state != shard_state::recovering);
    reply.set_brief(request.brief());
    add_voters(*it, *reply.mutable_voters());
    if (!request.brief())
        reply.set_more(
            add_claims(*it, request.after(), t, *reply.mutable_claims()));
    // The settle window counts from the first reply of the requester's new
    // incarnation, so request that reply at once.
    const auto known = it->recoveries.find(from);
    if (it->state == shard_state::recovering && known != it->recoveries.end() &&
        incarnation > known->second.incarnation)
        next_recovery_request_ = t;
}

void claim_store::on_recover_reply(slot_id from, std::uint64_t incarnation,
                                   const pb::RecoverReply& reply, time_point t)
{
    auto* it = find(reply.shard());
    if (!it || reply.asker() != context_.incarnation ||
        !context_.groups.is_voter(reply.shard(), from) ||
        from == context_.init.self)
        return;
    auto& recovery = it->recoveries[from];
    if (incarnation < recovery.incarnation)
        return;
    if (incarnation > recovery.incarnation) {
        recovery             = {};
        recovery.incarnation = incarnation;
        recovery.first_reply = t;
    }
    recovery.last_reply = t;
    recovery.nonce      = std::max(recovery.nonce, reply.nonce());
    if (context_.enabled(node_guard::recovery_union)) {
        for (const auto& claim : reply.claims())
            merge(*it, claim, t);
    }
    if (reply.brief()) {
        // The voter settled after it sent its claims, which may have changed
        // since: fetch them again.
        if (reply.settled() && recovery.complete && !recovery.settled) {
            recovery.complete = false;
            recovery.after.clear();
        }
    }
    else if (!recovery.complete) {
        if (reply.more() && reply.claims_size() > 0) {
            recovery.after = std::max(
                recovery.after, reply.claims(reply.claims_size() - 1).key());
            request_recovery(*it, false);
        }
        else if (!reply.more()) {
            recovery.complete = true;
            recovery.settled  = reply.settled();
            recovery.after.clear();
        }
    }
    try_settle(*it, t);
}

bool claim_store::is_newest(slot_id slot, const voter_recovery& recovery) const
{
    return recovery.incarnation != 0 &&
           (recovery.incarnation >= context_.newest.newest(slot) ||
            !context_.enabled(node_guard::newest_incarnation));
}

bool claim_store::recovered(const shard& it, time_point) const
{
    std::size_t settled = 0;
    for (const auto& [slot, recovery] : it.recoveries)
        settled +=
            recovery.complete && recovery.settled && is_newest(slot, recovery);
    return settled >= required_voters(it);
}

// True when the voter may settle although a majority lost its claims. Claims
// may be missing then, so every other voter must have known this incarnation,
// and must not have restarted, for as long as a caller may retry a key. With
// fewer replies, a majority behind a partition could still be granting through
// the replaced processes.
bool claim_store::settle_window_passed(const shard& it, time_point t) const
{
    const bool  window = context_.enabled(node_guard::settle_window);
    const bool  by_all = context_.enabled(node_guard::settle_by_all);
    const auto  margin = context_.enabled(node_guard::settle_margin)
                             ? context_.init.settle_margin
                             : milliseconds{0};
    const auto  since  = t - context_.init.retry_window - margin;
    const auto  others = context_.groups.voters(it.id).size() - 1;
    std::size_t known  = 0;
    for (const auto& [slot, recovery] : it.recoveries) {
        known += recovery.complete && is_newest(slot, recovery) &&
                 recovery.last_reply + reply_validity >= t &&
                 (!window || !by_all || recovery.first_reply <= since);
    }
    const auto required =
        by_all ? others : std::min(others, required_voters(it));
    return known >= required && (!window || recovery_start_ <= since);
}

std::size_t claim_store::confirmations(const shard& it) const
{
    std::size_t count = 0;
    for (const auto& [slot, recovery] : it.recoveries)
        count += recovery.nonce == nonce_ && is_newest(slot, recovery);
    return count;
}

void claim_store::try_settle(shard& it, time_point t)
{
    if (it.state == shard_state::settled ||
        context_.newest.newest(context_.init.self) > context_.incarnation)
        return;
    const auto others = context_.groups.voters(it.id).size() - 1;
    const bool settle =
        it.state == shard_state::confirming
            ? confirmations(it) >= std::min(others, required_voters(it))
            : recovered(it, t) || settle_window_passed(it, t);
    if (!settle)
        return;
    it.state      = shard_state::settled;
    ever_settled_ = true;
}

claim_store::stored_claim*
claim_store::find_token(std::vector<stored_claim>& claims,
                        const pb::ClaimToken&      token)
{
    const auto it =
        std::find_if(claims.begin(), claims.end(), [&](const stored_claim& c) {
            return same_token(c.token, token);
        });
    return it == claims.end() ? nullptr : &*it;
}

void claim_store::on_request(slot_id from, const pb::ClaimRequest& request,
                             time_point t)
{
    const auto& claim = request.claim();
    auto*       it    = find(context_.groups.shard_of(claim.key()));
    if (!it)
        return;
    auto& reply = *context_.out.add(from).mutable_claim_reply();
    reply.set_key(claim.key());
    *reply.mutable_token() = claim.token();
    add_voters(*it, *reply.mutable_voters());
    const bool settled = it->state == shard_state::settled ||
                         !context_.enabled(node_guard::settled_voter);
    if (!settled || entries_ >= limits::claim_store_entries) {
        reply.set_result(pb::ClaimReply::UNSETTLED);
        return;
    }
    auto&         claims = it->claims[claim.key()];
    stored_claim* taken  = nullptr;
    for (auto& other : claims) {
        if (other.released || same_token(other.token, claim.token()))
            continue;
        if (!taken || other.answer)
            taken = &other;
    }
    auto* own = find_token(claims, claim.token());
    if (taken && context_.enabled(node_guard::write_once)) {
        reply.set_result(pb::ClaimReply::TAKEN);
        to_message(claim.key(), *taken, t, *reply.mutable_existing());
    }
    else if (own && own->released) {
        reply.set_result(pb::ClaimReply::UNSETTLED);
    }
    else {
        if (!own) {
            claims.push_back(
                {claim.body_hash(), claim.token(), t, false, std::nullopt});
            ++entries_;
        }
        reply.set_result(pb::ClaimReply::GRANTED);
    }
}

void claim_store::on_release(slot_id from, const pb::ClaimRelease& release,
                             time_point t)
{
    auto* it = find(context_.groups.shard_of(release.key()));
    if (!it)
        return;
    auto& claims = it->claims[release.key()];
    auto* own    = find_token(claims, release.token());
    if (!own) {
        claims.push_back({0, release.token(), t, true, std::nullopt});
        ++entries_;
    }
    else {
        own->released = true;
    }
    if (!context_.enabled(node_guard::release_token)) {
        for (auto& other : claims)
            other.released = true;
    }
    if (!context_.enabled(node_guard::tombstone)) {
        entries_ -= std::erase_if(
            claims, [](const stored_claim& c) { return c.released; });
    }
    auto& ack = *context_.out.add(from).mutable_claim_ack();
    ack.set_key(release.key());
    *ack.mutable_token() = release.token();
}

void claim_store::on_record(slot_id from, const pb::ClaimRecord& record,
                            time_point t)
{
    auto* it = find(context_.groups.shard_of(record.claim().key()));
    if (!it)
        return;
    merge(*it, record.claim(), t);
    auto& ack = *context_.out.add(from).mutable_claim_ack();
    ack.set_key(record.claim().key());
    *ack.mutable_token() = record.claim().token();
}

void claim_store::merge(shard& it, const pb::Claim& claim, time_point t)
{
    const auto granted = t - milliseconds{claim.age_ms()};
    if (granted + 2 * context_.init.retry_window < t ||
        context_.groups.shard_of(claim.key()) != it.id)
        return;
    auto& claims = it.claims[claim.key()];
    if (!context_.enabled(node_guard::all_claims) &&
        !find_token(claims, claim.token()))
    {
        entries_ -= claims.size();
        claims.clear();
    }
    auto* own = find_token(claims, claim.token());
    if (!own) {
        claims.push_back(
            {claim.body_hash(), claim.token(), granted, false, std::nullopt});
        ++entries_;
        own = &claims.back();
    }
    own->granted  = std::min(own->granted, granted);
    own->released = own->released || claim.released();
    if (claim.has_answer())
        merge_answer(*own, claim.answer());
}

void claim_store::merge_answer(stored_claim&             it,
                               const pb::RecordedAnswer& answer)
{
    if (it.answer || !context_.enabled(node_guard::answer_kept) ||
        answer.body().size() > limits::max_recorded_body ||
        answer_bytes_ + answer.body().size() > limits::claim_answer_bytes)
        return;
    answer_bytes_ += answer.body().size();
    it.answer = {answer.status(), answer.body()};
}

void claim_store::to_message(const std::string& key, const stored_claim& it,
                             time_point t, pb::Claim& claim) const
{
    claim.set_key(key);
    claim.set_body_hash(it.body_hash);
    *claim.mutable_token() = it.token;
    claim.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(t - it.granted).count()));
    claim.set_released(it.released);
    if (it.answer) {
        claim.mutable_answer()->set_status(it.answer->status);
        claim.mutable_answer()->set_body(it.answer->body);
    }
}

void claim_store::add_voters(
    const shard&                                              it,
    google::protobuf::RepeatedPtrField<pb::VoterIncarnation>& voters) const
{
    for (const auto voter : context_.groups.voters(it.id)) {
        if (const auto newest = context_.newest.newest(voter)) {
            auto& entry = *voters.Add();
            entry.set_slot(voter.idx);
            entry.set_incarnation(newest);
        }
    }
}

bool claim_store::add_claims(
    const shard& it, const std::string& after, time_point t,
    google::protobuf::RepeatedPtrField<pb::Claim>& out) const
{
    std::size_t size = 0;
    for (auto pos = it.claims.upper_bound(after); pos != it.claims.end(); ++pos)
    {
        if (size >= limits::recover_part_bytes)
            return true;
        for (const auto& claim : pos->second) {
            to_message(pos->first, claim, t, *out.Add());
            size += out.rbegin()->ByteSizeLong();
        }
    }
    return false;
}

void claim_store::expire(shard& it, time_point t)
{
    const auto oldest = t - 2 * context_.init.retry_window;
    for (auto pos = it.claims.begin(); pos != it.claims.end();) {
        entries_ -= std::erase_if(pos->second, [&](const stored_claim& c) {
            if (c.granted < oldest && c.answer)
                answer_bytes_ -= c.answer->body.size();
            return c.granted < oldest;
        });
        pos = pos->second.empty() ? it.claims.erase(pos) : std::next(pos);
    }
}

void claim_store::begin_drain(time_point t)
{
    if (drain_start_)
        return;
    drain_start_ = t;
    for (const auto& it : shards_) {
        std::string after;
        for (bool more = true; more;) {
            handoff_part part;
            part.message.set_shard(it.id);
            part.message.set_part(handoff_.size());
            more = add_claims(it, after, t, *part.message.mutable_claims());
            if (part.message.claims_size() == 0)
                break;
            after = part.message.claims().rbegin()->key();
            for (const auto voter : context_.groups.voters(it.id)) {
                if (voter != context_.init.self)
                    part.unacknowledged.push_back(voter);
            }
            part.required_acks =
                std::min(part.unacknowledged.size(), required_voters(it));
            handoff_.push_back(std::move(part));
        }
    }
    send_handoff(t);
}

void claim_store::send_handoff(time_point t)
{
    next_handoff_ = t + handoff_interval;
    if (t > *drain_start_ + limits::claim_delivery_timeout)
        return;
    for (const auto& part : handoff_) {
        for (const auto voter : part.unacknowledged)
            *context_.out.add(voter).mutable_claim_handoff() = part.message;
    }
}

void claim_store::on_handoff(slot_id from, const pb::ClaimHandoff& handoff,
                             time_point t)
{
    if (auto* it = find(handoff.shard())) {
        for (const auto& claim : handoff.claims())
            merge(*it, claim, t);
    }
    auto& ack = *context_.out.add(from).mutable_handoff_ack();
    ack.set_shard(handoff.shard());
    ack.set_part(handoff.part());
}

void claim_store::on_handoff_ack(slot_id from, const pb::HandoffAck& ack)
{
    if (ack.part() < handoff_.size())
        std::erase(handoff_[ack.part()].unacknowledged, from);
}

bool claim_store::handed_off(time_point t) const
{
    if (!drain_start_ || t > *drain_start_ + limits::claim_delivery_timeout)
        return true;
    return std::all_of(
        handoff_.begin(), handoff_.end(), [&](const handoff_part& part) {
            const auto others =
                context_.groups.voters(part.message.shard()).size() - 1;
            return others - part.unacknowledged.size() >= part.required_acks;
        });
}

bool claim_store::settled() const
{
    return std::all_of(shards_.begin(), shards_.end(), [](const shard& it) {
        return it.state == shard_state::settled;
    });
}

} // namespace arbutusgate
