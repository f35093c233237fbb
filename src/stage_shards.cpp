#include "stage_shards.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace arbutusgate::gateway {

namespace {

/// Larger shards share the waits of their queue better, but their owner handles
/// more orders and calls.
constexpr std::size_t max_unsharded_targets = 10;
constexpr std::size_t max_shard_targets     = 12;
constexpr char        separator             = '|';

/// Penalties in the comparison of shards, as additional wait. Inputs read from
/// another failure domain take longer and load the links that domains share.
constexpr microseconds  remote_inputs_penalty{60'000};
constexpr microseconds  remote_large_inputs_penalty{250'000};
constexpr std::uint64_t large_input_bytes = 200'000;
/// For an order without inputs that leaves the failure domain of its daemon.
constexpr microseconds remote_daemon_penalty{30'000};
/// Shards whose costs differ by at most this much count as equal, because the
/// reported waits are outdated.
constexpr microseconds cost_tolerance{20'000};

std::uint32_t part_of(const std::string& id, std::uint32_t parts)
{
    return static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()) %
                                      parts);
}

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t out = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return out;
}

/// Removes the first field and its separator from the text.
/// \return the field.
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
    const auto part    = parse_number(next_field(text));
    const auto parts   = parse_number(next_field(text));
    if (!part || !parts || *part >= *parts || !text.empty())
        return std::nullopt;
    out.part  = *part;
    out.parts = *parts;
    return out;
}

std::vector<stage_shard>
split_service(const std::string&                service,
              const std::vector<const target*>& targets, bool by_domain)
{
    if (targets.size() <= max_unsharded_targets &&
        (!by_domain || targets.empty()))
        return {{service, "", 0, 1}};
    std::map<std::string, std::size_t> domains;
    for (const auto* it : targets)
        ++domains[it->failure_domain];
    std::vector<stage_shard> out;
    for (const auto& [domain, n] : domains) {
        const auto parts = static_cast<std::uint32_t>(
            (n + max_shard_targets - 1) / max_shard_targets);
        for (std::uint32_t part = 0; part < parts; ++part)
            out.push_back({service, domain, part, parts});
    }
    return out;
}

std::size_t choose_shard(const std::vector<shard_candidate>& shards,
                         const shard_preference&             preference)
{
    const auto cost = [&preference](const shard_candidate& it) {
        auto out = preference.on_time ? it.queue.on_time : it.queue.all;
        if (preference.large_results)
            out = std::max(out, it.queue.room);
        const bool remote_inputs =
            !preference.failure_domain.empty() &&
            it.failure_domain != preference.failure_domain;
        if (it.failure_domain.empty())
            return out;
        if (remote_inputs)
            out += preference.input_bytes >= large_input_bytes
                       ? remote_large_inputs_penalty
                       : remote_inputs_penalty;
        else if (preference.failure_domain.empty() &&
                 it.failure_domain != preference.own_domain)
            out += remote_daemon_penalty;
        return out;
    };
    microseconds least{microseconds::max()};
    for (const auto& it : shards)
        least = std::min(least, cost(it));
    std::size_t   best      = shards.size();
    std::uint64_t best_hash = 0;
    for (std::size_t n = 0; n < shards.size(); ++n) {
        const auto hash = XXH3_64bits_withSeed(&n, sizeof n, preference.lot);
        if (cost(shards[n]) - least > cost_tolerance ||
            (best < n && hash < best_hash))
            continue;
        best      = n;
        best_hash = hash;
    }
    return best;
}

} // namespace arbutusgate::gateway
