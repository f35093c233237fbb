/// Assignment of idempotency keys to shards, and of shards to voters.
#pragma once

#include "arbutusgate/deployment.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Voters of each shard, chosen by rendezvous hashing and distributed over the
/// failure domains. Daemons with the same slot list compute the same groups.
class claim_groups
{
public:
    claim_groups(const std::vector<slot_config>& slots, std::uint32_t shards);

    std::uint32_t shards() const
    {
        return static_cast<std::uint32_t>(voters_.size());
    }
    std::uint32_t               shard_of(std::string_view claim_key) const;
    const std::vector<slot_id>& voters(std::uint32_t shard) const
    {
        return voters_[shard];
    }
    std::size_t majority(std::uint32_t shard) const
    {
        return voters_[shard].size() / 2 + 1;
    }
    bool is_voter(std::uint32_t shard, slot_id slot) const;

private:
    std::vector<std::vector<slot_id>> voters_;
};

/// Returns the key of a claim: SHA-256 of client account and idempotency key.
std::string make_claim_key(std::string_view account, std::string_view key);

/// Returns the rendezvous hashing weight of a name. Each use has its own seed.
std::uint64_t rendezvous_weight(std::string_view name, std::uint64_t seed);

} // namespace arbutusgate
