#include "claim_group.hpp"

#include "sha256.hpp"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace arbutusgate {

namespace {

std::vector<slot_id> choose_voters(const std::vector<slot_config>& slots,
                                   std::uint32_t                   shard)
{
    std::vector<std::pair<std::uint64_t, slot_id>> order;
    for (std::uint32_t n = 0; n < slots.size(); ++n)
        order.emplace_back(rendezvous_weight(slots[n].name, shard), slot_id{n});
    std::sort(order.rbegin(), order.rend());
    // The k-th slot of a failure domain comes after the (k-1)-th slots of all
    // domains.
    std::map<std::string, std::uint32_t>           used;
    std::vector<std::pair<std::uint32_t, slot_id>> spread;
    for (const auto& [weight, slot] : order)
        spread.emplace_back(used[slots[slot.idx].failure_domain]++, slot);
    std::stable_sort(
        spread.begin(), spread.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<slot_id> voters;
    for (const auto& it : spread) {
        if (voters.size() < limits::claim_voters)
            voters.push_back(it.second);
    }
    return voters;
}

} // namespace

claim_groups::claim_groups(const std::vector<slot_config>& slots,
                           std::uint32_t                   shards)
{
    for (std::uint32_t n = 0; n < shards; ++n)
        voters_.push_back(choose_voters(slots, n));
}

std::uint32_t claim_groups::shard_of(std::string_view claim_key) const
{
    return static_cast<std::uint32_t>(
        XXH3_64bits(claim_key.data(), claim_key.size()) % voters_.size());
}

bool claim_groups::is_voter(std::uint32_t shard, slot_id slot) const
{
    return std::find(voters_[shard].begin(), voters_[shard].end(), slot) !=
           voters_[shard].end();
}

std::string make_claim_key(std::string_view account, std::string_view key)
{
    std::string text = std::to_string(account.size());
    text.append(":").append(account).append(key);
    return sha256(text);
}

std::uint64_t rendezvous_weight(std::string_view name, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

} // namespace arbutusgate
