#include "stage_shards.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace arbutusgate::gateway {

namespace {

/// Targets that one daemon batches for. More share the waits of their queue
/// better, and cost their owner more orders and calls.
constexpr std::size_t small_service = 10;
constexpr std::size_t shard_targets = 12;
constexpr char        separator     = '|';

/// Inputs that are read from another failure domain cost their way, and the
/// links between domains are shared. In microseconds of wait.
constexpr microseconds  far_inputs{60'000};
constexpr microseconds  far_large_inputs{250'000};
constexpr std::uint64_t large_inputs = 200'000; // bytes
/// An order without inputs goes to the domain of its daemon for so long a
/// wait more.
constexpr microseconds far_daemon{30'000};
/// Shards whose waits differ by less are alike: told waits are old.
constexpr microseconds alike{20'000};

std::uint32_t part_of(const std::string& id, std::uint32_t parts)
{
    return static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()) %
                                      parts);
}

std::optional<std::uint32_t> number(std::string_view text)
{
    std::uint32_t out = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return out;
}

/// The text before the separator, which is taken off.
std::string_view next_field(std::string_view& text)
{
    const auto at  = text.find(separator);
    const auto out = text.substr(0, at);
    text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
    return out;
}

} // namespace

std::string stage_shard::key() const
{
    if (failure_domain.empty() && parts == 1)
        return service;
    return service + separator + failure_domain + separator +
           std::to_string(part) + separator + std::to_string(parts);
}

bool stage_shard::holds(const target& it) const
{
    return it.service == service &&
           (failure_domain.empty() || it.failure_domain == failure_domain) &&
           (parts == 1 || part_of(it.id, parts) == part);
}

std::vector<const target*>
stage_shard::select(const std::vector<const target*>& targets) const
{
    std::vector<const target*> out;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(out),
                 [this](const auto* it) { return holds(*it); });
    return out;
}

std::optional<stage_shard> parse_shard_key(std::string_view text)
{
    stage_shard out;
    out.service = next_field(text);
    if (out.service.empty())
        return std::nullopt;
    if (text.empty())
        return out;
    out.failure_domain = next_field(text);
    const auto part    = number(next_field(text));
    const auto parts   = number(next_field(text));
    if (!part || !parts || *part >= *parts || !text.empty())
        return std::nullopt;
    out.part  = *part;
    out.parts = *parts;
    return out;
}

std::vector<stage_shard>
split_service(const std::string&                service,
              const std::vector<const target*>& targets)
{
    if (targets.size() <= small_service)
        return {{service, "", 0, 1}};
    std::map<std::string, std::size_t> domains;
    for (const auto* it : targets)
        ++domains[it->failure_domain];
    std::vector<stage_shard> out;
    for (const auto& [domain, n] : domains) {
        const auto parts =
            static_cast<std::uint32_t>((n + shard_targets - 1) / shard_targets);
        for (std::uint32_t part = 0; part < parts; ++part)
            out.push_back({service, domain, part, parts});
    }
    return out;
}

std::size_t choose_shard(const std::vector<shard_outlook>& shards,
                         const shard_wish&                 wish)
{
    const auto cost = [&wish](const shard_outlook& it) {
        auto out = wish.on_time ? it.queue.on_time : it.queue.all;
        if (wish.large_results)
            out = std::max(out, it.queue.room);
        const bool far = !wish.failure_domain.empty() &&
                         it.failure_domain != wish.failure_domain;
        if (it.failure_domain.empty())
            return out;
        if (far)
            out += wish.input_bytes >= large_inputs ? far_large_inputs
                                                    : far_inputs;
        else if (wish.failure_domain.empty() &&
                 it.failure_domain != wish.own_domain)
            out += far_daemon;
        return out;
    };
    microseconds least{microseconds::max()};
    for (const auto& it : shards)
        least = std::min(least, cost(it));
    std::size_t   best = shards.size();
    std::uint64_t most = 0;
    for (std::size_t n = 0; n < shards.size(); ++n) {
        const auto lot = XXH3_64bits_withSeed(&n, sizeof n, wish.lot);
        if (cost(shards[n]) - least > alike || (best < n && lot < most))
            continue;
        best = n;
        most = lot;
    }
    return best;
}

} // namespace arbutusgate::gateway
