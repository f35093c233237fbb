/// Shards of a stage service, each batched by one daemon, and the choice of the
/// shard that gets an order.
///
/// Failure: a large service receives more pieces than one small VM can queue,
/// batch and respond to. Its owner responds late and is taken for dead; its
/// load moves to the next owner, which fails the same way.
#pragma once

#include "entry_admission.hpp"
#include "gateway_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate::gateway {

/// A subset of the targets of a stage service. Whether a target belongs to it
/// depends on the target's entry alone, so all daemons agree on it.
struct stage_shard
{
    std::string   service;
    std::string   failure_domain; ///< Empty: targets of all domains.
    std::uint32_t part = 0; ///< Index of the partition of the domain's targets.
    std::uint32_t parts = 1; ///< Partitions by hash of the target's id.

    /// Unique name in messages and logs; the service's name when the shard is
    /// the whole service.
    std::string key() const;
    bool        holds(const target& it) const;
    /// Targets of the list that belong to the shard.
    std::vector<const target*>
    select(const std::vector<const target*>& targets) const;
};

/// \return nothing when the text is not a valid key.
std::optional<stage_shard> parse_shard_key(std::string_view text);

/// Splits a service into shards: one for a small service, otherwise one or more
/// for each failure domain.
/// \param targets that may get work.
/// \param by_domain splits a small service by failure domain, too.
std::vector<stage_shard>
split_service(const std::string&                service,
              const std::vector<const target*>& targets,
              bool                              by_domain = false);

/// A shard that an order may go to.
struct shard_candidate
{
    std::string_view failure_domain; ///< Of the shard; empty: all domains.
    stage_queue      queue;          ///< As last reported by its owner.
};

/// What an order prefers.
struct shard_preference
{
    std::string_view failure_domain; ///< Of its inputs; empty: no preference.
    std::uint64_t    input_bytes = 0;
    std::string_view own_domain; ///< Failure domain of the daemon.
    /// The order can meet its goal, so the wait of such orders applies.
    bool on_time = true;
    /// Seed that breaks ties; differs between orders.
    std::uint64_t lot = 0;
    /// The order's results wait for free result memory.
    bool large_results = false;
};

/// \return index of the shard that gets the order.
/// \param shards at least one.
std::size_t choose_shard(const std::vector<shard_candidate>& shards,
                         const shard_preference&             preference);

} // namespace arbutusgate::gateway
