#include "replay_target.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusgate {

namespace {

constexpr double completion_tolerance_ms = 1e-6;

double to_ms(core_clock::duration it)
{
    return static_cast<double>(it.count()) / 1000;
}

} // namespace

replay_target::replay_target(const replay_pool& model, bool generate)
    : model_(model), generate_(generate)
{
    report_.capacity = model.slots;
}

double replay_target::speed() const
{
    const auto n = static_cast<double>(running_.size());
    return 1 / (faults.slow * (1 + model_.batch_slope * (n - 1)));
}

void replay_target::advance(time_point now)
{
    if (!running_.empty()) {
        const auto done = to_ms(now - last_) * speed();
        for (auto& it : running_)
            it.done = std::min(it.work, it.done + done);
    }
    last_ = now;
}

double replay_target::prefill(std::uint64_t prefix)
{
    if (!generate_ || model_.cache_prefixes == 0)
        return generate_ ? model_.cached_ms : 0;
    const auto at  = std::find(cache_.begin(), cache_.end(), prefix);
    const bool hit = at != cache_.end();
    if (hit)
        cache_.erase(at);
    cache_.push_front(prefix);
    if (cache_.size() > model_.cache_prefixes)
        cache_.pop_back();
    return hit ? model_.cached_ms : model_.prefill_ms;
}

void replay_target::start_queued_calls()
{
    while (running_.size() < model_.slots && !queue_.empty()) {
        const auto call = queue_.front();
        queue_.pop_front();
        const auto work =
            generate_ ? prefill(call.prefix) + call.tokens * model_.token_ms
                      : call.service_ms;
        running_.push_back({call, work, 0});
    }
}

bool replay_target::add(const replay_call& call, time_point now)
{
    if (faults.refuse ||
        (running_.size() >= model_.slots && queue_.size() >= model_.queue))
        return false;
    advance(now);
    auto at = queue_.end();
    if (model_.priority_queue)
        at = std::find_if(queue_.begin(), queue_.end(), [&](const auto& it) {
            return it.priority < call.priority;
        });
    queue_.insert(at, call);
    start_queued_calls();
    return true;
}

double replay_target::progress(std::uint64_t id, time_point now)
{
    advance(now);
    for (const auto& it : running_) {
        if (it.call.id == id)
            return it.work > 0 ? it.done / it.work : 1;
    }
    return 0;
}

double replay_target::tokens_done(std::uint64_t id, time_point now)
{
    advance(now);
    for (const auto& it : running_) {
        if (it.call.id != id || !generate_)
            continue;
        const auto prompt = it.work - it.call.tokens * model_.token_ms;
        return std::floor(std::max(0.0, it.done - prompt) / model_.token_ms);
    }
    return 0;
}

double replay_target::remove(std::uint64_t id, time_point now)
{
    const auto share = progress(id, now);
    std::erase_if(running_, [&](const auto& it) { return it.call.id == id; });
    queue_.remove_if([&](const auto& it) { return it.id == id; });
    start_queued_calls();
    return share;
}

time_point replay_target::next_completion(time_point now) const
{
    auto remaining_ms = -1.0;
    for (const auto& it : running_) {
        if (remaining_ms < 0 || it.work - it.done < remaining_ms)
            remaining_ms = it.work - it.done;
    }
    if (remaining_ms < 0)
        return time_point::max();
    const auto us = std::ceil(remaining_ms / speed() * 1000);
    return std::max(now, last_ + microseconds{static_cast<std::int64_t>(us)});
}

std::vector<std::uint64_t> replay_target::complete(time_point now)
{
    advance(now);
    std::vector<std::uint64_t> ended;
    for (const auto& it : running_) {
        if (it.done >= it.work - completion_tolerance_ms)
            ended.push_back(it.call.id);
    }
    return ended;
}

void replay_target::clear(time_point now)
{
    advance(now);
    running_.clear();
    queue_.clear();
    cache_.clear();
}

void replay_target::set_slow(double factor, time_point now)
{
    advance(now);
    faults.slow = factor;
}

void replay_target::snapshot()
{
    report_.in_flight = static_cast<std::uint32_t>(running_.size());
    report_.queued    = static_cast<std::uint32_t>(queue_.size());
}

load_report replay_target::report() const
{
    auto it    = report_;
    it.leaving = faults.leaving;
    return it;
}

} // namespace arbutusgate
