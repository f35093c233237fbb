#include "peer_codec.hpp"

#include "field_value.hpp"
#include "gateway.pb.h"

#include "arbutusgate/config.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusgate::gateway {

namespace {

milliseconds remaining(time_point deadline, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(deadline - now);
}

peer decode(const pb::GatewayMember& it)
{
    return {it.address(),        it.incarnation(),    it.heartbeat(),
            it.failure_domain(), it.refuses_orders(), it.capacity()};
}

void encode(const peer& it, pb::GatewayMember& out)
{
    out.set_address(it.address);
    out.set_incarnation(it.incarnation);
    out.set_heartbeat(it.heartbeat);
    out.set_failure_domain(it.failure_domain);
    out.set_refuses_orders(it.refuses_orders);
    out.set_capacity(it.capacity);
}

void encode(const std::string& shard, const stage_queue& it,
            pb::StageQueue& out)
{
    out.set_shard(shard);
    out.set_on_time_us(static_cast<std::uint64_t>(it.on_time.count()));
    out.set_all_us(static_cast<std::uint64_t>(it.all.count()));
    out.set_room_us(static_cast<std::uint64_t>(it.room.count()));
}

stage_queue decode(const pb::StageQueue& it)
{
    return {microseconds{static_cast<std::int64_t>(it.on_time_us())},
            microseconds{static_cast<std::int64_t>(it.all_us())},
            microseconds{static_cast<std::int64_t>(it.room_us())}};
}

void encode(const target& it, pb::GatewayTarget& out)
{
    out.set_id(it.id);
    out.set_service(it.service);
    out.set_address(it.address);
    out.set_failure_domain(it.failure_domain);
    out.set_slots(it.slots);
    out.set_leaving(it.leaving);
    out.set_started_at(it.started_at);
    out.set_version(it.version);
    out.set_cold_ms(static_cast<std::uint32_t>(it.cold_for.count()));
}

/// \return nothing for texts that no target can have. Daemons of an earlier
/// version pass them on.
std::optional<target> decode(const pb::GatewayTarget& it)
{
    if (!is_field_value(it.id()) || !is_field_value(it.address()))
        return std::nullopt;
    return target{it.id(),
                  it.service(),
                  it.address(),
                  it.failure_domain(),
                  it.slots(),
                  it.leaving(),
                  it.started_at(),
                  it.version(),
                  milliseconds{it.cold_ms()}};
}

pb::OrderState encode(order_state it)
{
    switch (it) {
    case order_state::waiting:
        return pb::ORDER_WAITING;
    case order_state::done:
        return pb::ORDER_DONE;
    case order_state::refused:
        return pb::ORDER_REFUSED;
    case order_state::late:
        return pb::ORDER_LATE;
    case order_state::input_gone:
        return pb::ORDER_INPUT_GONE;
    case order_state::failed:
        break;
    }
    return pb::ORDER_FAILED;
}

order_state decode(pb::OrderState it)
{
    switch (it) {
    case pb::ORDER_DONE:
        return order_state::done;
    case pb::ORDER_REFUSED:
        return order_state::refused;
    case pb::ORDER_LATE:
        return order_state::late;
    case pb::ORDER_INPUT_GONE:
        return order_state::input_gone;
    default:
        return order_state::failed;
    }
}

std::uint32_t to_wire(milliseconds it)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, it.count()));
}

void encode(const target_limit& it, time_point now, pb::TargetLimit& out)
{
    out.set_target(it.target);
    out.set_started_at(it.started_at);
    if (it.rate)
        out.set_rate(*it.rate);
    out.set_age_ms(to_wire(remaining(now, it.named_at)));
}

/// \return nothing when the rate is not a number of at least 0.
std::optional<target_limit> decode(const pb::TargetLimit& it, time_point now)
{
    target_limit out{
        it.target(), it.started_at(), {}, now - milliseconds{it.age_ms()}};
    if (!it.has_rate())
        return out;
    if (!std::isfinite(it.rate()) || it.rate() < 0)
        return std::nullopt;
    out.rate = it.rate();
    return out;
}

answer_progress decode_progress(std::uint32_t it)
{
    return static_cast<answer_progress>(
        std::min(it, static_cast<std::uint32_t>(answer_progress::whole)));
}

} // namespace

void encode(const part_report& it, time_point now, pb::PartReport& out)
{
    out.set_part(it.part);
    for (const auto& crash : it.crashes) {
        auto& to = *out.add_crashes();
        to.set_lifetime(crash.lifetime);
        to.set_request(crash.request);
        to.set_scope(crash.scope);
        to.set_age_ms(to_wire(remaining(now, crash.at)));
        to.set_progress(static_cast<std::uint32_t>(crash.progress));
        for (const auto part : crash.companions)
            to.add_companions(part);
    }
    for (const auto& answer : it.answers) {
        auto& to = *out.add_answers();
        to.set_scope(answer.scope);
        to.set_age_ms(to_wire(remaining(now, answer.at)));
        to.set_progress(static_cast<std::uint32_t>(answer.progress));
    }
    out.set_trials(it.trials);
    if (it.trials > 0)
        out.set_last_trial_age_ms(to_wire(remaining(now, it.last_trial_at)));
}

part_report decode(const pb::PartReport& it, time_point now)
{
    part_report out;
    out.part = it.part();
    for (const auto& crash : it.crashes()) {
        auto& to = out.crashes.emplace_back(
            part_crash{crash.lifetime(), crash.request(), crash.scope(),
                       now - milliseconds{crash.age_ms()}});
        to.progress = decode_progress(crash.progress());
        to.companions.assign(crash.companions().begin(),
                             crash.companions().end());
        std::sort(to.companions.begin(), to.companions.end());
    }
    for (const auto& answer : it.answers())
        out.answers.push_back({answer.scope(),
                               now - milliseconds{answer.age_ms()},
                               std::max(decode_progress(answer.progress()),
                                        answer_progress::begun)});
    out.trials = it.trials();
    if (out.trials > 0)
        out.last_trial_at = now - milliseconds{it.last_trial_age_ms()};
    return out;
}

std::string encode(const peer_gossip& it, time_point now)
{
    pb::GatewayGossip out;
    for (const auto& member : it.members)
        encode(member, *out.add_members());
    for (const auto& [shard, queue] : it.queues)
        encode(shard, queue, *out.add_queues());
    for (const auto& member : it.candidates)
        encode(member, *out.add_candidates());
    out.set_queues_only(it.queues_only);
    for (const auto& limit : it.limits)
        encode(limit, now, *out.add_limits());
    for (const auto& part : it.parts)
        encode(part, now, *out.add_parts());
    for (const auto& lifetime : it.lifetimes) {
        auto& to = *out.add_lifetimes();
        to.set_lifetime(lifetime.lifetime);
        to.set_age_ms(to_wire(remaining(now, lifetime.alive_at)));
    }
    return out.SerializeAsString();
}

std::optional<peer_gossip> decode_gossip(const std::string& bytes,
                                         time_point         now)
{
    pb::GatewayGossip in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    peer_gossip out;
    for (const auto& it : in.members())
        out.members.push_back(decode(it));
    for (const auto& it : in.queues())
        out.queues[it.shard()] = decode(it);
    for (const auto& it : in.candidates())
        out.candidates.push_back(decode(it));
    out.queues_only = in.queues_only();
    for (const auto& it : in.limits()) {
        if (auto limit = decode(it, now))
            out.limits.push_back(*std::move(limit));
    }
    for (const auto& it : in.parts())
        out.parts.push_back(decode(it, now));
    for (const auto& it : in.lifetimes())
        out.lifetimes.push_back(
            {it.lifetime(), now - milliseconds{it.age_ms()}});
    return out;
}

std::string encode(const permit_request& it, time_point now)
{
    pb::CallPermitRequest out;
    encode(it.limit, now, *out.mutable_limit());
    out.set_max_wait_ms(to_wire(it.max_wait));
    if (it.cold) {
        auto& cold = *out.mutable_cold();
        cold.set_started_at(it.cold->started_at);
        cold.set_rate(it.cold->rate);
        cold.set_remaining_ms(to_wire(remaining(it.cold->until, now)));
    }
    return out.SerializeAsString();
}

std::optional<permit_request> decode_permit_request(const std::string& bytes,
                                                    time_point         now)
{
    pb::CallPermitRequest in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    auto limit = decode(in.limit(), now);
    if (!limit || limit->target.empty() || !(limit->rate || in.has_cold()))
        return std::nullopt;
    permit_request out{*std::move(limit), milliseconds{in.max_wait_ms()}};
    if (!in.has_cold())
        return out;
    const auto& cold = in.cold();
    if (!std::isfinite(cold.rate()) || cold.rate() <= 0)
        return std::nullopt;
    out.cold = {cold.started_at(), cold.rate(),
                now + std::min(milliseconds{cold.remaining_ms()},
                               target_limits::max_cold_time)};
    return out;
}

std::string encode(const permit_response& it, time_point now)
{
    pb::CallPermitResponse out;
    out.set_granted(it.granted);
    out.set_undecided(it.undecided);
    out.set_wait_ms(to_wire(it.wait));
    if (it.limit)
        encode(*it.limit, now, *out.mutable_limit());
    return out.SerializeAsString();
}

std::optional<permit_response> decode_permit_response(const std::string& bytes,
                                                      time_point         now)
{
    pb::CallPermitResponse in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    permit_response out{.granted   = in.granted(),
                        .undecided = in.undecided(),
                        .wait      = milliseconds{in.wait_ms()}};
    if (in.has_limit())
        out.limit = decode(in.limit(), now);
    return out;
}

std::string encode_trial_request(const part_report& it, time_point now)
{
    pb::TrialRequest out;
    encode(it, now, *out.mutable_part());
    return out.SerializeAsString();
}

std::optional<part_report> decode_trial_request(const std::string& bytes,
                                                time_point         now)
{
    pb::TrialRequest in;
    if (!in.ParseFromString(bytes) || !in.has_part())
        return std::nullopt;
    return decode(in.part(), now);
}

std::string encode(const trial_response& it, time_point now)
{
    pb::TrialResponse out;
    out.set_granted(it.granted);
    encode(it.part, now, *out.mutable_part());
    return out.SerializeAsString();
}

std::optional<trial_response> decode_trial_response(const std::string& bytes,
                                                    time_point         now)
{
    pb::TrialResponse in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return trial_response{in.granted(), decode(in.part(), now)};
}

std::string encode(const state_copy& it)
{
    pb::GatewayState out;
    out.set_revision(it.revision.number);
    out.set_era(it.revision.era);
    out.set_configuration(it.document);
    for (const auto& entry : it.targets)
        encode(entry, *out.add_targets());
    for (const auto& domain : it.evacuated)
        out.add_evacuated(domain);
    return out.SerializeAsString();
}

std::optional<state_copy> decode_state(const std::string& bytes)
{
    pb::GatewayState in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    state_copy out{{in.revision(), in.era()}, in.configuration(), {}};
    for (const auto& it : in.targets()) {
        if (auto found = decode(it))
            out.targets.push_back(*std::move(found));
    }
    out.evacuated.insert(in.evacuated().begin(), in.evacuated().end());
    return out;
}

std::string encode(const std::optional<relayed_changes>& it)
{
    pb::GatewayChanges out;
    out.set_known(it.has_value());
    if (!it)
        return out.SerializeAsString();
    out.set_revision(it->changes.revision.number);
    out.set_era(it->changes.revision.era);
    out.set_age_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, it->age.count())));
    for (const auto& change : it->changes.changes) {
        if (const auto* put = std::get_if<target>(&change)) {
            encode(*put, *out.add_changes()->mutable_target());
        }
        else if (const auto* gone = std::get_if<target_removed>(&change)) {
            auto& removed = *out.add_changes()->mutable_removed();
            removed.set_id(gone->id);
            removed.set_unreadable(gone->unreadable);
        }
        else if (const auto* config = std::get_if<configuration>(&change)) {
            out.add_changes()->set_configuration(config->document);
        }
        else if (const auto* evacuation =
                     std::get_if<domain_evacuation>(&change)) {
            auto& domain = *out.add_changes()->mutable_evacuation();
            domain.set_failure_domain(evacuation->failure_domain);
            domain.set_active(evacuation->active);
        }
    }
    return out.SerializeAsString();
}

std::optional<relayed_changes> decode_changes(const std::string& bytes)
{
    pb::GatewayChanges in;
    if (!in.ParseFromString(bytes) || !in.known())
        return std::nullopt;
    relayed_changes out;
    out.changes.revision = {in.revision(), in.era()};
    out.age              = milliseconds{in.age_ms()};
    for (const auto& it : in.changes()) {
        if (it.has_target()) {
            if (auto found = decode(it.target()))
                out.changes.changes.emplace_back(*std::move(found));
        }
        else if (it.has_removed()) {
            out.changes.changes.emplace_back(
                target_removed{it.removed().id(), it.removed().unreadable()});
        }
        else if (it.has_evacuation()) {
            out.changes.changes.emplace_back(domain_evacuation{
                it.evacuation().failure_domain(), it.evacuation().active()});
        }
        else {
            configuration config;
            config.document = it.configuration();
            out.changes.changes.emplace_back(std::move(config));
        }
    }
    return out;
}

std::string encode_reach_query()
{
    return pb::ReachQuery().SerializeAsString();
}

std::string encode(const reach_report& it)
{
    pb::ReachReport out;
    out.set_reaches_targets(it.reaches_targets);
    out.set_open_requests(it.open_requests);
    out.set_capacity(it.capacity);
    out.set_failure_domain(it.failure_domain);
    return out.SerializeAsString();
}

std::optional<reach_report> decode_reach_report(const std::string& bytes)
{
    pb::ReachReport in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return reach_report{in.reaches_targets(), in.open_requests(), in.capacity(),
                        in.failure_domain()};
}

std::string encode_state_query(const state_revision& revision)
{
    pb::GatewayStateQuery out;
    out.set_revision(revision.number);
    out.set_era(revision.era);
    return out.SerializeAsString();
}

std::optional<state_revision> decode_state_query(const std::string& bytes)
{
    pb::GatewayStateQuery in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return state_revision{in.revision(), in.era()};
}

std::string encode(const stage_order& it, time_point now)
{
    pb::StageOrder out;
    out.set_service(it.service);
    out.set_shard(it.shard);
    out.set_rank(it.group.rank);
    out.set_goal_ms(remaining(it.group.goal, now).count());
    out.set_limit_ms(remaining(it.group.limit, now).count());
    out.set_result_bytes(it.group.result_bytes);
    out.set_kind(it.group.kind);
    out.set_failure_domain(it.group.failure_domain);
    out.set_count(it.group.count);
    out.set_attempt(it.source->attempt);
    out.set_stage(it.source->stage);
    out.set_key(it.source->key);
    for (const auto& input : it.source->inputs)
        out.add_inputs(input);
    return out.SerializeAsString();
}

std::optional<stage_order> decode_order(const std::string& bytes,
                                        time_point         now)
{
    pb::StageOrder in;
    if (!in.ParseFromString(bytes) || in.count() == 0 ||
        in.count() > limits::max_stage_pieces)
        return std::nullopt;
    stage_order out;
    out.service              = in.service();
    out.shard                = in.shard();
    out.group.rank           = in.rank();
    out.group.goal           = now + milliseconds{in.goal_ms()};
    out.group.limit          = now + milliseconds{in.limit_ms()};
    out.group.result_bytes   = in.result_bytes();
    out.group.kind           = in.kind();
    out.group.failure_domain = in.failure_domain();
    out.group.count          = in.count();
    stage_source source;
    source.attempt = in.attempt();
    source.stage   = in.stage();
    source.key     = in.key();
    source.inputs.assign(in.inputs().begin(), in.inputs().end());
    out.source = std::make_shared<const stage_source>(std::move(source));
    return out;
}

std::string encode(const stage_outcome& it, time_point now)
{
    pb::StageResult out;
    out.set_state(encode(it.state));
    for (const auto& handle : it.handles)
        out.add_handles(handle);
    out.set_retry_after_ms(static_cast<std::uint32_t>(it.retry_after.count()));
    out.set_on_time_us(static_cast<std::uint64_t>(it.queue.on_time.count()));
    out.set_all_us(static_cast<std::uint64_t>(it.queue.all.count()));
    out.set_room_us(static_cast<std::uint64_t>(it.queue.room.count()));
    for (const auto& [shard, report] : it.others) {
        auto& queue = *out.add_others();
        encode(shard, report.queue, queue);
        queue.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
            0,
            std::chrono::duration_cast<milliseconds>(now - report.reported_at)
                .count())));
    }
    return out.SerializeAsString();
}

std::optional<stage_outcome> decode_outcome(const std::string& bytes,
                                            time_point         now)
{
    pb::StageResult in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    stage_outcome out;
    out.state = decode(in.state());
    out.handles.assign(in.handles().begin(), in.handles().end());
    // Daemons of an earlier version pass on whatever a target sent.
    if (!std::all_of(out.handles.begin(), out.handles.end(), is_list_item)) {
        out.state = order_state::failed;
        out.handles.clear();
    }
    out.retry_after = milliseconds{in.retry_after_ms()};
    out.queue.on_time =
        microseconds{static_cast<std::int64_t>(in.on_time_us())};
    out.queue.all  = microseconds{static_cast<std::int64_t>(in.all_us())};
    out.queue.room = microseconds{static_cast<std::int64_t>(in.room_us())};
    for (const auto& it : in.others())
        out.others[it.shard()] = {decode(it), now - milliseconds{it.age_ms()}};
    return out;
}

namespace {

void encode(const software_sighting& it, time_point now,
            pb::SoftwareSighting& out)
{
    out.set_service(it.service);
    out.set_software(it.software);
    out.set_age_ms(to_wire(remaining(now, it.last_at)));
}

software_sighting decode(const pb::SoftwareSighting& it, time_point now)
{
    return {it.service(), it.software(), now - milliseconds{it.age_ms()}};
}

} // namespace

std::string encode(const origin_report& it, time_point now)
{
    pb::StreamOrigins out;
    for (const auto& origin : it.origins) {
        auto& to = *out.add_origins();
        to.set_attempt(origin.attempt);
        to.set_software(origin.software);
        to.set_age_ms(to_wire(remaining(now, origin.at)));
    }
    return out.SerializeAsString();
}

std::optional<origin_report> decode_origin_report(const std::string& bytes,
                                                  time_point         now)
{
    pb::StreamOrigins in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    origin_report out;
    for (const auto& it : in.origins())
        out.origins.push_back(
            {it.attempt(), it.software(), now - milliseconds{it.age_ms()}});
    return out;
}

std::string encode(const origin_query& it)
{
    pb::OriginQuery out;
    out.set_attempt(it.attempt);
    for (const auto& service : it.services)
        out.add_services(service);
    out.set_max_age_ms(to_wire(it.max_age));
    return out.SerializeAsString();
}

std::optional<origin_query> decode_origin_query(const std::string& bytes)
{
    pb::OriginQuery in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return origin_query{in.attempt(),
                        {in.services().begin(), in.services().end()},
                        milliseconds{in.max_age_ms()}};
}

std::string encode(const origin_response& it, time_point now)
{
    pb::OriginResponse out;
    if (it.software)
        out.set_software(*it.software);
    for (const auto& seen : it.served)
        encode(seen, now, *out.add_served());
    if (it.known_since)
        out.set_known_ms(to_wire(remaining(now, *it.known_since)));
    return out.SerializeAsString();
}

std::optional<origin_response> decode_origin_response(const std::string& bytes,
                                                      time_point         now)
{
    pb::OriginResponse in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    origin_response out;
    if (in.has_software())
        out.software = in.software();
    for (const auto& it : in.served())
        out.served.push_back(decode(it, now));
    if (in.has_known_ms())
        out.known_since = now - milliseconds{in.known_ms()};
    return out;
}

std::string encode_release(const std::vector<std::string>& handles)
{
    pb::StageRelease out;
    for (const auto& it : handles)
        out.add_handles(it);
    return out.SerializeAsString();
}

std::optional<std::vector<std::string>> decode_release(const std::string& bytes)
{
    pb::StageRelease in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return std::vector<std::string>(in.handles().begin(), in.handles().end());
}

} // namespace arbutusgate::gateway
