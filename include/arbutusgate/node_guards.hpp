/// Names of the node core's safety rules. Tests disable single rules to verify
/// that the fuzzer detects the violation.
#pragma once

#include <bitset>
#include <cstddef>
#include <string_view>

namespace arbutusgate {

/// Safety rule of the node core that can be disabled in tests.
enum class node_guard
{
    write_once, ///< A voter grants at most one unreleased claim per key.
    majority,   ///< A claim needs grants from a majority of voters.
    newest_incarnation, ///< Only replies of a slot's newest process count.
    settled_voter,      ///< A voter that has not recovered grants nothing.
    recovery_union,     ///< Recovery merges the claims of the other voters.
    settle_window,      ///< A voter that lost its claims waits a retry window.
    settle_by_all,      ///< That wait needs a reply from every other voter.
    settle_margin,      ///< The wait covers calls sent at the window's end.
    all_claims,         ///< Merging keeps the competing claims of a key.
    release_token,      ///< A release affects only the claim with its token.
    tombstone,          ///< A claim that arrives after its release is refused.
    answer_kept,        ///< Merging a claim takes over its recorded response.
    use_limit,          ///< A claim is not used long after it began.
    pause_drop,         ///< Claims are not used after a pause.
    pause_hold,         ///< Claims for calls buffered during a pause fail.
    pause_confirm,    ///< After a pause, a peer must confirm the configuration.
    gap_limit,        ///< Pauses and clock jumps do not age claims.
    config_monotonic, ///< An older version is never put in force.
    config_digest,    ///< Received documents must match their digests.
    fresh_majority,   ///< A new process first needs replies of a majority.
    fresh_highest,    ///< It accepts none below the highest reported version.
    fresh_echo,       ///< Only replies to its own requests count.
    rejected_version, ///< A rejected version is not offered again.
    leaving_gossip,   ///< Gossip includes the leaving targets.
    count,
};

/// Stable name of a guard, as given to `arbutusgate-fuzz --disable`.
std::string_view to_string(node_guard);

/// Set of enabled rules; all by default.
struct node_guards
{
    std::bitset<static_cast<std::size_t>(node_guard::count)> disabled;

    bool enabled(node_guard it) const
    {
        return !disabled[static_cast<std::size_t>(it)];
    }
    void disable(node_guard it) { disabled.set(static_cast<std::size_t>(it)); }
};

} // namespace arbutusgate
