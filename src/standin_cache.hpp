/// Prefix cache of a simulated engine and the change events that it publishes.
#pragma once

#include "arbutusgate/types.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate {

/// One change of a prefix cache.
struct cache_change
{
    std::uint64_t block  = 0;     ///< Hash of the prompt up to the block's end.
    bool          stored = false; ///< False: evicted.
};

/// Cache of prompt prefix blocks with a fixed capacity; evicts the least
/// recently used block.
class prefix_cache
{
public:
    static constexpr std::size_t block_size = 64; ///< bytes of prompt

    /// \param capacity number of blocks.
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    /// Number of leading blocks of the prompt that are cached.
    std::size_t match(std::string_view prompt);
    /// Stores all complete blocks of the prompt.
    /// \return the blocks stored and evicted.
    std::vector<cache_change> insert(std::string_view prompt);
    std::size_t               size() const { return order_.size(); }

    static std::size_t count_blocks(std::string_view prompt)
    {
        return prompt.size() / block_size;
    }

private:
    void touch(std::list<std::uint64_t>::iterator it);

    std::size_t              capacity_;
    std::list<std::uint64_t> order_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        index_;
};

/// Numbers the cache changes in sequence and publishes them after a delay. Some
/// events are lost, which leaves gaps in the sequence.
class cache_event_log
{
public:
    using clock = std::chrono::steady_clock;

    /// \param delay time from a change to its publication.
    /// \param loss  fraction of the events that are never published.
    cache_event_log(milliseconds delay, double loss)
        : delay_(delay), loss_(loss)
    {
    }

    void add(const std::vector<cache_change>& changes, clock::time_point now,
             std::mt19937_64& random);
    /// \return {"next": N, "events": [{"seq", "type", "block"}]} with the
    /// published events after the sequence number `after`. A gap in "seq" is a
    /// lost event.
    boost::json::object page(std::uint64_t after, clock::time_point now) const;

private:
    struct event
    {
        std::uint64_t     seq = 0;
        clock::time_point at;
        cache_change      change;
    };

    milliseconds      delay_;
    double            loss_;
    std::uint64_t     seq_ = 0;
    std::deque<event> events_;
};

} // namespace arbutusgate
