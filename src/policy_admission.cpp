#include "policy_admission.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace arbutusgate {

namespace {

// Load is rarely even: if the attempts in flight equal the slots, some targets
// idle while others have a queue.
constexpr double base_ratio = 1.15;
// Lower bound when targets refuse or time out: a pool may take less than its
// nominal slots.
constexpr double min_ratio       = 0.5;
constexpr double decrease_factor = 0.9;
// Below the base ratio the limit grows this much faster, so that it recovers
// within four rounds.
constexpr double recovery_step  = 4;
constexpr double time_smoothing = 0.05;

} // namespace

bool waiter_order::operator()(const pool_waiter* a, const pool_waiter* b) const
{
    return std::tuple(a->over_share, -a->priority, a->wait_deadline,
                      a->arrival_number) <
           std::tuple(b->over_share, -b->priority, b->wait_deadline,
                      b->arrival_number);
}

void pool_admission::set_share(std::uint32_t slots, std::uint32_t daemons)
{
    total_slots_  = std::max(1U, slots);
    daemon_slots_ = total_slots_ / std::max(1U, daemons);
    if (limit_ratio_ == 0)
        limit_ratio_ = base_ratio;
}

double pool_admission::limit() const
{
    return std::max(1.0, std::min(limit_ratio_ * daemon_slots_, total_slots_));
}

bool pool_admission::has_free_slot() const
{
    return running_attempts_ < std::ceil(limit());
}

bool pool_admission::can_admit(const pool_waiter& it) const
{
    // Beyond the limit, admit as many runs as the pool finishes while this run
    // is in its earlier stages.
    const auto upstream = static_cast<double>(it.upstream.count());
    const auto pending =
        mean_time_us_ > 0 ? limit() * upstream / mean_time_us_ : 0;
    return admitted_ < std::ceil(limit() + pending);
}

bool pool_admission::try_admit(const pool_waiter& it)
{
    if (!can_admit(it) || (!admission_queue_.empty() &&
                           !waiter_order{}(&it, *admission_queue_.begin())))
        return false;
    ++admitted_;
    return true;
}

void pool_admission::release_admission(ready_runs& ready)
{
    --admitted_;
    grant_waiters(ready);
}

bool pool_admission::try_acquire_slot(const pool_waiter& it)
{
    if (!has_free_slot() ||
        (!slot_queue_.empty() && !waiter_order{}(&it, *slot_queue_.begin())))
        return false;
    ++running_attempts_;
    return true;
}

void pool_admission::release_slot(ready_runs& ready)
{
    --running_attempts_;
    grant_waiters(ready);
}

pool_admission::queue& pool_admission::queue_of(const pool_waiter& it)
{
    return it.for_admission ? admission_queue_ : slot_queue_;
}

void pool_admission::enqueue(pool_waiter& it)
{
    it.queued  = true;
    it.granted = false;
    queue_of(it).insert(&it);
}

void pool_admission::remove(pool_waiter& it, ready_runs& ready)
{
    if (it.queued)
        queue_of(it).erase(&it);
    else if (it.granted)
        --(it.for_admission ? admitted_ : running_attempts_);
    it.queued  = false;
    it.granted = false;
    grant_waiters(ready);
}

void pool_admission::grant_waiters(ready_runs& ready)
{
    const auto grant_first = [&](queue& from, std::uint32_t& count) {
        auto& it   = **from.begin();
        it.queued  = false;
        it.granted = true;
        ++count;
        ready.push_back(it.run);
        from.erase(from.begin());
    };
    while (!slot_queue_.empty() && has_free_slot())
        grant_first(slot_queue_, running_attempts_);
    while (!admission_queue_.empty() && can_admit(**admission_queue_.begin()))
        grant_first(admission_queue_, admitted_);
}

microseconds pool_admission::expected_wait(const pool_waiter& it) const
{
    if (admission_queue_.empty() && can_admit(it))
        return microseconds{0};
    double position = 1;
    for (const auto* other : admission_queue_) {
        if (!waiter_order{}(other, &it))
            break;
        ++position;
    }
    return microseconds{
        static_cast<std::int64_t>(position * mean_time_us_ / limit())};
}

void pool_admission::on_result(load_signal signal, microseconds elapsed,
                               time_point now, ready_runs& ready)
{
    const auto sample = static_cast<double>(elapsed.count());
    if (signal != load_signal::refused)
        mean_time_us_ +=
            (sample - mean_time_us_) * (mean_time_us_ > 0 ? time_smoothing : 1);
    if (signal == load_signal::free) {
        // While the limit is reached, it grows by one per round of as many
        // attempts as the limit.
        if (running_attempts_ + 1 >= limit() || !admission_queue_.empty())
            limit_ratio_ += (limit_ratio_ < base_ratio ? recovery_step : 1) /
                            (limit() * daemon_slots_);
    }
    else if (static_cast<double>(
                 std::chrono::abs(now - last_decrease_).count()) >
             mean_time_us_)
    {
        last_decrease_ = now;
        const auto lower_bound =
            signal == load_signal::queued ? base_ratio : min_ratio;
        limit_ratio_ =
            std::min(limit_ratio_,
                     std::max(limit_ratio_ * decrease_factor, lower_bound));
    }
    limit_ratio_ = std::min(limit_ratio_, total_slots_ / daemon_slots_);
    grant_waiters(ready);
}

} // namespace arbutusgate
