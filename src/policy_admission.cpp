#include "policy_admission.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace arbutusgate {

namespace {

// Targets are rarely loaded alike; with exactly the slots in flight some idle
// while others queue.
constexpr double fair_factor = 1.15;
// A pool that refuses or times out is given less than its nominal slots.
constexpr double least_factor  = 0.5;
constexpr double shrink_factor = 0.9;
// Below its share the limit grows faster, so that it is back in four rounds.
constexpr double regain_calls = 4;
constexpr double time_weight  = 0.05;

} // namespace

bool waiter_order::operator()(const pool_waiter* a, const pool_waiter* b) const
{
    return std::tuple(a->over, -a->priority, a->latest, a->order) <
           std::tuple(b->over, -b->priority, b->latest, b->order);
}

void pool_admission::set_share(std::uint32_t slots, std::uint32_t daemons)
{
    slots_ = std::max(1U, slots);
    share_ = slots_ / std::max(1U, daemons);
    if (ratio_ == 0)
        ratio_ = fair_factor;
}

double pool_admission::limit() const
{
    return std::max(1.0, std::min(ratio_ * share_, slots_));
}

bool pool_admission::room_to_enter() const
{
    return running_ < std::ceil(limit());
}

bool pool_admission::room_to_commit(const pool_waiter& it) const
{
    // Runs that are still in earlier stages come on top, as many as the pool
    // finishes in that time.
    const auto upstream = static_cast<double>(it.upstream.count());
    const auto pending  = time_ > 0 ? limit() * upstream / time_ : 0;
    return committed_ < std::ceil(limit() + pending);
}

bool pool_admission::try_commit(const pool_waiter& it)
{
    if (!room_to_commit(it) ||
        (!entries_.empty() && !waiter_order{}(&it, *entries_.begin())))
        return false;
    ++committed_;
    return true;
}

void pool_admission::uncommit(ready_runs& ready)
{
    --committed_;
    grant(ready);
}

bool pool_admission::try_enter(const pool_waiter& it)
{
    if (!room_to_enter() ||
        (!stages_.empty() && !waiter_order{}(&it, *stages_.begin())))
        return false;
    ++running_;
    return true;
}

void pool_admission::leave(ready_runs& ready)
{
    --running_;
    grant(ready);
}

pool_admission::queue& pool_admission::queue_of(const pool_waiter& it)
{
    return it.entry ? entries_ : stages_;
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
        --(it.entry ? committed_ : running_);
    it.queued  = false;
    it.granted = false;
    grant(ready);
}

void pool_admission::grant(ready_runs& ready)
{
    const auto take = [&](queue& from, std::uint32_t& count) {
        auto& it   = **from.begin();
        it.queued  = false;
        it.granted = true;
        ++count;
        ready.push_back(it.run);
        from.erase(from.begin());
    };
    while (!stages_.empty() && room_to_enter())
        take(stages_, running_);
    while (!entries_.empty() && room_to_commit(**entries_.begin()))
        take(entries_, committed_);
}

microseconds pool_admission::expected_wait(const pool_waiter& it) const
{
    if (entries_.empty() && room_to_commit(it))
        return microseconds{0};
    double ahead = 1;
    for (const auto* other : entries_) {
        if (!waiter_order{}(other, &it))
            break;
        ++ahead;
    }
    return microseconds{static_cast<std::int64_t>(ahead * time_ / limit())};
}

void pool_admission::on_result(load_signal signal, microseconds elapsed,
                               time_point now, ready_runs& ready)
{
    const auto sample = static_cast<double>(elapsed.count());
    if (signal != load_signal::refused)
        time_ += (sample - time_) * (time_ > 0 ? time_weight : 1);
    if (signal == load_signal::free) {
        // One more for each round of the limit, while it is reached.
        if (running_ + 1 >= limit() || !entries_.empty())
            ratio_ +=
                (ratio_ < fair_factor ? regain_calls : 1) / (limit() * share_);
    }
    else if (static_cast<double>(std::chrono::abs(now - shrunk_).count()) >
             time_) {
        shrunk_ = now;
        const auto least =
            signal == load_signal::queued ? fair_factor : least_factor;
        ratio_ = std::min(ratio_, std::max(ratio_ * shrink_factor, least));
    }
    ratio_ = std::min(ratio_, slots_ / share_);
    grant(ready);
}

} // namespace arbutusgate
