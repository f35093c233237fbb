#include "stage_scheduler.hpp"

#include "body_memory.hpp"
#include "io_thread.hpp"
#include "log.hpp"
#include "notice_handler.hpp"
#include "permit_source.hpp"
#include "state_follower.hpp"
#include "target_connections.hpp"
#include "target_directory.hpp"
#include "time_left.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// No request waits longer than this for the results of a call.
constexpr milliseconds call_limit{4000};
constexpr milliseconds connect_limit{400};
constexpr milliseconds release_limit{1000};
/// Releases have time: they wait for their turn among the calls.
constexpr milliseconds release_permit_wait{2000};
/// Before the next request for a permit.
constexpr milliseconds release_retry_delay{20};
/// Hold of limited targets while the daemon starts or stops.
constexpr milliseconds no_permit_source_hold{200};
/// Delay of a release, so that one call releases several results of a target.
constexpr milliseconds  release_delay{10};
constexpr std::uint32_t max_piece_failures    = 4; // of one order
constexpr std::uint32_t max_stage_connections = 8; // to one target
/// Limit for the body of a stage response. A handle has about 40 bytes and a
/// call about 100 pieces.
constexpr std::size_t max_response_bytes = 256 * 1024;
/// Lower bound of the time after which a refused late order may be retried.
constexpr milliseconds min_retry_after{250};
/// Time after which an order whose stage has no target may be retried.
constexpr seconds no_target_retry_after{1};

std::string_view address_of(std::string_view handle)
{
    return handle.substr(0, handle.find('/'));
}

} // namespace

std::string_view to_string(order_state state)
{
    switch (state) {
    case order_state::waiting:
        return "waiting";
    case order_state::done:
        return "done";
    case order_state::refused:
        return "refused";
    case order_state::late:
        return "late";
    case order_state::input_gone:
        return "input_gone";
    case order_state::failed:
        break;
    }
    return "failed";
}

stage_scheduler::stage_scheduler(stage_scheduler_init init) : init_(init)
{
    fibers_.spawn([this] { run_timers(); });
}

stage_scheduler::shard_pool* stage_scheduler::find_pool(const std::string& key)
{
    const auto  found = pools_.find(key);
    const auto  shard = found == pools_.end()
                            ? parse_shard_key(key)
                            : std::optional(found->second->shard);
    const auto  table = init_.state.table();
    const auto* entry =
        table && shard ? table->find_service(shard->service) : nullptr;
    if (!entry || !entry->stage)
        return found == pools_.end() ? nullptr : found->second.get();
    if (found != pools_.end()) {
        auto limits = *entry->stage;
        if (init_.targets.brittle().rejections(entry->name, daemon_now()))
            limits.queue = 0;
        found->second->batcher.set_limits(limits);
        return found->second.get();
    }
    return pools_
        .emplace(key, std::make_unique<shard_pool>(*shard, *entry->stage))
        .first->second.get();
}

const std::vector<const target*>&
stage_scheduler::targets_of(shard_pool& pool) const
{
    const auto generation = init_.targets.generation();
    if (pool.generation != generation) {
        pool.targets =
            pool.shard.select(init_.targets.usable(pool.shard.service));
        pool.generation = generation;
    }
    return pool.targets;
}

std::optional<stage_scheduler::availability>
stage_scheduler::availability_of(shard_pool& pool, time_point now) const
{
    const auto& all  = targets_of(pool);
    const auto  from = init_.targets.opens_at(all, now);
    if (!from)
        return std::nullopt;
    return availability{busy_targets(init_.targets.open(all, *from), pool),
                        *from};
}

std::size_t
stage_scheduler::busy_targets(const std::vector<const target*>& list,
                              const shard_pool&                 pool) const
{
    const auto& limits = init_.targets.limits();
    if (limits.empty())
        return list.size();
    const auto now   = daemon_now();
    const auto call  = pool.batcher.full_call_time();
    double     total = 0;
    for (const auto* it : list) {
        const auto* limit = limits.find(*it, now);
        total +=
            limit
                ? std::min(1.0, *limit->rate *
                                    std::chrono::duration<double>(call).count())
                : 1.0;
    }
    return std::max<std::size_t>(1, static_cast<std::size_t>(total));
}

std::optional<call_permit>
stage_scheduler::acquire_permit(const target& to, milliseconds max_wait)
{
    auto& limits = init_.targets.limits();
    if (!limits.find(to, daemon_now()))
        return call_permit{};
    if (!permits_) {
        limits.hold(to.id, daemon_now() + no_permit_source_hold);
        return std::nullopt;
    }
    const auto out = permits_->acquire(to, max_wait);
    return out.granted ? std::optional(out) : std::nullopt;
}

bool stage_scheduler::may_send(const target&      to,
                               const call_permit& permit) const
{
    const auto now = daemon_now();
    return permit.covers(init_.targets.limits().find(to, now), now);
}

std::shared_ptr<stage_ticket>
stage_scheduler::submit(stage_order                   order,
                        std::shared_ptr<fiber_signal> changed)
{
    auto ticket          = std::make_shared<stage_ticket>();
    ticket->changed      = std::move(changed);
    ticket->id           = next_group_++;
    order.group.id       = ticket->id;
    const auto key       = order.pool();
    auto*      pool      = find_pool(key);
    const auto now       = daemon_now();
    const auto available = pool ? availability_of(*pool, now) : std::nullopt;
    if (!available) {
        ticket->state       = order_state::refused;
        ticket->retry_after = no_target_retry_after;
        return ticket;
    }
    const auto expected_end = pool->batcher.expected_done(
        order.group, available->targets, available->from);
    if (expected_end > order.group.limit) {
        ticket->state       = order_state::refused;
        ticket->retry_after = remaining_until(expected_end, order.group.limit);
        return ticket;
    }
    pool->batcher.add(order.group, now);
    group_entry entry;
    entry.missing = order.group.count;
    entry.handles.resize(order.group.count);
    entry.order  = std::move(order);
    entry.ticket = ticket;
    pool->groups.emplace(ticket->id, std::move(entry));
    start_calls(key, *pool);
    fibers_.wake();
    return ticket;
}

void stage_scheduler::withdraw(const std::shared_ptr<stage_ticket>& ticket)
{
    for (auto& [key, pool] : pools_) {
        if (pool->groups.contains(ticket->id))
            finish_order(*pool, ticket->id, order_state::failed);
    }
}

void stage_scheduler::start_calls(const std::string& key, shard_pool& pool)
{
    const auto now = daemon_now();
    while (auto call = pool.batcher.next(
               init_.targets.open(targets_of(pool), now), now))
    {
        ++stats_.calls;
        stats_.pieces += call->pieces.size();
        init_.targets.gate().sent(call->target, now);
        fibers_.spawn(
            [this, key, call = *std::move(call)] { run_call(key, call); });
    }
    if (pool.batcher.wake_at(now) < wake_at_) {
        rearm_ = true;
        fibers_.wake();
    }
}

std::vector<stage_piece> stage_scheduler::collect_pieces(const stage_call& call,
                                                         shard_pool& pool) const
{
    const auto               now = daemon_now();
    std::vector<stage_piece> pieces;
    for (const auto& entry : call.pieces) {
        const auto group = pool.groups.find(entry.group);
        if (group == pool.groups.end())
            return {};
        const auto& order = group->second.order;
        pieces.push_back({order.source, entry.piece,
                          remaining_until(order.group.limit, now)});
    }
    return pieces;
}

std::vector<piece_result> stage_scheduler::exchange(const stage_call& call,
                                                    shard_pool&       pool,
                                                    call_outcome&     outcome)
{
    const auto* found = init_.targets.find(call.target);
    outcome           = call_outcome::not_sent;
    if (!found)
        return {};
    const auto to = *found; // The entry may be removed while this fiber waits.
    const auto permit = acquire_permit(to, milliseconds{0});
    const auto pieces = collect_pieces(call, pool);
    if (!permit || pieces.empty())
        return {};
    boost::system::error_code ec;
    auto                      lease = init_.connections.open(
                             to, connection_use::call, max_stage_connections, connect_limit, ec);
    // A response to another request may have closed or limited the target
    // meanwhile.
    if (init_.targets.gate().refuses(to, daemon_now()) ||
        init_.targets.evacuated(to) || (lease && !may_send(to, *permit)))
    {
        init_.connections.give_back_unused(std::move(lease));
        return {};
    }
    outcome = call_outcome::target_failed;
    if (!lease)
        return {};
    const fiber_group::use use(fibers_, *lease);
    const auto             sent_at  = daemon_now();
    const auto             deadline = sent_at + call_limit;
    ec = lease->send(init_.codec.encode_stage_call(pieces, to), call_limit);
    if (ec)
        return {};
    const auto head = init_.codec.decode_response(lease->head());
    handle_notice(init_.targets, to, head,
                  {"stage call", pieces.front().source->attempt}, daemon_now());
    body_reservation memory(lease->context());
    const auto       body = lease->read_all(remaining_until(deadline), ec,
                                            max_response_bytes, &memory);
    if (ec) {
        log(log_level::warning, "stage response ended early",
            {{"target", call.target}, {"error", ec.message()}});
        return {};
    }
    const notice_source source{"stage call", pieces.front().source->attempt};
    if (head.status != static_cast<unsigned>(http::status::ok)) {
        ++stats_.refused_calls;
        if (head.status !=
            static_cast<unsigned>(http::status::misdirected_request))
            handle_limit(init_.targets, to, head, source, sent_at,
                         daemon_now());
        // Only the owner of the shard calls the target.
        if (head.not_run)
            handle_rejection(init_.targets, to, 1, source, daemon_now());
        log(log_level::info, "stage call refused",
            {{"target", call.target}, {"status", head.status}});
        init_.connections.give_back(
            std::move(lease),
            reuse_check::after_stage_call(stage_answer::unnamed),
            head.idle_time);
        return {};
    }
    auto results = init_.codec.decode_stage_results(body, pieces.size());
    if (!results.ok()) {
        log(log_level::warning, "malformed stage response",
            {{"target", call.target}, {"error", results.status().ToString()}});
        return {};
    }
    const auto answer =
        reuse_check_.check_results(call.target, *results, daemon_now());
    if (answer == stage_answer::copy) {
        log(log_level::warning, "duplicate stage response dropped",
            {{"target", call.target}});
        init_.connections.give_back(std::move(lease),
                                    reuse_check::after_stage_call(answer),
                                    head.idle_time);
        return {};
    }
    handle_limit(init_.targets, to, head, source, sent_at, daemon_now());
    init_.connections.give_back(std::move(lease),
                                reuse_check::after_stage_call(answer),
                                head.idle_time);
    outcome = call_outcome::answered;
    return *std::move(results);
}

void stage_scheduler::run_call(const std::string& key, const stage_call& call)
{
    const auto started = daemon_now();
    auto       outcome = call_outcome::not_sent;
    auto       results = exchange(call, *pools_.at(key), outcome);
    auto&      pool    = *pools_.at(key);
    const auto now     = daemon_now();
    if (outcome == call_outcome::not_sent) {
        pool.batcher.abandon(call.id);
        start_calls(key, pool);
        return;
    }
    const bool target_failed = outcome == call_outcome::target_failed;
    const auto took =
        std::chrono::duration_cast<milliseconds>(now - started).count();
    if (target_failed)
        ++stats_.failed_calls;
    const auto outcomes = apply_results(key, pool, call, results);
    pool.batcher.finish(call.id, outcomes, target_failed, now);
    log(log_level::info, "stage call ended",
        {{"shard", key},
         {"target", call.target},
         {"pieces", call.pieces.size()},
         {"took_ms", took},
         {"expected_ms", call.expected.count() / 1000},
         {"room_kb", call.room / 1000},
         {"waiting", pool.batcher.state(1, now).waiting},
         {"failed", target_failed}});
    start_calls(key, pool);
}

std::vector<piece_outcome>
stage_scheduler::apply_results(const std::string& key, shard_pool& pool,
                               const stage_call&                call,
                               const std::vector<piece_result>& results)
{
    std::vector<piece_outcome> outcomes;
    for (std::size_t n = 0; n < results.size(); ++n)
        outcomes.push_back(
            apply_result(key, pool, call, call.pieces[n], results[n]));
    return outcomes;
}

piece_outcome stage_scheduler::apply_result(const std::string&   key,
                                            shard_pool&          pool,
                                            const stage_call&    call,
                                            const batched_piece& piece,
                                            const piece_result&  result)
{
    const auto found = pool.groups.find(piece.group);
    if (!result.handle.empty()) {
        ++stats_.results;
        held_results_[result.handle] = {key, call.target, piece.result_bytes};
        if (found == pool.groups.end() ||
            !found->second.handles.at(piece.piece).empty())
        {
            ++stats_.duplicates;
            release(pool.shard.service, {result.handle});
            return piece_outcome::made;
        }
        auto& entry                   = found->second;
        entry.handles.at(piece.piece) = result.handle;
        if (--entry.missing == 0)
            finish_order(pool, piece.group, order_state::done);
        return piece_outcome::made;
    }
    if (found == pool.groups.end())
        return piece_outcome::failed;
    switch (result.failure) {
    case piece_failure::late:
        finish_order(pool, piece.group, order_state::late);
        return piece_outcome::failed;
    case piece_failure::input_gone:
        finish_order(pool, piece.group, order_state::input_gone);
        return piece_outcome::failed;
    case piece_failure::no_room:
        // The piece waits until other results at the target are released; the
        // order's limit bounds the wait.
        return piece_outcome::no_room;
    default:
        break;
    }
    if (++found->second.failures < max_piece_failures)
        return piece_outcome::retry;
    finish_order(pool, piece.group, order_state::failed);
    return piece_outcome::failed;
}

void stage_scheduler::finish_order(shard_pool& pool, std::uint64_t group,
                                   order_state state)
{
    const auto found = pool.groups.find(group);
    if (found == pool.groups.end())
        return;
    auto entry = std::move(found->second);
    pool.groups.erase(found);
    pool.batcher.cancel(group);
    auto& ticket = *entry.ticket;
    ticket.state = state;
    if (state == order_state::done) {
        ticket.handles = std::move(entry.handles);
    }
    else {
        std::erase(entry.handles, std::string{});
        release(entry.order.service, entry.handles);
    }
    ticket.changed->notify();
}

void stage_scheduler::run_timers()
{
    while (!fibers_.stopping()) {
        wake_at_ = check_queues();
        rearm_   = false;
        fibers_.sleep_until(wake_at_, [this] { return rearm_; });
        wake_at_ = {};
    }
}

/// The callers of the refused orders are notified at once, with the queueing
/// delay of the remaining late orders as their retry_after.
void stage_scheduler::refuse_unmeetable(shard_pool& pool, time_point now)
{
    // The orders of an evacuated domain would wait for their limit in vain.
    if (init_.targets.evacuated().contains(pool.shard.failure_domain)) {
        for (const auto id : pool.batcher.drop_waiting()) {
            if (const auto it = pool.groups.find(id); it != pool.groups.end())
                it->second.ticket->retry_after = min_retry_after;
            finish_order(pool, id, order_state::refused);
        }
        return;
    }
    const auto available = availability_of(pool, now);
    if (!available)
        return;
    const auto dropped =
        pool.batcher.drop_unmeetable(available->targets, available->from);
    if (dropped.empty())
        return;
    stats_.unmeetable += dropped.size();
    const auto state = pool.batcher.state(available->targets, now);
    const auto wait  = std::chrono::ceil<milliseconds>(state.all);
    log(log_level::info, "late stage orders dropped",
        {{"shard", pool.shard.key()},
         {"orders", dropped.size()},
         {"waiting", state.waiting},
         {"late_wait_ms", wait.count()}});
    for (const auto id : dropped) {
        if (const auto found = pool.groups.find(id); found != pool.groups.end())
            found->second.ticket->retry_after = std::max(min_retry_after, wait);
        finish_order(pool, id, order_state::refused);
    }
}

/// \return when to check again if no new order arrives.
time_point stage_scheduler::check_queues()
{
    const auto now  = daemon_now();
    auto       wake = now + std::chrono::minutes{1};
    for (auto& [key, pool] : pools_) {
        if (pool->groups.empty() && pool->batcher.state(1, now).calls == 0)
            continue;
        for (const auto id : pool->batcher.expire(now))
            finish_order(*pool, id, order_state::late);
        refuse_unmeetable(*pool, now);
        for (const auto id : pool->batcher.overdue(now)) {
            ++stats_.overdue_calls;
            log(log_level::warning, "stage call is overdue",
                {{"shard", key}, {"call", id}});
        }
        start_calls(key, *pool);
        wake = std::min(wake, pool->batcher.wake_at(now));
    }
    return std::max(wake, now + milliseconds{10});
}

void stage_scheduler::release(const std::string&,
                              const std::vector<std::string>& handles)
{
    const bool flushing = !releases_.empty();
    for (const auto& handle : handles) {
        if (!handle.empty())
            releases_[std::string(address_of(handle))].push_back(handle);
    }
    if (flushing || releases_.empty())
        return;
    fibers_.spawn([this] {
        fibers_.sleep_until(daemon_now() + release_delay);
        flush_releases();
    });
}

void stage_scheduler::flush_releases()
{
    for (auto& [address, handles] : std::exchange(releases_, {})) {
        std::string id;
        for (const auto& handle : handles) {
            const auto found = held_results_.find(handle);
            if (found == held_results_.end())
                continue;
            id = found->second.target;
            // What is not released takes result memory until it expires.
            const auto* target = init_.targets.find(id);
            const bool  kept   = target && init_.targets.evacuated(*target);
            if (const auto pool = pools_.find(found->second.pool);
                !kept && pool != pools_.end())
                pool->second->batcher.released(id, found->second.bytes,
                                               daemon_now());
            held_results_.erase(found);
        }
        // Without an id, the results were ordered by another daemon.
        const auto* holder = id.empty() ? init_.targets.find_by_address(address)
                                        : init_.targets.find(id);
        // Results in an evacuated domain expire by themselves.
        if (!holder || init_.targets.evacuated(*holder))
            continue;
        const auto opens = init_.targets.opens_at(*holder, daemon_now());
        if ((opens && *opens > daemon_now()) ||
            init_.targets.limits().find(*holder, daemon_now()))
            defer_release(*holder, std::move(handles));
        else
            fibers_.spawn([this, to = *holder, handles = std::move(handles)] {
                send_release(to, handles);
            });
    }
}

/// A closed target must get no calls at all, releases included. At a limited
/// one, a release takes a permit as other calls do; all that are due share one.
void stage_scheduler::defer_release(const target&            to,
                                    std::vector<std::string> handles)
{
    auto&      deferred = deferred_releases_[to.id];
    const bool first    = deferred.empty();
    deferred.insert(deferred.end(), std::make_move_iterator(handles.begin()),
                    std::make_move_iterator(handles.end()));
    if (!first)
        return;
    fibers_.spawn([this, to] {
        for (auto now = daemon_now();
             !fibers_.stopping() && !init_.targets.evacuated(to);
             now = daemon_now())
        {
            const auto opens = init_.targets.opens_at(to, now);
            // Results at a target that leaves end with it.
            if (!opens) {
                deferred_releases_.erase(to.id);
                return;
            }
            if (*opens > now) {
                fibers_.sleep_until(*opens);
                continue;
            }
            const auto permit = acquire_permit(to, release_permit_wait);
            if (!permit) {
                // Without a pause, a refusal that sets no time to wait for
                // would keep all other fibers from running.
                fibers_.sleep_until(now + release_retry_delay);
                continue;
            }
            fibers_.sleep_until(permit->call_at);
            if (may_send(to, *permit))
                break;
        }
        const auto all = std::exchange(deferred_releases_[to.id], {});
        deferred_releases_.erase(to.id);
        send_release(to, all);
    });
}

void stage_scheduler::send_release(const target&                   to,
                                   const std::vector<std::string>& handles)
{
    if (init_.targets.evacuated(to))
        return;
    boost::system::error_code ec;
    // On a kept connection, the copy of an earlier response without a limit
    // would be read as the end of the limit.
    const auto choice = init_.targets.limits().find(to, daemon_now())
                            ? connection_choice::only_new
                            : connection_choice::idle_or_new;
    auto       lease  = init_.connections.open(to, connection_use::release,
                                               max_stage_connections, connect_limit,
                                               ec, choice);
    if (!lease)
        return;
    if (init_.targets.evacuated(to)) {
        init_.connections.give_back_unused(std::move(lease));
        return;
    }
    const fiber_group::use use(fibers_, *lease);
    const auto             sent_at = daemon_now();
    if (lease->send(init_.codec.encode_release(handles, to), release_limit))
        return;
    const auto head = init_.codec.decode_response(lease->head());
    handle_notice(init_.targets, to, head, {"release", ""}, daemon_now());
    if (head.status != static_cast<unsigned>(http::status::misdirected_request))
        handle_limit(init_.targets, to, head, {"release", ""}, sent_at,
                     daemon_now());
    lease->read_all(release_limit, ec, max_response_bytes);
    if (!ec)
        init_.connections.give_back(
            std::move(lease), reuse_check::after_release(head), head.idle_time);
}

void stage_scheduler::forget(const std::string& target)
{
    for (auto& [key, pool] : pools_)
        pool->batcher.forget(target);
    reuse_check_.forget(target);
    std::erase_if(held_results_, [&](const auto& entry) {
        return entry.second.target == target;
    });
}

stage_queue stage_scheduler::queue(const std::string& key) const
{
    const auto found = pools_.find(key);
    if (found == pools_.end())
        return {};
    const auto now = daemon_now();
    const auto available =
        availability_of(*found->second, now)
            .value_or(availability{0, now + no_target_retry_after});
    const auto state    = found->second->batcher.state(available.targets, now);
    const auto opens_in = available.from - now;
    return {state.on_time + opens_in, state.all + opens_in,
            state.room + opens_in};
}

} // namespace arbutusgate::gateway
