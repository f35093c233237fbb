#include "arbutusgate/node_core.hpp"

#include "claim_client.hpp"
#include "claim_store.hpp"
#include "config_tracker.hpp"
#include "leaving_targets.hpp"
#include "member_table.hpp"
#include "observed_clock.hpp"
#include "part_quarantine.hpp"
#include "peer_codec.hpp"
#include "target_limits.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_map>
#include <utility>

namespace arbutusgate {

namespace {

constexpr auto confirm_resend = milliseconds{500};
/// Targets name no start time. Calls that break off in this time after a crash
/// show no other crash.
constexpr seconds target_restart_time{10};

gateway::part_quarantine_params prompt_params()
{
    gateway::part_quarantine_params out;
    out.restart_time = target_restart_time;
    return out;
}

} // namespace

struct node_core::impl
{
    /// State from the end of a pause until limits::pause_hold has passed and a
    /// peer has confirmed the configuration in force.
    struct pause
    {
        time_point    at;
        std::uint64_t nonce        = 0;
        bool          peer_replied = false;
        std::uint64_t version      = 0; ///< Highest that peers reported since.
    };

    impl(const node_init& init, time_point now)
        : context(init), clock(now, context.enabled(node_guard::gap_limit)),
          store(context, {}), client(context), members(context),
          config(context, {}), leaving(context),
          hello_nonce(context.random() | 1)
    {
        members.advance_heartbeat({});
        prompts.on_news(
            [this](gateway::part_quarantine::source) { prompt_news = true; });
        target_rates.on_change([this](gateway::limit_change,
                                      const gateway::target_limit& it,
                                      gateway::target_limits::source) {
            context.events.emplace_back(target_limit_event{
                it.target, it.rate, {context.incarnation, ++limit_events}});
        });
    }

    static gateway::target target_of(const prompt_call& it)
    {
        gateway::target out;
        out.id      = it.target;
        out.service = it.pool;
        return out;
    }

    void note_crash(std::uint64_t lifetime, time_point at)
    {
        auto& last = crashed_at.try_emplace(lifetime, at).first->second;
        last       = std::max(last, at);
    }
    /// A call that is sent to a target while it is down breaks off, but did not
    /// crash it.
    bool was_down(const gateway::target& it, time_point sent_at) const
    {
        const auto found = crashed_at.find(gateway::target_lifetime(it));
        return found != crashed_at.end() && sent_at > found->second &&
               sent_at < found->second + target_restart_time;
    }
    void expire_crashes(time_point t)
    {
        std::erase_if(crashed_at, [t](const auto& it) {
            return t - it.second >= target_restart_time;
        });
    }
    void merge_prompt_reports(const pb::Gossip& from, time_point t)
    {
        for (const auto& it : from.parts()) {
            const auto report = gateway::decode(it, t);
            for (const auto& crash : report.crashes) {
                if (t - crash.at < target_restart_time)
                    note_crash(crash.lifetime, crash.at);
            }
            prompts.merge(report, t);
        }
    }

    /// Sends news of prompts at once.
    void spread_prompt_news(time_point t)
    {
        if (std::exchange(prompt_news, false))
            gossip_now(t);
    }

    /// One of the daemons that are alive decides on the trial of a part.
    bool owns_trial(std::uint64_t part, time_point t) const
    {
        const auto weight = [part](slot_id slot) {
            return XXH3_64bits_withSeed(&slot.idx, sizeof slot.idx, part);
        };
        const auto own  = weight(context.init.self);
        const auto view = members.view(t);
        return std::none_of(view.begin(), view.end(), [&](const auto& it) {
            return it.current == member_view::state::alive &&
                   weight(it.slot) > own;
        });
    }

    time_point advance(time_point now)
    {
        const auto it = clock.advance(now);
        if (it.paused)
            on_pause(it.at);
        check_superseded(it.at);
        return it.at;
    }

    void on_pause(time_point t)
    {
        ever_paused = true;
        paused = pause{t, context.random() | 1, context.slot_count() == 1, 0};
        next_confirm = t;
        client.on_pause(t);
        store.on_pause(t);
        confirm(t);
    }

    /// Stops this process from claiming and serving while a newer process of
    /// its slot is known. That process may have ended: a wrong wall clock can
    /// give an earlier process of the slot the higher incarnation. If a
    /// majority of slots is alive and no heartbeat of it arrives, or if this
    /// process has neither settled nor paused yet, it raises its own
    /// incarnation above the other and recovers again, which is as safe as a
    /// restart.
    void check_superseded(time_point t)
    {
        const auto newest = context.newest.newest(context.init.self);
        if (newest <= context.incarnation)
            return;
        if (!superseded)
            newer_process_seen = std::max(newer_process_seen, t);
        superseded              = true;
        const bool never_active = !store.ever_settled() && !ever_paused;
        const bool has_ended =
            t - newer_process_seen >=
                limits::member_suspect + context.propagation_time() &&
            members.alive_count(t) > context.slot_count() / 2;
        if (!never_active && !has_ended)
            return;
        superseded          = false;
        context.incarnation = newest + 1 + context.random() % 1024;
        context.newest.raise(context.init.self, context.incarnation);
        context.out.set_incarnation(context.incarnation);
        members.advance_heartbeat(t);
        store.restart(t);
    }

    void track_newer_process(const pb::MemberEntry& entry, time_point t)
    {
        if (entry.slot() != context.init.self.idx ||
            entry.incarnation() <= context.incarnation)
            return;
        const bool same = entry.incarnation() == newer_process.incarnation();
        if (entry.incarnation() < newer_process.incarnation() ||
            (same && entry.heartbeat() <= newer_process.heartbeat()))
            return;
        if (same)
            newer_process_seen = t;
        newer_process = entry;
    }

    void track_newer_heartbeat(const std::string& heartbeats, time_point t)
    {
        const auto ahead = member_table::heartbeats_ahead(
            heartbeats, context.init.self, newer_process.incarnation(),
            newer_process.heartbeat());
        if (ahead == 0)
            return;
        newer_process.set_heartbeat(newer_process.heartbeat() + ahead);
        newer_process_seen = t;
    }

    bool may_claim(time_point t) const
    {
        if (superseded)
            return false;
        if (!paused)
            return true;
        if (context.enabled(node_guard::pause_hold) &&
            t - paused->at < limits::pause_hold)
            return false;
        return !context.enabled(node_guard::pause_confirm) ||
               (paused->peer_replied && !config.behind(paused->version));
    }

    void fill_gossip(pb::Gossip& gossip, std::size_t entries, time_point t)
    {
        members.send(gossip, entries, t);
        config.digest(*gossip.mutable_config());
        leaving.send(*gossip.mutable_leaving(), t);
        for (const auto& it : target_rates.reports(limits::max_limits_sent, t))
        {
            auto& entry = *gossip.add_limits();
            entry.set_target(it.target);
            if (it.rate)
                entry.set_rate(*it.rate);
            entry.set_age_ms(static_cast<std::uint32_t>(
                std::chrono::duration_cast<milliseconds>(t - it.named_at)
                    .count()));
        }
        fill_prompts(gossip, t);
    }

    void fill_prompts(pb::Gossip& gossip, time_point t)
    {
        for (const auto& it :
             prompts.reports(limits::max_prompt_reports_sent, t))
            gateway::encode(it, t, *gossip.add_parts());
    }

    void send_gossip(slot_id to, std::uint64_t nonce, time_point t)
    {
        auto& gossip = *context.out.add(to).mutable_gossip();
        fill_gossip(gossip, limits::gossip_entries, t);
        gossip.set_nonce(nonce);
        gossip.set_reply_wanted(nonce != 0);
    }

    /// Sends a process the newest known incarnation of its slot. Gossip omits
    /// that incarnation when its process has ended, but grants of the older
    /// process do not count here until it has raised its incarnation above
    /// that.
    void send_newest_incarnation(slot_id slot)
    {
        auto& gossip = *context.out.add(slot).mutable_gossip();
        members.add_entry(slot, gossip);
        config.digest(*gossip.mutable_config());
    }

    /// Sends gossip at once, without waiting for the next round.
    void gossip_now(time_point t)
    {
        for (const auto peer : members.next_peers(limits::hello_fanout))
            send_gossip(peer, 0, t);
    }

    void confirm(time_point t)
    {
        if (!paused || t < next_confirm)
            return;
        if (paused->peer_replied && !config.behind(paused->version) &&
            t - paused->at >= limits::pause_hold)
        {
            paused.reset();
            return;
        }
        next_confirm = t + confirm_resend;
        for (const auto peer : members.next_peers(limits::hello_fanout))
            send_gossip(peer, paused->nonce, t);
    }

    void gossip_round(time_point t)
    {
        if (t < next_gossip)
            return;
        next_gossip = t + context.gossip_interval();
        members.advance_heartbeat(t);
        leaving.expire(t);
        target_rates.expire(t);
        prompts.expire(t);
        expire_crashes(t);
        for (const auto peer : members.next_peers(limits::gossip_fanout))
            send_gossip(peer, 0, t);
        if (!config.majority_replied()) {
            for (const auto peer : config.pending_peers())
                send_gossip(peer, hello_nonce, t);
        }
    }

    /// \return whether a limit changed.
    bool receive_limits(const pb::Gossip& gossip, time_point t)
    {
        bool changed = false;
        for (const auto& it : gossip.limits()) {
            gateway::target_limit report{
                it.target(), 0, {}, t - milliseconds{it.age_ms()}};
            if (it.has_rate() && (!std::isfinite(it.rate()) || it.rate() < 0))
                continue;
            if (it.has_rate())
                report.rate = it.rate();
            changed |= target_rates.merge(std::move(report), t) !=
                       gateway::limit_change::none;
        }
        return changed;
    }

    void on_gossip(slot_id from, const pb::Gossip& gossip, time_point t)
    {
        for (const auto& it : gossip.members())
            track_newer_process(it, t);
        track_newer_heartbeat(gossip.heartbeats(), t);
        members.receive(gossip, t);
        config.on_digest(from, gossip.config(), gossip.echo() == hello_nonce,
                         t);
        // A peer without a configuration version cannot confirm one.
        if (paused && gossip.echo() == paused->nonce &&
            gossip.config().version() != 0) {
            paused->peer_replied = true;
            paused->version =
                std::max(paused->version, gossip.config().version());
        }
        bool any_new = false;
        for (const auto& it : gossip.leaving()) {
            if (!leaving.add(it.name(), milliseconds{it.age_ms()}, t))
                continue;
            any_new = true;
            context.events.emplace_back(target_leaving_event{it.name()});
        }
        // After a pause, messages may have waited, so that their ages are
        // wrong.
        if (!paused && receive_limits(gossip, t))
            any_new = true;
        merge_prompt_reports(gossip, t);
        if (any_new)
            gossip_now(t);
        spread_prompt_news(t);
        if (gossip.reply_wanted()) {
            auto& reply = *context.out.add(from).mutable_gossip();
            // Replies hold all members, for a process that has just started.
            fill_gossip(reply, context.slot_count(), t);
            reply.set_echo(gossip.nonce());
        }
    }

    void update_incarnations(
        const google::protobuf::RepeatedPtrField<pb::VoterIncarnation>& voters)
    {
        for (const auto& it : voters)
            context.newest.raise(slot_id{it.slot()}, it.incarnation());
    }

    void handle(const pb::PeerMessage& message, time_point t)
    {
        const slot_id from{message.from_slot()};
        const auto    incarnation = message.from_incarnation();
        if (from.idx >= context.slot_count())
            return;
        context.newest.raise(from, incarnation);
        switch (message.body_case()) {
        case pb::PeerMessage::kGossip:
            // The reply has no heartbeats. If it were replied to as well, two
            // outdated processes would reply to each other forever.
            if (incarnation < context.newest.newest(from) &&
                !message.gossip().heartbeats().empty())
                send_newest_incarnation(from);
            return on_gossip(from, message.gossip(), t);
        case pb::PeerMessage::kClaimRequest:
            return store.on_request(from, message.claim_request(), t);
        case pb::PeerMessage::kClaimReply:
            update_incarnations(message.claim_reply().voters());
            return client.on_reply(from, incarnation, message.claim_reply(), t);
        case pb::PeerMessage::kClaimRelease:
            return store.on_release(from, message.claim_release(), t);
        case pb::PeerMessage::kClaimRecord:
            return store.on_record(from, message.claim_record(), t);
        case pb::PeerMessage::kClaimAck:
            return client.on_ack(from, message.claim_ack());
        case pb::PeerMessage::kRecoverRequest:
            update_incarnations(message.recover_request().voters());
            return store.on_recover_request(from, incarnation,
                                            message.recover_request(), t);
        case pb::PeerMessage::kRecoverReply:
            update_incarnations(message.recover_reply().voters());
            return store.on_recover_reply(from, incarnation,
                                          message.recover_reply(), t);
        case pb::PeerMessage::kClaimHandoff:
            return store.on_handoff(from, message.claim_handoff(), t);
        case pb::PeerMessage::kHandoffAck:
            return store.on_handoff_ack(from, message.handoff_ack());
        case pb::PeerMessage::kConfigRequest:
            return config.on_request(from, message.config_request());
        case pb::PeerMessage::kConfigReply:
            return config.on_reply(message.config_reply(), t);
        case pb::PeerMessage::BODY_NOT_SET:
            return;
        }
    }

    /// Handles the messages to this daemon's own slot until none remains.
    void handle_local(time_point t)
    {
        for (auto queue = context.out.take_local(); !queue.empty();
             queue      = context.out.take_local())
        {
            for (const auto& it : queue)
                handle(*it.message, t);
        }
    }

    node_context             context;
    observed_clock           clock;
    claim_store              store;
    claim_client             client;
    member_table             members;
    config_tracker           config;
    leaving_targets          leaving;
    gateway::target_limits   target_rates;
    std::uint64_t            limit_events = 0;         ///< Number so far.
    gateway::part_quarantine prompts{prompt_params()}; ///< Parts are prefixes.
    bool                     prompt_news = false;      ///< Not sent yet.
    /// Latest crashes of targets, by lifetime, for target_restart_time.
    std::unordered_map<std::uint64_t, time_point> crashed_at;
    std::optional<pause>                          paused;
    std::uint64_t                                 hello_nonce;
    time_point                                    next_gossip;
    time_point                                    next_confirm;
    pb::MemberEntry newer_process; ///< Newest other process of this slot.
    time_point      newer_process_seen;
    bool            superseded  = false;
    bool            ever_paused = false;
};

node_core::node_core(const node_init& init, time_point now)
    : impl_(std::make_unique<impl>(init, now))
{
}

node_core::~node_core() = default;

void node_core::tick(time_point now)
{
    const auto t = impl_->advance(now);
    impl_->gossip_round(t);
    impl_->confirm(t);
    impl_->client.tick(t);
    impl_->store.tick(t);
    impl_->config.tick(t);
    impl_->handle_local(t);
}

void node_core::on_message(const pb::PeerMessage& message, time_point now)
{
    const auto t = impl_->advance(now);
    impl_->handle(message, t);
    impl_->check_superseded(t);
    impl_->handle_local(t);
}

std::vector<outgoing_message> node_core::take_outgoing()
{
    return impl_->context.out.take_outgoing();
}

std::vector<node_event> node_core::take_events()
{
    return std::exchange(impl_->context.events, {});
}

std::uint64_t node_core::begin_claim(std::string_view account,
                                     std::string_view key,
                                     std::uint64_t body_hash, time_point now)
{
    const auto t = impl_->advance(now);
    const auto claim =
        impl_->client.begin(account, key, body_hash, impl_->may_claim(t), t);
    impl_->handle_local(t);
    return claim;
}

bool node_core::use_claim(std::uint64_t claim, time_point now)
{
    const auto t = impl_->advance(now);
    return impl_->client.use(claim, t);
}

void node_core::release_claim(std::uint64_t claim, time_point now)
{
    const auto t = impl_->advance(now);
    impl_->client.release(claim, t);
    impl_->handle_local(t);
}

void node_core::record_answer(std::uint64_t claim, recorded_answer answer,
                              time_point now)
{
    const auto t = impl_->advance(now);
    impl_->client.record(claim, std::move(answer), t);
    impl_->handle_local(t);
}

bool node_core::should_read_config(time_point now) const
{
    const auto t = impl_->clock.at(now);
    return !impl_->superseded &&
           (impl_->members.is_reader(t) || !impl_->config.confirmed(t));
}

void node_core::on_config_read(std::uint64_t                      version,
                               std::map<std::string, std::string> documents,
                               time_point                         now)
{
    const auto t = impl_->advance(now);
    impl_->config.on_read(version, std::move(documents), t);
}

void node_core::accept_config(std::uint64_t version, time_point now)
{
    const auto t = impl_->advance(now);
    if (impl_->config.accept(version, t))
        impl_->gossip_now(t);
}

void node_core::reject_config(std::uint64_t version, time_point now)
{
    const auto t = impl_->advance(now);
    impl_->config.reject(version, t);
}

std::uint64_t node_core::config_version() const
{
    return impl_->config.version();
}

void node_core::add_leaving_target(std::string_view name, time_point now)
{
    const auto t = impl_->advance(now);
    if (impl_->leaving.add(name, microseconds{0}, t))
        impl_->gossip_now(t);
}

void node_core::on_target_limit(std::string_view      name,
                                std::optional<double> rate,
                                microseconds call_age, time_point now)
{
    const auto      t = impl_->advance(now);
    gateway::target from;
    from.id = name;
    gateway::target_notice notice;
    notice.call_limit = rate;
    if (impl_->target_rates.apply(from, notice, t - call_age, t) !=
        gateway::limit_change::none)
        impl_->gossip_now(t);
}

void node_core::on_prompt_answered(const prompt_call& it, time_point now)
{
    const auto t  = impl_->advance(now);
    const auto by = impl::target_of(it);
    // It is up again.
    const auto crash = impl_->crashed_at.find(gateway::target_lifetime(by));
    if (crash != impl_->crashed_at.end() &&
        t - (now - it.sent_at) > crash->second)
        impl_->crashed_at.erase(crash);
    impl_->prompts.answered({{it.prefix}, it.request}, by, t);
    impl_->spread_prompt_news(t);
}

void node_core::on_prompt_broken(const prompt_call& it, time_point now)
{
    const auto t  = impl_->advance(now);
    const auto at = impl::target_of(it);
    if (impl_->was_down(at, t - (now - it.sent_at)))
        return;
    impl_->note_crash(gateway::target_lifetime(at), t);
    impl_->prompts.broke_off({{it.prefix}, it.request}, at, t);
    impl_->spread_prompt_news(t);
}

std::optional<milliseconds> node_core::prompt_refused(const prompt_call& it,
                                                      time_point         now)
{
    const auto t = impl_->advance(now);
    const auto found =
        impl_->prompts.find({{it.prefix}, it.request},
                            gateway::software_key(impl::target_of(it)), t);
    if (!found)
        return std::nullopt;
    if (found->next_trial_at <= t && impl_->owns_trial(it.prefix, t) &&
        impl_->prompts.take_trial(it.prefix, t))
    {
        impl_->spread_prompt_news(t);
        return std::nullopt;
    }
    return std::max(milliseconds{1},
                    std::chrono::ceil<milliseconds>(found->next_trial_at - t));
}

void node_core::begin_drain(time_point now)
{
    const auto t = impl_->advance(now);
    impl_->members.set_leaving();
    impl_->members.advance_heartbeat(t);
    impl_->store.begin_drain(t);
    impl_->gossip_now(t);
}

bool node_core::drained(time_point now) const
{
    return impl_->client.drained() &&
           impl_->store.handed_off(impl_->clock.at(now));
}

bool node_core::ready(time_point) const
{
    return impl_->config.version() != 0 && !impl_->superseded &&
           impl_->config.majority_replied();
}

bool node_core::settled() const
{
    return impl_->store.settled();
}

bool node_core::confirmed(time_point now)
{
    const auto t = impl_->advance(now);
    return impl_->may_claim(t);
}

std::uint32_t node_core::alive_count(time_point now) const
{
    return impl_->members.alive_count(impl_->clock.at(now));
}

std::vector<slot_id> node_core::unresponsive_slots(time_point now) const
{
    return impl_->members.suspect_or_dead(impl_->clock.at(now));
}

std::vector<member_view> node_core::members(time_point now) const
{
    return impl_->members.view(impl_->clock.at(now));
}

} // namespace arbutusgate
