#include "target_directory.hpp"

#include "crash_report.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace arbutusgate::gateway {

namespace {

/// The copy from which a store is restored is some seconds old.
constexpr seconds removal_retention{60};

} // namespace

target_change target_directory::put(target it)
{
    const auto known = targets_.find(it.id);
    auto       out   = target_change::joined;
    if (known != targets_.end()) {
        const auto& old = known->second.value;
        if (old.started_at == it.started_at && old.address == it.address &&
            old.service == it.service && old.version == it.version &&
            old.failure_domain == it.failure_domain && !known->second.lapsed)
        {
            if (old.leaving == it.leaving && old.slots == it.slots)
                return target_change::none;
            out = target_change::none;
        }
        if (old.service != it.service || old.address != it.address) {
            const auto service = old.service;
            erase(known);
            rebuild(service);
        }
    }
    if (it.leaving)
        out = target_change::leaving;
    const auto id           = it.id;
    const auto service      = it.service;
    by_address_[it.address] = id;
    removed_.erase(id);
    targets_[id] = entry{std::move(it), false};
    rebuild(service);
    return out;
}

target_change target_directory::remove(const std::string& id, time_point now)
{
    const auto it = targets_.find(id);
    if (it == targets_.end())
        return target_change::none;
    if (now < lapse_until_ && !it->second.value.leaving) {
        it->second.lapsed = true;
        return target_change::none;
    }
    const auto service = it->second.value.service;
    record_removal(it->second.value, now);
    erase(it);
    rebuild(service);
    return target_change::gone;
}

void target_directory::record_removal(const target& it, time_point now)
{
    std::erase_if(removed_, [&](const auto& known) {
        return now - known.second.at >= removal_retention;
    });
    removed_[it.id] = {it.started_at, now};
}

void target_directory::correct_restored(std::vector<target>& list,
                                        time_point           now) const
{
    std::erase_if(list, [&](const target& it) {
        const auto* known = find(it.id);
        if (known && it.started_at < known->started_at)
            return true;
        const auto gone = removed_.find(it.id);
        return gone != removed_.end() &&
               it.started_at <= gone->second.started_at &&
               now - gone->second.at < removal_retention;
    });
    for (auto& it : list) {
        const auto* known = find(it.id);
        if (!known || known->started_at != it.started_at)
            continue;
        it.leaving  = it.leaving || known->leaving;
        it.cold_for = milliseconds{0};
    }
}

std::vector<std::string> target_directory::replace_all(std::vector<target> list,
                                                       time_point          now)
{
    std::set<std::string> present;
    for (auto& it : list) {
        present.insert(it.id);
        put(std::move(it));
    }
    std::vector<std::string> absent;
    for (const auto& [id, entry] : targets_) {
        if (!present.contains(id) && !entry.lapsed)
            absent.push_back(id);
    }
    std::erase_if(absent, [&](const auto& id) {
        return remove(id, now) != target_change::gone;
    });
    return absent;
}

std::vector<std::string> target_directory::expire(time_point now)
{
    std::vector<std::string> out;
    if (now < lapse_until_)
        return out;
    for (const auto& [id, entry] : targets_) {
        if (entry.lapsed)
            out.push_back(id);
    }
    for (const auto& id : out)
        remove(id, now);
    return out;
}

bool target_directory::set_evacuated(const std::string& failure_domain,
                                     bool               active)
{
    const bool changed = active ? evacuated_.insert(failure_domain).second
                                : evacuated_.erase(failure_domain) > 0;
    if (!changed)
        return false;
    std::set<std::string> services;
    for (const auto& [id, entry] : targets_) {
        if (entry.value.failure_domain == failure_domain)
            services.insert(entry.value.service);
    }
    for (const auto& it : services)
        rebuild(it);
    return true;
}

void target_directory::note_cold(const target& it, milliseconds time,
                                 time_point now)
{
    const auto found = cold_limits_.find(it.service);
    if (found == cold_limits_.end() || time <= milliseconds{0})
        return;
    limits_.set_cold(it.id,
                     {it.started_at, found->second.calls_per_s,
                      now + std::min(time, target_limits::max_cold_time)},
                     now);
}

void target_directory::note_evacuation_end(const std::string& failure_domain,
                                           time_point         now)
{
    for (const auto& [id, entry] : targets_) {
        const auto& it = entry.value;
        if (it.failure_domain != failure_domain)
            continue;
        const auto found = cold_limits_.find(it.service);
        if (found != cold_limits_.end())
            note_cold(it, found->second.time, now);
    }
}

const target* target_directory::find(const std::string& id) const
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : &it->second.value;
}

const target* target_directory::find_by_address(std::string_view address) const
{
    const auto it = by_address_.find(address);
    return it == by_address_.end() ? nullptr : find(it->second);
}

void target_directory::erase(entry_map::iterator it)
{
    const auto known = by_address_.find(it->second.value.address);
    if (known != by_address_.end() && known->second == it->first)
        by_address_.erase(known);
    targets_.erase(it);
}

std::map<std::string, std::set<std::uint64_t>>
target_directory::software() const
{
    std::map<std::string, std::set<std::uint64_t>> out;
    for (const auto& [id, entry] : targets_)
        out[entry.value.service].insert(software_key(entry.value));
    return out;
}

std::vector<target> target_directory::published(time_point now) const
{
    std::vector<target> out;
    for (const auto& [id, entry] : targets_) {
        if (entry.lapsed)
            continue;
        auto&       it   = out.emplace_back(entry.value);
        const auto* cold = limits_.cold(id, it.started_at, now);
        it.cold_for = cold ? std::chrono::ceil<milliseconds>(cold->until - now)
                           : milliseconds{0};
    }
    return out;
}

const std::vector<const target*>&
target_directory::usable(std::string_view service) const
{
    static const std::vector<const target*> none;
    const auto it = usable_.find(std::string(service));
    return it == usable_.end() ? none : it->second;
}

std::vector<const target*> target_directory::all_usable() const
{
    std::vector<const target*> out;
    for (const auto& [service, list] : usable_)
        out.insert(out.end(), list.begin(), list.end());
    return out;
}

const std::vector<const target*>&
target_directory::open(std::string_view service, time_point now)
{
    return open(usable(service), now);
}

const std::vector<const target*>&
target_directory::open(const std::vector<const target*>& all, time_point now)
{
    if (gate_.empty() && limits_.empty())
        return all;
    open_.clear();
    std::copy_if(
        all.begin(), all.end(), std::back_inserter(open_), [&](const auto* it) {
            return gate_.admits(*it, now) && limits_.opens_at(*it, now) <= now;
        });
    return open_;
}

const std::vector<const target*>&
target_directory::open_without_limit(const std::vector<const target*>& all,
                                     time_point                        now)
{
    if (limits_.empty())
        return open(all, now);
    open_.clear();
    std::copy_if(all.begin(), all.end(), std::back_inserter(open_),
                 [&](const auto* it) {
                     return gate_.admits(*it, now) && !limits_.find(*it, now);
                 });
    return open_;
}

std::optional<time_point>
target_directory::opens_at(const std::vector<const target*>& all,
                           time_point                        now) const
{
    std::optional<time_point> out;
    for (const auto* it : all) {
        const auto at = opens_at(*it, now);
        if (at && (!out || *at < *out))
            out = at;
    }
    return out;
}

std::optional<time_point> target_directory::opens_at(const target& to,
                                                     time_point    now) const
{
    const auto at = gate_.opens_at(to, now);
    return at ? std::optional(std::max(*at, limits_.opens_at(to, now)))
              : std::nullopt;
}

void target_directory::rebuild(const std::string& service)
{
    ++generation_;
    auto& list = usable_[service];
    list.clear();
    for (const auto& [id, entry] : targets_) {
        if (entry.value.service == service && !entry.value.leaving &&
            !evacuated(entry.value))
            list.push_back(&entry.value);
    }
}

} // namespace arbutusgate::gateway
