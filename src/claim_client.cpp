#include "claim_client.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// Releases and records are less urgent than claim requests, so they are resent
// less often.
constexpr auto delivery_resend_interval = milliseconds{500};

} // namespace

std::uint64_t claim_client::begin(std::string_view account,
                                  std::string_view key, std::uint64_t body_hash,
                                  bool allowed, time_point t)
{
    const auto id = ++last_id_;
    if (!allowed) {
        context_.events.emplace_back(
            claim_event{id, claim_outcome::unavailable, {}});
        return id;
    }
    auto& it         = claims_[id];
    it.key           = make_claim_key(account, key);
    it.body_hash     = body_hash;
    it.started       = t;
    const auto shard = context_.groups.shard_of(it.key);
    for (const auto voter : context_.groups.voters(shard))
        it.votes.push_back({voter});
    send(id, it, t);
    return id;
}

bool claim_client::use(std::uint64_t id, time_point t)
{
    const auto pos = claims_.find(id);
    if (pos == claims_.end() || pos->second.current != phase::granted)
        return false;
    const bool late = t - pos->second.started > limits::claim_use_limit &&
                      context_.enabled(node_guard::use_limit);
    return pos->second.usable && !late;
}

void claim_client::release(std::uint64_t id, time_point t)
{
    const auto pos = claims_.find(id);
    if (pos != claims_.end() && pos->second.current == phase::granted)
        begin_release(id, pos->second, t);
}

void claim_client::record(std::uint64_t id, recorded_answer answer,
                          time_point t)
{
    const auto pos = claims_.find(id);
    if (pos == claims_.end() || pos->second.current != phase::granted)
        return;
    auto& it          = pos->second;
    it.current        = phase::recording;
    it.finish_started = t;
    it.answer         = std::move(answer);
    send(id, it, t);
}

pb::ClaimToken claim_client::token(std::uint64_t id) const
{
    pb::ClaimToken it;
    it.set_slot(context_.init.self.idx);
    // A token has to stay the same when the process raises its incarnation, so
    // it holds the initial incarnation instead of the context's.
    it.set_incarnation(context_.init.incarnation);
    it.set_serial(id);
    return it;
}

claim_client::claim* claim_client::find(const pb::ClaimToken& token)
{
    if (token.slot() != context_.init.self.idx ||
        token.incarnation() != context_.init.incarnation)
        return nullptr;
    const auto pos = claims_.find(token.serial());
    return pos == claims_.end() ? nullptr : &pos->second;
}

std::size_t claim_client::majority(const claim& it) const
{
    return it.votes.size() / 2 + 1;
}

bool claim_client::is_current(const vote& it) const
{
    return it.incarnation != 0 &&
           (it.incarnation >= context_.newest.newest(it.voter) ||
            !context_.enabled(node_guard::newest_incarnation));
}

void claim_client::send(std::uint64_t id, claim& it, time_point t)
{
    it.next_send =
        t + (it.current == phase::requesting ? limits::claim_resend
                                             : delivery_resend_interval);
    for (const auto& vote : it.votes) {
        if (it.current == phase::requesting) {
            if (is_current(vote) && vote.result != pb::ClaimReply::UNSETTLED)
                continue;
            auto& claim = *context_.out.add(vote.voter)
                               .mutable_claim_request()
                               ->mutable_claim();
            claim.set_key(it.key);
            claim.set_body_hash(it.body_hash);
            *claim.mutable_token() = token(id);
        }
        else if (it.current == phase::releasing && !vote.acknowledged) {
            auto& release =
                *context_.out.add(vote.voter).mutable_claim_release();
            release.set_key(it.key);
            *release.mutable_token() = token(id);
        }
        else if (it.current == phase::recording && !vote.acknowledged) {
            auto& claim = *context_.out.add(vote.voter)
                               .mutable_claim_record()
                               ->mutable_claim();
            claim.set_key(it.key);
            claim.set_body_hash(it.body_hash);
            *claim.mutable_token() = token(id);
            claim.set_age_ms(static_cast<std::uint32_t>(
                std::chrono::duration_cast<milliseconds>(t - it.started)
                    .count()));
            claim.mutable_answer()->set_status(it.answer.status);
            claim.mutable_answer()->set_body(it.answer.body);
        }
    }
}

void claim_client::on_reply(slot_id from, std::uint64_t incarnation,
                            const pb::ClaimReply& reply, time_point t)
{
    auto* it = find(reply.token());
    if (!it || it->current != phase::requesting || it->key != reply.key())
        return;
    for (auto& vote : it->votes) {
        if (vote.voter != from || incarnation < vote.incarnation)
            continue;
        // A late duplicate of an earlier UNSETTLED does not undo a grant.
        if (vote.incarnation == incarnation &&
            reply.result() == pb::ClaimReply::UNSETTLED)
            continue;
        vote.incarnation = incarnation;
        vote.result      = reply.result();
    }
    if (reply.result() == pb::ClaimReply::TAKEN) {
        it->reused =
            it->reused || reply.existing().body_hash() != it->body_hash;
        if (reply.existing().has_answer() && !it->answered) {
            it->answered = true;
            it->answer   = {reply.existing().answer().status(),
                            reply.existing().answer().body()};
        }
    }
    decide(reply.token().serial(), *it, false, t);
}

void claim_client::decide(std::uint64_t id, claim& it, bool timed_out,
                          time_point t)
{
    std::size_t granted = 0;
    std::size_t taken   = 0;
    for (const auto& vote : it.votes) {
        granted += is_current(vote) && vote.result == pb::ClaimReply::GRANTED;
        taken += is_current(vote) && vote.result == pb::ClaimReply::TAKEN;
    }
    const auto required =
        context_.enabled(node_guard::majority) ? majority(it) : std::size_t{1};
    if (it.answered)
        finish(id, it,
               it.reused ? claim_outcome::reused : claim_outcome::taken_done,
               t);
    else if (granted >= required)
        finish(id, it, claim_outcome::granted, t);
    else if (taken > it.votes.size() - required || (timed_out && taken > 0))
        finish(id, it,
               it.reused ? claim_outcome::reused
                         : claim_outcome::taken_in_progress,
               t);
    else if (timed_out)
        finish(id, it, claim_outcome::unavailable, t);
}

void claim_client::finish(std::uint64_t id, claim& it, claim_outcome outcome,
                          time_point t)
{
    claim_event event{id, outcome, {}};
    if (outcome == claim_outcome::taken_done)
        event.answer = std::move(it.answer);
    context_.events.emplace_back(std::move(event));
    if (outcome == claim_outcome::granted) {
        it.current = phase::granted;
        it.usable  = true;
        return;
    }
    begin_release(id, it, t);
}

void claim_client::begin_release(std::uint64_t id, claim& it, time_point t)
{
    it.current        = phase::releasing;
    it.finish_started = t;
    it.answer         = {};
    send(id, it, t);
}

void claim_client::on_ack(slot_id from, const pb::ClaimAck& ack)
{
    auto* it = find(ack.token());
    if (!it || it->key != ack.key() || it->current == phase::requesting)
        return;
    for (auto& vote : it->votes) {
        if (vote.voter == from)
            vote.acknowledged = true;
    }
}

bool claim_client::can_discard(const claim& it, time_point t) const
{
    if (it.current == phase::requesting)
        return false;
    if (it.current == phase::granted)
        return t - it.started > 2 * context_.init.retry_window;
    const auto limit = it.current == phase::releasing
                           ? 2 * context_.init.retry_window
                           : milliseconds{limits::claim_delivery_timeout};
    return t - it.finish_started > limit ||
           std::all_of(it.votes.begin(), it.votes.end(),
                       [](const vote& v) { return v.acknowledged; });
}

void claim_client::tick(time_point t)
{
    for (auto& [id, it] : claims_) {
        if (it.current == phase::requesting &&
            t - it.started >= limits::claim_timeout)
            decide(id, it, true, t);
        else if (it.current != phase::granted && t >= it.next_send)
            send(id, it, t);
    }
    std::erase_if(claims_, [&](const auto& entry) {
        return can_discard(entry.second, t);
    });
}

void claim_client::on_pause(time_point t)
{
    for (auto& [id, it] : claims_) {
        if (context_.enabled(node_guard::pause_drop))
            it.usable = false;
        if (it.current == phase::requesting)
            finish(id, it, claim_outcome::unavailable, t);
    }
}

bool claim_client::drained() const
{
    return std::all_of(claims_.begin(), claims_.end(), [&](const auto& entry) {
        const auto& it = entry.second;
        const auto  acknowledged =
            std::count_if(it.votes.begin(), it.votes.end(),
                          [](const vote& v) { return v.acknowledged; });
        return it.current != phase::requesting &&
               it.current != phase::granted &&
               static_cast<std::size_t>(acknowledged) >= majority(it);
    });
}

} // namespace arbutusgate
