#include "stream_origins.hpp"

#include <xxhash.h>

#include <algorithm>

namespace arbutusgate::gateway {

std::uint64_t attempt_key(std::string_view attempt)
{
    return XXH3_64bits(attempt.data(), attempt.size());
}

void stream_origins::record(const stream_origin& it, bool own)
{
    auto& known = records_[it.attempt];
    // What this daemon passed on itself is certain.
    if (known.own && !own)
        return;
    known = {it.software, it.at, own, false};
    order_.emplace_back(it.attempt, it.at);
    while (order_.size() > limits::max_stream_origins)
        drop_oldest();
}

std::optional<std::uint64_t> stream_origins::find(std::uint64_t attempt) const
{
    const auto it = records_.find(attempt);
    return it == records_.end() ? std::nullopt
                                : std::optional(it->second.software);
}

void stream_origins::mark_reported(std::uint64_t attempt)
{
    const auto it = records_.find(attempt);
    if (it != records_.end())
        it->second.reported = true;
}

std::vector<stream_origin> stream_origins::unreported() const
{
    std::vector<stream_origin> out;
    for (const auto& [attempt, at] : order_) {
        const auto it = records_.find(attempt);
        if (it != records_.end() && it->second.own && !it->second.reported &&
            it->second.at == at)
            out.push_back({attempt, it->second.software, at});
    }
    return out;
}

bool stream_origins::update(software_map published, time_point now)
{
    bool renewed = false;
    for (const auto& [service, known] : published_) {
        for (const auto software : known) {
            if (!published[service].contains(software))
                earlier_[service][software] = now;
        }
    }
    const auto since = now - limits::max_unrecorded_stream_age;
    for (const auto& [service, found] : published) {
        const auto& earlier = earlier_[service];
        const auto  served  = [&, service = service](std::uint64_t software) {
            const auto before = earlier.find(software);
            return published_[service].contains(software) ||
                   (before != earlier.end() && before->second >= since);
        };
        const bool any = !published_[service].empty() || !earlier.empty();
        renewed        = renewed ||
                  (any && !std::all_of(found.begin(), found.end(), served));
    }
    published_ = std::move(published);
    if (!followed_since_)
        followed_since_ = now;
    return renewed;
}

void stream_origins::note(const software_sighting& it, time_point now)
{
    const auto known = published_.find(it.service);
    if (known != published_.end() && known->second.contains(it.software))
        return;
    auto& at = earlier_[it.service][it.software];
    at       = std::max(at, std::min(it.last_at, now));
}

void stream_origins::extend(const std::vector<std::string>& services,
                            time_point                      known_since)
{
    for (const auto& it : services) {
        const auto [known, added] = known_since_.emplace(it, known_since);
        known->second             = std::min(known->second, known_since);
    }
}

void stream_origins::extend_all(time_point known_since)
{
    if (followed_since_)
        followed_since_ = std::min(*followed_since_, known_since);
}

std::optional<time_point>
stream_origins::known_since(const std::vector<std::string>& services) const
{
    if (!followed_since_)
        return std::nullopt;
    std::optional<time_point> out;
    for (const auto& service : services) {
        const auto it = known_since_.find(service);
        const auto at = it == known_since_.end()
                            ? *followed_since_
                            : std::min(*followed_since_, it->second);
        out           = out ? std::max(*out, at) : at;
    }
    return out;
}

std::vector<software_sighting>
stream_origins::served(const std::vector<std::string>& services,
                       time_point since, time_point now) const
{
    std::vector<software_sighting> out;
    for (const auto& service : services) {
        const auto current = published_.find(service);
        if (current != published_.end()) {
            for (const auto software : current->second)
                out.push_back({service, software, now});
        }
        const auto earlier = earlier_.find(service);
        if (earlier == earlier_.end())
            continue;
        for (const auto& [software, at] : earlier->second) {
            const bool published = current != published_.end() &&
                                   current->second.contains(software);
            if (at >= since && !published)
                out.push_back({service, software, at});
        }
    }
    return out;
}

std::optional<std::uint64_t>
stream_origins::only_software(const std::vector<std::string>& services,
                              time_point since, time_point now) const
{
    if (!covers(services, since))
        return std::nullopt;
    const auto found = served(services, since, now);
    return found.size() == 1 ? std::optional(found.front().software)
                             : std::nullopt;
}

void stream_origins::expire(time_point now)
{
    const auto oldest = now - limits::stream_origin_retention;
    while (!order_.empty() && order_.front().second <= oldest)
        drop_oldest();
    for (auto& [service, list] : earlier_)
        std::erase_if(list,
                      [&](const auto& it) { return it.second <= oldest; });
}

void stream_origins::drop_oldest()
{
    const auto [attempt, at] = order_.front();
    order_.pop_front();
    const auto it = records_.find(attempt);
    if (it != records_.end() && it->second.at == at)
        records_.erase(it);
}

} // namespace arbutusgate::gateway
