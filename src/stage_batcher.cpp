#include "stage_batcher.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusgate::gateway {

namespace {

// A call that runs longer than overdue_factor times its expected duration plus
// overdue_margin counts as lost; its pieces are queued again.
constexpr double       overdue_factor = 2.5;
constexpr milliseconds overdue_margin{300};
/// Pause of a target after a failed call; doubles with each further failure.
constexpr milliseconds failed_pause{200};
constexpr milliseconds max_failed_pause{2000};
/// Weight of a new sample in learned times and slowdowns.
constexpr double estimate_gain = 0.1;
/// A result smaller than this fraction (1/n) of a target's result memory does
/// not wait for free result memory.
constexpr std::uint64_t small_result_divisor = 100;
/// Decay of the sums behind the mean held time, applied with each released
/// result.
constexpr double held_decay = 0.98;
/// Learned times of pieces stay within this factor of the configured time.
constexpr double piece_time_range = 8;
/// Targets with a larger slowdown get calls last.
constexpr double slow_target_slowdown = 1.8;
/// A group goes after groups of the next more urgent priority whose goal is up
/// to this much later.
constexpr milliseconds priority_step{600};
/// Groups wait this long for a target in the failure domain of their inputs.
constexpr milliseconds local_target_wait{120};
/// Groups with at least this many result bytes keep all results in one failure
/// domain.
constexpr std::uint64_t same_domain_bytes = 100'000;
/// Pause of a target whose result memory is full.
constexpr milliseconds full_pause{150};
/// Lower bound of the spare capacity, because some call slots always remain
/// for late groups.
constexpr double min_spare_capacity = 0.05;

} // namespace

microseconds stage_batcher::piece_time(std::uint32_t kind) const
{
    const auto it = piece_times_.find(kind);
    return it == piece_times_.end()
               ? limits_.piece_time
               : microseconds{static_cast<std::int64_t>(it->second)};
}

microseconds
stage_batcher::call_time(const std::vector<batched_piece>& pieces) const
{
    auto out = limits_.call_time;
    for (const auto& it : pieces)
        out += piece_time(it.kind);
    return out;
}

void stage_batcher::backlog::add(std::size_t n, microseconds time_each,
                                 std::uint64_t bytes_each)
{
    pieces += n;
    work += time_each * n;
    bytes += bytes_each * n;
}

microseconds stage_batcher::backlog_time(const backlog& it,
                                         std::size_t    targets) const
{
    const auto calls = (it.pieces + limits_.batch - 1) / limits_.batch;
    return (it.work + limits_.call_time * calls) / concurrent_calls(targets);
}

/// Average time until the running calls have ended, taking each as half done.
microseconds stage_batcher::running_calls_time(std::size_t targets) const
{
    microseconds out{0};
    for (const auto& [id, it] : calls_)
        out += it.call.expected / 2;
    return out / concurrent_calls(targets);
}

microseconds stage_batcher::late_backlog_time(const backlog& late,
                                              std::size_t    targets,
                                              time_point     now) const
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(backlog_time(late, targets)) /
        spare_capacity(targets, now));
}

time_point stage_batcher::expected_done(const piece_group& it,
                                        std::size_t        targets,
                                        time_point         now) const
{
    const auto call = next_call_time();
    const auto own  = position_of(it, it.count, call, now);
    backlog    on_time;
    backlog    late;
    (own.late ? late : on_time)
        .add(it.count, piece_time(it.kind), it.result_bytes);
    for (const auto& [id, group] : groups_) {
        const auto n = group.pieces.size();
        if (n == 0)
            continue;
        const auto position = position_of(group.spec, n, call, now);
        if (position <= own)
            (position.late ? late : on_time)
                .add(n, piece_time(group.spec.kind), group.spec.result_bytes);
    }
    const auto alone = limits_.call_time + piece_time(it.kind) * it.count;
    // Small results do not wait behind large ones for free result memory.
    const auto room =
        it.result_bytes * small_result_divisor >= limits_.result_memory
            ? result_memory_wait(on_time.bytes + late.bytes, targets)
            : microseconds{0};
    const auto work = backlog_time(on_time, targets) +
                      running_calls_time(targets) +
                      late_backlog_time(late, targets, now);
    return now + std::max(work, room + alone);
}

batcher_state stage_batcher::state(std::size_t targets, time_point now) const
{
    batcher_state out;
    out.waiting     = waiting_;
    out.calls       = calls_.size();
    const auto call = next_call_time();
    backlog    on_time;
    backlog    late;
    for (const auto& [id, group] : groups_) {
        const auto n = group.pieces.size();
        if (n == 0)
            continue;
        const auto position = position_of(group.spec, n, call, now);
        (position.late ? late : on_time)
            .add(n, piece_time(group.spec.kind), group.spec.result_bytes);
    }
    out.on_time = backlog_time(on_time, targets) + running_calls_time(targets);
    out.all     = out.on_time + late_backlog_time(late, targets, now);
    out.room    = result_memory_wait(on_time.bytes, targets);
    return out;
}

std::vector<std::uint64_t> stage_batcher::drop_unmeetable(std::size_t targets,
                                                          time_point  now)
{
    std::vector<std::uint64_t> out;
    const auto                 before = running_calls_time(targets);
    backlog                    on_time;
    backlog                    late;
    // Groups on time come first, then late groups by their limits.
    for (const auto& it : queue_order(now)) {
        const auto& group = groups_.at(it.id);
        const auto  n     = group.pieces.size();
        const auto  each  = piece_time(group.spec.kind);
        if (it.late == 0) {
            on_time.add(n, each, group.spec.result_bytes);
            continue;
        }
        auto with = late;
        with.add(n, each, group.spec.result_bytes);
        const auto done = now + before + backlog_time(on_time, targets) +
                          late_backlog_time(with, targets, now);
        if (done > group.spec.limit)
            out.push_back(it.id);
        else
            late = with;
    }
    for (const auto id : out)
        cancel(id);
    return out;
}

double stage_batcher::spare_capacity(std::size_t targets, time_point now) const
{
    const auto time =
        on_time_work_.per_second(now) /
        std::chrono::duration<double, std::micro>(seconds{1}).count() /
        concurrent_calls(targets);
    const auto room = static_cast<double>(limits_.result_memory *
                                          std::max<std::size_t>(1, targets));
    const auto full = room > 0 ? on_time_bytes_.per_second(now) *
                                     mean_held_time().count() / room
                               : 0;
    return std::clamp(1 - std::max(time, full), min_spare_capacity, 1.0);
}

// Assumes that the targets' entire result memory is released and reused once
// per mean held time.
microseconds stage_batcher::result_memory_wait(std::uint64_t bytes,
                                               std::size_t   targets) const
{
    const auto    room = limits_.result_memory * targets;
    std::uint64_t used = 0;
    for (const auto& [id, it] : targets_)
        used += it.reserved_bytes;
    const auto free = room > used ? room - used : 0;
    if (held_bytes_ <= 0 || room == 0 || bytes <= free)
        return microseconds{0};
    const auto turnovers =
        static_cast<double>(bytes - free) / static_cast<double>(room);
    return std::chrono::duration_cast<microseconds>(turnovers *
                                                    mean_held_time());
}

std::chrono::duration<double> stage_batcher::mean_held_time() const
{
    return std::chrono::duration<double>(
        held_bytes_ > 0 ? held_byte_seconds_ / held_bytes_ : 0);
}

void stage_batcher::add(const piece_group& it, time_point now)
{
    waiting_group group{it, {}, now};
    for (auto n = it.count; n > 0; --n)
        group.pieces.push_back(n - 1);
    waiting_ += it.count;
    arrivals_.add(it.count, now);
    groups_.emplace(it.id, std::move(group));
}

void stage_batcher::cancel(std::uint64_t group)
{
    const auto it = groups_.find(group);
    if (it == groups_.end())
        return;
    waiting_ -= it->second.pieces.size();
    groups_.erase(it);
}

std::vector<std::uint64_t> stage_batcher::expire(time_point now)
{
    std::vector<std::uint64_t> out;
    for (const auto& [id, group] : groups_) {
        if (!group.pieces.empty() && now >= group.spec.limit)
            out.push_back(id);
    }
    for (const auto id : out)
        cancel(id);
    return out;
}

/// Expected duration of a call filled from the waiting pieces. A group's pieces
/// complete only when the whole call does.
microseconds stage_batcher::next_call_time() const
{
    if (waiting_ == 0)
        return limits_.call_time + limits_.piece_time;
    microseconds work{0};
    for (const auto& [id, group] : groups_)
        work += piece_time(group.spec.kind) * group.pieces.size();
    const auto n = std::min<std::size_t>(waiting_, limits_.batch);
    return limits_.call_time + work * n / waiting_;
}

// Groups that can still meet their goal come first, ordered by goal and
// priority; late groups get the remaining capacity. Running late groups first
// because their limit is near would make groups on time late as well, and more
// groups of both kinds would be lost.
stage_batcher::queue_position stage_batcher::position_of(const piece_group& it,
                                                         std::size_t  pieces,
                                                         microseconds call,
                                                         time_point   now) const
{
    const auto calls = (pieces + limits_.batch - 1) / limits_.batch;
    const bool late  = now + call * calls > it.goal;
    const auto sort_time =
        (late ? it.limit : it.goal) + priority_step * it.rank;
    return {late ? 1 : 0, sort_time.time_since_epoch().count(), it.id};
}

std::vector<stage_batcher::queue_position>
stage_batcher::queue_order(time_point now) const
{
    const auto                  call = next_call_time();
    std::vector<queue_position> positions;
    for (const auto& [id, group] : groups_) {
        if (!group.pieces.empty())
            positions.push_back(
                position_of(group.spec, group.pieces.size(), call, now));
    }
    std::sort(positions.begin(), positions.end());
    return positions;
}

std::uint64_t stage_batcher::free_result_memory(target_state& it,
                                                time_point    now) const
{
    while (!it.reservations.empty() && it.reservations.begin()->first <= now) {
        it.reserved_bytes -= it.reservations.begin()->second;
        it.reservations.erase(it.reservations.begin());
    }
    return limits_.result_memory > it.reserved_bytes
               ? limits_.result_memory - it.reserved_bytes
               : 0;
}

/// Targets that can run another call, the best one first.
std::vector<const target*>
stage_batcher::free_targets(const std::vector<const target*>& targets,
                            time_point                        now)
{
    std::vector<std::pair<double, const target*>> out;
    for (const auto* it : targets) {
        auto& entry = targets_[it->id];
        if (entry.calls >= limits_.slots || now < entry.paused_until)
            continue;
        const auto room = static_cast<double>(free_result_memory(entry, now));
        const auto all  = static_cast<double>(
            std::max<std::uint64_t>(1, limits_.result_memory));
        out.emplace_back(
            (entry.slowdown > slow_target_slowdown ? entry.slowdown : 1) +
                (1 - room / all),
            it);
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
        return a.first < b.first;
    });
    std::vector<const target*> list;
    for (const auto& [score, it] : out)
        list.push_back(it);
    return list;
}

bool stage_batcher::is_local(const waiting_group& group, const target& at)
{
    return group.spec.failure_domain.empty() ||
           group.spec.failure_domain == at.failure_domain;
}

/// Whether a group may run outside the failure domain of its inputs: only after
/// a short wait for a target in that domain and, while that domain has targets,
/// only when waiting for one more call there would make the group late. The
/// second condition matters in a saturated service, where every group waits
/// longer than the short wait.
bool stage_batcher::may_run_remotely(const waiting_group&  group,
                                     const queue_position& position,
                                     microseconds call, time_point now) const
{
    if (now - group.enqueued_at < local_target_wait)
        return false;
    const bool urgent = now + 2 * call > group.spec.goal;
    return position.late == 1 || urgent ||
           !target_domains_.contains(group.spec.failure_domain);
}

void stage_batcher::add_pieces(stage_call& call, waiting_group& group,
                               const target& at, std::uint64_t& room,
                               bool on_time, time_point now)
{
    const auto bytes  = group.spec.result_bytes;
    auto&      state  = targets_[at.id];
    const auto before = call.pieces.size();
    // The next stage reads all results of a group, so they stay together.
    if (group.spec.failure_domain.empty() &&
        bytes * group.spec.count >= same_domain_bytes)
        group.spec.failure_domain = at.failure_domain;
    while (!group.pieces.empty() && call.pieces.size() < limits_.batch &&
           bytes <= room)
    {
        call.pieces.push_back(
            {group.spec.id, group.pieces.back(), group.spec.kind, bytes});
        group.pieces.pop_back();
        room -= bytes;
        state.reserved_bytes += bytes;
        state.reservations.emplace(now + limits_.result_retention, bytes);
        --waiting_;
    }
    if (!on_time)
        return;
    const auto n    = call.pieces.size() - before;
    const auto each = piece_time(group.spec.kind) +
                      limits_.call_time / std::max(1U, limits_.batch);
    on_time_work_.add(static_cast<std::size_t>(each.count()) * n, now);
    on_time_bytes_.add(bytes * n, now);
}

/// Groups on time go first, then late groups; within each, groups with inputs
/// in the target's failure domain go first.
void stage_batcher::fill_call(stage_call& call, const target& at,
                              time_point now)
{
    auto       room  = free_result_memory(targets_[at.id], now);
    const auto order = queue_order(now);
    const auto time  = next_call_time();
    call.room        = room;
    for (const int late : {0, 1}) {
        for (const bool local : {true, false}) {
            for (const auto& it : order) {
                auto& group = groups_.at(it.id);
                if (it.late != late || is_local(group, at) != local ||
                    (!local && !may_run_remotely(group, it, time, now)))
                    continue;
                add_pieces(call, group, at, room, late == 0, now);
                if (call.pieces.size() >= limits_.batch)
                    return;
            }
        }
    }
}

/// Minimum number of pieces per call with which the targets keep up with the
/// arrivals; each call has a fixed cost however few pieces it has.
std::size_t stage_batcher::min_pieces_per_call(std::size_t targets,
                                               time_point  now) const
{
    using fseconds        = std::chrono::duration<double>;
    const auto rate       = arrivals_.per_second(now);
    const auto concurrent = static_cast<double>(targets * limits_.slots);
    const auto busy = rate * fseconds(limits_.piece_time).count() / concurrent;
    if (busy >= 1)
        return limits_.batch;
    const auto least =
        rate * fseconds(limits_.call_time).count() / concurrent / (1 - busy);
    return std::min<std::size_t>(limits_.batch,
                                 static_cast<std::size_t>(least));
}

/// Whether a call that is too small for the load should wait for more pieces:
/// not longer than the average time until another target becomes free.
bool stage_batcher::should_hold(const target& at, std::size_t targets,
                                time_point now)
{
    const auto  time = next_call_time();
    const auto  room = free_result_memory(targets_[at.id], now);
    std::size_t n    = 0;
    time_point  oldest{time_point::max()};
    for (const auto& it : queue_order(now)) {
        const auto& group = groups_.at(it.id);
        if (!is_local(group, at) && !may_run_remotely(group, it, time, now))
            continue;
        const auto bytes = std::max<std::uint64_t>(1, group.spec.result_bytes);
        n += std::min<std::size_t>(group.pieces.size(), room / bytes);
        oldest = std::min(oldest, group.enqueued_at);
    }
    if (n == 0 || n >= min_pieces_per_call(targets, now))
        return false;
    const auto deadline =
        oldest + time / static_cast<int>(targets * limits_.slots);
    if (now >= deadline)
        return false;
    hold_deadline_ = std::min(hold_deadline_, deadline);
    return true;
}

std::optional<stage_call>
stage_batcher::next(const std::vector<const target*>& targets, time_point now)
{
    hold_deadline_ = time_point::max();
    if (waiting_ == 0)
        return std::nullopt;
    target_domains_.clear();
    for (const auto* it : targets)
        target_domains_.insert(it->failure_domain);
    for (const auto* at : free_targets(targets, now)) {
        if (should_hold(*at, targets.size(), now))
            continue;
        stage_call call;
        call.target = at->id;
        fill_call(call, *at, now);
        if (call.pieces.empty())
            continue;
        call.id       = next_call_++;
        call.expected = call_time(call.pieces);
        ++targets_[at->id].calls;
        calls_.emplace(call.id, running_call{call, now, false});
        return call;
    }
    return std::nullopt;
}

void stage_batcher::update_estimates(const stage_call& call,
                                     microseconds      duration)
{
    auto&      at = targets_[call.target];
    const auto ratio =
        static_cast<double>(duration.count()) /
        static_cast<double>(std::max<std::int64_t>(1, call.expected.count()));
    at.slowdown += 2 * estimate_gain * (ratio - at.slowdown);
    if (ratio > slow_target_slowdown)
        return;
    // Each kind of a mixed call is corrected in proportion to its share of the
    // call's work.
    std::map<std::uint32_t, std::size_t> kinds;
    for (const auto& it : call.pieces)
        ++kinds[it.kind];
    microseconds work{0};
    for (const auto& [kind, n] : kinds)
        work += piece_time(kind) * n;
    if (work <= microseconds{0})
        return;
    const auto all = static_cast<double>(work.count());
    const auto factor =
        static_cast<double>((duration - limits_.call_time).count()) / all;
    const auto configured = static_cast<double>(limits_.piece_time.count());
    for (const auto& [kind, n] : kinds) {
        const auto known = static_cast<double>(piece_time(kind).count());
        const auto share = known * static_cast<double>(n) / all;
        const auto next  = known + estimate_gain * share * known * (factor - 1);
        piece_times_[kind] = std::clamp(next, configured / piece_time_range,
                                        configured * piece_time_range);
    }
}

/// The pause grows with each consecutive failure.
void stage_batcher::pause_after_failure(target_state& it, time_point now)
{
    const auto time =
        std::min(failed_pause * (1 << std::min(it.consecutive_failures, 6U)),
                 max_failed_pause);
    it.paused_until = std::max(it.paused_until, now + time);
    ++it.consecutive_failures;
}

void stage_batcher::finish(std::uint64_t                     call,
                           const std::vector<piece_outcome>& outcomes,
                           bool target_failed, time_point now)
{
    const auto it = calls_.find(call);
    if (it == calls_.end())
        return;
    const auto& ended = it->second;
    auto&       at    = targets_[ended.call.target];
    // An overdue call has already freed its slot and paused the target.
    if (!ended.overdue)
        at.calls -= std::min(at.calls, 1U);
    if (target_failed && !ended.overdue) {
        pause_after_failure(at, now);
    }
    else if (!target_failed) {
        at.consecutive_failures = 0;
        update_estimates(ended.call, now - ended.started_at);
    }
    bool memory_full = false;
    for (std::size_t n = 0; n < ended.call.pieces.size(); ++n) {
        const auto& piece = ended.call.pieces[n];
        const auto  how =
            n < outcomes.size() ? outcomes[n] : piece_outcome::retry;
        if (how != piece_outcome::made)
            free_reservation(at, piece.result_bytes);
        memory_full = memory_full || how == piece_outcome::no_room;
        if ((how == piece_outcome::retry || how == piece_outcome::no_room) &&
            !ended.overdue)
            requeue(piece);
    }
    if (memory_full)
        assume_full(at, now);
    calls_.erase(it);
}

/// Does nothing when the piece's group has ended.
void stage_batcher::requeue(const batched_piece& it)
{
    const auto group = groups_.find(it.group);
    if (group == groups_.end())
        return;
    group->second.pieces.push_back(it.piece);
    ++waiting_;
}

void stage_batcher::abandon(std::uint64_t call)
{
    const auto it = calls_.find(call);
    if (it == calls_.end())
        return;
    auto& at = targets_[it->second.call.target];
    if (!it->second.overdue)
        at.calls -= std::min(at.calls, 1U);
    for (const auto& piece : it->second.call.pieces) {
        free_reservation(at, piece.result_bytes);
        if (!it->second.overdue)
            requeue(piece);
    }
    calls_.erase(it);
}

/// Handles a target that reports full result memory although some should be
/// free: results are larger than configured, or belong to an owner that died or
/// to a call whose response was lost. Reserves all memory that counted as free
/// for the mean held time; until then, only released results free memory.
void stage_batcher::assume_full(target_state& it, time_point now)
{
    it.paused_until        = std::max(it.paused_until, now + full_pause);
    const auto unaccounted = free_result_memory(it, now);
    if (unaccounted == 0)
        return;
    const auto held =
        held_bytes_ > 0
            ? std::chrono::duration_cast<microseconds>(mean_held_time())
            : microseconds{full_pause};
    it.reserved_bytes += unaccounted;
    it.reservations.emplace(now + held, unaccounted);
}

std::vector<std::uint64_t> stage_batcher::overdue(time_point now)
{
    std::vector<std::uint64_t> out;
    for (auto& [id, it] : calls_) {
        const auto limit = std::chrono::duration_cast<microseconds>(
                               it.call.expected * overdue_factor) +
                           overdue_margin;
        if (it.overdue || now - it.started_at < limit)
            continue;
        it.overdue = true;
        out.push_back(id);
        auto& at = targets_[it.call.target];
        pause_after_failure(at, now);
        // The response may be lost and the target idle, so its slot is freed.
        at.calls -= std::min(at.calls, 1U);
        for (const auto& piece : it.call.pieces)
            requeue(piece);
    }
    return out;
}

time_point stage_batcher::wake_at(time_point now) const
{
    auto out = now + seconds{1};
    for (const auto& [id, it] : calls_) {
        if (!it.overdue)
            out = std::min(out, it.started_at +
                                    std::chrono::duration_cast<microseconds>(
                                        it.call.expected * overdue_factor) +
                                    overdue_margin);
    }
    if (waiting_ > 0) {
        for (const auto& [id, it] : targets_) {
            if (it.paused_until > now)
                out = std::min(out, it.paused_until);
        }
        out = std::min({out, hold_deadline_, now + milliseconds{50}});
    }
    return out;
}

std::optional<time_point> stage_batcher::free_reservation(target_state& it,
                                                          std::uint64_t bytes)
{
    for (auto found = it.reservations.begin(); found != it.reservations.end();
         ++found)
    {
        if (found->second != bytes)
            continue;
        const auto expires_at = found->first;
        it.reserved_bytes -= bytes;
        it.reservations.erase(found);
        return expires_at;
    }
    return std::nullopt;
}

void stage_batcher::released(const std::string& target, std::uint64_t bytes,
                             time_point now)
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return;
    const auto expires_at = free_reservation(it->second, bytes);
    if (!expires_at)
        return;
    const std::chrono::duration<double> held =
        now - (*expires_at - limits_.result_retention);
    const auto size    = static_cast<double>(bytes);
    held_bytes_        = held_decay * held_bytes_ + size;
    held_byte_seconds_ = held_decay * held_byte_seconds_ + size * held.count();
}

void stage_batcher::forget(const std::string& target)
{
    targets_.erase(target);
}

} // namespace arbutusgate::gateway
