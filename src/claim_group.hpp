/// Which slots vote on a key.
#pragma once

#include "arbutusgate/deployment.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Voters of each shard, chosen by rendezvous hashing and spread over the
/// failure domains. The same slot list gives the same groups everywhere.
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

/// Key of a claim: SHA-256 over account and idempotency key.
std::string make_claim_key(std::string_view account, std::string_view key);

/// Rendezvous weight of a name for a purpose.
std::uint64_t rendezvous_weight(std::string_view name, std::uint64_t purpose);

} // namespace arbutusgate
