/// Parts of a stage service, each batched by one daemon, and the choice among
/// them.
///
/// Pattern: a large service gets more pieces than one small VM can queue,
/// batch and answer. Its owner answers late, is taken for dead, and its load
/// falls on the next one, which goes the same way.
#pragma once

#include "entry_admission.hpp"
#include "gateway_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate::gateway {

/// Some targets of a stage service. Every daemon can tell from a target's
/// entry alone whether a shard holds it.
struct stage_shard
{
    std::string   service;
    std::string   failure_domain; ///< Empty: targets of all domains.
    std::uint32_t part  = 0;      ///< Of the domain's targets, by their ids.
    std::uint32_t parts = 1;

    /// Name among all shards, as in messages and logs; the service's name when
    /// the shard is the whole service.
    std::string key() const;
    bool        holds(const target& it) const;
    /// Those of the list that the shard holds.
    std::vector<const target*>
    select(const std::vector<const target*>& targets) const;
};

/// \return nothing when the text is no key.
std::optional<stage_shard> parse_shard_key(std::string_view text);

/// The shards of a service: one while the service is small, else some for each
/// failure domain.
/// \param targets that may get work.
std::vector<stage_shard>
split_service(const std::string&                service,
              const std::vector<const target*>& targets);

/// What a daemon knows of a shard when it has an order for the service.
struct shard_outlook
{
    std::string_view failure_domain; ///< Of the shard; empty: all.
    stage_queue      queue;          ///< As its owner last told.
};

/// What an order prefers.
struct shard_wish
{
    std::string_view failure_domain; ///< Of its inputs; empty: anywhere.
    std::uint64_t    input_bytes = 0;
    std::string_view own_domain; ///< Of the daemon.
    /// The order can meet its goal, so the wait of such orders counts.
    bool          on_time       = true;
    std::uint64_t lot           = 0; ///< Breaks ties; differs between orders.
    bool          large_results = false; ///< They wait for room.
};

/// \return index of the shard that gets the order.
/// \param shards at least one.
std::size_t choose_shard(const std::vector<shard_outlook>& shards,
                         const shard_wish&                 wish);

} // namespace arbutusgate::gateway
