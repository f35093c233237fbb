#include "standin_cache.hpp"

#include <boost/json/array.hpp>

#include <xxhash.h>

namespace arbutusgate {

namespace json = boost::json;

namespace {

constexpr std::size_t max_events = 4096;

std::vector<std::uint64_t> block_hashes(std::string_view prompt)
{
    std::vector<std::uint64_t> all;
    std::uint64_t              seed = 0;
    for (std::size_t n = 0; n < prefix_cache::count_blocks(prompt); ++n) {
        seed = XXH64(prompt.data() + n * prefix_cache::block_size,
                     prefix_cache::block_size, seed);
        all.push_back(seed);
    }
    return all;
}

} // namespace

void prefix_cache::touch(std::list<std::uint64_t>::iterator it)
{
    order_.splice(order_.begin(), order_, it);
}

std::size_t prefix_cache::match(std::string_view prompt)
{
    std::size_t n = 0;
    for (const auto it : block_hashes(prompt)) {
        const auto known = index_.find(it);
        if (known == index_.end())
            break;
        touch(known->second);
        ++n;
    }
    return n;
}

std::vector<cache_change> prefix_cache::insert(std::string_view prompt)
{
    std::vector<cache_change> changes;
    for (const auto it : block_hashes(prompt)) {
        const auto known = index_.find(it);
        if (known != index_.end()) {
            touch(known->second);
            continue;
        }
        order_.push_front(it);
        index_[it] = order_.begin();
        changes.push_back({it, true});
    }
    while (order_.size() > capacity_) {
        changes.push_back({order_.back(), false});
        index_.erase(order_.back());
        order_.pop_back();
    }
    return changes;
}

void cache_event_log::add(const std::vector<cache_change>& changes,
                          clock::time_point now, std::mt19937_64& random)
{
    std::bernoulli_distribution lost(loss_);
    for (const auto& it : changes) {
        ++seq_;
        if (!lost(random))
            events_.push_back({seq_, now, it});
    }
    while (events_.size() > max_events)
        events_.pop_front();
}

json::object cache_event_log::page(std::uint64_t     after,
                                   clock::time_point now) const
{
    json::array   rows;
    std::uint64_t next = after;
    for (const auto& it : events_) {
        if (it.seq <= after)
            continue;
        if (it.at + delay_ > now)
            break;
        next = it.seq;
        rows.push_back(
            json::object{{"seq", it.seq},
                         {"type", it.change.stored ? "stored" : "evicted"},
                         {"block", it.change.block}});
    }
    return {{"next", next}, {"events", std::move(rows)}};
}

} // namespace arbutusgate
