#include "connection_pool.hpp"

#include "daemon_clock.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// Limits the descriptors that stay open after a burst. At 16, most calls of
// more than 16 concurrent callers opened a new connection, which doubled the
// cost of a call.
constexpr std::size_t max_idle_per_target = 128;
constexpr auto        prune_interval      = seconds{2};

} // namespace

std::unique_ptr<http_client> connection_pool::take(const std::string& address)
{
    const auto it = idle_.find(address);
    if (it == idle_.end())
        return nullptr;
    const auto now = daemon_now();
    while (!it->second.empty()) {
        auto last = std::move(it->second.back());
        it->second.pop_back();
        if (now < last.expires_at && last.client->idle_and_open())
            return std::move(last.client);
    }
    return nullptr;
}

void connection_pool::put(const std::string&           address,
                          std::unique_ptr<http_client> it,
                          milliseconds                 idle_time)
{
    const auto now = daemon_now();
    prune(now);
    if (!it->reusable() || idle_time <= milliseconds{0})
        return;
    auto& list = idle_[address];
    if (list.size() < max_idle_per_target)
        list.push_back({std::move(it), now + idle_time});
}

std::size_t connection_pool::idle() const
{
    std::size_t n = 0;
    for (const auto& it : idle_)
        n += it.second.size();
    return n;
}

std::unique_ptr<http_client> connection_pool::create()
{
    return std::make_unique<http_client>(io_);
}

void connection_pool::drop(const std::string& address)
{
    idle_.erase(address);
}

void connection_pool::prune(time_point now)
{
    if (now - last_prune_ < prune_interval)
        return;
    last_prune_ = now;
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [now](const auto& entry) {
            return now >= entry.expires_at;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace arbutusgate
