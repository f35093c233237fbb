#include "connection_pool.hpp"

#include "daemon_clock.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// Connections idle for longer may have been dropped on the way unnoticed.
constexpr auto idle_limit = seconds{10};
// Bounds the descriptors after a burst. With 16, calls of more than 16 callers
// at once mostly opened a connection of their own, which doubled their cost.
constexpr std::size_t idle_per_target = 128;

} // namespace

std::unique_ptr<http_client> connection_pool::take(const std::string& address)
{
    const auto it = idle_.find(address);
    if (it == idle_.end() || it->second.empty())
        return nullptr;
    auto last = std::move(it->second.back());
    it->second.pop_back();
    if (daemon_now() - last.since > idle_limit) {
        it->second.clear(); // the others have been idle for longer
        return nullptr;
    }
    return std::move(last.client);
}

void connection_pool::put(const std::string&           address,
                          std::unique_ptr<http_client> it)
{
    const auto now = daemon_now();
    prune(now);
    if (!it->reusable())
        return;
    auto& list = idle_[address];
    if (list.size() < idle_per_target)
        list.push_back({std::move(it), now});
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
    if (now - pruned_ < idle_limit)
        return;
    pruned_ = now;
    for (auto it = idle_.begin(); it != idle_.end();) {
        std::erase_if(it->second, [now](const auto& entry) {
            return now - entry.since > idle_limit;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

} // namespace arbutusgate
